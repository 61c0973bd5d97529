// This file checks that no job waits although machines have free capacity for it.

package emulator

import (
	"time"

	"ambersill/internal/wire"
)

// CheckWaitingJobs records a violation for each job that has waited for more than
// maxWaitDespiteCapacity although the given machines have free capacity for it. It does nothing
// until RecordFaultsOver is called. Callers must call it every few seconds, because it measures
// the wait from the first call that finds the job waiting.
func (s *Simulation) CheckWaitingJobs(workers []*Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOverAt.IsZero() {
		return
	}
	now := time.Now()
	for _, worker := range workers {
		worker.expireLease()
	}
	placed := countPlacedTasks(workers)
	for id, state := range s.jobs {
		if state.acceptedAt.IsZero() {
			continue
		}
		if !s.waitsDespiteCapacity(state, placed[id], workers) {
			state.waitingSince = time.Time{}
			continue
		}
		if state.waitingSince.IsZero() {
			state.waitingSince = now
		}
		if waited := now.Sub(state.waitingSince); waited > maxWaitDespiteCapacity {
			s.recordViolation(ruleLeftWaiting, "job %s has waited for %v although machines have free capacity for it", id, waited)
			state.waitingSince = now
		}
	}
}

// countPlacedTasks returns how many tasks each job has on the machines, by job ID. It includes
// tasks whose image is still being fetched, but not tasks that have exited.
func countPlacedTasks(workers []*Worker) map[string]int {
	placed := map[string]int{}
	for _, worker := range workers {
		for _, t := range worker.tasks {
			if t.state != wire.TaskExited {
				placed[t.job.ID]++
			}
		}
	}
	return placed
}

// waitsDespiteCapacity reports whether a job waits although the machines have capacity for its
// first start. A service waits until all its replicas are placed, another job until its first
// task is. placed is the number of the job's tasks that are on machines.
func (s *Simulation) waitsDespiteCapacity(state *jobState, placed int, workers []*Worker) bool {
	needed := 1
	if state.job.IsService() {
		needed = state.job.TaskCount // each replica must be placed
	}
	return placed < needed && !state.reportedPhase.IsFinal() && !s.allTasksDone(state.job) && s.hasCapacityFor(state.job, workers)
}

// hasCapacityFor reports whether the machines have free capacity for a job's first start, and
// the start would not exceed the team's limit. The first start of a gang places all its tasks,
// that of another job one task. Gangs that must be spread over zones are not checked; for them
// the result is always false.
func (s *Simulation) hasCapacityFor(job *wire.Job, workers []*Worker) bool {
	if job.IsGang() && job.SpreadZones {
		return false
	}
	tasks := 1
	if job.IsGang() {
		tasks = job.TaskCount
	}
	cpus, gpus := teamUsageWith(job, tasks, workers)
	return !s.overLimit(job.Team, cpus, gpus) && tasksFitOnMachines(job, tasks, workers)
}

// teamUsageWith returns the numbers of CPUs and GPUs that a job's team would use on the machines
// if the given number of the job's tasks were added.
func teamUsageWith(job *wire.Job, tasks int, workers []*Worker) (cpus, gpus float64) {
	cpus = job.CPUs * float64(tasks)
	gpus = job.GPUs * float64(tasks)
	for _, worker := range workers {
		for _, t := range worker.tasks {
			if t.job.Team == job.Team && t.state != wire.TaskExited {
				cpus += t.job.CPUs
				gpus += t.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// tasksFitOnMachines reports whether the given number of a job's tasks fit on the machines. If
// the job requires a single zone, they must fit on the machines of one zone.
func tasksFitOnMachines(job *wire.Job, tasks int, workers []*Worker) bool {
	// The number of tasks that fit, by zone. If the job does not require a single zone, all tasks
	// are counted under "".
	fitting := map[string]int{}
	for _, worker := range workers {
		if !worker.canRun(job) {
			continue
		}
		zone := ""
		if job.SingleZone {
			zone = worker.Machine.Zone
		}
		fitting[zone] += worker.countFittingTasks(job, tasks-fitting[zone])
		if fitting[zone] >= tasks {
			return true
		}
	}
	return false
}

// canRun reports whether a machine is usable and a job may run on it. A machine is not usable
// if it is dead or hangs, if it fails its tasks, or if it has been given a termination notice.
func (w *Worker) canRun(job *wire.Job) bool {
	if w.dead || w.hung || w.failsTasks || w.terminationNoticeS != nil {
		return false
	}
	if (w.Machine.Spot && !job.AllowSpot) || (job.Zone != "" && job.Zone != w.Machine.Zone) {
		return false
	}
	return machineTypeAllowed(job, w.Machine.MachineType)
}

// countFittingTasks returns how many of a job's tasks, up to a limit, fit on a machine in
// addition to the tasks that it has.
func (w *Worker) countFittingTasks(job *wire.Job, limit int) int {
	cpus, gpus, memory := w.machineType.CPUs, w.machineType.GPUs, w.machineType.MemoryGB
	for _, t := range w.tasks {
		if t.state != wire.TaskExited {
			cpus, gpus, memory = cpus-t.job.CPUs, gpus-t.job.GPUs, memory-t.job.MemoryGB
		}
	}
	count := 0
	for cpus >= job.CPUs && gpus >= job.GPUs && memory >= job.MemoryGB && count < limit {
		cpus, gpus, memory = cpus-job.CPUs, gpus-job.GPUs, memory-job.MemoryGB
		count++
	}
	return count
}
