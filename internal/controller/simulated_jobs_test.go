// This file creates the jobs of the simulations and the users that submit and cancel them.

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

// jobOption modifies a job before a test submits it.
type jobOption func(job *wire.Job)

// newArrayJob returns a job array of team "free", which has no limits. n is the number in the
// job ID, cpus applies to each task, and runSeconds is the estimated run time of a task. Options
// change the other fields.
func newArrayJob(n, tasks int, cpus, runSeconds float64, options ...jobOption) *wire.Job {
	job := &wire.Job{
		ID:            fmt.Sprintf("req-%06d", n),
		Class:         "c",
		Team:          "free",
		Shape:         wire.ArrayJob,
		Priority:      "standard",
		TaskCount:     tasks,
		CPUs:          cpus,
		MemoryGB:      4,
		Image:         "img",
		ImageGB:       1,
		EstimatedRunS: runSeconds,
	}
	for _, option := range options {
		option(job)
	}
	return job
}

// asGang makes the job a gang, whose tasks start together.
func asGang(job *wire.Job) { job.Shape = wire.GangJob }

// inOneZone requires all tasks of the job to run in the same zone.
func inOneZone(job *wire.Job) { job.SingleZone = true }

// onSmallMachines restricts the job to small machines, which may be spot instances.
func onSmallMachines(job *wire.Job) {
	job.MachineTypes = []string{"small"}
	job.AllowSpot = true
}

// allowSpot allows the job to run on spot instances.
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

// newSmallMachineJob returns a job array of team "free" that runs on small machines, including
// spot instances.
func newSmallMachineJob(n, tasks int, cpus, runSeconds float64, options ...jobOption) *wire.Job {
	job := newArrayJob(n, tasks, cpus, runSeconds, onSmallMachines)
	for _, option := range options {
		option(job)
	}
	return job
}

// newIdlePriorityJob returns a job array of the lowest priority whose tasks need 1 GB of memory.
func newIdlePriorityJob(n, tasks int, cpus, runSeconds float64) *wire.Job {
	return newSmallMachineJob(n, tasks, cpus, runSeconds, withPriority("idle"), withMemory(1), withImage("img", 0.5))
}

// newServiceJob returns a service job, which runs until its user cancels it.
func newServiceJob(n, replicas int, cpus float64) *wire.Job {
	return newArrayJob(n, replicas, cpus, 0, withPriority("production"), withImage("srv", 1), func(job *wire.Job) {
		job.Class = "s"
		job.Shape = wire.ServiceJob
	})
}

// randomJob returns a job array or gang with random team, priority, size and constraints.
func randomJob(random *rand.Rand, n int) *wire.Job {
	teams := []string{"red", "blue", "free"}
	priorities := []wire.Priority{"idle", "standard", "urgent"}
	job := &wire.Job{
		ID:            fmt.Sprintf("req-%06d", n),
		Class:         "c",
		Team:          teams[random.IntN(len(teams))],
		Shape:         wire.ArrayJob,
		Priority:      priorities[random.IntN(len(priorities))],
		TaskCount:     1 + random.IntN(12),
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
		job.TaskCount = min(job.TaskCount, 6)
	}
	if random.IntN(3) == 0 {
		job.Shape = wire.GangJob
		job.TaskCount = 1 + random.IntN(4)
		job.SingleZone = random.IntN(2) == 0
	}
	if !job.SingleZone && random.IntN(5) == 0 {
		job.SpreadZones = true
	}
	return job
}

// submitRandomJobs submits n random jobs evenly over the time window. One in six jobs, on
// average, is cancelled by its user.
func (cluster *simulatedCluster) submitRandomJobs(n int, window time.Duration) {
	for i := range n {
		job := randomJob(cluster.random, i)
		cancelAfter := time.Duration(0)
		if cluster.random.IntN(6) == 0 {
			cancelAfter = time.Duration(5+cluster.random.IntN(40)) * time.Second
		}
		time.Sleep(window / time.Duration(n))
		cluster.submit(job, cancelAfter)
	}
}

// submit starts a user that submits the job and polls it until it ends. If cancelAfter is not 0,
// the user cancels the job after that time.
func (cluster *simulatedCluster) submit(job *wire.Job, cancelAfter time.Duration) {
	random := rand.New(rand.NewPCG(cluster.random.Uint64(), userStream))
	cancel := make(chan struct{})
	cluster.mu.Lock()
	cluster.cancelFuncs[job.ID] = sync.OnceFunc(func() { close(cancel) })
	cluster.mu.Unlock()
	user := &emulator.User{
		Simulation:     cluster.simulation,
		Net:            cluster.network.Host("user-" + job.ID),
		CancelAfter:    cancelAfter,
		CancelSignal:   cancel,
		PollAllNodes:   cluster.pollAllNodes,
		CancelWhenDone: cluster.pollAllNodes,
		RepeatAfter:    cluster.repeatUserRequests,
		PickNode:       func() emulator.Node { return cluster.nodes[random.IntN(len(cluster.nodes))] },
	}
	cluster.background.Go(func() {
		phase := user.Run(cluster.ctx, job)
		cluster.mu.Lock()
		cluster.finalPhases[job.ID] = phase
		cluster.mu.Unlock()
	})
}

// cancelJob makes the job's user cancel it.
func (cluster *simulatedCluster) cancelJob(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cancelFuncs[id]()
}

// cancelRunningJobs makes the users of up to limit running jobs cancel them, or the users of all
// running jobs if limit is 0. It returns the number of jobs cancelled.
func (cluster *simulatedCluster) cancelRunningJobs(limit int) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cancelled := 0
	for _, id := range slices.Sorted(maps.Keys(cluster.cancelFuncs)) {
		if _, ended := cluster.finalPhases[id]; ended {
			continue
		}
		if _, started := cluster.simulation.FirstStartTime(id); started && (limit == 0 || cancelled < limit) {
			cluster.cancelFuncs[id]()
			delete(cluster.cancelFuncs, id)
			cancelled++
		}
	}
	return cancelled
}
