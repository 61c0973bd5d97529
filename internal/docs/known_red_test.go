package docs

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRedEntry is a complete entry of a list of known failures.
const knownRedEntry = "test: TestA/3\ncommand: go test -run A ./a (seed 3)\nseen: not_done,\n  once in 40 runs\nissue: 30\n"

// A malformed entry of KNOWN-RED.txt must make CI fail: a test that is listed by mistake, or not
// listed as intended, would otherwise be passed over or fail the run without a reason.
func TestKnownRedListIsChecked(t *testing.T) {
	for _, c := range []struct {
		name, list string
		wantNames  string // printed on success
		wantError  string // part of the message on failure
	}{
		{"empty list", "", "", ""},
		{"comment only", "# none\n", "", ""},
		{"one entry", knownRedEntry, "TestA/3\n", ""},
		{"several entries", knownRedEntry + "\n" + strings.Replace(knownRedEntry, "TestA/3", "TestB", 1), "TestA/3\nTestB\n", ""},
		{"last line without a newline", strings.TrimSuffix(knownRedEntry, "\n"), "TestA/3\n", ""},
		{"entry without a test", strings.TrimPrefix(knownRedEntry, "test: TestA/3\n"), "", `line 1: expected "test: "`},
		{"test without a name", strings.Replace(knownRedEntry, "TestA/3", " ", 1), "", `line 1: "test" has no value`},
		{"name that is no test's", strings.Replace(knownRedEntry, "TestA/3", ".*", 1), "", `line 1: ".*" is no name of a test`},
		{"two names", strings.Replace(knownRedEntry, "TestA/3", "TestA TestB", 1), "", `line 1: "TestA TestB" is no name of a test`},
		{"entry without an issue", strings.TrimSuffix(knownRedEntry, "issue: 30\n"), "", `line 4: the last entry has no "issue: "`},
		{"text between entries", knownRedEntry + "some text\n", "", `line 6: expected "test: "`},
		{"continuation of nothing", "  once in 40 runs\n" + knownRedEntry, "", "line 1: continues no entry"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var stdout, stderr bytes.Buffer
			command := exec.CommandContext(t.Context(), "bash", filepath.Join(moduleRoot, ".ci", "known-red.sh"), list)
			command.Stdout, command.Stderr = &stdout, &stderr
			err := command.Run()
			if (err != nil) != (c.wantError != "") || !strings.Contains(stderr.String(), c.wantError) {
				t.Errorf("result: got %v, message %q, want an error with %q if that is not empty", err, stderr.String(), c.wantError)
			}
			if stdout.String() != c.wantNames {
				t.Errorf("printed names: got %q, want %q", stdout.String(), c.wantNames)
			}
		})
	}
}

// knownRedPackage is a package with a test that passes, one that fails, and one with two seeds by
// default, of which seed 1 fails.
const knownRedPackage = `package example

import (
	"os"
	"strconv"
	"testing"
)

func TestPasses(*testing.T) {}

func TestFails(t *testing.T) { t.Fail() }

func TestSkips(t *testing.T) { t.Skip() }

func TestSeeds(t *testing.T) {
	seeds := 2
	if value, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = value
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			if seed == 1 {
				t.Fail()
			}
		})
	}
}
`

// A listed name that matches no test must make CI fail: a test that was renamed would otherwise
// fail the run, or be passed over for ever.
func TestKnownRedTestIsRunAndPassedOver(t *testing.T) {
	directory := t.TempDir()
	files := map[string]string{"go.mod": "module example\n\ngo 1.22\n", "example_test.go": knownRedPackage}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	script, err := filepath.Abs(filepath.Join(moduleRoot, ".ci", "run-known-red.sh"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		test       string
		wantOutput string // the last line
		wantError  bool
	}{
		{"TestPasses", "known red, passed this time: TestPasses", false},
		{"TestFails", "KNOWN RED, see KNOWN-RED.txt: TestFails", false},
		{"TestSeeds/1", "KNOWN RED, see KNOWN-RED.txt: TestSeeds/1", false},
		{"TestSeeds/5", "known red, passed this time: TestSeeds/5", false},
		{"TestSkips", "KNOWN-RED.txt: TestSkips was skipped", true},
		{"TestPass", "KNOWN-RED.txt: no test has the name TestPass", true},
		{"TestPasses/1", "KNOWN-RED.txt: no test has the name TestPasses/1", true},
	} {
		t.Run(c.test, func(t *testing.T) {
			command := exec.CommandContext(t.Context(), "bash", script, c.test)
			command.Dir = directory
			output, err := command.CombinedOutput()
			if (err != nil) != c.wantError || !strings.HasSuffix(string(output), c.wantOutput+"\n") {
				t.Errorf("result: got %v with output\n%s\nwant a last line %q", err, output, c.wantOutput)
			}
		})
	}
}
