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

// day is a cluster of real controllers on stand-ins, in virtual time.
type day struct {
	t      *testing.T
	rnd    *rand.Rand
	ctx    context.Context
	fabric *emulator.Network
	state  *emulator.KeyValueStore
	cloud  *emulator.Cloud
	world  *emulator.Simulation
	tune   tuning.Tuning
	nodes  []emulator.Node
	mu     sync.Mutex
	up     map[int]func() // crashes the node
	wg     sync.WaitGroup
	ended  map[string]wire.JobPhase
	calm   atomic.Bool // nothing is lost any more
	open   bool        // no team has limits or guarantees, so that jobs are parted
	stage  *emulator.FaultInjector
	cancel map[string]func() // has the user of a job cancel it
	looks  bool              // users ask at all nodes and repeat after each answer
	next   *config.StateLimits
	raised atomic.Bool  // the feature level has been raised
	old    map[int]bool // nodes that do not know the newest feature level yet
}

var dayTypes = []wire.MachineType{
	{Name: "small", CPUs: 8, MemoryGB: 32, ImageCacheGB: 50, ImageFetchGBPerS: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootS: 20, Zones: []string{"a", "b"}},
	{Name: "big", CPUs: 16, GPUs: 4, MemoryGB: 128, ImageCacheGB: 50, ImageFetchGBPerS: 1, HourlyPrice: 8, HourlySpotPrice: 3, BootS: 30, Zones: []string{"a", "b"}},
}

func newDay(ctx context.Context, t *testing.T, seed uint64) *day {
	d := &day{
		open: seed%3 == 2, t: t, rnd: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, fabric: emulator.NewNetwork(), state: emulator.NewKeyValueStore(),
		up: map[int]func(){}, ended: map[string]wire.JobPhase{}, cancel: map[string]func(){}, tune: tuning.Default(),
	}
	for i := range 3 {
		d.nodes = append(d.nodes, emulator.Node{Name: fmt.Sprintf("node-%d", i), Addr: fmt.Sprintf("10.0.0.%d:8080", i+1)})
	}
	types := map[string]wire.MachineType{}
	for _, x := range dayTypes {
		types[x.Name] = x
	}
	d.world = &emulator.Simulation{
		Ctx: ctx, ZoneNets: map[string]transport.Net{}, Nodes: d.nodes, MachineTypes: types, Teams: d.settings(0).Cluster.Teams,
		HeartbeatInterval: 2 * time.Second, LeaseDuration: 14 * time.Second, GangWaitTimeout: 35 * time.Second, GangPeerTimeout: 5 * time.Second, CancelDeadline: 44 * time.Second,
	}
	for _, z := range d.settings(0).Cluster.Zones {
		d.world.ZoneNets[z] = d.fabric.Host("workers-" + z)
	}
	d.world.Init()
	d.cloud = &emulator.Cloud{
		MachineTypes: dayTypes, Lag: 4 * time.Second, Boot: d.world.StartWorker, Rand: d.rnd,
		BootTime: func(x wire.MachineType) time.Duration { return time.Duration(x.BootS) * time.Second },
	}
	for _, x := range dayTypes {
		for _, z := range x.Zones {
			for _, spot := range []bool{true, false} {
				d.cloud.Capacity = append(d.cloud.Capacity, emulator.Capacity{MachineType: x.Name, Zone: z, Spot: spot, Count: 4})
			}
		}
	}
	d.state.Changed = d.keepsEnds
	d.serve("state", "10.2.0.1:1", d.state.Handler())
	d.serve("cloud", "10.2.0.2:1", d.cloud.Handler())
	d.stage = &emulator.FaultInjector{
		Network: d.fabric, Store: d.state, Cloud: d.cloud, Simulation: d.world, Nodes: d.nodes, Rand: rand.New(rand.NewPCG(seed, 5)),
		Start: d.start, Crash: d.crash, Owner: d.owner, Cancel: d.cancelRunning,
	}
	d.stage.Attach()
	return d
}

