package controller

import (
	"context"
	"log/slog"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// readSummaries reads the partitions' summaries. Of those that cannot be read the leader
// keeps the former one.
func (l *leader) readSummaries(ctx context.Context) {
	items, _, err := l.controller.store.List(ctx, records.SummaryPrefix)
	if err != nil {
		slog.Debug("summaries not read", "err", err)
		return
	}
	values := make(map[string]wire.Raw, len(items))
	for _, item := range items {
		values[item.Key] = item.Value
	}
	for partition := range l.controller.partitions {
		if summary, ok := decodeSummary(partition, values); ok {
			l.summaries[partition] = summary
		}
	}
}

// decodeSummary joins the records of a partition's summary, and reports whether it has one.
func decodeSummary(partition int, values map[string]wire.Raw) (records.PartitionSummary, bool) {
	var summary records.PartitionSummary
	value, ok := values[records.SummaryKey(partition)]
	if !ok || wire.Unmarshal(value, &summary) != nil {
		return summary, false
	}
	summary.MachineDigests = map[string]records.MachineDigest{}
	for i := range summary.DigestRecordCount {
		// All into the same map: no machine is in two records.
		key := records.MachineDigestsKey(partition, i)
		if err := wire.Unmarshal(values[key], &summary.MachineDigests); err != nil {
			slog.Debug("machine digests not read", "partition", partition, "err", err)
		}
	}
	for i := range summary.OverflowRecordCount {
		var overflow []records.Demand
		key := records.OverflowDemandKey(partition, i)
		if err := wire.Unmarshal(values[key], &overflow); err != nil {
			slog.Debug("demands not read", "partition", partition, "err", err)
		}
		summary.Waiting = append(summary.Waiting, overflow...)
	}
	return summary, true
}

// machineDigests joins the digests of all partitions. While a machine moves, two may have
// one of it.
func (l *leader) machineDigests() map[string]records.MachineDigest {
	digests := map[string]records.MachineDigest{}
	for _, summary := range l.summaries {
		for id, digest := range summary.MachineDigests {
			digests[id] |= digest
		}
	}
	return digests
}
