package scheduler

import (
	"time"
)

// reservedForDrain is the holder of the reservation of a machine that is being drained; no
// job has such an ID.
const reservedForDrain = "draining"

// toleratedHeartbeats is how many heartbeat intervals a worker may take to report a change:
// one or two heartbeats may be lost or late.
const toleratedHeartbeats = 3

// heartbeatToleranceS returns the seconds that a worker may take to report a change.
func (p *Partition) heartbeatToleranceS() float64 {
	return toleratedHeartbeats * p.settings.Cluster.Workers.ReportS
}

// reserve keeps the machine's free capacity for a job, or for reservedForDrain.
func (m *Machine) reserve(holder string, until time.Time) {
	m.reservedFor = holder
	m.reservedUntil = until
}

// isReserved reports whether the machine is reserved for any holder by now.
func (m *Machine) isReserved(now time.Time) bool {
	return m.reservedFor != "" && now.Before(m.reservedUntil)
}

// isReservedForOther reports whether the machine is reserved for another than a job by now.
func (m *Machine) isReservedForOther(job *Job, now time.Time) bool {
	return m.isReserved(now) && m.reservedFor != job.ID
}
