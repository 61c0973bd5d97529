package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"
)

// Ports of the stand-ins on loopback; workers take those from 20000 on.
const (
	portState  = 19001
	portCloud  = 19002
	portPublic = 19100
	portMesh   = 19200
)

// sampleServiceTime is after how long users cancel sample services.
const sampleServiceTime = 15 * time.Second

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func standinCommand() *cobra.Command {
	var dir string
	var nodes, jobs int
	cmd := &cobra.Command{
		Use:   "standin --dir DIR",
		Short: "Run stand-ins for state service, cloud, workers and users on loopback",
		Long: "Runs stand-ins on loopback until it is stopped, and writes a settings file\n" +
			"for each controller into DIR, to be started by ambersill --config FILE.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" || nodes < 1 || nodes > 9 || jobs < 0 || jobs > 1000 {
				return fmt.Errorf("%w: --dir must be named, --nodes be 1 to 9, --jobs 0 to 1000", errSettings)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runStandins(ctx, cmd.OutOrStdout(), dir, nodes, jobs)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder for the settings files")
	cmd.Flags().IntVar(&nodes, "nodes", 3, "controllers to write settings for")
	cmd.Flags().IntVar(&jobs, "jobs", 5, "sample jobs that users submit")
	return cmd
}

func runStandins(ctx context.Context, out io.Writer, dir string, nodes, jobs int) error {
	all := make([]config.Settings, nodes)
	world := &emulator.Simulation{Ctx: ctx, Net: transport.TCP{}, MachineTypes: map[string]wire.MachineType{}, HeartbeatInterval: 2 * time.Second, LeaseDuration: 14 * time.Second,
		GangWaitTimeout: 35 * time.Second, GangPeerTimeout: 5 * time.Second, CancelDeadline: 44 * time.Second}
	for i := range all {
		all[i] = sampleSettings(i, nodes)
		world.Nodes = append(world.Nodes, emulator.Node{Name: all[i].Node, Addr: all[i].PublicAddr})
	}
	world.Teams = all[0].Cluster.Teams
	world.Init()
	small := wire.MachineType{Name: "small", CPUs: 8, GPUs: 0, MemoryGB: 32, ImageCacheGB: 50, ImageFetchGBPerS: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootS: 3, Zones: []string{"a"}}
	world.MachineTypes[small.Name] = small
	cloud := &emulator.Cloud{MachineTypes: []wire.MachineType{small}, Lag: time.Second, Boot: world.StartWorker,
		Capacity: []emulator.Capacity{{MachineType: "small", Zone: "a", Spot: true, Count: 4}, {MachineType: "small", Zone: "a", Count: 4}},
		BootTime: func(t wire.MachineType) time.Duration { return time.Duration(t.BootS * float64(time.Second)) }}
	for _, s := range []struct {
		addr string
		h    http.Handler
	}{{loopback(portState), emulator.NewKeyValueStore().Handler()}, {loopback(portCloud), cloud.Handler()}} {
		l, err := transport.TCP{}.Listen(ctx, s.addr)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: s.h, ReadHeaderTimeout: 10 * time.Second}
		defer srv.Close()
		go func() { _ = srv.Serve(l) }()
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, s := range all {
		b, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		name := filepath.Join(dir, s.Node+".toml")
		if err := os.WriteFile(name, b, 0o644); err != nil {
			return err
		}
		fmt.Fprintln(out, "settings:", name)
	}
	for i := range jobs {
		j := &wire.Job{ID: fmt.Sprintf("req-%06d", i+1), Class: "sample", Team: "red", Shape: wire.ArrayJob, Priority: "standard", Tasks: 1 + i%4,
			CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 1, EstimatedRunS: 5, AllowSpot: true}
		u := &emulator.User{Simulation: world, Net: transport.TCP{}, Pick: func() emulator.Node { return world.Nodes[rand.IntN(nodes)] }}
		switch i % 5 {
		case 2:
			j.Shape, j.Tasks = wire.GangJob, 2
		case 4:
			j.Shape, j.Tasks, j.EstimatedRunS = wire.ServiceJob, 2, 0
			u.CancelAfter = sampleServiceTime
		}
		go func() {
			phase := u.Run(ctx, j)
			fmt.Fprintf(out, "%s: %s of %d tasks is %s\n", j.ID, j.Shape, j.Tasks, phase)
		}()
	}
	<-ctx.Done()
	for _, b := range world.Violations() {
		fmt.Fprintln(out, "broken rule:", b)
	}
	return nil
}

// sampleSettings are settings as the platform would hand them over.
func sampleSettings(i, nodes int) config.Settings {
	name := func(k int) string { return fmt.Sprintf("node-%d", k) }
	s := config.Settings{Node: name(i), Zone: "a", PublicAddr: loopback(portPublic + i), MeshAddr: loopback(portMesh + i)}
	for k := range nodes {
		if k != i {
			s.Members = append(s.Members, config.Member{Node: name(k), Zone: "a", Addr: loopback(portMesh + k)})
		}
	}
	s.Outside.State, s.Outside.Cloud = loopback(portState), loopback(portCloud)
	c := &s.Cluster
	c.Count, c.Zones = nodes, []string{"a"}
	c.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 32}}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.GangWaitS, c.Workers.GangPeerS, c.Workers.CancelS = 2, 14, 35, 5, 44
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 150, 50, 8, 12
	c.Cloud.RPS, c.Cloud.ListLagS = 5, 1
	c.Limits.CPU, c.Limits.RAMMB, c.Limits.MaxSockets = 0.1, 100, 700
	return s
}
