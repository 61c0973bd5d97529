package records

import (
	"strconv"
	"strings"
)

// Prefixes of the keys of jobs, chunks, cancellations and journals.
const (
	jobPrefix          = "j/"
	chunkPrefix        = "a/"
	cancellationPrefix = "x/"
	journalPrefix      = "g/"
)

// Keys and prefixes of the cluster's state: the leader, the partitions' owners, live nodes,
// machines, rentals and summaries.
const (
	// ClusterPrefix is the prefix of all keys that every controller watches.
	ClusterPrefix = "c/"
	// LeaderKey is the key of the OwnerRecord of the leader.
	LeaderKey = "c/lead"
	// FeatureLevelKey is the key of the LevelRecord.
	FeatureLevelKey = "c/level"
	// NodePrefix followed by a node's name is the key of its NodeRecord.
	NodePrefix = "c/n/"
	// PartitionPrefix is the prefix of the keys of the partitions' OwnerRecords; see
	// PartitionKey.
	PartitionPrefix = "c/p/"
	// MachinePrefix followed by the name of a machine group is the key of its
	// MachineGroupRecord.
	MachinePrefix = "c/m/"
	// RentalPrefix followed by the request ID of a rental is the key of its RentalRecord.
	RentalPrefix = "c/h/"
	// SummaryPrefix is the prefix of the keys of all summaries, including their digest and
	// overflow records.
	SummaryPrefix = "s/"
)

// PartitionKey returns the key of a partition's OwnerRecord.
func PartitionKey(partition int) string { return PartitionPrefix + strconv.Itoa(partition) }

// JobKey returns the key of a job's JobRecord.
func JobKey(id string) string { return jobPrefix + id }

// ChunkPrefix returns the prefix of the keys of all chunks of a partition.
func ChunkPrefix(partition int) string { return partitionedPrefix(chunkPrefix, partition) }

// ChunkKey returns the key of the ChunkRecord of a job's chunk.
func ChunkKey(partition int, id, name string) string { return ChunkPrefix(partition) + id + "/" + name }

// chunkKeyComponents is the number of components of a chunk's key: prefix, partition, job, name.
const chunkKeyComponents = 4

// ParseChunkKey returns the job ID and the chunk's name from a chunk's key. ok is false if the key
// does not have four components.
func ParseChunkKey(key string) (id, name string, ok bool) {
	components := strings.Split(key, "/")
	if len(components) != chunkKeyComponents {
		return "", "", false
	}
	return components[2], components[3], true
}

// firstChunkName is the name of the chunk that contains a job's description.
const firstChunkName = "0"

// FirstChunkKey returns the key of the chunk that contains a job's description.
func FirstChunkKey(partition int, id string) string { return ChunkKey(partition, id, firstChunkName) }

// IsFirstChunkName reports whether name is the name of a job's first chunk.
func IsFirstChunkName(name string) bool { return name == firstChunkName }

// ExplicitChunkName returns the name of a chunk with an explicit range that begins at task from.
// The name is not a number, so that it differs from every chunk name of the initial format.
func ExplicitChunkName(from int) string { return "t" + strconv.Itoa(from) }

// CancellationPrefix returns the prefix of the keys of all cancellations in a partition.
func CancellationPrefix(partition int) string {
	return partitionedPrefix(cancellationPrefix, partition)
}

// CancellationKey returns the key whose presence tells a partition's owner that a job has been
// cancelled. Its value is true.
func CancellationKey(partition int, id string) string { return CancellationPrefix(partition) + id }

// JournalPrefix returns the prefix of the keys of a partition's journal. It is followed by the
// number of a slot.
func JournalPrefix(partition int) string { return partitionedPrefix(journalPrefix, partition) }

// SummaryKey returns the key of a partition's PartitionSummary.
func SummaryKey(partition int) string { return SummaryPrefix + strconv.Itoa(partition) }

// IsSummaryRecordKey reports whether key is the key of a partition's summary, or of one of its digest
// and overflow records.
func IsSummaryRecordKey(partition int, key string) bool {
	summaryKey := SummaryKey(partition)
	return key == summaryKey || strings.HasPrefix(key, summaryKey+"/")
}

// MachineDigestsKey returns the key of record i, counted from 0, of a partition's machine digests.
func MachineDigestsKey(partition, i int) string { return SummaryKey(partition) + "/" + strconv.Itoa(i) }

// OverflowDemandKey returns the key of record i, counted from 0, of the waiting demand that does
// not fit into a partition's summary.
func OverflowDemandKey(partition, i int) string {
	return SummaryKey(partition) + "/w" + strconv.Itoa(i)
}

// partitionedPrefix returns the prefix of a partition's keys among the keys with the given prefix.
func partitionedPrefix(prefix string, partition int) string {
	return prefix + strconv.Itoa(partition) + "/"
}
