// Package productiontest extracts the sources of the production version from the repository's
// history. Tests use it to check that the production version and the current version can exchange
// messages and stored records.
package productiontest

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// serviceFile is the path of the deployment file that names the commit in production, relative to
// the repository's root directory.
const serviceFile = "deploy/service.toml"

// addedFileMode is the permission mode of files that AddFile creates.
const addedFileMode = 0o644

// commitPattern matches the line of the service file that names the commit in production.
var commitPattern = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`)

// Version is a temporary copy of the sources of the production version.
type Version struct{ root string }

// Extract copies the sources of the production version to a temporary directory. root is the path
// of the repository's root directory, relative to the package under test.
func Extract(t *testing.T, root string) *Version {
	t.Helper()
	commit := productionCommit(t, root)
	version := &Version{root: t.TempDir()}
	const script = `git -C "$0" archive "$1" | tar -x -C "$2"`
	extract := exec.CommandContext(t.Context(), "sh", "-c", script, root, commit, version.root)
	// The exit status of the pipeline is that of tar alone, so any output also counts as a
	// failure.
	if out, err := extract.CombinedOutput(); err != nil || len(out) > 0 {
		t.Fatalf("extracting production version %s: %v\n%s", commit, err, out)
	}
	return version
}

// productionCommit returns the hash of the commit in production, which the service file names.
func productionCommit(t *testing.T, root string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, serviceFile))
	if err != nil {
		t.Fatal(err)
	}
	match := commitPattern.FindSubmatch(text)
	if match == nil {
		t.Fatalf("reading %s: got no line with a production commit, want one", serviceFile)
	}
	return string(match[1])
}

// AddFile creates a file, such as a test, in a directory of the production version.
func (v *Version) AddFile(t *testing.T, directory, name string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(v.root, directory, name), content, addedFileMode); err != nil {
		t.Fatal(err)
	}
}

// RunTest runs one test of a package of the production version with additional environment variables.
func (v *Version) RunTest(t *testing.T, directory, name string, env ...string) {
	t.Helper()
	run := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-run", "^"+name+"$", "./"+directory)
	run.Dir = v.root
	run.Env = append(os.Environ(), env...)
	if out, err := run.CombinedOutput(); err != nil {
		t.Fatalf("running test %s of the production version: %v\n%s", name, err, out)
	}
}
