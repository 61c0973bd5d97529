package controller

import (
	"context"
	"log/slog"
	"maps"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// readSummaries reads the summaries of all partitions. If the summary of a partition cannot be
// read, the leader keeps the previous one.
func (l *leader) readSummaries(ctx context.Context) {
	items, _, err := l.controller.store.List(ctx, records.SummaryPrefix)
	if err != nil {
		slog.Debug("reading partition summaries failed", "err", err)
		return
	}
	values := make(map[string]wire.Raw, len(items))
	revisions := make(map[string]uint64, len(items))
	for _, item := range items {
		values[item.Key] = item.Value
		revisions[item.Key] = item.Revision
	}
	for partition := range l.controller.partitionCount {
		if summary, ok := decodeSummary(partition, values); ok {
			l.summaries[partition] = summary
			l.logSummaryRead(partition, revisions[records.SummaryKey(partition)])
		}
	}
}

// logSummaryRead logs the summary of a partition if its own record has another revision than
// the one that was logged last. Together with what the owner logs when it writes a summary, the
// revision shows whether the leader sizes the fleet by the owner's latest summary.
func (l *leader) logSummaryRead(partition int, revision uint64) {
	if l.loggedSummaries[partition] == revision {
		return
	}
	l.loggedSummaries[partition] = revision
	summary := l.summaries[partition]
	slog.Debug("partition summary read", "partition", partition, "revision", revision,
		"waiting_tasks", summary.WaitingTasks(), "machines", len(summary.MachineDigests))
}

// decodeSummary combines the records of a partition's summary. It returns false if the
// partition has no summary, or if its main record cannot be decoded.
func decodeSummary(partition int, values map[string]wire.Raw) (records.PartitionSummary, bool) {
	var summary records.PartitionSummary
	value, ok := values[records.SummaryKey(partition)]
	if !ok {
		return summary, false
	}
	if err := wire.Unmarshal(value, &summary); err != nil {
		slog.Debug("decoding partition summary failed", "partition", partition, "err", err)
		return summary, false
	}
	summary.MachineDigests = map[string]records.MachineDigest{}
	for i := range summary.DigestRecordCount {
		var digests map[string]records.MachineDigest
		key := records.MachineDigestsKey(partition, i)
		if err := wire.Unmarshal(values[key], &digests); err != nil {
			slog.Debug("decoding machine digests failed", "partition", partition, "err", err)
		}
		maps.Copy(summary.MachineDigests, digests) // no machine is in two records
	}
	for i := range summary.OverflowRecordCount {
		var overflow []records.Demand
		key := records.OverflowDemandKey(partition, i)
		if err := wire.Unmarshal(values[key], &overflow); err != nil {
			slog.Debug("decoding waiting demand failed", "partition", partition, "err", err)
		}
		summary.Waiting = append(summary.Waiting, overflow...)
	}
	return summary, true
}

// machineDigests combines the digests of all partitions, by machine ID. While a machine is
// being moved, two partitions may have a digest of it; their bits are combined.
func (l *leader) machineDigests() map[string]records.MachineDigest {
	digests := map[string]records.MachineDigest{}
	for _, summary := range l.summaries {
		for id, digest := range summary.MachineDigests {
			digests[id] |= digest
		}
	}
	return digests
}
