// The simulations run real controllers against emulated external systems in virtual time. This
// file defines the simulated cluster and how it is built.

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

// Each component of a simulation draws random numbers from its own stream, so that its draws do
// not depend on those of other components. The constants select the streams.
const (
	clusterStream uint64 = iota + 1
	userStream
	requestFaultStream
	randomFaultStream
	injectorStream
	faultPairStream
	upgradePairStream  uint64 = 9
	replicaExitStream  uint64 = 10
	quietClusterStream uint64 = 11
	commandCopyStream  uint64 = 12
	requestCopyStream  uint64 = 13
)

// Addresses of the emulated external systems.
const (
	storeAddr = "10.2.0.1:1"
	cloudAddr = "10.2.0.2:1"
)

const (
	controllerCount = 3
	// initialCapacity is the number of machines per offering in the emulated cloud, where an
	// offering is a machine type in one zone, either spot or on demand.
	initialCapacity = 4
	// shutdownGracePeriod is the virtual time within which goroutines must exit after a
	// simulation.
	shutdownGracePeriod = time.Minute
	// checkInterval is the interval between checks of the rules for waiting jobs.
	checkInterval = 5 * time.Second
)

// simulatedCluster is a cluster of real controllers that runs in virtual time with an emulated
// network, key-value store and cloud, and with emulated workers and users.
type simulatedCluster struct {
	t      *testing.T
	ctx    context.Context // cancelled when the simulation ends
	random *rand.Rand
	tuning tuning.Tuning
	nodes  []emulator.Node

	network    *emulator.Network
	store      *emulator.KeyValueStore
	cloud      *emulator.Cloud
	simulation *emulator.Simulation
	injector   *emulator.FaultInjector

	// repeatRequest, if set, returns the times after which copies of a request to the key-value
	// store or the cloud are executed.
	repeatRequest func(r *http.Request) []time.Duration
	// repeatUserRequests are the times after which users repeat submissions and cancellations that
	// were answered.
	repeatUserRequests []time.Duration

	noTeamLimits bool // teams have no quotas, so jobs use all partitions
	// pollAllNodes makes users poll all nodes and submit again after each new phase, and cancel
	// done jobs.
	pollAllNodes         bool
	announcedStoreLimits *config.StoreLimits // future store limits announced in the settings
	faultsOver           atomic.Bool         // set when requests are no longer lost or delayed
	featureLevelRaised   atomic.Bool         // set when the feature level has been raised

	background sync.WaitGroup // users and other goroutines that run alongside a scenario

	mu         sync.Mutex
	crashFuncs map[int]func() // by index of a running node; kills its controller
	// terminateFuncs has, by index of a running node, functions that have its controller shut down.
	terminateFuncs map[int]func()
	// oldVersionNodes has the value true for nodes, by index, that do not support the newest
	// feature level.
	oldVersionNodes map[int]bool
	cancelFuncs     map[string]func()        // by job ID; makes the job's user cancel it
	finalPhases     map[string]wire.JobPhase // by job ID; the phase in which its user saw it end
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

		terminateFuncs: map[int]func(){},
		cancelFuncs:    map[string]func(){},
		finalPhases:    map[string]wire.JobPhase{},
	}
	cluster.simulation = cluster.newSimulation()
	cluster.cloud = cluster.newCloud()
	cluster.store.OnPut = cluster.checkStoreChange
	cluster.serveHost("state", storeAddr, cluster.repeatable(cluster.store.Handler()))
	cluster.serveHost("cloud", cloudAddr, cluster.repeatable(cluster.cloud.Handler()))
	cluster.injector = cluster.newInjector(seed)
	cluster.injector.Attach()
	return cluster
}

// simulatedNodes returns count nodes with generated names and public addresses.
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

// newSimulation returns the simulation of workers and users, which also checks the rules.
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

// newCloud returns an emulated cloud with initialCapacity machines per offering.
func (cluster *simulatedCluster) newCloud() *emulator.Cloud {
	cloud := &emulator.Cloud{
		MachineTypes: testMachineTypes,
		ListLag:      4 * time.Second,
		BootWorker:   cluster.simulation.StartWorker,
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
		FirstPartitionOwner: cluster.firstPartitionOwner,
		CancelJobs:          cluster.cancelRunningJobs,
	}
}

// setCapacity sets the number of machines per offering in the cloud.
func (cluster *simulatedCluster) setCapacity(machinesPerOffering int) {
	for i := range cluster.cloud.Capacity {
		cluster.cloud.Capacity[i].Count = machinesPerOffering
	}
}

