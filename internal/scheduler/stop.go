package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

const (
	// stopDeliveryHeartbeats is how many heartbeat intervals beyond its grace period a
	// task may take to be reported as stopped: one until the command leaves, and one until
	// the worker reports the exit.
	stopDeliveryHeartbeats = 2
	// imageFetchTimeFactor is how many times the duration of a fetch at the machine type's
	// rate a gang's image may take.
	imageFetchTimeFactor = 2
)

// requeue detaches a placement that ended without a result, and stops the rest of its gang.
func (p *Partition) requeue(placement *Placement, now time.Time) {
	job := placement.job
	p.detach(placement)
	if !job.IsGang() || placement.gangDone {
		return
	}
	if len(job.placements) == 0 {
		job.gangBroken = false
		return
	}
	job.gangBroken = true
	for _, other := range job.placements {
		p.requestStop(other, 0, now)
	}
}

// requeueAll requeues all placements of a machine.
func (p *Partition) requeueAll(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if placement == nil {
			continue // detached with another task of its gang
		}
		p.requeue(placement, now)
	}
}

// requestStop has a placement stopped with a grace period in seconds. One whose start was
// never sent is detached at once.
func (p *Partition) requestStop(placement *Placement, graceS float64, now time.Time) {
	if !placement.start.sent {
		p.detach(placement)
		if job := placement.job; job.IsGang() && len(job.placements) == 0 {
			job.gangBroken = false
		}
		return
	}
	if placement.stopRequest == nil || graceS < placement.stopRequest.gracePeriodS {
		placement.stopRequest = &stopRequest{gracePeriodS: graceS, requestedAt: now}
	}
}

// stopGracefully stops a placement with the time to save a checkpoint, and its gang with
// it: all tasks of a gang have to be stopped together.
func (p *Partition) stopGracefully(placement *Placement, now time.Time) {
	job := placement.job
	graceS := p.checkpointGraceS(job)
	if !job.IsGang() {
		p.requestStop(placement, graceS, now)
		return
	}
	// Only the end of the last placement resets gangBroken, so without any placement
	// left it must not be set.
	job.gangBroken = len(job.placements) > 0
	for _, other := range sortedPlacements(job) {
		p.requestStop(other, graceS, now)
	}
}

// checkpointGraceS returns the grace period in which a task of the job can save a
// checkpoint, or 0 if that is not worth it: a task that is stopped without grace loses half a
// checkpoint interval on average, so saving has to take less than that.
func (p *Partition) checkpointGraceS(job *Job) float64 {
	if job.CheckpointIntervalS > 2*job.CheckpointSaveS {
		return job.CheckpointSaveS + p.tuning.GraceS
	}
	return 0
}

// remainingGraceS returns the grace period in seconds to send with a repeated stop. It is 0
// for a task that has exceeded its grace period, which kills it.
func (p *Partition) remainingGraceS(request *stopRequest, now time.Time) float64 {
	limitS := request.gracePeriodS + stopDeliveryHeartbeats*p.settings.Cluster.Workers.ReportS + p.tuning.MarginS
	if now.Sub(request.requestedAt) > tuning.Seconds(limitS) {
		return 0
	}
	return request.gracePeriodS
}

// evacuateOnNotice stops the tasks that benefit from it before the cloud reclaims the machine.
func (p *Partition) evacuateOnNotice(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if placement == nil || placement.stopRequest != nil || placement.gangDone {
			continue
		}
		p.evacuatePlacement(placement, now)
	}
}

// evacuatePlacement stops a placement unless it is better off running until the machine is
// reclaimed, as a task without checkpoints is.
func (p *Partition) evacuatePlacement(placement *Placement, now time.Time) {
	job := placement.job
	running := placement.state == wire.TaskRunning
	switch {
	case !placement.start.sent:
		p.requeue(placement, now)
	case job.IsService():
		// A running replica serves until the machine is reclaimed, unless another
		// machine has the capacity for it.
		if !running || len(p.findMachines(job, 1, now, p.machines.all(), (*Machine).freeCapacity)) > 0 {
			p.requestStop(placement, 0, now)
		}
	case !running || job.CheckpointIntervalS > 0:
		p.stopGracefully(placement, now)
	}
}

// handleGangTimeout handles a task of a gang that timed out waiting for the others. Those that
// still fetch their image continue until they have it, and the machines are reserved for the
// gang, so that its next attempt starts at once. If they were stopped, they would have to
// fetch again while the first task times out again, and so forever.
func (p *Partition) handleGangTimeout(placement *Placement, now time.Time) {
	job := placement.job
	p.reserveMachineForGang(placement, now)
	p.detach(placement)
	job.gangBroken = len(job.placements) > 0
	for _, other := range sortedPlacements(job) {
		if other.state != wire.TaskFetching || other.stopRequest != nil {
			p.reserveMachineForGang(other, now)
			p.requestStop(other, 0, now)
		}
	}
}

// reserveMachineForGang reserves a placement's machine for the next attempt of its gang, until
// the slowest of the gang's machines must have fetched the image.
func (p *Partition) reserveMachineForGang(placement *Placement, now time.Time) {
	job := placement.job
	fetchS := 0.0
	for _, other := range job.placements {
		rate := other.machine.machineType.ImageFetchGBPerS
		if rate > 0 && !other.imageFetched {
			fetchS = max(fetchS, imageFetchTimeFactor*job.ImageGB/rate)
		}
	}
	placement.machine.reserve(job.ID, now.Add(tuning.Seconds(fetchS+p.heartbeatToleranceS())))
}
