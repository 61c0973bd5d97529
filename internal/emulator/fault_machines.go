package emulator

import "context"

// hangMachines has machines hang for as long as the fault lasts, and does not wait for that.
func (f *FaultInjector) hangMachines(fault Fault) {
	workers := f.targetWorkers(fault)
	for _, worker := range workers {
		worker.Hang(fault.ActiveFor)
	}
	f.countInjected(fault.Kind, len(workers))
}

// loseMachines removes machines without notice.
func (f *FaultInjector) loseMachines(fault Fault) {
	workers := f.targetWorkers(fault)
	for _, worker := range workers {
		f.Cloud.TakeBack(worker.Machine.ID)
	}
	f.countInjected(fault.Kind, len(workers))
}

// cutMachines cuts machines off in one direction.
func (f *FaultInjector) cutMachines(ctx context.Context, fault Fault, setCut func(worker *Worker, on bool)) {
	workers := f.targetWorkers(fault)
	for _, worker := range workers {
		setCut(worker, true)
	}
	f.countInjected(fault.Kind, len(workers))
	waitUntilOver(ctx, fault)
	restoreLinks(workers)
}

// delayCommands delays the commands that are sent directly to machines.
func (f *FaultInjector) delayCommands(ctx context.Context, fault Fault) {
	workers := f.targetWorkers(fault)
	before := countLateCommands(workers)
	for _, worker := range workers {
		worker.DelayCommands(fault.Delay)
	}
	waitUntilOver(ctx, fault)
	f.countInjected(fault.Kind, countLateCommands(workers)-before)
	restoreLinks(workers)
}

// restoreLinks ends all faults of the machines' links.
func restoreLinks(workers []*Worker) {
	for _, worker := range workers {
		worker.CutInbound(false)
		worker.CutOutbound(false)
		worker.DelayCommands(0)
	}
}

func countLateCommands(workers []*Worker) int {
	count := 0
	for _, worker := range workers {
		count += worker.LateCommands()
	}
	return count
}

// targetWorkers lists the workers of the machines that a fault strikes, by machine ID.
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

// isTarget reports whether a fault strikes the worker's machine, apart from its zone: a machine
// with work of the fault's team, or any that is up if commands are delayed, since those that
// start tasks are sent to idle machines above all.
func (k *Worker) isTarget(fault Fault) bool {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	if k.dead {
		return false
	}
	if fault.Kind == DelayedCommands {
		return true
	}
	for _, t := range k.tasks {
		if fault.Team == "" || t.job.Team == fault.Team {
			return true
		}
	}
	return false
}
