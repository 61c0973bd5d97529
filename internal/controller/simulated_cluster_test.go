package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// simulatedCluster is a cluster of real controllers on stand-ins, in virtual time.
type simulatedCluster struct {
	t            *testing.T
	random       *rand.Rand
	ctx          context.Context
	network      *emulator.Network
	store        *emulator.KeyValueStore
	cloud        *emulator.Cloud
	simulation   *emulator.Simulation
	tuning       tuning.Tuning
	nodes        []emulator.Node
	mu           sync.Mutex
	crashFuncs   map[int]func() // crashes the node
	background   sync.WaitGroup
	finalPhases  map[string]wire.JobPhase
	faultsOver   atomic.Bool // nothing is lost any more
	noTeamLimits bool        // no team has limits or guarantees, so that jobs are parted
	injector     *emulator.FaultInjector
	cancelFuncs  map[string]func() // has the user of a job cancel it
	pollAllNodes bool              // users ask at all nodes and repeat after each answer
	nextLimits   *config.StateLimits
	levelRaised  atomic.Bool  // the feature level has been raised
	oldNodes     map[int]bool // nodes that do not know the newest feature level yet
}

var testMachineTypes = []wire.MachineType{
	{
		Name:             "small",
		CPUs:             8,
		MemoryGB:         32,
		ImageCacheGB:     50,
		ImageFetchGBPerS: 1,
		HourlyPrice:      1,
		HourlySpotPrice:  0.4,
		BootS:            20,
		Zones:            []string{"a", "b"},
	},
	{
		Name:             "big",
		CPUs:             16,
		GPUs:             4,
		MemoryGB:         128,
		ImageCacheGB:     50,
		ImageFetchGBPerS: 1,
		HourlyPrice:      8,
		HourlySpotPrice:  3,
		BootS:            30,
		Zones:            []string{"a", "b"},
	},
}

func newSimulatedCluster(ctx context.Context, t *testing.T, seed uint64) *simulatedCluster {
	cluster := &simulatedCluster{
		noTeamLimits: seed%3 == 2,
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		ctx:          ctx,
		network:      emulator.NewNetwork(),
		store:        emulator.NewKeyValueStore(),
		crashFuncs:   map[int]func(){},
		finalPhases:  map[string]wire.JobPhase{},
		cancelFuncs:  map[string]func(){},
		tuning:       tuning.Default(),
	}
	for i := range 3 {
		cluster.nodes = append(cluster.nodes, emulator.Node{
			Name: fmt.Sprintf("node-%d", i),
			Addr: fmt.Sprintf("10.0.0.%d:8080", i+1),
		})
	}
	types := map[string]wire.MachineType{}
	for _, x := range testMachineTypes {
		types[x.Name] = x
	}
	cluster.simulation = emulator.NewSimulation(emulator.SimulationConfig{
		Ctx:               ctx,
		ZoneNets:          map[string]transport.Net{},
		Nodes:             cluster.nodes,
		MachineTypes:      types,
		Teams:             cluster.settings(0).Cluster.Teams,
		HeartbeatInterval: 2 * time.Second,
		LeaseDuration:     14 * time.Second,
		GangWaitTimeout:   35 * time.Second,
		GangPeerTimeout:   5 * time.Second,
		CancelDeadline:    44 * time.Second,
	})
	for _, z := range cluster.settings(0).Cluster.Zones {
		cluster.simulation.ZoneNets[z] = cluster.network.Host("workers-" + z)
	}
	cluster.cloud = &emulator.Cloud{
		MachineTypes: testMachineTypes,
		Lag:          4 * time.Second,
		Boot:         cluster.simulation.StartWorker,
		BootTime:     func(x wire.MachineType) time.Duration { return time.Duration(x.BootS) * time.Second },
	}
	for _, x := range testMachineTypes {
		for _, z := range x.Zones {
			for _, spot := range []bool{true, false} {
				cluster.cloud.Capacity = append(cluster.cloud.Capacity, emulator.Capacity{MachineType: x.Name, Zone: z, Spot: spot, Count: 4})
			}
		}
	}
	cluster.store.Changed = cluster.checkFinalPhase
	cluster.serveHost("state", "10.2.0.1:1", cluster.store.Handler())
	cluster.serveHost("cloud", "10.2.0.2:1", cluster.cloud.Handler())
	cluster.injector = &emulator.FaultInjector{
		Network:    cluster.network,
		Store:      cluster.store,
		Cloud:      cluster.cloud,
		Simulation: cluster.simulation,
		Nodes:      cluster.nodes,
		Rand:       rand.New(rand.NewPCG(seed, 5)),
		Start:      cluster.startNode,
		Crash:      cluster.crashNode,
		Owner:      cluster.partitionOwner,
		Cancel:     cluster.cancelRunningJobs,
	}
	cluster.injector.Attach()
	return cluster
}

