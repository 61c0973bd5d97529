package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"
)

// Limits and defaults of the flags.
const (
	maxStandinNodes     = 9
	maxStandinJobs      = 1000
	defaultStandinNodes = 3
	defaultStandinJobs  = 5
)

// maxCommandCopyDelay is the longest time after which a copy of a command request is executed.
const maxCommandCopyDelay = time.Minute

// Permissions of the settings files and their directory. The files contain no secrets.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// readHeaderTimeout limits how long a slow client can occupy a connection of an emulator.
const readHeaderTimeout = 10 * time.Second

// standinOptions holds the flags of the standin command.
type standinOptions struct {
	directory string
	nodes     int
	jobs      int
	// commandCopies is the fraction of direct command requests of which a late copy is executed.
	commandCopies float64
}

func (o *standinOptions) validate() error {
	switch {
	case o.directory == "":
		return fmt.Errorf("%w: --dir is required", errInvalidConfig)
	case o.nodes < 1 || o.nodes > maxStandinNodes:
		return fmt.Errorf("%w: --nodes must be from 1 to %d", errInvalidConfig, maxStandinNodes)
	case o.jobs < 0 || o.jobs > maxStandinJobs:
		return fmt.Errorf("%w: --jobs must be from 0 to %d", errInvalidConfig, maxStandinJobs)
	case !(o.commandCopies >= 0 && o.commandCopies <= 1):
		return fmt.Errorf("%w: --command-copies must be from 0 to 1", errInvalidConfig)
	}
	return nil
}

func standinCommand() *cobra.Command {
	options := &standinOptions{}
	cmd := &cobra.Command{
		Use:   "standin --dir DIR",
		Short: "Run emulators of the key-value store, cloud, workers and users on loopback",
		Long: "Runs emulators of the key-value store, the cloud, workers and users on loopback\n" +
			"until it is interrupted or terminated, and writes a settings file for each\n" +
			"controller into DIR. Start each controller with ambersill --config FILE.",
		Example: "  ambersill standin --dir target/try --nodes 3 --jobs 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			ctx, stop := notifyOnTermination(cmd.Context())
			defer stop()
			return runEmulators(ctx, cmd.OutOrStdout(), options)
		},
	}
	cmd.Flags().StringVar(&options.directory, "dir", "", "`directory` for the settings files")
	cmd.Flags().IntVar(&options.nodes, "nodes", defaultStandinNodes, "`number` of controllers to write settings for")
	cmd.Flags().IntVar(&options.jobs, "jobs", defaultStandinJobs, "`number` of sample jobs that users submit")
	cmd.Flags().Float64Var(&options.commandCopies, "command-copies", 0,
		"`fraction` of direct command requests that workers execute again, up to a minute later")
	return cmd
}

// runEmulators runs the emulators until the context is cancelled, then prints the protocol
// violations that the simulation found.
func runEmulators(ctx context.Context, out io.Writer, options *standinOptions) error {
	settings := make([]config.Settings, options.nodes)
	for i := range settings {
		settings[i] = sampleSettings(i, options.nodes)
	}
	simulation := newSampleSimulation(ctx, settings, options.commandCopies)

	store, err := serveOnLoopback(ctx, portStore, emulator.NewKeyValueStore().Handler())
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	cloud, err := serveOnLoopback(ctx, portCloud, newSampleCloud(simulation).Handler())
	if err != nil {
		return err
	}
	defer func() { _ = cloud.Close() }()

	if err := writeSettings(out, options.directory, settings); err != nil {
		return err
	}
	for i := range options.jobs {
		go submitSampleJob(ctx, out, simulation, i)
	}
	<-ctx.Done()
	for _, violation := range simulation.Violations() {
		printf(out, "broken rule: %v\n", violation)
	}
	return nil
}

// newSampleSimulation returns a simulation of the workers and users of the given controllers, in which
// workers execute late copies of the given fraction of direct command requests.
func newSampleSimulation(ctx context.Context, settings []config.Settings, commandCopies float64) *emulator.Simulation {
	cluster := &settings[0].Cluster
	simulationConfig := emulator.SimulationConfig{
		Ctx:               ctx,
		Net:               transport.TCP{},
		MachineTypes:      map[string]wire.MachineType{sampleMachineType.Name: sampleMachineType},
		HeartbeatInterval: tuning.Seconds(cluster.WorkerTiming.HeartbeatIntervalS),
		LeaseDuration:     tuning.Seconds(cluster.WorkerTiming.LeaseDurationS),
		GangWaitTimeout:   tuning.Seconds(cluster.WorkerTiming.GangWaitTimeoutS),
		GangPeerTimeout:   tuning.Seconds(cluster.WorkerTiming.GangPeerTimeoutS),
		CancelDeadline:    tuning.Seconds(cluster.WorkerTiming.CancelDeadlineS),
		Teams:             cluster.Teams,
		OnCommandsExecuted: emulator.RepeatCommands(
			ctx, commandCopies, maxCommandCopyDelay, rand.Float64, func() {}),
	}
	for _, node := range settings {
		simulationConfig.Nodes = append(simulationConfig.Nodes, emulator.Node{Name: node.Node, Addr: node.PublicAddr})
	}
	return emulator.NewSimulation(simulationConfig)
}

// newSampleCloud returns a cloud that offers one machine type in one zone.
func newSampleCloud(simulation *emulator.Simulation) *emulator.Cloud {
	return &emulator.Cloud{
		MachineTypes: []wire.MachineType{sampleMachineType},
		Capacity: []emulator.Capacity{
			{MachineType: sampleMachineType.Name, Zone: sampleZone, Spot: true, Count: sampleMachineCapacity},
			{MachineType: sampleMachineType.Name, Zone: sampleZone, Count: sampleMachineCapacity},
		},
		ListLag:    tuning.Seconds(sampleListLagS),
		BootWorker: simulation.StartWorker,
		BootTime:   func(machineType wire.MachineType) time.Duration { return tuning.Seconds(machineType.BootS) },
	}
}

// serveOnLoopback starts an HTTP server on a loopback port and returns it. It serves until it is
// closed.
func serveOnLoopback(ctx context.Context, port int, handler http.Handler) (*http.Server, error) {
	listener, err := transport.TCP{}.Listen(ctx, loopback(port))
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed when the server is closed
	return server, nil
}

// writeSettings writes a settings file for each controller, named after its node.
func writeSettings(out io.Writer, directory string, settings []config.Settings) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	for _, node := range settings {
		text, err := toml.Marshal(node)
		if err != nil {
			return fmt.Errorf("encoding settings of %s: %w", node.Node, err)
		}
		path := filepath.Join(directory, node.Node+".toml")
		if err := os.WriteFile(path, text, fileMode); err != nil {
			return err
		}
		printf(out, "settings: %s\n", path)
	}
	return nil
}

// submitSampleJob submits a sample job as a user, waits until the job reaches a final phase, and
// prints that phase.
func submitSampleJob(ctx context.Context, out io.Writer, simulation *emulator.Simulation, index int) {
	job, cancelAfter := sampleJob(index)
	user := &emulator.User{
		Simulation:  simulation,
		Net:         transport.TCP{},
		PickNode:    func() emulator.Node { return simulation.Nodes[rand.IntN(len(simulation.Nodes))] },
		CancelAfter: cancelAfter,
	}
	outcome := string(user.Run(ctx, job))
	if outcome == "" {
		// The emulators were stopped before the job ended, or no controller accepted it.
		outcome = "not finished"
	}
	printf(out, "%s: %s of %d tasks is %s\n", job.ID, job.Shape, job.TaskCount, outcome)
}