// keepsEnds checks that the record of a job that is over keeps its end: whoever read it
// before may have told so.
func (d *day) keepsEnds(key string, was, now wire.Raw) {
	d.keepsFormat(key, now)
	var a, b records.JobRecord
	if !strings.HasPrefix(key, records.JobKey("")) || len(was) == 0 || wire.Unmarshal(was, &a) != nil || wire.Unmarshal(now, &b) != nil {
		return
	}
	if a.Phase.Final() && b.Phase != a.Phase {
		d.t.Errorf("broken rule: the record of %s went from %s to %s", key, a.Phase, b.Phase)
	}
}

// serve runs a stand-in on a host of its own.
func (d *day) serve(name, addr string, h http.Handler) {
	host := d.fabric.Host(name)
	l, err := host.Listen(d.ctx, addr)
	if err != nil {
		d.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	context.AfterFunc(d.ctx, func() { _ = srv.Close(); host.Shutdown() })
	go func() { _ = srv.Serve(l) }()
}

func (d *day) settings(i int) *config.Settings {
	settings := &config.Settings{Node: d.nodes[i].Name, Zone: "a", PublicAddr: d.nodes[i].Addr, MeshAddr: fmt.Sprintf("10.0.0.%d:8081", i+1)}
	for k, n := range d.nodes {
		if k != i {
			settings.Members = append(settings.Members, config.Member{Node: n.Name, Zone: "a", Addr: fmt.Sprintf("10.0.0.%d:8081", k+1)})
		}
	}
	settings.Outside.State, settings.Outside.Cloud = "10.2.0.1:1", "10.2.0.2:1"
	c := &settings.Cluster
	c.Count, c.Zones = 3, []string{"a", "b"}
	c.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", CPUsMax: 40}, {Name: "free"}}
	if d.open {
		c.Teams = []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.GangWaitS, c.Workers.GangPeerS, c.Workers.CancelS = 2, 14, 35, 5, 44
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 150, 50, 8, 12
	if !d.old[i] { // old versions know nothing of limits to come
		c.State.Next = d.next
	}
	c.Cloud.RPS, c.Cloud.ListLagS = 5, 4
	c.Limits.RAMMB, c.Limits.MaxSockets = 100, 700
	return settings
}

// start runs a controller until it crashes or the day ends.
func (d *day) start(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.up[i] != nil || d.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	host := d.fabric.Host(d.nodes[i].Name)
	c := New(d.settings(i), d.tune, host)
	if d.old[i] {
		c.supportedLevel = records.FeatureInitialFormat
	}
	over := make(chan struct{})
	var crashed atomic.Bool
	d.up[i] = func() {
		crashed.Store(true)
		host.Shutdown() // without a word, as a killed process ends
		cancel()
		<-over
	}
	go func() {
		defer close(over)
		if err := c.Run(ctx); err != nil && !crashed.Load() {
			d.t.Errorf("controller %d ended by itself: %v", i, err)
		}
	}()
	context.AfterFunc(ctx, host.Shutdown)
}

// owner tells which node owns the first part, -1 for none, by the state service's record.
func (d *day) owner() (int, uint64) {
	v, revision := d.state.Value(records.PartitionKey(0))
	var r records.OwnerRecord
	if wire.Unmarshal(v, &r) != nil {
		return -1, revision
	}
	for i, n := range d.nodes {
		if n.Name == r.Node {
			return i, revision
		}
	}
	return -1, revision
}

// cancelRunning has the users of up to n running jobs cancel them, 0: of all.
func (d *day) cancelRunning(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := 0
	for _, id := range slices.Sorted(maps.Keys(d.cancel)) {
		if _, over := d.ended[id]; over {
			continue
		}
		if _, began := d.world.FirstStart(id); began && (n == 0 || done < n) {
			d.cancel[id]()
			delete(d.cancel, id)
			done++
		}
	}
	return done
}

// cancelJob has a job's user cancel it.
func (d *day) cancelJob(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel[id]()
}

// count counts the jobs that ended in a phase.
func (d *day) count(p wire.JobPhase) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, x := range d.ended {
		if x == p {
			n++
		}
	}
	return n
}

func (d *day) crash(i int) {
	d.mu.Lock()
	f := d.up[i]
	d.up[i] = nil
	d.mu.Unlock()
	if f != nil {
		f()
	}
}

// submit has a user follow a job.
func (d *day) submit(job *wire.Job, cancelAfter time.Duration) {
	seed := d.rnd.Uint64()
	rnd := rand.New(rand.NewPCG(seed, 2))
	cancel := make(chan struct{})
	d.mu.Lock()
	d.cancel[job.ID] = sync.OnceFunc(func() { close(cancel) })
	d.mu.Unlock()
	u := &emulator.User{
		Simulation: d.world, Net: d.fabric.Host("user-" + job.ID), CancelAfter: cancelAfter, Cancel: cancel, PollsAllNodes: d.looks, CancelDone: d.looks,
		Pick: func() emulator.Node { return d.nodes[rnd.IntN(len(d.nodes))] },
	}
	d.wg.Go(func() {
		p := u.Run(d.ctx, job)
		d.mu.Lock()
		d.ended[job.ID] = p
		d.mu.Unlock()
	})
}

// jobs submits n random jobs over a while.
func (d *day) jobs(n int, over time.Duration) {
	for i := range n {
		job := &wire.Job{
			ID: fmt.Sprintf("req-%06d", i), Class: "c", Team: []string{"red", "blue", "free"}[d.rnd.IntN(3)], Shape: wire.ArrayJob,
			Priority: []wire.Priority{"idle", "standard", "urgent"}[d.rnd.IntN(3)], Tasks: 1 + d.rnd.IntN(12), CPUs: 1 + float64(d.rnd.IntN(4)), MemoryGB: 4,
			Image: fmt.Sprintf("img-%d", d.rnd.IntN(4)), ImageGB: 1, EstimatedRunS: 5 + 30*d.rnd.Float64(), AllowSpot: d.rnd.IntN(2) == 0,
		}
		if d.rnd.IntN(2) == 0 {
			job.CheckpointIntervalS, job.CheckpointSaveS = 20, 2
		}
		if job.Team == "red" || d.rnd.IntN(4) == 0 {
			job.GPUs = 1
			job.Tasks = min(job.Tasks, 6)
		}
		if d.rnd.IntN(3) == 0 {
			job.Shape, job.Tasks = wire.GangJob, 1+d.rnd.IntN(4)
			job.SingleZone = d.rnd.IntN(2) == 0
		}
		if !job.SingleZone && d.rnd.IntN(5) == 0 {
			job.SpreadZones = true
		}
		cancel := time.Duration(0)
		if d.rnd.IntN(6) == 0 {
			cancel = time.Duration(5+d.rnd.IntN(40)) * time.Second
		}
		time.Sleep(over / time.Duration(n))
		d.submit(job, cancel)
	}
}

// finish waits until all users know their jobs' ends, and checks the rules.
func (d *day) finish(limit time.Duration) {
	over := make(chan struct{})
	go func() { d.wg.Wait(); close(over) }()
	for end, waits := time.Now().Add(limit), true; waits; {
		select {
		case <-over:
			waits = false
		case <-time.After(5 * time.Second):
			d.world.CheckWaiting(d.cloud.Workers())
			if waits = time.Now().Before(end); !waits {
				d.t.Errorf("jobs still under way after %v; the state service holds\n%s", limit, d.state.Dump())
			}
		}
	}
	for _, b := range d.world.Violations() {
		d.t.Errorf("broken rule: %s", b)
	}
	if d.world.Starts() == 0 {
		d.t.Error("nothing ran")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.ended {
		if p == "" {
			d.t.Errorf("%s has no end", id)
		}
	}
}

// play runs a day in virtual time.
func play(t *testing.T, seed uint64, parts int, lossy bool, f func(d *day)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDay(ctx, t, seed)
		d.tune.Parts = parts
		if lossy {
			d.loseSome()
		}
		for i := range 3 {
			d.start(i)
		}
		f(d)
		cancel()
		d.wg.Wait()
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
