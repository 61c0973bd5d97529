// The simulations run real controllers against emulated outside systems, in virtual time. This
// file has the simulated cluster: its construction and the life cycle of its controllers.

package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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

// The parts of a simulation draw from streams of their own, so that what one of them draws
// does not depend on the others.
const (
	clusterStream uint64 = iota + 1
	userStream
	requestFaultStream
	randomFaultStream
	injectorStream
	faultPairStream
	upgradePairStream uint64 = 9
	replicaExitStream uint64 = 10
)

// The addresses of the emulated systems outside the cluster.
const (
	storeAddr = "10.2.0.1:1"
	cloudAddr = "10.2.0.2:1"
)

const (
	controllerCount = 3
	// initialCapacity is how many machines of each offering the emulated cloud has.
	initialCapacity = 4
	// shutdownTime is the virtual time that goroutines get to end after a simulation.
	shutdownTime = time.Minute
	// checkInterval is how often the rules about waiting jobs are checked.
	checkInterval = 5 * time.Second
)

// simulatedCluster is a cluster of real controllers, in virtual time, with an emulated
// network, key-value store and cloud, and emulated workers and users.
type simulatedCluster struct {
	t      *testing.T
	ctx    context.Context // ends with the simulation
	random *rand.Rand
	tuning tuning.Tuning
	nodes  []emulator.Node

	network    *emulator.Network
	store      *emulator.KeyValueStore
	cloud      *emulator.Cloud
	simulation *emulator.Simulation
	injector   *emulator.FaultInjector

	noTeamLimits bool                // no team has limits or guarantees, so that jobs are partitioned
	pollAllNodes bool                // users poll all nodes, and submit again after each response
	nextLimits   *config.StateLimits // limits of the store that are announced
	faultsOver   atomic.Bool         // requests are no longer lost or delayed
	levelRaised  atomic.Bool         // the feature level has been raised

	background sync.WaitGroup // users, and what runs beside a scenario

	mu          sync.Mutex
	crashFuncs  map[int]func()           // by node that runs; kills its controller
	oldNodes    map[int]bool             // nodes that do not support the newest feature level
	cancelFuncs map[string]func()        // by job; its user cancels it
	finalPhases map[string]wire.JobPhase // by job, as its user learned it
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

// newSimulatedCluster returns a cluster whose controllers have not been started.
func newSimulatedCluster(ctx context.Context, t *testing.T, seed uint64) *simulatedCluster {
	cluster := &simulatedCluster{
		t:            t,
		ctx:          ctx,
		random:       rand.New(rand.NewPCG(seed, clusterStream)),
		tuning:       tuning.Default(),
		nodes:        simulatedNodes(controllerCount),
		network:      emulator.NewNetwork(),
		store:        emulator.NewKeyValueStore(),
		noTeamLimits: seed%3 == 2,
		crashFuncs:   map[int]func(){},
		cancelFuncs:  map[string]func(){},
		finalPhases:  map[string]wire.JobPhase{},
	}
	cluster.simulation = cluster.newSimulation()
	cluster.cloud = cluster.newCloud()
	cluster.store.Changed = cluster.checkStoreChange
	cluster.serveHost("state", storeAddr, cluster.store.Handler())
	cluster.serveHost("cloud", cloudAddr, cluster.cloud.Handler())
	cluster.injector = cluster.newInjector(seed)
	cluster.injector.Attach()
	return cluster
}

// simulatedNodes returns the names and public addresses of nodes.
func simulatedNodes(count int) []emulator.Node {
	var nodes []emulator.Node
	for i := range count {
		nodes = append(nodes, emulator.Node{
			Name: fmt.Sprintf("node-%d", i),
			Addr: fmt.Sprintf("10.0.0.%d:8080", i+1),
		})
	}
	return nodes
}

// newSimulation returns the emulated workers and users, and the checker of the rules.
func (cluster *simulatedCluster) newSimulation() *emulator.Simulation {
	machineTypes := map[string]wire.MachineType{}
	for _, machineType := range testMachineTypes {
		machineTypes[machineType.Name] = machineType
	}
	settings := cluster.settings(0).Cluster
	simulation := emulator.NewSimulation(emulator.SimulationConfig{
		Ctx:               cluster.ctx,
		ZoneNets:          map[string]transport.Net{},
		Nodes:             cluster.nodes,
		MachineTypes:      machineTypes,
		Teams:             settings.Teams,
		HeartbeatInterval: 2 * time.Second,
		LeaseDuration:     14 * time.Second,
		GangWaitTimeout:   35 * time.Second,
		GangPeerTimeout:   5 * time.Second,
		CancelDeadline:    44 * time.Second,
	})
	for _, zone := range settings.Zones {
		simulation.ZoneNets[zone] = cluster.network.Host("workers-" + zone)
	}
	return simulation
}

// newCloud returns a cloud with a few machines of each offering.
func (cluster *simulatedCluster) newCloud() *emulator.Cloud {
	cloud := &emulator.Cloud{
		MachineTypes: testMachineTypes,
		Lag:          4 * time.Second,
		Boot:         cluster.simulation.StartWorker,
		BootTime: func(machineType wire.MachineType) time.Duration {
			return time.Duration(machineType.BootS) * time.Second
		},
	}
	for _, machineType := range testMachineTypes {
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				cloud.Capacity = append(cloud.Capacity, emulator.Capacity{
					MachineType: machineType.Name,
					Zone:        zone,
					Spot:        spot,
					Count:       initialCapacity,
				})
			}
		}
	}
	return cloud
}

