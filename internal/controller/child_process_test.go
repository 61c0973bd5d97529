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

// childProcessEnvVar is the environment variable that marks a child process of the test binary.
const childProcessEnvVar = "AMBERSILL_TEST_CHILD"

// childTimeoutMargin is how much earlier a child process times out than its parent, so that the
// parent can still report the child's output.
const childTimeoutMargin = 10 * time.Second

// runInChildProcess runs the calling test in a child process and returns true; the caller must
// then return. In the child process it returns false, and the caller must run the test itself.
//
// TestMain limits each process to one processor, so t.Parallel alone would not let simulations
// use the other processors. A process per simulation does, and isolates them from each other.
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
	t.Logf("standard output of child process:\n%s", stdout.Bytes())
	if err != nil {
		t.Errorf("run test in child process: %v", err)
	}
	// A child process whose -test.run pattern matches no test also exits successfully.
	if !strings.Contains(stdout.String(), fmt.Sprintf("--- PASS: %s (", t.Name())) {
		t.Error("output of child process has no PASS line for the test")
	}
	return true
}

// childArguments returns the command-line arguments that make the test binary run only test t.
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
