// This file contains the faults that simulations inject without a script: random faults over a
// period, lost and late requests, and network cuts between hosts.

package controller

import (
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// terminationNoticePeriod is the time between a spot instance's termination notice and its
// removal.
const terminationNoticePeriod = 8 * time.Second

// randomClusterFaults are the faults that injectRandomFaults chooses from. Changing the order
// changes the sequence of faults that a seed produces.
var randomClusterFaults = []func(cluster *simulatedCluster, random *rand.Rand, workers []*emulator.Worker){
	restartOneNode,
	restartAllNodes,
	interruptStore,
	hangOneMachine,
	loseSpotMachine,
	giveTerminationNotice,
	cutNodeFromStore,
	cutNodeFromWorkers,
	restartNodesTwice,
	cutInboundOfOneMachine,
	isolateOneNode,
}

// injectRandomFaults injects random faults one after another until the time window has passed.
func (cluster *simulatedCluster) injectRandomFaults(seed uint64, window time.Duration) {
	random := rand.New(rand.NewPCG(seed, randomFaultStream))
	end := time.Now().Add(window)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(5+random.IntN(15)) * time.Second)
		workers := cluster.cloud.Workers()
		inject := randomClusterFaults[random.IntN(len(randomClusterFaults))]
		inject(cluster, random, workers)
	}
}

// restartOneNode crashes a random controller and may restart it before its lease has expired.
func restartOneNode(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := random.IntN(controllerCount)
	cluster.restartNode(node, time.Duration(200+random.IntN(4000))*time.Millisecond)
}

// restartNodesTwice restarts one or more controllers twice in succession, each with a downtime
// below 320 ms.
func restartNodesTwice(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
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

// cutInboundOfOneMachine blocks traffic to a random machine, while its heartbeats still arrive.
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
		cluster.cloud.Reclaim(worker.Machine.ID)
	}
}

func giveTerminationNotice(cluster *simulatedCluster, _ *rand.Rand, workers []*emulator.Worker) {
	if worker := firstSpotWorker(workers); worker != nil {
		cluster.terminateWithNotice(worker, terminationNoticePeriod)
	}
}

// firstSpotWorker returns the first worker on a spot instance, or nil if there is none.
func firstSpotWorker(workers []*emulator.Worker) *emulator.Worker {
	for _, worker := range workers {
		if worker.Machine.Spot {
			return worker
		}
	}
	return nil
}

// terminateWithNotice gives a machine a termination notice and makes the cloud remove it after the
// given time.
func (cluster *simulatedCluster) terminateWithNotice(worker *emulator.Worker, after time.Duration) {
	worker.GiveTerminationNotice(after)
	time.AfterFunc(after, func() { cluster.cloud.Reclaim(worker.Machine.ID) })
}

func cutNodeFromStore(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	nodeName := cluster.nodes[random.IntN(controllerCount)].Name
	cluster.network.SetLinkCut(nodeName, "state", true)
	time.Sleep(time.Duration(4+random.IntN(40)) * time.Second)
	cluster.network.SetLinkCut(nodeName, "state", false)
}

func cutNodeFromWorkers(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	nodeName := cluster.nodes[random.IntN(controllerCount)].Name
	cluster.setWorkersCut(nodeName, true)
	time.Sleep(time.Duration(4+random.IntN(20)) * time.Second)
	cluster.setWorkersCut(nodeName, false)
}

// isolateOneNode leaves a random controller in contact with only its workers and users for a
// while.
func isolateOneNode(cluster *simulatedCluster, random *rand.Rand, _ []*emulator.Worker) {
	node := random.IntN(controllerCount)
	cluster.setNodeIsolated(node, true, random)
	time.Sleep(time.Duration(4+random.IntN(50)) * time.Second)
	cluster.setNodeIsolated(node, false, random)
}

// setNodeIsolated cuts a controller off from the key-value store and the other controllers, but
// not from its workers, or restores these links.
func (cluster *simulatedCluster) setNodeIsolated(node int, isolated bool, random *rand.Rand) {
	hosts := []string{"state"}
	for i, other := range cluster.nodes {
		if i != node {
			hosts = append(hosts, other.Name)
		}
	}
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		cluster.network.SetLinkCut(cluster.nodes[node].Name, host, isolated)
	}
}

// setWorkersCut cuts a controller off from all workers, or restores these links.
func (cluster *simulatedCluster) setWorkersCut(nodeName string, cut bool) {
	for zone := range cluster.simulation.ZoneNets {
		cluster.network.SetLinkCut(nodeName, "workers-"+zone, cut)
	}
}

// Probabilities with which injectRequestFaults makes a request fail.
const (
	commitFaultProbability = 0.03
	cloudFaultProbability  = 0.2
)

// injectRequestFaults makes some commits, rentals and returns of machines go unanswered, be
// refused or be executed late, and makes copies of some heartbeats arrive late, until endFaults is
// called.
func (cluster *simulatedCluster) injectRequestFaults() {
	random := rand.New(rand.NewPCG(cluster.random.Uint64(), requestFaultStream))
	var mu sync.Mutex
	drawFault := func(probability float64) (emulator.RequestFault, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if cluster.faultsOver.Load() || random.Float64() > probability {
			return emulator.NoFault, 0
		}
		faults := []emulator.RequestFault{emulator.LoseResponse, emulator.ExecuteLate, emulator.RefuseRequest}
		fault := faults[random.IntN(len(faults))]
		delay := time.Duration(random.IntN(60)) * time.Second
		return fault, delay
	}
	cluster.store.ChooseFault = func(string, *wire.Txn) (emulator.RequestFault, time.Duration) {
		return drawFault(commitFaultProbability)
	}
	cluster.cloud.ChooseFault = func() (emulator.RequestFault, time.Duration) {
		return drawFault(cloudFaultProbability)
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

// endFaults stops making requests fail and tells the simulation's checker that from now on jobs
// must make progress.
func (cluster *simulatedCluster) endFaults() {
	cluster.faultsOver.Store(true)
	cluster.simulation.RecordFaultsOver()
}
