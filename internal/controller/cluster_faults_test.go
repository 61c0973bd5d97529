package controller

import (
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// injectRandomFaults strikes with random troubles until the time is over.
func (cluster *simulatedCluster) injectRandomFaults(seed uint64, over time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	end := time.Now().Add(over)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(5+rnd.IntN(15)) * time.Second)
		ws := cluster.cloud.Workers()
		switch k := rnd.IntN(11); {
		case k == 0: // a crash, and a restart that may be quick
			i := rnd.IntN(3)
			cluster.crashNode(i)
			time.Sleep(time.Duration(200+rnd.IntN(4000)) * time.Millisecond)
			cluster.startNode(i)
		case k == 8: // back within a fraction of a second, twice in a row, others too
			for range 2 {
				for i := range 1 + rnd.IntN(3) {
					cluster.crashNode(i)
					time.Sleep(time.Duration(20+rnd.IntN(300)) * time.Millisecond)
					cluster.startNode(i)
				}
				time.Sleep(time.Duration(20+rnd.IntN(1500)) * time.Millisecond)
			}
		case k == 9 && len(ws) > 0: // a machine is heard, but does not hear
			worker := ws[rnd.IntN(len(ws))]
			worker.CutInbound(true)
			time.AfterFunc(time.Duration(5+rnd.IntN(60))*time.Second, func() { worker.CutInbound(false) })
		case k == 10: // a controller has its workers only
			i := rnd.IntN(3)
			cluster.setNodeIsolated(i, true, rnd)
			time.Sleep(time.Duration(4+rnd.IntN(50)) * time.Second)
			cluster.setNodeIsolated(i, false, rnd)
		case k == 1: // all crash
			for i := range 3 {
				cluster.crashNode(i)
			}
			time.Sleep(3 * time.Second)
			for i := range 3 {
				cluster.startNode(i)
			}
		case k == 2: // an outage
			cluster.store.SetDown(true)
			time.Sleep(time.Duration(3+rnd.IntN(20)) * time.Second)
			cluster.store.SetDown(false)
		case k == 3 && len(ws) > 0: // a machine hangs
			ws[rnd.IntN(len(ws))].Hang(time.Duration(2+rnd.IntN(30)) * time.Second)
		case k == 4 && len(ws) > 0: // a spot machine is taken
			for _, worker := range ws {
				if worker.Machine.Spot {
					cluster.cloud.TakeBack(worker.Machine.ID)
					break
				}
			}
		case k == 5 && len(ws) > 0: // a notice
			for _, worker := range ws {
				if worker.Machine.Spot {
					worker.GiveNotice(8 * time.Second)
					time.AfterFunc(8*time.Second, func() { cluster.cloud.TakeBack(worker.Machine.ID) })
					break
				}
			}
		case k == 6: // a controller loses the state service
			n := cluster.nodes[rnd.IntN(3)].Name
			cluster.network.Cut(n, "state", true)
			time.Sleep(time.Duration(4+rnd.IntN(40)) * time.Second)
			cluster.network.Cut(n, "state", false)
		case k == 7: // a controller loses the workers
			n := cluster.nodes[rnd.IntN(3)].Name
			cluster.setWorkersCut(n, true)
			time.Sleep(time.Duration(4+rnd.IntN(20)) * time.Second)
			cluster.setWorkersCut(n, false)
		}
	}
}

// setNodeIsolated cuts a controller off from the state service and the other controllers, but
// not from its workers, or joins it again.
func (cluster *simulatedCluster) setNodeIsolated(i int, cut bool, rnd *rand.Rand) {
	hosts := []string{"state"}
	for k, n := range cluster.nodes {
		if k != i {
			hosts = append(hosts, n.Name)
		}
	}
	rnd.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	for _, h := range hosts {
		cluster.network.Cut(cluster.nodes[i].Name, h, cut)
	}
}

// setWorkersCut cuts a controller off from all workers, or joins it again.
func (cluster *simulatedCluster) setWorkersCut(node string, cut bool) {
	for zone := range cluster.simulation.ZoneNets {
		cluster.network.Cut(node, "workers-"+zone, cut)
	}
}

// injectRequestFaults lets some commits, rentals and returns go unanswered or late.
func (cluster *simulatedCluster) injectRequestFaults() {
	rnd := rand.New(rand.NewPCG(cluster.random.Uint64(), 3))
	var mu sync.Mutex
	pick := func(share float64) (emulator.RequestFault, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if cluster.faultsOver.Load() || rnd.Float64() > share {
			return emulator.NoFault, 0
		}
		return []emulator.RequestFault{
			emulator.LoseResponse,
			emulator.ExecuteLate,
			emulator.RefuseRequest,
		}[rnd.IntN(3)], time.Duration(rnd.IntN(60)) * time.Second
	}
	cluster.store.Faults = func(string, *wire.Txn) (emulator.RequestFault, time.Duration) { return pick(0.03) }
	cluster.cloud.Faults = func() (emulator.RequestFault, time.Duration) { return pick(0.2) }
	cluster.simulation.OnHeartbeat = func(_ *wire.Heartbeat, send func(emulator.Node)) {
		mu.Lock()
		defer mu.Unlock()
		late, to := time.Duration(500+rnd.IntN(40000))*time.Millisecond, cluster.nodes[rnd.IntN(len(cluster.nodes))]
		if !cluster.faultsOver.Load() && rnd.IntN(10) == 0 {
			time.AfterFunc(late, func() { send(to) })
		}
	}
}
