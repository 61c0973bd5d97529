// Package productiontest extracts the version in production from the repository's history, so
// that tests can check that it and the present version understand each other.
package productiontest

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// serviceFile describes the deployment, relative to the repository's root.
const serviceFile = "deploy/service.toml"

// addedFileMode is the mode of files added to the extracted sources.
const addedFileMode = 0o644

// commitPattern matches the line of the service file that names the version in production.
var commitPattern = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// Version is a copy of the sources of the version in production.
type Version struct{ root string }

// Extract copies the sources of the version in production to a temporary directory. root
// is the repository's root, relative to the package under test.
func Extract(t *testing.T, root string) *Version {
	t.Helper()
	commit := productionCommit(t, root)
	version := &Version{root: t.TempDir()}
	const script = `git -C "$0" archive "$1" | tar -x -C "$2"`
	extract := exec.CommandContext(t.Context(), "sh", "-c", script, root, commit, version.root)
	// The shell reports the status of tar alone, so that output is a failure too.
	if out, err := extract.CombinedOutput(); err != nil || len(out) > 0 {
		t.Fatalf("extracting the production version %s: %v\n%s", commit, err, out)
	}
	return version
}

// productionCommit returns the commit that the service file names.
func productionCommit(t *testing.T, root string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, serviceFile))
	if err != nil {
		t.Fatal(err)
	}
	match := commitPattern.FindSubmatch(text)
	if match == nil {
		t.Fatalf("%s does not name a production version", serviceFile)
	}
	return string(match[1])
}

// AddFile adds a file, such as a test, to a directory of the production version.
func (v *Version) AddFile(t *testing.T, directory, name string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(v.root, directory, name), content, addedFileMode); err != nil {
		t.Fatal(err)
	}
}

// RunTest runs one test of the production version with additional environment variables.
func (v *Version) RunTest(t *testing.T, directory, name string, env ...string) {
	t.Helper()
	run := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-run", "^"+name+"$", "./"+directory)
	run.Dir = v.root
	run.Env = append(os.Environ(), env...)
	if out, err := run.CombinedOutput(); err != nil {
		t.Fatalf("test %s of the production version: %v\n%s", name, err, out)
	}
}
