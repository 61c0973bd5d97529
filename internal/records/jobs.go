package records

import "ambersill/internal/wire"

// JobRecord is a job as users see it. It is never deleted.
type JobRecord struct {
	Job           *wire.Job     `cbor:"job"`
	Phase         wire.JobPhase `cbor:"ph"`
	Partition     int           `cbor:"p"`
	SubmittedAtMS int64         `cbor:"at"` // Unix time in milliseconds
}
