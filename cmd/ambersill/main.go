// Command ambersill is a cluster scheduler's controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"ambersill/internal/config"
	"ambersill/internal/controller"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"

	"github.com/spf13/cobra"
)

// version is the program's version.
const version = "0.1.0"

// errSettings marks errors of the settings; they exit with code 2.
var errSettings = errors.New("settings")

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ambersill:", err)
		if errors.Is(err, errSettings) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var settings, policy string
	load := func() (*config.Settings, tuning.Tuning, error) {
		t := tuning.Default()
		if settings == "" {
			return nil, t, fmt.Errorf("%w: --config names no file", errSettings)
		}
		s, err := config.Load(settings)
		if err == nil && policy != "" {
			err = config.LoadPolicy(policy, &t)
		}
		if err != nil {
			return nil, t, fmt.Errorf("%w: %w", errSettings, err)
		}
		return s, t, nil
	}
	cmd := &cobra.Command{
		Use:           "ambersill --config FILE",
		Short:         "Cluster scheduler: runs one controller until it is stopped",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, t, err := load()
			if err != nil {
				return err
			}
			return run(cmd.Context(), s, t)
		},
	}
	cmd.PersistentFlags().StringVar(&settings, "config", "", "settings file of the platform (TOML)")
	cmd.PersistentFlags().StringVar(&policy, "policy", "", "operators' Starlark script that overrides tunables")
	cmd.AddCommand(&cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings and the policy, and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, _, err := load()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are good\n", s.Node)
			return nil
		},
	}, &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "ambersill", version)
		},
	}, standinCommand())
	return cmd
}

func run(ctx context.Context, s *config.Settings, t tuning.Tuning) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL"))); err != nil {
		level = slog.LevelInfo
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	// The collector is idle for longer than by default, since processor time is scarcer
	// than memory, and works harder before the machine's memory is reached; the rest is
	// for what Go does not count.
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(s.Cluster.Limits.RAMMB * tuning.HeapShare * (1 << 20)))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return controller.New(s, t, transport.TCP{}).Run(ctx)
}
