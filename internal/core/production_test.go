package core

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"ambersill/internal/wire"
)

// loadExchange has this version load what is stored.
func loadExchange(t *testing.T, e *exchange) *bed {
	o := newBed()
	for _, id := range exchangeMachines {
		o.machine(id, "cpu", "a", false)
	}
	var chunks []LoadedChunk
	var journal []LoadedSlot
	for key, raw := range e.Keys {
		if id, name, ok := SplitChunkKey(key); ok && key[0] == 'a' {
			c := LoadedChunk{Job: id, Name: name, Stamp: e.Stamps[key]}
			if err := wire.Unmarshal(raw, &c.Record); err != nil {
				t.Fatal(err)
			}
			chunks = append(chunks, c)
		}
		if key[0] == 'g' {
			l := LoadedSlot{Stamp: e.Stamps[key]}
			if err := wire.Unmarshal(raw, &l.Record); err != nil {
				t.Fatal(err)
			}
			journal = append(journal, l)
		}
		readOthers(t, key, raw)
	}
	o.Load(chunks, journal)
	return o
}

// firstChunkWrite is the write of a new job's first chunk below the feature level.
func firstChunkWrite(r *JobRecord) wire.Write {
	return wire.Write{Put: FirstChunkKey(0, r.Job.ID), Value: FirstChunk(r, FirstFormat, testSettings())}
}

// The production version, which deploy/service.toml names, is taken from this repository's
// history: it reads what this one writes below the feature level, and this one reads what
// it writes, each to the same jobs with the same tasks done, live and waiting.
func TestProductionExchange(t *testing.T) {
	root := repositoryRoot(t)
	production := t.TempDir()
	extract := exec.Command("sh", "-c", `git -C "$0" archive "$1" | tar -x -C "$2"`, root, productionCommit(t, root), production)
	if out, err := extract.CombinedOutput(); err != nil || len(out) > 0 {
		t.Fatalf("the production version is not in the history: %v\n%s", err, out)
	}
	place := func(from, to string) {
		b, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(production, "internal", "core", to), b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	place("exchange_test.go", "exchange_test.go")
	place(filepath.Join("testdata", "exchange_test.go.txt"), "exchange_load_test.go")
	ours, theirs := filepath.Join(t.TempDir(), "ours"), filepath.Join(t.TempDir(), "theirs")
	writeExchange(t, ours)
	run := exec.Command("go", "test", "-count=1", "-run", "TestExchange$", "./internal/core")
	run.Dir = production
	run.Env = append(os.Environ(), "EXCHANGE_IN="+ours, "EXCHANGE_OUT="+theirs)
	if out, err := run.CombinedOutput(); err != nil {
		t.Fatalf("the production version does not read what this one writes: %v\n%s", err, out)
	}
	checkExchange(t, theirs)
}

// repositoryRoot is the folder that holds go.mod.
func repositoryRoot(t *testing.T) string {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// productionCommit is the commit that deploy/service.toml names.
func productionCommit(t *testing.T, root string) string {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(b)
	if m == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(m[1])
}
