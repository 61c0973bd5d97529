package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"ambersill/internal/config"
	"ambersill/internal/controller"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
)

// logLevelVariable is the environment variable that sets the log level: error, warn, info or debug.
// The level is info if the variable is empty or invalid.
const logLevelVariable = "LOG_LEVEL"

const bytesPerMiB = 1 << 20

// runController runs a controller until the process receives SIGINT or SIGTERM.
func runController(ctx context.Context, settings *config.Settings, tunables tuning.Tuning) error {
	configureLogging()
	configureGarbageCollection(settings.Cluster.ControllerLimits.MemoryMiB)
	ctx, stop := notifyOnTermination(ctx)
	defer stop()
	return controller.New(settings, tunables, transport.TCP{}).Run(ctx)
}

func notifyOnTermination(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

func configureLogging() {
	var level slog.Level
	if err := level.UnmarshalText([]byte(os.Getenv(logLevelVariable))); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler))
}

// configureGarbageCollection sets the heap growth target above the default, because CPU time is
// scarcer than memory. It also sets a memory limit, so that the garbage collector runs more often
// before the machine's memory is exhausted. The fraction of memory above the limit is for memory
// that the Go runtime does not account for.
func configureGarbageCollection(machineMemoryMiB float64) {
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(machineMemoryMiB * tuning.MemoryLimitFraction * bytesPerMiB))
}
