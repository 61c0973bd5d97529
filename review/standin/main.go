//go:build review

// Command standin plays the review's cases: it runs emulators of the key-value store, the workers
// and the cloud, the users, and three controllers as separate processes, injects the case's
// disruption, and judges what users and the platform see.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the time after which a case that is not decided ends.
const maxRun = 117 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. A case returns nil if the rule held.
var cases = map[string]func(ctx context.Context, r *rig, trouble bool) error{
	"gang-after-failed-task":    gangAfterFailedTask,
	"job-behind-lapsed-reserve": jobBehindLapsedReserve,
	"long-job-accepted-before":  longJobAcceptedBefore,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "`name` of the case")
	program := flag.String("program", "target/ambersill", "`path` of the controllers' program")
	record := flag.String("record", "record.txt", "`path` of the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	r, err := newRig(ctx, *program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption %v", *name, trouble)
	err = play(ctx, r, trouble)
	r.logTraces()
	switch {
	case err == nil:
		r.logf("RESULT held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.logf("RESULT broken: %v", err)
		return exitBroken
	default:
		r.logf("RESULT not run: %v", err)
		return exitNotRun
	}
}
