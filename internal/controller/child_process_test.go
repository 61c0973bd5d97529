package controller

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"
)

// childProcessEnvVar is the environment variable that is set in a child process of the test
// binary.
const childProcessEnvVar = "AMBERSILL_TEST_CHILD"

// childTimeoutMargin is how long before the parent a child's tests time out, so that the
// parent can still report the child's output.
const childTimeoutMargin = 10 * time.Second

// runInChildProcess reports whether a child process has run the test, in which case the
// caller returns. It is false within that child, where the test itself has to run.
//
// Simulations are confined to one processor (see TestMain), so t.Parallel alone would not
// let them use the others. A process for each does, and keeps them apart from each other.
func runInChildProcess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(childProcessEnvVar) != "" {
		return false
	}
	t.Parallel()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var stdout bytes.Buffer
	command := exec.CommandContext(t.Context(), executable, childArguments(t)...)
	command.Env = append(os.Environ(), childProcessEnvVar+"=1")
	command.Stdout = &stdout
	command.Stderr = os.Stderr
	err = command.Run()
	t.Logf("child process:\n%s", stdout.Bytes())
	if err != nil {
		t.Errorf("child process: %v", err)
	}
	// A child that matches no test succeeds as well.
	if !strings.Contains(stdout.String(), fmt.Sprintf("--- PASS: %s (", t.Name())) {
		t.Error("child process did not pass the test")
	}
	return true
}

// childArguments returns the arguments that have the test binary run exactly this test.
func childArguments(t *testing.T) []string {
	elements := strings.Split(t.Name(), "/")
	for i, element := range elements {
		elements[i] = "^" + regexp.QuoteMeta(element) + "$"
	}
	arguments := []string{
		"-test.run=" + strings.Join(elements, "/"),
		"-test.v=true",
		"-test.count=1",
		fmt.Sprintf("-test.short=%t", testing.Short()),
	}
	if deadline, ok := t.Deadline(); ok {
		timeout := time.Until(deadline) - childTimeoutMargin
		arguments = append(arguments, "-test.timeout="+max(timeout, time.Second).String())
	}
	return arguments
}
