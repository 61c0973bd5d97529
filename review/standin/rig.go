//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"github.com/BurntSushi/toml"
)

// Ports are chosen below the range from which the system takes those of outgoing connections.
const (
	firstPort = 11000
	lastPort  = 31000
)

// rig is one small deployment: emulators, users and three controllers.
type rig struct {
	start   time.Time
	program string // that the controllers run
	folder  string // temporary: settings and logs of the controllers

	mu     sync.Mutex // guards record and jobs
	record *os.File
	jobs   []string // the submitted jobs, in order

	store       *emulator.KeyValueStore
	simulation  *emulator.Simulation
	cloud       *cloud
	servers     []*http.Server
	nodes       []emulator.Node
	settings    []config.Settings // of the controllers
	controllers []*exec.Cmd
	nextNode    int
}

// newRig creates the record and a temporary folder.
func newRig(_ context.Context, program, record string) (*rig, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &rig{start: time.Now(), program: program, folder: folder, record: file}, nil
}

// logf writes a line with the seconds since the start to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// logTraces writes what happened to each job's tasks, with the time of day.
func (r *rig) logTraces() {
	for _, id := range r.jobs {
		r.logf("tasks of %s, by time of day:", id)
		for _, line := range r.simulation.JobTrace(id) {
			r.logf("    %s", line)
		}
	}
	for _, violation := range r.simulation.Violations() {
		r.logf("emulator's checker: %s", violation)
	}
}

// close ends the controllers and the emulators, and removes the temporary folder.
func (r *rig) close() {
	for _, controller := range r.controllers {
		_ = controller.Process.Kill()
		_ = controller.Wait()
	}
	for _, server := range r.servers {
		_ = server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.folder))
	}
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(ctx context.Context) (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := transport.TCP{}.Listen(ctx, address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// serve serves a handler at a free address.
func (r *rig) serve(ctx context.Context, handler http.Handler) (string, error) {
	address, err := freeAddress(ctx)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return address, nil
}

// deployment is what the platform's settings and the cloud say of a case's deployment.
type deployment struct {
	cluster  config.Cluster
	types    []wire.MachineType
	capacity []emulator.Capacity
	// bootTime is how long a machine takes to come up.
	bootTime time.Duration
	// runTime returns how long a task runs.
	runTime func(job *wire.Job, task int) time.Duration
}

// run starts the emulators and the controllers of a deployment.
func (r *rig) run(ctx context.Context, d deployment) error {
	typesByName := map[string]wire.MachineType{}
	for _, machineType := range d.types {
		typesByName[machineType.Name] = machineType
	}
	settings, err := r.newSettings(ctx, d)
	if err != nil {
		return err
	}
	timing := d.cluster.WorkerTiming
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	r.simulation = emulator.NewSimulation(emulator.SimulationConfig{
		Ctx:               ctx,
		Net:               transport.TCP{},
		Nodes:             r.nodes,
		MachineTypes:      typesByName,
		Teams:             d.cluster.Teams,
		HeartbeatInterval: seconds(timing.HeartbeatIntervalS),
		LeaseDuration:     seconds(timing.LeaseDurationS),
		GangWaitTimeout:   seconds(timing.GangWaitTimeoutS),
		GangPeerTimeout:   seconds(timing.GangPeerTimeoutS),
		CancelDeadline:    seconds(timing.CancelDeadlineS),
		RunTime:           d.runTime,
	})
	r.cloud = newCloud(ctx, r, d)
	r.store = emulator.NewKeyValueStore()
	storeAddress, err := r.serve(ctx, r.store.Handler())
	if err != nil {
		return err
	}
	cloudAddress, err := r.serve(ctx, r.cloud.handler())
	if err != nil {
		return err
	}
	for i := range settings {
		settings[i].Endpoints = config.Endpoints{Cloud: cloudAddress, Store: storeAddress}
		if err := r.startController(&settings[i]); err != nil {
			return err
		}
	}
	r.settings = settings
	return r.awaitHealthy(ctx)
}

// newSettings returns the settings of three controllers, one in each zone or all in the only one.
func (r *rig) newSettings(ctx context.Context, d deployment) ([]config.Settings, error) {
	settings := make([]config.Settings, d.cluster.ControllerCount)
	for i := range settings {
		public, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		peer, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		settings[i] = config.Settings{
			Node:       fmt.Sprintf("hearth-%d", i),
			Zone:       d.cluster.Zones[i%len(d.cluster.Zones)],
			PublicAddr: public,
			PeerAddr:   peer,
			Cluster:    d.cluster,
		}
		r.nodes = append(r.nodes, emulator.Node{Name: settings[i].Node, Addr: public})
	}
	for i := range settings {
		for j, other := range settings {
			if i != j {
				member := config.Member{Node: other.Node, Zone: other.Zone, Addr: other.PeerAddr}
				settings[i].Members = append(settings[i].Members, member)
			}
		}
	}
	return settings, nil
}

// startController writes a controller's settings and starts it as the deploy file says.
func (r *rig) startController(settings *config.Settings) error {
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, settings.Node+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(r.folder, settings.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	controller := exec.Command(r.program, "--config", path)
	controller.Stderr = logFile
	controller.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := controller.Start(); err != nil {
		return err
	}
	r.controllers = append(r.controllers, controller)
	r.logf("controller %s started", settings.Node)
	return nil
}

// awaitHealthy waits until all controllers are healthy.
func (r *rig) awaitHealthy(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, node := range r.nodes {
		for {
			response, err := client.Get("http://" + node.Addr + "/up")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(r.start) > 15*time.Second || ctx.Err() != nil {
				return fmt.Errorf("controller %s is not healthy after 15 s", node.Name)
			}
			transport.Pause(ctx, 100*time.Millisecond)
		}
	}
	r.logf("all controllers are healthy")
	return nil
}
