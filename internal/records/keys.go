package records

import (
	"strconv"
	"strings"
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return "j/" + id }

// ChunkPrefix is the prefix of all chunks of a part.
func ChunkPrefix(partition int) string { return "a/" + strconv.Itoa(partition) + "/" }

// ChunkKey is the key of a chunk of a job.
func ChunkKey(partition int, id, name string) string { return ChunkPrefix(partition) + id + "/" + name }

// ParseChunkKey takes a chunk's key apart.
func ParseChunkKey(key string) (id, name string, ok bool) {
	f := strings.Split(key, "/")
	if len(f) != 4 {
		return "", "", false
	}
	return f[2], f[3], true
}

// CancellationPrefix is the prefix of the marks of cancelled jobs of a part.
func CancellationPrefix(partition int) string { return "x/" + strconv.Itoa(partition) + "/" }

// CancellationKey marks a job as cancelled for its part's owner.
func CancellationKey(partition int, id string) string { return CancellationPrefix(partition) + id }

// PartitionKey is the key that names a part's owner.
func PartitionKey(partition int) string { return "c/p/" + strconv.Itoa(partition) }

// JournalPrefix is the prefix of a part's journal.
func JournalPrefix(partition int) string { return "g/" + strconv.Itoa(partition) + "/" }

// firstChunkName is the name of the chunk that holds a job's description.
const firstChunkName = "0"

// FirstChunkKey is the key of the chunk that holds a job's description.
func FirstChunkKey(partition int, id string) string { return ChunkKey(partition, id, firstChunkName) }

// IsFirstChunk tells whether a chunk's name is that of a job's first one.
func IsFirstChunk(name string) bool { return name == firstChunkName }

// ExplicitChunkName is the name of a chunk that begins at a task; it is no number, so that it is
// never that of a chunk of the first format.
func ExplicitChunkName(from int) string { return "t" + strconv.Itoa(from) }

// Keys of the cluster: who leads, owns and lives, machines and rentals.
const (
	ClusterPrefix   = "c/"
	LeaderKey       = "c/lead"
	FeatureLevelKey = "c/level"
	NodePrefix      = "c/n/"
	PartitionPrefix = "c/p/"
	MachinePrefix   = "c/m/"
	RentalPrefix    = "c/h/"
	SummaryPrefix   = "s/"
)

func SummaryKey(partition int) string { return SummaryPrefix + strconv.Itoa(partition) }

// MachineDigestsKey is the key of one of the records of a part's notes on its machines.
func MachineDigestsKey(partition, i int) string { return SummaryKey(partition) + "/" + strconv.Itoa(i) }

// WaitingKey is the key of one of the records of a part's waiting work, beyond what its
// summary holds.
func WaitingKey(partition, i int) string { return SummaryKey(partition) + "/w" + strconv.Itoa(i) }
