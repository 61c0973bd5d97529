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

// logLevelVariable is the environment variable that sets the log level.
const logLevelVariable = "LOG_LEVEL"

const bytesPerMiB = 1 << 20

// runController runs a controller until the process is interrupted or terminated.
func runController(ctx context.Context, settings *config.Settings, tunables tuning.Tuning) error {
	configureLogging()
	configureGarbageCollection(settings.Cluster.Limits.MemoryMiB)
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

// configureGarbageCollection lets the heap grow more than by default, since processor time is
// scarcer than memory, and collects more often before the machine's memory is used up. The
// rest of the memory is for what the runtime does not account for.
func configureGarbageCollection(machineMemoryMiB float64) {
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(machineMemoryMiB * tuning.MemoryLimitFraction * bytesPerMiB))
}
