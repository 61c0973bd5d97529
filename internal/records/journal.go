package records

// JournalRecord is one record of a partition's journal. Its sequence orders it: the state of a
// task in a record is overridden by one with a higher sequence, and a chunk's record contains
// everything up to its own JournalSequence.
type JournalRecord struct {
	Sequence uint64         `cbor:"q"`
	Entries  []JournalEntry `cbor:"e"`
}

// JournalEntry is the state of some tasks of a chunk. It is encoded as an array.
type JournalEntry struct {
	_              struct{} `cbor:",toarray"`
	Job            string
	Chunk          int    // the chunk's number in the initial format
	HighestAttempt uint64 // highest attempt of any task of the job
	Placements     []PlacementRecord
	DoneRanges     []int // flattened ranges of the tasks that are done
	WaitingRanges  []int // flattened ranges of the tasks that wait again
}

// JournalEntryOverheadBytes bounds an entry's size without its job's name and tasks.
const JournalEntryOverheadBytes = 40

// SizeBound returns an upper bound of the entry's size in bytes, as the key-value store counts.
func (e *JournalEntry) SizeBound() int {
	size := JournalEntryOverheadBytes + len(e.Job)
	size += rangesSizeBound(e.DoneRanges) + rangesSizeBound(e.WaitingRanges)
	for _, placement := range e.Placements {
		size += placement.SizeBound()
	}
	return size
}

// LoadedJournalRecord is a journal record with the revision of its key.
type LoadedJournalRecord struct {
	Revision uint64
	Record   JournalRecord
}
