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

// missedListingsUntilGone is how many lists in a row must lack a machine before it counts as
// gone, beside those that may be out of date.
const missedListingsUntilGone = 3

// returnReason is why a machine is returned, as the log shows it.
type returnReason string

const (
	returnNone      returnReason = ""
	returnReleased  returnReason = "released"         // its partition's owner has released it
	returnFailed    returnReason = "failed"           // the cloud says so
	returnNotListed returnReason = "no longer listed" // taken by the cloud
	returnUnhealthy returnReason = "faulty or silent" // by its partition's owner
	returnNeverUp   returnReason = "did not come up"  // within a multiple of its boot time
)

// machineReturn is a machine to be returned.
type machineReturn struct {
	id     string
	reason returnReason
}

// returnMachines returns machines that their owners have released, that are lost, or that
// never came up.
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

// returnCheck decides which machines are to be returned.
type returnCheck struct {
	now       time.Time
	listings  map[string]machineListing
	digests   map[string]records.MachineDigest
	bootS     map[string]float64 // seconds, by machine type
	patience  float64            // multiple of the boot time until a machine has to be up
	listLagS  float64            // seconds by which the cloud's list may be out of date
	goneAfter int                // lists in a row without a machine
}

func (l *leader) newReturnCheck(now time.Time) returnCheck {
	tunables := l.controller.tuning
	listLagS := l.controller.settings.Cluster.Cloud.ListLagS
	check := returnCheck{
		now:      now,
		listings: l.listings,
		digests:  l.machineDigests(),
		bootS:    map[string]float64{},
		patience: tunables.BootPatience,
		listLagS: listLagS,
		// A list may be older than the one before by as much as it lags, so that a
		// machine can be missing from some although it is there.
		goneAfter: missedListingsUntilGone + int(listLagS/tunables.ListS),
	}
	for _, machineType := range l.controller.catalog() {
		check.bootS[machineType.Name] = machineType.BootS
	}
	return check
}

// reason returns why a machine is to be returned; returnNone if it stays.
func (c *returnCheck) reason(id string, record records.MachineRecord) returnReason {
	listing, digest := c.listings[id], c.digests[id]
	switch {
	case record.Desired == records.DesiredReturned && record.Released:
		return returnReleased
	case listing.state == wire.MachineFailed:
		return returnFailed
	case listing.missed >= c.goneAfter:
		return returnNotListed
	case digest&records.DigestUnhealthy != 0:
		return returnUnhealthy
	case c.bootOverdue(record) && digest&records.DigestReporting == 0 && listing.state != wire.MachineRunning:
		return returnNeverUp
	}
	return returnNone
}

// bootOverdue reports whether a machine would have to be up, and listed as such, by now.
func (c *returnCheck) bootOverdue(record records.MachineRecord) bool {
	age := c.now.Sub(time.UnixMilli(record.CreatedAtMS))
	return age > tuning.Seconds(c.patience*c.bootS[record.MachineType]+c.listLagS)
}

// returnToCloud returns machines. Their records are deleted only once the cloud has
// answered: by then the machines are gone, and no task can still run on them.
func (l *leader) returnToCloud(ctx context.Context, returns []machineReturn) {
	if !l.mayCallCloud() {
		return
	}
	ids := make([]string, 0, len(returns))
	for _, machine := range returns {
		ids = append(ids, machine.id)
	}
	if err := l.controller.cloud.Return(ctx, ids); err != nil {
		slog.Debug("machines not returned", "machines", ids, "err", err)
		return
	}
	logReturns(returns)
	l.deleteReturned(ctx, ids)
}

// deleteReturned deletes the records of machines that the cloud has taken back.
func (l *leader) deleteReturned(ctx context.Context, ids []string) {
	changes := map[string]*records.MachineRecord{}
	for _, id := range ids {
		listing := l.listings[id]
		listing.returnedAt = time.Now()
		l.listings[id] = listing
		if entry, ok := l.controller.cluster.machine(id); ok {
			// The cloud has capacity for another one of its kind now.
			delete(l.backoffs, offeringOfMachine(entry.record))
			changes[id] = nil
		}
	}
	if err := l.controller.rewriteMachines(ctx, l.fence(), changes); err != nil {
		slog.Debug("records of returned machines not deleted", "err", err)
	}
}

// logReturns writes one line for each reason.
func logReturns(returns []machineReturn) {
	byReason := map[returnReason][]string{}
	for _, machine := range returns {
		byReason[machine.reason] = append(byReason[machine.reason], machine.id)
	}
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		slog.Info("returned", "machines", byReason[reason], "why", string(reason))
	}
}
