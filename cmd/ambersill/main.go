// Command ambersill runs a controller of the cluster scheduler.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ambersill/internal/config"
	"ambersill/internal/tuning"

	"github.com/spf13/cobra"
)

// version is printed by the version command.
const version = "0.1.0"

// Exit codes other than 0.
const (
	exitFailure       = 1
	exitInvalidConfig = 2 // settings, policy or flags are invalid, so a restart fails again
)

// errInvalidConfig is wrapped by errors that report invalid settings, an invalid policy script or
// invalid flags.
var errInvalidConfig = errors.New("invalid configuration")

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ambersill:", err)
	if errors.Is(err, errInvalidConfig) {
		os.Exit(exitInvalidConfig)
	}
	os.Exit(exitFailure)
}

// configFlags holds the values of the flags that name the configuration files.
type configFlags struct {
	settings string
	policy   string
}

// load reads the settings file and returns it with the tunables, to which the policy script is
// applied if one is given.
func (f *configFlags) load() (*config.Settings, tuning.Tuning, error) {
	tunables := tuning.Default()
	if f.settings == "" {
		return nil, tunables, fmt.Errorf("%w: --config is required", errInvalidConfig)
	}
	settings, err := config.Load(f.settings)
	if err != nil {
		return nil, tunables, fmt.Errorf("%w: %w", errInvalidConfig, err)
	}
	if f.policy == "" {
		return settings, tunables, nil
	}
	if err := config.LoadPolicy(f.policy, &tunables); err != nil {
		return nil, tunables, fmt.Errorf("%w: %w", errInvalidConfig, err)
	}
	return settings, tunables, nil
}

func rootCommand() *cobra.Command {
	flags := &configFlags{}
	cmd := &cobra.Command{
		Use:   "ambersill --config FILE",
		Short: "Run a controller of the cluster scheduler",
		Long: "Runs a controller of the cluster scheduler until it is interrupted or terminated.\n" +
			"It logs to standard error, at the level in LOG_LEVEL: error, warn, info or debug.",
		Example:       "  ambersill --config settings.toml --policy policy.star",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, tunables, err := flags.load()
			if err != nil {
				return err
			}
			return runController(cmd.Context(), settings, tunables)
		},
	}
	cmd.PersistentFlags().StringVar(&flags.settings, "config", "", "settings `file` provided by the platform (TOML)")
	cmd.PersistentFlags().StringVar(&flags.policy, "policy", "", "policy script `file` that overrides tunables (Starlark)")
	cmd.AddCommand(checkCommand(flags), versionCommand(), standinCommand())
	return cmd
}

func checkCommand(flags *configFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "check --config FILE",
		Short:   "Check the settings and the policy",
		Long:    "Checks the settings and the policy. It exits with code 2 if they are invalid.",
		Example: "  ambersill check --config settings.toml --policy policy.star",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, _, err := flags.load()
			if err != nil {
				return err
			}
			for _, ignored := range settings.IgnoredKeys {
				printf(cmd.OutOrStdout(), "%s is ignored; the setting is named %s\n", ignored.Key, ignored.Setting)
			}
			printf(cmd.OutOrStdout(), "%s: settings are good\n", settings.Node)
			return nil
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			printf(cmd.OutOrStdout(), "ambersill %s\n", version)
		},
	}
}

// printf writes output for the user and ignores write errors, which must not make the command
// fail.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
