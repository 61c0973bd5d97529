package controller

import (
	"log/slog"
	"os"
	"runtime"
	"testing"
)

func TestMain(m *testing.M) {
	// One processor: a timer of a bubble that is due when it is made runs on the
	// thread that makes it, under a race context that all timers of the bubble
	// share. With two threads the race detector then crashes at times (seen with
	// Go 1.26). It finds races on one processor as well, since it goes by what
	// is ordered, not by what happens to run together.
	runtime.GOMAXPROCS(1)
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if os.Getenv("LOG_LEVEL") == "debug" {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	os.Exit(m.Run())
}
