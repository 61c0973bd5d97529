package scheduler

import (
	"time"

	"ambersill/internal/tuning"
)

// minMachinesToBlameJob is the minimum number of machines on which a job must have failed before
// the failures are attributed to the job instead of a machine.
const minMachinesToBlameJob = 2

// jobFailures contains the failures of a job's tasks and the resulting back-off.
type jobFailures struct {
	machines  map[string]bool // IDs of the machines where tasks exited with an error
	backoffS  float64
	notBefore time.Time // no task of the job is placed before this time
}

// record records that a task failed on a machine.
func (f *jobFailures) record(machineID string) {
	if f.machines == nil {
		f.machines = map[string]bool{}
	}
	f.machines[machineID] = true
}

// failedOn reports whether a failure on the machine is recorded.
func (f *jobFailures) failedOn(machineID string) bool { return f.machines[machineID] }

// forgetMachine deletes the record of failures on a machine.
func (f *jobFailures) forgetMachine(machineID string) { delete(f.machines, machineID) }

// forgetAllMachines deletes the records of failures on all machines.
func (f *jobFailures) forgetAllMachines() { clear(f.machines) }

// resetBackoff makes the next back-off start with the shortest delay.
func (f *jobFailures) resetBackoff() { f.backoffS = 0 }

// extendBackoff delays the next attempt of the job. The delay doubles each time, up to
// ErrorBackoffMaxS, so that a job that fails everywhere does not keep machines busy or rented.
func (f *jobFailures) extendBackoff(tunables *tuning.Tuning, now time.Time) {
	if f.backoffS == 0 {
		f.backoffS = tunables.ErrorBackoffS
	} else {
		f.backoffS = min(2*f.backoffS, tunables.ErrorBackoffMaxS)
	}
	f.notBefore = now.Add(tuning.Seconds(f.backoffS))
}

// recordFailure records that a task of a job failed on a machine. It quarantines the machine once
// SickErrors different jobs have failed on it without a success in between, and delays the job
// once it has failed on several machines, unless it is a service.
func (p *Partition) recordFailure(job *Job, machine *Machine, now time.Time) {
	job.failures.record(machine.ID)
	machine.failedJobs[job.ID] = true
	if len(machine.failedJobs) >= p.tuning.SickErrors && !machine.quarantined {
		machine.quarantined = true
		p.capacityVersion++
	}
	if len(job.failures.machines) >= minMachinesToBlameJob && !job.IsService() {
		job.failures.extendBackoff(p.tuning, now)
	}
}