func (cluster *simulatedCluster) newInjector(seed uint64) *emulator.FaultInjector {
	return &emulator.FaultInjector{
		Network:             cluster.network,
		Store:               cluster.store,
		Cloud:               cluster.cloud,
		Simulation:          cluster.simulation,
		Nodes:               cluster.nodes,
		Rand:                rand.New(rand.NewPCG(seed, injectorStream)),
		StartController:     cluster.startNode,
		CrashController:     cluster.crashNode,
		FirstPartitionOwner: cluster.partitionOwner,
		CancelJobs:          cluster.cancelRunningJobs,
	}
}

// setCapacity has the cloud offer that many machines of each offering.
func (cluster *simulatedCluster) setCapacity(perOffering int) {
	for i := range cluster.cloud.Capacity {
		cluster.cloud.Capacity[i].Count = perOffering
	}
}

// serveHost serves an emulated system from a host of its own.
func (cluster *simulatedCluster) serveHost(name, addr string, handler http.Handler) {
	host := cluster.network.Host(name)
	listener, err := host.Listen(cluster.ctx, addr)
	if err != nil {
		cluster.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(cluster.ctx, func() {
		_ = server.Close()
		host.Shutdown()
	})
	go func() { _ = server.Serve(listener) }()
}

func meshAddr(node int) string { return fmt.Sprintf("10.0.0.%d:8081", node+1) }

// settings returns the settings of a node.
func (cluster *simulatedCluster) settings(node int) *config.Settings {
	settings := &config.Settings{
		Node:       cluster.nodes[node].Name,
		Zone:       "a",
		PublicAddr: cluster.nodes[node].Addr,
		MeshAddr:   meshAddr(node),
	}
	for i, member := range cluster.nodes {
		if i != node {
			settings.Members = append(settings.Members, config.Member{
				Node: member.Name,
				Zone: "a",
				Addr: meshAddr(i),
			})
		}
	}
	settings.Outside.State = storeAddr
	settings.Outside.Cloud = cloudAddr

	shared := &settings.Cluster
	shared.Count = controllerCount
	shared.Zones = []string{"a", "b"}
	shared.Teams = cluster.teams()
	shared.Workers.ReportS = 2
	shared.Workers.LeaseS = 14
	shared.Workers.GangWaitS = 35
	shared.Workers.GangPeerS = 5
	shared.Workers.CancelS = 44
	shared.State.RPS = 150
	shared.State.WriteRPS = 50
	shared.State.ValueKB = 8
	shared.State.TxnOps = 12
	if !cluster.oldNodes[node] { // old versions have no setting for announced limits
		shared.State.Next = cluster.nextLimits
	}
	shared.Cloud.RPS = 5
	shared.Cloud.ListLagS = 4
	shared.Limits.RAMMB = 100
	shared.Limits.MaxSockets = 700
	return settings
}

func (cluster *simulatedCluster) teams() []config.Team {
	if cluster.noTeamLimits {
		return []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	}
	return []config.Team{
		{Name: "red", GPUs: 4, GPUsMax: 8},
		{Name: "blue", CPUsMax: 40},
		{Name: "free"},
	}
}

// startNode runs a controller until it crashes or the simulation ends.
func (cluster *simulatedCluster) startNode(node int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.crashFuncs[node] != nil || cluster.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(cluster.ctx)
	host := cluster.network.Host(cluster.nodes[node].Name)
	controller := New(cluster.settings(node), cluster.tuning, host)
	if cluster.oldNodes[node] {
		controller.supportedFeatureLevel = records.FeatureInitialFormat
	}
	ended := make(chan struct{})
	var crashed atomic.Bool
	cluster.crashFuncs[node] = func() {
		crashed.Store(true)
		host.Shutdown() // first, so that nothing is sent on the way out, as by a killed process
		cancel()
		<-ended
	}
	go func() {
		defer close(ended)
		if err := controller.Run(ctx); err != nil && !crashed.Load() {
			cluster.t.Errorf("controller %d ended by itself: %v", node, err)
		}
	}()
	context.AfterFunc(ctx, host.Shutdown)
}

// crashNode kills a controller, if it runs.
func (cluster *simulatedCluster) crashNode(node int) {
	cluster.mu.Lock()
	crash := cluster.crashFuncs[node]
	cluster.crashFuncs[node] = nil
	cluster.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// startNodes starts all controllers.
func (cluster *simulatedCluster) startNodes() {
	for node := range cluster.nodes {
		cluster.startNode(node)
	}
}

// crashNodes kills all controllers.
func (cluster *simulatedCluster) crashNodes() {
	for node := range cluster.nodes {
		cluster.crashNode(node)
	}
}

// restartNode kills a controller, and starts it again after the downtime.
func (cluster *simulatedCluster) restartNode(node int, downtime time.Duration) {
	cluster.crashNode(node)
	time.Sleep(downtime)
	cluster.startNode(node)
}

// restartNodes kills all controllers, and starts them again after the downtime.
func (cluster *simulatedCluster) restartNodes(downtime time.Duration) {
	cluster.crashNodes()
	time.Sleep(downtime)
	cluster.startNodes()
}

// partitionOwner returns the node that owns the first partition by its record in the store,
// -1 for none, and the record's revision.
func (cluster *simulatedCluster) partitionOwner() (node int, revision uint64) {
	value, revision := cluster.store.Value(records.PartitionKey(0))
	var record records.OwnerRecord
	if wire.Unmarshal(value, &record) != nil {
		return -1, revision
	}
	node = slices.IndexFunc(cluster.nodes, func(n emulator.Node) bool { return n.Name == record.Node })
	return node, revision
}

// simulate runs a simulation, in virtual time, of a cluster whose controllers have not been
// started.
func simulate(t *testing.T, seed uint64, run func(t *testing.T, cluster *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newSimulatedCluster(ctx, t, seed)
		run(t, cluster)
		cancel()
		cluster.background.Wait()
		time.Sleep(shutdownTime)
	})
}

// runSimulation runs a simulation of a cluster with one partition.
func runSimulation(t *testing.T, seed uint64, run func(cluster *simulatedCluster)) {
	simulate(t, seed, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.tuning.Parts = 1
		cluster.startNodes()
		run(cluster)
	})
}

// runFleetSimulation runs a simulation of a cluster with up to hundreds of machines.
func runFleetSimulation(t *testing.T, seed uint64, perOffering int, run func(cluster *simulatedCluster)) {
	simulate(t, seed, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.setCapacity(perOffering)
		cluster.startNodes()
		run(cluster)
	})
}

var _ transport.Net = (*emulator.Host)(nil)
