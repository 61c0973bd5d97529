package controller

import (
	"log/slog"
	"os"
	"runtime"
	"testing"
)

func TestMain(m *testing.M) {
	// Use a single processor. A synctest timer that is already due when it is created
	// runs on the creating thread, under a race context that all timers of the bubble
	// share. With two threads, the race detector then crashes occasionally (seen with
	// Go 1.26). It still finds races on one processor, because it tracks
	// happens-before order rather than actual concurrent execution.
	runtime.GOMAXPROCS(1)
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if os.Getenv("LOG_LEVEL") == "debug" {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})))
	}
	os.Exit(m.Run())
}
