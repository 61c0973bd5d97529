package records

// JournalRecord is one record of a partition's journal. Records are ordered by sequence: the state
// of a task in one record is overridden by that in a record with a higher sequence. A ChunkRecord
// includes the changes of all records up to its JournalSequence.
type JournalRecord struct {
	Sequence uint64         `cbor:"q"`
	Entries  []JournalEntry `cbor:"e"`
}

// JournalEntry is the new state of the tasks of a chunk that have changed. It is encoded as an
// array.
type JournalEntry struct {
	_              struct{} `cbor:",toarray"`
	Job            string
	Chunk          int    // the chunk's index in the initial format
	HighestAttempt uint64 // highest attempt of any task of the job
	Placements     []PlacementRecord
	DoneRanges     []int // done tasks, as flattened ranges
	WaitingRanges  []int // tasks that wait again, as flattened ranges
}

// JournalEntryOverheadBytes is an upper bound of an entry's size without its job ID and tasks.
const JournalEntryOverheadBytes = 40

// SizeBound returns an upper bound of the entry's size in bytes, as the key-value store counts
// them: by the length as JSON.
func (e *JournalEntry) SizeBound() int {
	size := JournalEntryOverheadBytes + len(e.Job)
	size += rangesSizeBound(e.DoneRanges) + rangesSizeBound(e.WaitingRanges)
	for _, placement := range e.Placements {
		size += placement.SizeBound()
	}
	return size
}

// LoadedJournalRecord is a JournalRecord read from the key-value store, with its key's revision.
type LoadedJournalRecord struct {
	Revision uint64
	Record   JournalRecord
}
