package records

// JournalRecord is one record of the journal. Its number orders it: what a higher
// one says of a task overrides a lower one, and a chunk's record holds all up to
// the number it names.
type JournalRecord struct {
	Sequence uint64         `cbor:"q"`
	Entries  []JournalEntry `cbor:"e"`
}

// JournalEntry is the present state of some tasks of a chunk.
type JournalEntry struct {
	_              struct{} `cbor:",toarray"`
	Job            string
	Chunk          int
	HighestAttempt uint64 // highest attempt given out
	Placements     []PlacementRecord
	DoneRanges     []int // ranges, as in a chunk's record
	WaitingRanges  []int // ranges of tasks that wait again
}

// JournalEntryOverheadBytes is an entry's size without its job's name and tasks.
const JournalEntryOverheadBytes = 40

func (e *JournalEntry) SizeBound() int {
	n := JournalEntryOverheadBytes + len(e.Job) + RangeBytes/2*(len(e.DoneRanges)+len(e.WaitingRanges))
	for _, placed := range e.Placements {
		n += placed.SizeBound()
	}
	return n
}

// LoadedJournalRecord is a journal record as its key shows it.
type LoadedJournalRecord struct {
	Revision uint64
	Record   JournalRecord
}
