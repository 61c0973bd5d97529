package emulator

import "context"

// hangMachines suspends machines for the fault's duration. It returns at once, since each worker
// ends its own hang.
func (f *FaultInjector) hangMachines(fault Fault) {
	workers := f.targetWorkers(fault)
	for _, worker := range workers {
		worker.Hang(fault.ActiveFor)
	}
	f.countInjected(fault.Kind, len(workers))
}

// loseMachines removes machines without a termination notice.
func (f *FaultInjector) loseMachines(fault Fault) {
	workers := f.targetWorkers(fault)
	for _, worker := range workers {
		f.Cloud.Reclaim(worker.Machine.ID)
	}
	f.countInjected(fault.Kind, len(workers))
}

// cutMachines cuts machines off in one direction by calling setCut, and restores that direction when
// the fault is over, unless another active fault has cut it too.
func (f *FaultInjector) cutMachines(ctx context.Context, fault Fault, setCut func(worker *Worker, on bool)) {
	workers := f.targetWorkers(fault)
	var ends []func()
	for _, worker := range workers {
		key := settingKey{kind: fault.Kind, target: worker.Machine.ID}
		ends = append(ends, f.switches.begin(key, true, func(on bool) { setCut(worker, on) }))
	}
	f.countInjected(fault.Kind, len(workers))
	waitUntilOver(ctx, fault)
	callAll(ends)
}

// delayCommands delays the commands that are sent directly to machines until the fault is over.
// It counts the requests whose commands came late, rather than the machines.
func (f *FaultInjector) delayCommands(ctx context.Context, fault Fault) {
	workers := f.targetWorkers(fault)
	before := countLateCommandRequests(workers)
	var ends []func()
	for _, worker := range workers {
		key := settingKey{kind: fault.Kind, target: worker.Machine.ID}
		ends = append(ends, f.delays.begin(key, fault.Delay, worker.DelayCommands))
	}
	waitUntilOver(ctx, fault)
	f.countInjected(fault.Kind, countLateCommandRequests(workers)-before)
	callAll(ends)
}

func countLateCommandRequests(workers []*Worker) int {
	count := 0
	for _, worker := range workers {
		count += worker.LateCommandRequests()
	}
	return count
}

// targetWorkers returns the workers of the machines that a fault affects, ordered by machine ID.
func (f *FaultInjector) targetWorkers(fault Fault) []*Worker {
	var targetWorkers []*Worker
	for _, worker := range f.Cloud.Workers() {
		if fault.MaxTargets > 0 && len(targetWorkers) == fault.MaxTargets {
			break
		}
		if fault.Zone != "" && worker.Machine.Zone != fault.Zone {
			continue
		}
		if worker.isTarget(fault) {
			targetWorkers = append(targetWorkers, worker)
		}
	}
	return targetWorkers
}

// isTarget reports whether a fault affects the worker's machine; the caller checks the zone. Most
// faults affect only machines that have tasks of the fault's team, or of any team if none is set.
// DelayedCommands affects every machine that is up, since most commands that start tasks are sent
// to idle machines.
func (w *Worker) isTarget(fault Fault) bool {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	if w.dead {
		return false
	}
	if fault.Kind == DelayedCommands {
		return true
	}
	for _, t := range w.tasks {
		if fault.Team == "" || t.job.Team == fault.Team {
			return true
		}
	}
	return false
}
