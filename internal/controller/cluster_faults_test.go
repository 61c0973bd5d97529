// This file has faults that the simulations inject without a script: random ones over a while,
// lost and late requests, and cuts between hosts.

package controller

import (
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// terminationNotice is how long before its end a spot instance gets notice.
const terminationNotice = 8 * time.Second

// randomClusterFaults are the faults that injectRandomFaults draws from. The order belongs to
// the seeds: another one is another sequence of faults.
var randomClusterFaults = []func(cluster *simulatedCluster, random *rand.Rand, workers []*emulator.Worker){
	restartOneNode,
	restartAllNodes,
	interruptStore,
	hangOneMachine,
	loseSpotMachine,
	giveTerminationNotice,
	cutNodeFromStore,
	cutNodeFromWorkers,
	restartNodesQuickly,
	cutInboundOfOneMachine,
	isolateOneNode,
}

// injectRandomFaults injects random faults until the time is over.
func (cluster *simulatedCluster) injectRandomFaults(seed uint64, over time.Duration) {
	random := rand.New(rand.NewPCG(seed, randomFaultStream))
	end := time.Now().Add(over)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(5+random.IntN(15)) * time.Second)
		workers := cluster.cloud.Workers()
		inject := randomClusterFaults[random.IntN(len(randomClusterFaults))]
		inject(cluster, random, workers)
	}
}

// restartOneNode crashes a controller, which may be back before its lease has expired.
func restartOneNode(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := random.IntN(controllerCount)
	cluster.restartNode(node, time.Duration(200+random.IntN(4000))*time.Millisecond)
}

// restartNodesQuickly restarts some controllers twice in a row, each within a fraction of a
// second.
func restartNodesQuickly(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	for range 2 {
		for node := range 1 + random.IntN(controllerCount) {
			cluster.restartNode(node, time.Duration(20+random.IntN(300))*time.Millisecond)
		}
		time.Sleep(time.Duration(20+random.IntN(1500)) * time.Millisecond)
	}
}

func restartAllNodes(cluster *simulatedCluster, _ *rand.Rand, _ []*emulator.Worker) {
	cluster.restartNodes(3 * time.Second)
}

func interruptStore(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	cluster.store.SetDown(true)
	time.Sleep(time.Duration(3+random.IntN(20)) * time.Second)
	cluster.store.SetDown(false)
}

func hangOneMachine(_ *simulatedCluster, random *rand.Rand, workers []*emulator.Worker) {
	if len(workers) == 0 {
		return
	}
	worker := workers[random.IntN(len(workers))]
	worker.Hang(time.Duration(2+random.IntN(30)) * time.Second)
}

// cutInboundOfOneMachine has a machine receive nothing, while its heartbeats arrive.
func cutInboundOfOneMachine(_ *simulatedCluster, random *rand.Rand, workers []*emulator.Worker) {
	if len(workers) == 0 {
		return
	}
	worker := workers[random.IntN(len(workers))]
	worker.CutInbound(true)
	time.AfterFunc(time.Duration(5+random.IntN(60))*time.Second, func() { worker.CutInbound(false) })
}

func loseSpotMachine(cluster *simulatedCluster, _ *rand.Rand, workers []*emulator.Worker) {
	if worker := firstSpotWorker(workers); worker != nil {
		cluster.cloud.TakeBack(worker.Machine.ID)
	}
}

func giveTerminationNotice(cluster *simulatedCluster, _ *rand.Rand, workers []*emulator.Worker) {
	if worker := firstSpotWorker(workers); worker != nil {
		cluster.giveNotice(worker, terminationNotice)
	}
}

// firstSpotWorker returns the first worker on a spot instance, nil if there is none.
func firstSpotWorker(workers []*emulator.Worker) *emulator.Worker {
	for _, worker := range workers {
		if worker.Machine.Spot {
			return worker
		}
	}
	return nil
}

// giveNotice has a machine be told of its end, which follows after that time.
func (cluster *simulatedCluster) giveNotice(worker *emulator.Worker, after time.Duration) {
	worker.GiveNotice(after)
	time.AfterFunc(after, func() { cluster.cloud.TakeBack(worker.Machine.ID) })
}

func cutNodeFromStore(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := cluster.nodes[random.IntN(controllerCount)].Name
	cluster.network.SetLinkCut(node, "state", true)
	time.Sleep(time.Duration(4+random.IntN(40)) * time.Second)
	cluster.network.SetLinkCut(node, "state", false)
}

func cutNodeFromWorkers(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := cluster.nodes[random.IntN(controllerCount)].Name
	cluster.setWorkersCut(node, true)
	time.Sleep(time.Duration(4+random.IntN(20)) * time.Second)
	cluster.setWorkersCut(node, false)
}

// isolateOneNode leaves a controller its workers and users only.
func isolateOneNode(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := random.IntN(controllerCount)
	cluster.setNodeIsolated(node, true, random)
	time.Sleep(time.Duration(4+random.IntN(50)) * time.Second)
	cluster.setNodeIsolated(node, false, random)
}

// setNodeIsolated cuts a controller off from the key-value store and the other controllers,
// but not from its workers, or joins it again.
func (cluster *simulatedCluster) setNodeIsolated(node int, cut bool, random *rand.Rand) {
	hosts := []string{"state"}
	for i, other := range cluster.nodes {
		if i != node {
			hosts = append(hosts, other.Name)
		}
	}
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		cluster.network.SetLinkCut(cluster.nodes[node].Name, host, cut)
	}
}

// setWorkersCut cuts a controller off from all workers, or joins it again.
func (cluster *simulatedCluster) setWorkersCut(node string, cut bool) {
	for zone := range cluster.simulation.ZoneNets {
		cluster.network.SetLinkCut(node, "workers-"+zone, cut)
	}
}

// The shares of requests that injectRequestFaults has fail.
const (
	commitFaultShare = 0.03
	cloudFaultShare  = 0.2
)

// injectRequestFaults has some commits, rentals and returns go unanswered, be refused or be
// carried out late, and copies of some heartbeats arrive late, until the faults are over.
func (cluster *simulatedCluster) injectRequestFaults() {
	random := rand.New(rand.NewPCG(cluster.random.Uint64(), requestFaultStream))
	var mu sync.Mutex
	draw := func(share float64) (emulator.RequestFault, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if cluster.faultsOver.Load() || random.Float64() > share {
			return emulator.NoFault, 0
		}
		faults := []emulator.RequestFault{emulator.LoseResponse, emulator.ExecuteLate, emulator.RefuseRequest}
		fault := faults[random.IntN(len(faults))]
		delay := time.Duration(random.IntN(60)) * time.Second
		return fault, delay
	}
	cluster.store.Faults = func(string, *wire.Txn) (emulator.RequestFault, time.Duration) {
		return draw(commitFaultShare)
	}
	cluster.cloud.Faults = func() (emulator.RequestFault, time.Duration) {
		return draw(cloudFaultShare)
	}
	cluster.simulation.OnHeartbeat = func(_ *wire.Heartbeat, send func(emulator.Node)) {
		mu.Lock()
		defer mu.Unlock()
		delay := time.Duration(500+random.IntN(40000)) * time.Millisecond
		node := cluster.nodes[random.IntN(len(cluster.nodes))]
		if !cluster.faultsOver.Load() && random.IntN(10) == 0 {
			time.AfterFunc(delay, func() { send(node) })
		}
	}
}

// endFaults has no further request fail, and the checker expect all jobs to go on.
func (cluster *simulatedCluster) endFaults() {
	cluster.faultsOver.Store(true)
	cluster.simulation.FaultsOver()
}
