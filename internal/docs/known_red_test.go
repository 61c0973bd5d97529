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