// repeatable returns a handler that executes late copies of requests, as faults and
// repeatRequests demand.
func (cluster *simulatedCluster) repeatable(handler http.Handler) http.Handler {
	return emulator.RepeatRequests(cluster.ctx, handler, func(r *http.Request) []time.Duration {
		if cluster.repeatRequest != nil {
			return cluster.repeatRequest(r)
		}
		return cluster.injector.RequestCopyDelays(r)
	})
}

// serveHost serves an emulated system on its own host of the emulated network.
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

func peerAddr(node int) string { return fmt.Sprintf("10.0.0.%d:8081", node+1) }

// settings returns the settings of the node with the given index.
func (cluster *simulatedCluster) settings(node int) *config.Settings {
	settings := &config.Settings{
		Node:       cluster.nodes[node].Name,
		Zone:       "a",
		PublicAddr: cluster.nodes[node].Addr,
		PeerAddr:   peerAddr(node),
	}
	for i, member := range cluster.nodes {
		if i != node {
			settings.Members = append(settings.Members, config.Member{
				Node: member.Name,
				Zone: "a",
				Addr: peerAddr(i),
			})
		}
	}
	settings.Endpoints.Store = storeAddr
	settings.Endpoints.Cloud = cloudAddr

	clusterSettings := &settings.Cluster
	clusterSettings.ControllerCount = controllerCount
	clusterSettings.Zones = []string{"a", "b"}
	clusterSettings.Teams = cluster.teams()
	clusterSettings.WorkerTiming.HeartbeatIntervalS = 2
	clusterSettings.WorkerTiming.LeaseDurationS = 14
	clusterSettings.WorkerTiming.GangWaitTimeoutS = 35
	clusterSettings.WorkerTiming.GangPeerTimeoutS = 5
	clusterSettings.WorkerTiming.CancelDeadlineS = 44
	clusterSettings.Store.RequestsPerS = 150
	clusterSettings.Store.WritesPerS = 50
	clusterSettings.Store.MaxValueKiB = 8
	clusterSettings.Store.MaxTxnWrites = 12
	if !cluster.oldVersionNodes[node] { // old versions have no setting for announced limits
		clusterSettings.Store.Announced = cluster.announcedStoreLimits
	}
	clusterSettings.Cloud.RequestsPerS = 5
	clusterSettings.Cloud.MaxListLagS = 4
	clusterSettings.ControllerLimits.MemoryMiB = 100
	clusterSettings.ControllerLimits.MaxSockets = 700
	return settings
}

func (cluster *simulatedCluster) teams() []config.Team {
	if cluster.noTeamLimits {
		return []config.Team{{Name: "red"}, {Name: "blue"}, {Name: "free"}}
	}
	return []config.Team{
		{Name: "red", GPUs: 4, MaxGPUs: 8},
		{Name: "blue", MaxCPUs: 40},
		{Name: "free"},
	}
}

// firstPartitionOwner returns the index of the node that owns the first partition according to
// the owner record in the store, or -1 if there is none, and the revision of that record.
func (cluster *simulatedCluster) firstPartitionOwner() (node int, revision uint64) {
	value, revision := cluster.store.Value(records.PartitionKey(0))
	var record records.OwnerRecord
	if wire.Unmarshal(value, &record) != nil {
		return -1, revision
	}
	node = slices.IndexFunc(cluster.nodes, func(n emulator.Node) bool { return n.Name == record.Node })
	return node, revision
}

// simulate runs a simulation in virtual time. It does not start the cluster's controllers.
func simulate(t *testing.T, seed uint64, run func(t *testing.T, cluster *simulatedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newSimulatedCluster(ctx, t, seed)
		run(t, cluster)
		cancel()
		cluster.background.Wait()
		time.Sleep(shutdownGracePeriod)
	})
}

// simulateOnePartition runs a simulation of a cluster with one partition and starts its
// controllers.
func simulateOnePartition(t *testing.T, seed uint64, run func(cluster *simulatedCluster)) {
	simulate(t, seed, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.tuning.Parts = 1
		cluster.startNodes()
		run(cluster)
	})
}

// simulateWithCapacity runs a simulation whose cloud has the given number of machines per
// offering, up to hundreds in total, and starts the controllers.
func simulateWithCapacity(t *testing.T, seed uint64, machinesPerOffering int, run func(cluster *simulatedCluster)) {
	simulate(t, seed, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.setCapacity(machinesPerOffering)
		cluster.startNodes()
		run(cluster)
	})
}

var _ transport.Net = (*emulator.Host)(nil)
