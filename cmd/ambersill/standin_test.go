package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ambersill/internal/config"
)

func TestLoadWrittenSettings(t *testing.T) {
	directory := t.TempDir()
	settings := []config.Settings{sampleSettings(0, 2), sampleSettings(1, 2)}
	if err := writeSettings(io.Discard, directory, settings); err != nil {
		t.Fatal(err)
	}
	for _, node := range settings {
		loaded, err := config.Load(filepath.Join(directory, node.Node+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		if loaded.Node != node.Node || len(loaded.Members) != 1 || loaded.Cluster.Store.StoreLimits != node.Cluster.Store.StoreLimits {
			t.Errorf("loading the written settings %+v: got %+v, want the same node and store limits and one member", node, loaded)
		}
	}
}

func TestInvalidFlagsAreConfigErrors(t *testing.T) {
	for _, arguments := range [][]string{
		{},
		{"check"},
		{"check", "--config", filepath.Join(t.TempDir(), "missing.toml")},
		{"standin"},
		{"standin", "--dir", t.TempDir(), "--nodes", "0"},
		{"standin", "--dir", t.TempDir(), "--nodes", "10"},
		{"standin", "--dir", t.TempDir(), "--jobs", "-1"},
		{"standin", "--dir", t.TempDir(), "--jobs", "1001"},
		{"standin", "--dir", t.TempDir(), "--command-copies", "1.5"},
		{"standin", "--dir", t.TempDir(), "--command-copies", "NaN"},
	} {
		cmd := rootCommand()
		cmd.SetArgs(arguments)
		if err := cmd.Execute(); !errors.Is(err, errInvalidConfig) {
			t.Errorf("arguments %q: got error %v, want errInvalidConfig", arguments, err)
		}
	}
}

// The check of settings points to a key that is ignored because its name differs from that of a setting
// only in case.
func TestCheckNamesIgnoredKeys(t *testing.T) {
	directory := t.TempDir()
	if err := writeSettings(io.Discard, directory, []config.Settings{sampleSettings(0, 1)}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(directory, nodeName(0)+".toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append([]byte("Zone = \"b\"\n"), text...), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&output)
	cmd.SetArgs([]string{"check", "--config", path})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	if want := "Zone is ignored; the setting is named zone\n"; !strings.Contains(output.String(), want) {
		t.Errorf("output of check: got %q, want a line %q", output.String(), want)
	}
}
