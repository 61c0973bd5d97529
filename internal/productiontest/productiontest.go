// Package productiontest takes the version in production out of the repository's history,
// so that tests can run it beside the present one.
package productiontest

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// commitLine is the line of deploy/service.toml that names the version in production.
var commitLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// Version is a copy of the sources of the version in production.
type Version struct{ root string }

// Extract copies the sources of the version in production to a temporary directory. root
// is the repository's root, relative to the package under test.
func Extract(t *testing.T, root string) *Version {
	t.Helper()
	commit := productionCommit(t, root)
	v := &Version{root: t.TempDir()}
	extract := exec.CommandContext(t.Context(), "sh", "-c", `git -C "$0" archive "$1" | tar -x -C "$2"`, root, commit, v.root)
	if out, err := extract.CombinedOutput(); err != nil || len(out) > 0 {
		t.Fatalf("the production version is not in the history: %v\n%s", err, out)
	}
	return v
}

// productionCommit is the commit that deploy/service.toml names.
func productionCommit(t *testing.T, root string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := commitLine.FindSubmatch(b)
	if m == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(m[1])
}

// AddFile writes a file into a directory of the production version.
func (v *Version) AddFile(t *testing.T, directory, name string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(v.root, directory, name), content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Test runs a test of the production version with additional environment variables.
func (v *Version) Test(t *testing.T, directory, name string, env ...string) {
	t.Helper()
	run := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-run", "^"+name+"$", "./"+directory)
	run.Dir = v.root
	run.Env = append(os.Environ(), env...)
	if out, err := run.CombinedOutput(); err != nil {
		t.Fatalf("the production version does not understand this one: %v\n%s", err, out)
	}
}
