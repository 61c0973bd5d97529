package config

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// loadsOfAmbiguousFile is how often a file with two near names is loaded: a choice by chance shows.
const loadsOfAmbiguousFile = 20

// completeSettings are settings with an array of tables, and with a value for each setting that is not in
// validSettings.
const completeSettings = validSettings + `cpu = 0.25
[cluster.state.next]
write_rps = 18.0
[[cluster.teams]]
name = "red"
gpus = 1.0
gpus_max = 2.0
[[members]]
node = "n1"
zone = "a"
addr = "127.0.0.1:5"
`

// settingLines returns the indices of the lines that set a value or open a table, and the lines.
func settingLines() (indices []int, lines []string) {
	lines = strings.Split(completeSettings, "\n")
	for i, line := range lines {
		if strings.Contains(line, "=") && !strings.HasPrefix(line, "unheard_of") {
			indices = append(indices, i)
		}
	}
	return indices, lines
}

// inCapitals returns a line with its name in capitals.
func inCapitals(line string) string {
	name, value, _ := strings.Cut(line, " = ")
	return strings.ToUpper(name) + " = " + value
}

func loadLines(t *testing.T, lines []string) (*Settings, error) {
	t.Helper()
	return Load(writeFile(t, "s.toml", strings.Join(lines, "\n")))
}

// Guards against settings that are taken from a key whose name differs in case. The error names the
// setting that is missing, and the key that may have been meant.
func TestSettingInAnotherCaseIsIgnored(t *testing.T) {
	optional := []string{"cpu", "write_rps", "gpus", "gpus_max", "zone", "unheard_of"}
	indices, lines := settingLines()
	for _, i := range indices {
		changed := slices.Clone(lines)
		changed[i] = inCapitals(lines[i])
		name, _, _ := strings.Cut(lines[i], " = ")
		settings, err := loadLines(t, changed)
		if err == nil && slices.Contains(optional, name) {
			ignored := settings.IgnoredKeys
			if len(ignored) != 1 || !strings.HasSuffix(ignored[0].Key, strings.ToUpper(name)) || !strings.HasSuffix(ignored[0].Setting, name) {
				t.Errorf("%s in capitals: got ignored keys %v, want it alone", name, ignored)
			}
			continue
		}
		var problem *Error
		if !errors.As(err, &problem) || !strings.HasSuffix(problem.Key, name) || !strings.Contains(problem.Problem, strings.ToUpper(name)+" is ignored") {
			t.Errorf("%s in capitals: got error %v, want one that names it and %s", name, err, name)
		}
	}
	_, err := Load(writeFile(t, "s.toml", strings.Replace(validSettings, "max_sockets", "Max_Sockets", 1)))
	if err == nil || !strings.Contains(err.Error(), "cluster.machine_limits.max_sockets: ") || !strings.Contains(err.Error(), "cluster.machine_limits.Max_Sockets is ignored") {
		t.Errorf("max_sockets missing beside Max_Sockets: got error %v, want one that names both", err)
	}
}

// Guards against an unknown key that replaces a setting by chance because its name differs only in case.
func TestUnknownKeyDoesNotReplaceASetting(t *testing.T) {
	indices, lines := settingLines()
	want, err := loadLines(t, lines)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range indices {
		name, value, _ := strings.Cut(lines[i], " = ")
		other := "7.0"
		if strings.HasPrefix(value, `"`) {
			other = `"other:1"`
		}
		changed := slices.Insert(slices.Clone(lines), i+1, strings.ToUpper(name)+" = "+other)
		for range loadsOfAmbiguousFile {
			got, err := loadLines(t, changed)
			if err != nil {
				t.Errorf("%s, and in capitals %s: got error %v, want none", name, other, err)
				break
			}
			got.IgnoredKeys = nil
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s, and in capitals %s: got %+v, want %+v", name, other, got, want)
				break
			}
		}
	}
}

// Unknown keys and tables are ignored wherever they stand, also under a near name and of any type.
func TestUnknownKeysAreIgnored(t *testing.T) {
	_, lines := settingLines()
	want, err := loadLines(t, lines)
	if err != nil {
		t.Fatal(err)
	}
	for _, addition := range []string{
		"later = {a = [1, 2], b = 1979-05-27}",
		"Zone = 3",
		"[later]\na = 1",
		"[[cluster.later]]\na = 1",
		"[cluster.Workers]\nreport_s = 99.0",
		"[CLUSTER]\ncount = 9",
		"[cluster.cloud.later]\nrps = 1.0",
		"[[Members]]\nnode = \"n9\"",
	} {
		text := strings.Join(lines, "\n") + addition
		if !strings.HasPrefix(addition, "[") {
			text = addition + "\n" + strings.Join(lines, "\n")
		}
		got, err := Load(writeFile(t, "s.toml", text))
		if err != nil {
			t.Errorf("settings with %q: got error %v, want none", addition, err)
			continue
		}
		got.IgnoredKeys = nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("settings with %q: got %+v, want %+v", addition, got, want)
		}
	}
}

// A value of the wrong type is an error that names the key, at any depth.
func TestValueOfWrongTypeNamesTheKey(t *testing.T) {
	for text, key := range map[string]string{
		strings.Replace(completeSettings, `count = 1`, `count = "x"`, 1):         "cluster.count",
		strings.Replace(completeSettings, `gpus = 1.0`, `gpus = "x"`, 1):         "cluster.teams[0].gpus",
		strings.Replace(validSettings, "[outside]", "members = 1\n[outside]", 1): "members",
	} {
		_, err := Load(writeFile(t, "s.toml", text))
		var problem *Error
		if !errors.As(err, &problem) || problem.Key != key || problem.File == "" {
			t.Errorf("value of the wrong type for %s: got error %v, want one that names it", key, err)
		}
	}
}
