// This file has the jobs of the simulations, and the users that submit and cancel them.

package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/wire"
)

// jobOption changes a job that a test submits.
type jobOption func(job *wire.Job)

// newArrayJob returns a job array of the team without limits. The arguments are what most
// tests choose; options change the rest.
func newArrayJob(n, tasks int, cpus, seconds float64, options ...jobOption) *wire.Job {
	job := &wire.Job{
		ID:            fmt.Sprintf("req-%06d", n),
		Class:         "c",
		Team:          "free",
		Shape:         wire.ArrayJob,
		Priority:      "standard",
		Tasks:         tasks,
		CPUs:          cpus,
		MemoryGB:      4,
		Image:         "img",
		ImageGB:       1,
		EstimatedRunS: seconds,
	}
	for _, option := range options {
		option(job)
	}
	return job
}

// asGang has the tasks start together.
func asGang(job *wire.Job) { job.Shape = wire.GangJob }

// inOneZone has all tasks run in one zone.
func inOneZone(job *wire.Job) { job.SingleZone = true }

// onSmallMachines has the job run on small machines only, spot instances too.
func onSmallMachines(job *wire.Job) {
	job.MachineTypes = []string{"small"}
	job.AllowSpot = true
}

// allowSpot has the job run on spot instances too.
func allowSpot(job *wire.Job) { job.AllowSpot = true }

func withTeam(team string) jobOption {
	return func(job *wire.Job) { job.Team = team }
}

func withPriority(priority wire.Priority) jobOption {
	return func(job *wire.Job) { job.Priority = priority }
}

func withGPUs(gpus float64) jobOption {
	return func(job *wire.Job) { job.GPUs = gpus }
}

func withMemory(memoryGB float64) jobOption {
	return func(job *wire.Job) { job.MemoryGB = memoryGB }
}

func withImage(image string, imageGB float64) jobOption {
	return func(job *wire.Job) {
		job.Image = image
		job.ImageGB = imageGB
	}
}

func withCheckpoints(intervalS, saveS float64) jobOption {
	return func(job *wire.Job) {
		job.CheckpointIntervalS = intervalS
		job.CheckpointSaveS = saveS
	}
}

// smallMachineJob returns a job array of the team without limits on small machines.
func smallMachineJob(n, tasks int, cpus, seconds float64, options ...jobOption) *wire.Job {
	job := newArrayJob(n, tasks, cpus, seconds, onSmallMachines)
	for _, option := range options {
		option(job)
	}
	return job
}

// idleArrayJob returns a job array of the lowest priority whose tasks need little memory.
func idleArrayJob(n, tasks int, cpus, seconds float64) *wire.Job {
	return smallMachineJob(n, tasks, cpus, seconds, withPriority("idle"), withMemory(1), withImage("img", 0.5))
}

// serviceJob returns a service, which runs until its user cancels it.
func serviceJob(n, replicas int, cpus float64) *wire.Job {
	return newArrayJob(n, replicas, cpus, 0, withPriority("production"), withImage("srv", 1), func(job *wire.Job) {
		job.Class = "s"
		job.Shape = wire.ServiceJob
	})
}

// randomJob draws a job.
func randomJob(random *rand.Rand, n int) *wire.Job {
	teams := []string{"red", "blue", "free"}
	priorities := []wire.Priority{"idle", "standard", "urgent"}
	job := &wire.Job{
		ID:            fmt.Sprintf("req-%06d", n),
		Class:         "c",
		Team:          teams[random.IntN(len(teams))],
		Shape:         wire.ArrayJob,
		Priority:      priorities[random.IntN(len(priorities))],
		Tasks:         1 + random.IntN(12),
		CPUs:          1 + float64(random.IntN(4)),
		MemoryGB:      4,
		Image:         fmt.Sprintf("img-%d", random.IntN(4)),
		ImageGB:       1,
		EstimatedRunS: 5 + 30*random.Float64(),
		AllowSpot:     random.IntN(2) == 0,
	}
	if random.IntN(2) == 0 {
		withCheckpoints(20, 2)(job)
	}
	if job.Team == "red" || random.IntN(4) == 0 {
		job.GPUs = 1
		job.Tasks = min(job.Tasks, 6)
	}
	if random.IntN(3) == 0 {
		job.Shape = wire.GangJob
		job.Tasks = 1 + random.IntN(4)
		job.SingleZone = random.IntN(2) == 0
	}
	if !job.SingleZone && random.IntN(5) == 0 {
		job.SpreadZones = true
	}
	return job
}

// submitRandomJobs submits n random jobs over a while. One in six is cancelled.
func (cluster *simulatedCluster) submitRandomJobs(n int, over time.Duration) {
	for i := range n {
		job := randomJob(cluster.random, i)
		cancelAfter := time.Duration(0)
		if cluster.random.IntN(6) == 0 {
			cancelAfter = time.Duration(5+cluster.random.IntN(40)) * time.Second
		}
		time.Sleep(over / time.Duration(n))
		cluster.submit(job, cancelAfter)
	}
}

// submit has a user submit a job and follow it to its end. The user cancels it after
// cancelAfter, unless that is 0.
func (cluster *simulatedCluster) submit(job *wire.Job, cancelAfter time.Duration) {
	random := rand.New(rand.NewPCG(cluster.random.Uint64(), userStream))
	cancel := make(chan struct{})
	cluster.mu.Lock()
	cluster.cancelFuncs[job.ID] = sync.OnceFunc(func() { close(cancel) })
	cluster.mu.Unlock()
	user := &emulator.User{
		Simulation:    cluster.simulation,
		Net:           cluster.network.Host("user-" + job.ID),
		CancelAfter:   cancelAfter,
		Cancel:        cancel,
		PollsAllNodes: cluster.pollAllNodes,
		CancelDone:    cluster.pollAllNodes,
		Pick:          func() emulator.Node { return cluster.nodes[random.IntN(len(cluster.nodes))] },
	}
	cluster.background.Go(func() {
		phase := user.Run(cluster.ctx, job)
		cluster.mu.Lock()
		cluster.finalPhases[job.ID] = phase
		cluster.mu.Unlock()
	})
}

// cancelJob has a job's user cancel it.
func (cluster *simulatedCluster) cancelJob(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cancelFuncs[id]()
}

// cancelRunningJobs has the users of up to limit running jobs cancel them, 0: of all. It
// returns how many did.
func (cluster *simulatedCluster) cancelRunningJobs(limit int) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cancelled := 0
	for _, id := range slices.Sorted(maps.Keys(cluster.cancelFuncs)) {
		if _, ended := cluster.finalPhases[id]; ended {
			continue
		}
		if _, started := cluster.simulation.FirstStart(id); started && (limit == 0 || cancelled < limit) {
			cluster.cancelFuncs[id]()
			delete(cluster.cancelFuncs, id)
			cancelled++
		}
	}
	return cancelled
}
