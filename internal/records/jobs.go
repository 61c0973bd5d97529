package records

import "ambersill/internal/wire"

// JobRecord is the state of a job that users can query. It is never deleted.
type JobRecord struct {
	Job           *wire.Job     `cbor:"job"`
	Phase         wire.JobPhase `cbor:"ph"`
	Partition     int           `cbor:"p"`
	SubmittedAtMS int64         `cbor:"at"` // Unix time in milliseconds
}
