package scheduler

import (
	"time"

	"ambersill/internal/tuning"
)

// minMachinesToBlameJob is the number of machines on which a job must have failed for the
// cause to be sought in the job rather than in a machine.
const minMachinesToBlameJob = 2

// jobFailures are the failures of a job's tasks, and the back-off that follows from them.
type jobFailures struct {
	machines  map[string]bool // IDs of the machines where tasks exited with an error
	backoffS  float64
	notBefore time.Time // no attempt before then
}

// record records a failure on a machine.
func (f *jobFailures) record(machineID string) {
	if f.machines == nil {
		f.machines = map[string]bool{}
	}
	f.machines[machineID] = true
}

// failedOn reports whether a task of the job has failed on a machine.
func (f *jobFailures) failedOn(machineID string) bool { return f.machines[machineID] }

// forgetMachine drops the failures on a machine.
func (f *jobFailures) forgetMachine(machineID string) { delete(f.machines, machineID) }

// forgetAllMachines drops the failures on all machines.
func (f *jobFailures) forgetAllMachines() { clear(f.machines) }

// resetBackoff has the next back-off begin with the shortest delay again.
func (f *jobFailures) resetBackoff() { f.backoffS = 0 }

// backOff delays the next attempt of the job, each time for longer: a job that fails
// everywhere must not keep machines busy or rented.
func (f *jobFailures) backOff(tunables *tuning.Tuning, now time.Time) {
	if f.backoffS == 0 {
		f.backoffS = tunables.ErrorBackoffS
	} else {
		f.backoffS = min(2*f.backoffS, tunables.ErrorBackoffMaxS)
	}
	f.notBefore = now.Add(tuning.Seconds(f.backoffS))
}

// recordFailure blames an error on the machine if several jobs fail there, and on the job
// if it fails on several machines.
func (p *Partition) recordFailure(job *Job, machine *Machine, now time.Time) {
	job.failures.record(machine.ID)
	machine.failedJobs[job.ID] = true
	if len(machine.failedJobs) >= p.tuning.SickErrors && !machine.quarantined {
		machine.quarantined = true
		p.capacityVersion++
	}
	if len(job.failures.machines) >= minMachinesToBlameJob && !job.IsService() {
		job.failures.backOff(p.tuning, now)
	}
}
