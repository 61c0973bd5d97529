package records

import (
	"strconv"
	"strings"
)

// Prefixes of the keys of partitions, jobs and their tasks.
const (
	jobPrefix          = "j/"
	chunkPrefix        = "a/"
	cancellationPrefix = "x/"
	journalPrefix      = "g/"
)

// Keys of the cluster: leader, owners, live nodes, machines and rentals.
const (
	// ClusterPrefix is the prefix of all keys that every controller watches.
	ClusterPrefix = "c/"
	// LeaderKey is the key of the OwnerRecord of the leader.
	LeaderKey = "c/lead"
	// FeatureLevelKey is the key of the LevelRecord.
	FeatureLevelKey = "c/level"
	// NodePrefix, with a node's name, is the key of its NodeRecord.
	NodePrefix = "c/n/"
	// PartitionPrefix is the prefix of the partitions' OwnerRecords; see PartitionKey.
	PartitionPrefix = "c/p/"
	// MachinePrefix, with the name of a group, is the key of its MachineGroupRecord.
	MachinePrefix = "c/m/"
	// RentalPrefix, with the name of a rental, is the key of its RentalRecord.
	RentalPrefix = "c/h/"
	// SummaryPrefix is the prefix of all summaries and their further records.
	SummaryPrefix = "s/"
)

// PartitionKey returns the key of the OwnerRecord of a partition's owner.
func PartitionKey(partition int) string { return PartitionPrefix + strconv.Itoa(partition) }

// JobKey returns the key of a job's JobRecord.
func JobKey(id string) string { return jobPrefix + id }

// ChunkPrefix returns the prefix of the keys of all chunks of a partition.
func ChunkPrefix(partition int) string { return partitionedPrefix(chunkPrefix, partition) }

// ChunkKey returns the key of the ChunkRecord of a job's chunk.
func ChunkKey(partition int, id, name string) string { return ChunkPrefix(partition) + id + "/" + name }

// chunkKeyComponents is the number of components of a chunk's key: prefix, partition, job, name.
const chunkKeyComponents = 4

// ParseChunkKey returns the job and the name that a chunk's key contains, and reports whether
// the key has the form of one.
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

// IsFirstChunkName reports whether a chunk's name is that of a job's first one.
func IsFirstChunkName(name string) bool { return name == firstChunkName }

// ExplicitChunkName returns the name of a chunk with an explicit range that begins at a task.
// It is not a number, so that it never equals the name of a chunk of the initial format.
func ExplicitChunkName(from int) string { return "t" + strconv.Itoa(from) }

// CancellationPrefix returns the prefix of the keys of all cancellations in a partition.
func CancellationPrefix(partition int) string {
	return partitionedPrefix(cancellationPrefix, partition)
}

// CancellationKey returns the key that shows a cancelled job to its partition's owner. Its value
// is true.
func CancellationKey(partition int, id string) string { return CancellationPrefix(partition) + id }

// JournalPrefix returns the prefix of the keys of a partition's journal; a slot's number follows.
func JournalPrefix(partition int) string { return partitionedPrefix(journalPrefix, partition) }

// SummaryKey returns the key of a partition's PartitionSummary.
func SummaryKey(partition int) string { return SummaryPrefix + strconv.Itoa(partition) }

// MachineDigestsKey returns the key of the i-th record of a partition's machine digests.
func MachineDigestsKey(partition, i int) string { return SummaryKey(partition) + "/" + strconv.Itoa(i) }

// OverflowDemandKey returns the key of the i-th record of the demand that does not fit a partition's
// summary.
func OverflowDemandKey(partition, i int) string {
	return SummaryKey(partition) + "/w" + strconv.Itoa(i)
}

// partitionedPrefix returns the prefix of one partition's keys of a kind.
func partitionedPrefix(prefix string, partition int) string {
	return prefix + strconv.Itoa(partition) + "/"
}
