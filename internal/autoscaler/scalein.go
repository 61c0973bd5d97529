package autoscaler

import (
	"time"

	"ambersill/internal/tuning"
)

// machineSurplus is the number of machines of a type in excess of those needed. It is negative
// if machines are missing.
type machineSurplus struct {
	total int
	// onDemand is the number of on-demand machines in excess of those needed by jobs that do not
	// allow spot instances.
	onDemand int
}

// scaleIn plans the return of empty machines once a surplus has lasted for GiveBackS.
// On-demand machines are returned first, since they cost more.
func (a *Autoscaler) scaleIn(builder *planBuilder, machineType string, surplus machineSurplus, now time.Time) {
	if !a.surplusHasLasted(machineType, surplus.total, now) {
		return
	}
	returned := builder.returnEmptyMachines(machineType, onDemandMachines, min(surplus.total, surplus.onDemand))
	builder.returnEmptyMachines(machineType, spotMachines, surplus.total-returned)
}

// surplusHasLasted reports whether a machine type has had a surplus for GiveBackS. It records
// when a surplus begins, and forgets that time when the surplus ends.
func (a *Autoscaler) surplusHasLasted(machineType string, total int, now time.Time) bool {
	if total <= 0 {
		delete(a.surplusSince, machineType)
		return false
	}
	since, ok := a.surplusSince[machineType]
	if !ok {
		a.surplusSince[machineType] = now
		return false
	}
	return now.Sub(since) >= tuning.Seconds(a.tuning.GiveBackS)
}

// returnEmptyMachines plans the return of up to limit empty machines that the plan does not use,
// and returns the number of planned returns.
func (b *planBuilder) returnEmptyMachines(machineType string, spot bool, limit int) int {
	returned := 0
	for _, bin := range b.bins {
		if returned >= limit {
			break
		}
		if bin.offering.MachineType != machineType || bin.offering.Spot != spot || !bin.isReturnable() {
			continue
		}
		bin.usedByPlan = true
		returned++
		b.plan.Returns = append(b.plan.Returns, bin.machine.ID)
	}
	return returned
}

// isReturnable reports whether a bin is an empty machine that the plan does not use.
func (b *capacityBin) isReturnable() bool {
	return b.machine != nil && b.machine.Empty && !b.usedByPlan
}
