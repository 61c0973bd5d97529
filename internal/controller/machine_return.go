package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// missedListingsUntilGone is the number of consecutive listings that must lack a machine
// before the cloud counts as having taken it back. newReturnCheck adds the number of listings
// that may be outdated.
const missedListingsUntilGone = 3

// returnReason is the reason for returning a machine, as it is logged.
type returnReason string

const (
	returnNone      returnReason = ""
	returnReleased  returnReason = "released"         // released by its partition's owner
	returnFailed    returnReason = "failed"           // listed by the cloud as failed
	returnNotListed returnReason = "no longer listed" // taken back by the cloud
	returnUnhealthy returnReason = "faulty or silent" // according to its partition's owner
	returnNotBooted returnReason = "did not come up"  // within BootPatience times its boot time
)

// machineReturn is a machine to be returned to the cloud.
type machineReturn struct {
	id     string
	reason returnReason
}

// returnMachines returns to the cloud, in one request, the machines for which
// returnCheck.reason gives a reason, up to the limit of a request.
func (l *leader) returnMachines(ctx context.Context) {
	ids, machines := l.controller.cluster.recordedMachines()
	check := l.newReturnCheck(time.Now())
	var returns []machineReturn
	for _, id := range ids {
		if len(returns) == tuning.MaxMachinesPerReturn {
			break
		}
		if reason := check.reason(id, machines[id].record); reason != returnNone {
			returns = append(returns, machineReturn{id: id, reason: reason})
		}
	}
	if len(returns) > 0 {
		l.returnToCloud(ctx, returns)
	}
}

// returnCheck contains what the decision to return a machine depends on.
type returnCheck struct {
	now               time.Time
	listings          map[string]machineListing
	digests           map[string]records.MachineDigest
	bootS             map[string]float64 // boot time in seconds, by machine type
	bootPatience      float64            // multiple of the boot time by which a machine must be up
	listLagS          float64            // maximum age of the cloud's listing, in seconds
	goneAfterListings int                // consecutive missed listings that show a machine is gone
}

func (l *leader) newReturnCheck(now time.Time) returnCheck {
	tunables := l.controller.tuning
	listLagS := l.controller.settings.Cluster.Cloud.MaxListLagS
	check := returnCheck{
		now:          now,
		listings:     l.listings,
		digests:      l.machineDigests(),
		bootS:        map[string]float64{},
		bootPatience: tunables.BootPatience,
		listLagS:     listLagS,
		// Each listing may be outdated by up to MaxListLagS, and may even be older than the
		// previous one. A machine that exists can therefore be missing from all listings
		// within that time.
		goneAfterListings: missedListingsUntilGone + int(listLagS/tunables.ListS),
	}
	for _, machineType := range l.controller.catalog() {
		check.bootS[machineType.Name] = machineType.BootS
	}
	return check
}

// reason returns the reason for which a machine must be returned, or returnNone if there is
// none.
func (c *returnCheck) reason(id string, record records.MachineRecord) returnReason {
	listing, digest := c.listings[id], c.digests[id]
	switch {
	case record.Desired == records.DesiredReturned && record.Released:
		return returnReleased
	case listing.state == wire.MachineFailed:
		return returnFailed
	case listing.missedListings >= c.goneAfterListings:
		return returnNotListed
	case digest&records.DigestUnhealthy != 0:
		return returnUnhealthy
	case c.bootOverdue(record) && digest&records.DigestReporting == 0 && listing.state != wire.MachineRunning:
		return returnNotBooted
	}
	return returnNone
}

// bootOverdue reports whether a machine was created so long ago that it should be up, and
// listed as running.
func (c *returnCheck) bootOverdue(record records.MachineRecord) bool {
	age := c.now.Sub(time.UnixMilli(record.CreatedAtMS))
	return age > tuning.Seconds(c.bootPatience*c.bootS[record.MachineType]+c.listLagS)
}

// returnToCloud returns machines. It deletes their records only after the cloud has confirmed
// the return, because only then is it certain that no task still runs on them.
func (l *leader) returnToCloud(ctx context.Context, returns []machineReturn) {
	if !l.mayCallCloud() {
		return
	}
	ids := make([]string, 0, len(returns))
	for _, machine := range returns {
		ids = append(ids, machine.id)
	}
	if err := l.controller.cloud.Return(ctx, ids); err != nil {
		slog.Debug("returning machines to the cloud failed", "machines", ids, "err", err)
		return
	}
	logReturns(returns)
	l.deleteReturnedRecords(ctx, ids)
}

// deleteReturnedRecords deletes the records of machines that the cloud has taken back.
func (l *leader) deleteReturnedRecords(ctx context.Context, ids []string) {
	changes := map[string]*records.MachineRecord{}
	for _, id := range ids {
		listing := l.listings[id]
		listing.returnedAt = time.Now()
		l.listings[id] = listing
		if entry, ok := l.controller.cluster.machine(id); ok {
			// The returned machine is capacity that the cloud can rent out again.
			delete(l.backoffs, offeringOfMachine(entry.record))
			changes[id] = nil
		}
	}
	if err := l.controller.commitMachineRecords(ctx, l.fence(), changes); err != nil {
		slog.Debug("deleting records of returned machines failed", "err", err)
	}
}

// logReturns logs one line for each reason, with the IDs of the machines.
func logReturns(returns []machineReturn) {
	byReason := map[returnReason][]string{}
	for _, machine := range returns {
		byReason[machine.reason] = append(byReason[machine.reason], machine.id)
	}
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		slog.Info("machines returned", "machines", byReason[reason], "why", string(reason))
	}
}