// checkFinalPhase checks that the record of a job that is over keeps its end: whoever read it
// before may have told so.
func (cluster *simulatedCluster) checkFinalPhase(key string, was, now wire.Raw) {
	cluster.checkChunkFormat(key, now)
	var a, b records.JobRecord
	if !strings.HasPrefix(key, records.JobKey("")) || len(was) == 0 || wire.Unmarshal(was, &a) != nil || wire.Unmarshal(now, &b) != nil {
		return
	}
	if a.Phase.Final() && b.Phase != a.Phase {
		cluster.t.Errorf("broken rule: the record of %s went from %s to %s", key, a.Phase, b.Phase)
	}
}

// serveHost runs a stand-in on a host of its own.
func (cluster *simulatedCluster) serveHost(name, addr string, h http.Handler) {
	host := cluster.network.Host(name)
	l, err := host.Listen(cluster.ctx, addr)
	if err != nil {
		cluster.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	context.AfterFunc(cluster.ctx, func() { _ = srv.Close(); host.Shutdown() })
	go func() { _ = srv.Serve(l) }()
}

func (cluster *simulatedCluster) settings(i int) *config.Settings {
	settings := &config.Settings{
		Node:       cluster.nodes[i].Name,
		Zone:       "a",
		PublicAddr: cluster.nodes[i].Addr,
		MeshAddr:   fmt.Sprintf("10.0.0.%d:8081", i+1),
	}
	for k, n := range cluster.nodes {
		if k != i {
			settings.Members = append(settings.Members, config.Member{
				Node: n.Name,
				Zone: "a",
				Addr: fmt.Sprintf("10.0.0.%d:8081", k+1),
			})
		}
	}
	settings.Outside.State, settings.Outside.Cloud = "10.2.0.1:1", "10.2.0.2:1"
	c := &settings.Cluster
	c.Count, c.Zones = 3, []string{"a", "b"}
	c.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUsMax: 40}, {Name: "free"}}
	if cluster.noTeamLimits {
		c.Teams = []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.GangWaitS, c.Workers.GangPeerS, c.Workers.CancelS = 2, 14, 35, 5, 44
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 150, 50, 8, 12
	if !cluster.oldNodes[i] { // old versions know nothing of limits to come
		c.State.Next = cluster.nextLimits
	}
	c.Cloud.RPS, c.Cloud.ListLagS = 5, 4
	c.Limits.RAMMB, c.Limits.MaxSockets = 100, 700
	return settings
}

// startNode runs a controller until it crashes or the day ends.
func (cluster *simulatedCluster) startNode(i int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.crashFuncs[i] != nil || cluster.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(cluster.ctx)
	host := cluster.network.Host(cluster.nodes[i].Name)
	c := New(cluster.settings(i), cluster.tuning, host)
	if cluster.oldNodes[i] {
		c.supportedLevel = records.FeatureInitialFormat
	}
	over := make(chan struct{})
	var crashed atomic.Bool
	cluster.crashFuncs[i] = func() {
		crashed.Store(true)
		host.Shutdown() // without a word, as a killed process ends
		cancel()
		<-over
	}
	go func() {
		defer close(over)
		if err := c.Run(ctx); err != nil && !crashed.Load() {
			cluster.t.Errorf("controller %d ended by itself: %v", i, err)
		}
	}()
	context.AfterFunc(ctx, host.Shutdown)
}

// partitionOwner tells which node owns the first part, -1 for none, by the state service's record.
func (cluster *simulatedCluster) partitionOwner() (int, uint64) {
	v, revision := cluster.store.Value(records.PartitionKey(0))
	var r records.OwnerRecord
	if wire.Unmarshal(v, &r) != nil {
		return -1, revision
	}
	for i, n := range cluster.nodes {
		if n.Name == r.Node {
			return i, revision
		}
	}
	return -1, revision
}

// cancelRunningJobs has the users of up to n running jobs cancel them, 0: of all.
func (cluster *simulatedCluster) cancelRunningJobs(n int) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	done := 0
	for _, id := range slices.Sorted(maps.Keys(cluster.cancelFuncs)) {
		if _, over := cluster.finalPhases[id]; over {
			continue
		}
		if _, began := cluster.simulation.FirstStart(id); began && (n == 0 || done < n) {
			cluster.cancelFuncs[id]()
			delete(cluster.cancelFuncs, id)
			done++
		}
	}
	return done
}

// cancelJob has a job's user cancel it.
func (cluster *simulatedCluster) cancelJob(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cancelFuncs[id]()
}

// countFinalPhase counts the jobs that ended in a phase.
func (cluster *simulatedCluster) countFinalPhase(p wire.JobPhase) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	n := 0
	for _, x := range cluster.finalPhases {
		if x == p {
			n++
		}
	}
	return n
}

