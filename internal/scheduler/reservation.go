package scheduler

import (
	"time"
)

// reservedForDrain is the reservation holder of a machine that is being drained. It is not a valid
// job ID.
const reservedForDrain = "draining"

// toleratedHeartbeats is the number of heartbeat intervals within which a worker is expected to
// report a change, allowing for one or two lost or late heartbeats.
const toleratedHeartbeats = 3

// heartbeatToleranceSeconds returns the time in seconds within which a worker is expected to report
// a change.
func (p *Partition) heartbeatToleranceSeconds() float64 {
	return toleratedHeartbeats * p.settings.Cluster.WorkerTiming.HeartbeatIntervalS
}

// reserve reserves the machine's free capacity until the given time for a holder, which is a job
// ID or reservedForDrain.
func (m *Machine) reserve(holder string, until time.Time) {
	m.reservedFor = holder
	m.reservedUntil = until
}

// isReserved reports whether the machine has a reservation that has not expired.
func (m *Machine) isReserved(now time.Time) bool {
	return m.reservedFor != "" && now.Before(m.reservedUntil)
}

// isReservedForOther reports whether the machine has an unexpired reservation for a holder other
// than the job.
func (m *Machine) isReservedForOther(job *Job, now time.Time) bool {
	return m.isReserved(now) && m.reservedFor != job.ID
}