func (cluster *simulatedCluster) crashNode(i int) {
	cluster.mu.Lock()
	f := cluster.crashFuncs[i]
	cluster.crashFuncs[i] = nil
	cluster.mu.Unlock()
	if f != nil {
		f()
	}
}

// submit has a user follow a job.
func (cluster *simulatedCluster) submit(job *wire.Job, cancelAfter time.Duration) {
	seed := cluster.random.Uint64()
	rnd := rand.New(rand.NewPCG(seed, 2))
	cancel := make(chan struct{})
	cluster.mu.Lock()
	cluster.cancelFuncs[job.ID] = sync.OnceFunc(func() { close(cancel) })
	cluster.mu.Unlock()
	u := &emulator.User{
		Simulation:    cluster.simulation,
		Net:           cluster.network.Host("user-" + job.ID),
		CancelAfter:   cancelAfter,
		Cancel:        cancel,
		PollsAllNodes: cluster.pollAllNodes,
		CancelDone:    cluster.pollAllNodes,
		Pick:          func() emulator.Node { return cluster.nodes[rnd.IntN(len(cluster.nodes))] },
	}
	cluster.background.Go(func() {
		p := u.Run(cluster.ctx, job)
		cluster.mu.Lock()
		cluster.finalPhases[job.ID] = p
		cluster.mu.Unlock()
	})
}

// submitRandomJobs submits n random jobs over a while.
func (cluster *simulatedCluster) submitRandomJobs(n int, over time.Duration) {
	for i := range n {
		job := &wire.Job{
			ID:            fmt.Sprintf("req-%06d", i),
			Class:         "c",
			Team:          []string{"red", "blue", "free"}[cluster.random.IntN(3)],
			Shape:         wire.ArrayJob,
			Priority:      []wire.Priority{"idle", "standard", "urgent"}[cluster.random.IntN(3)],
			Tasks:         1 + cluster.random.IntN(12),
			CPUs:          1 + float64(cluster.random.IntN(4)),
			MemoryGB:      4,
			Image:         fmt.Sprintf("img-%d", cluster.random.IntN(4)),
			ImageGB:       1,
			EstimatedRunS: 5 + 30*cluster.random.Float64(),
			AllowSpot:     cluster.random.IntN(2) == 0,
		}
		if cluster.random.IntN(2) == 0 {
			job.CheckpointIntervalS, job.CheckpointSaveS = 20, 2
		}
		if job.Team == "red" || cluster.random.IntN(4) == 0 {
			job.GPUs = 1
			job.Tasks = min(job.Tasks, 6)
		}
		if cluster.random.IntN(3) == 0 {
			job.Shape, job.Tasks = wire.GangJob, 1+cluster.random.IntN(4)
			job.SingleZone = cluster.random.IntN(2) == 0
		}
		if !job.SingleZone && cluster.random.IntN(5) == 0 {
			job.SpreadZones = true
		}
		cancel := time.Duration(0)
		if cluster.random.IntN(6) == 0 {
			cancel = time.Duration(5+cluster.random.IntN(40)) * time.Second
		}
		time.Sleep(over / time.Duration(n))
		cluster.submit(job, cancel)
	}
}

// waitAndCheck waits until all users know their jobs' ends, and checks the rules.
func (cluster *simulatedCluster) waitAndCheck(limit time.Duration) {
	over := make(chan struct{})
	go func() { cluster.background.Wait(); close(over) }()
	for end, waits := time.Now().Add(limit), true; waits; {
		select {
		case <-over:
			waits = false
		case <-time.After(5 * time.Second):
			cluster.simulation.CheckWaiting(cluster.cloud.Workers())
			if waits = time.Now().Before(end); !waits {
				cluster.t.Errorf("jobs still under way after %v; the state service holds\n%s", limit, cluster.store.Dump())
			}
		}
	}
	for _, b := range cluster.simulation.Violations() {
		cluster.t.Errorf("broken rule: %s", b)
	}
	if cluster.simulation.Starts() == 0 {
		cluster.t.Error("nothing ran")
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for id, p := range cluster.finalPhases {
		if p == "" {
			cluster.t.Errorf("%s has no end", id)
		}
	}
}

// runSimulation runs a day in virtual time.
func runSimulation(t *testing.T, seed uint64, parts int, lossy bool, f func(cluster *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newSimulatedCluster(ctx, t, seed)
		cluster.tuning.Parts = parts
		if lossy {
			cluster.injectRequestFaults()
		}
		for i := range 3 {
			cluster.startNode(i)
		}
		f(cluster)
		cancel()
		cluster.background.Wait()
		time.Sleep(time.Minute)
	})
}

var _ transport.Net = (*emulator.Host)(nil)

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
