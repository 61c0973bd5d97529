package scheduler

import (
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

const (
	// stopDeliveryHeartbeats is the number of heartbeat intervals after the end of a task's grace
	// period within which the task must be reported as stopped: one until the stop command is sent,
	// and one until the worker reports the exit.
	stopDeliveryHeartbeats = 2
	// imageFetchTimeFactor is the factor by which the fetch of a gang's image may exceed its
	// duration at the machine type's fetch rate.
	imageFetchTimeFactor = 2
)

// requeue detaches a placement that ended before its task was done, and stops the rest of its
// gang.
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

// requeueMachine requeues all placements on a machine.
func (p *Partition) requeueMachine(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if placement == nil {
			continue // already detached with another task of its gang
		}
		p.requeue(placement, now)
	}
}

// requestStop requests that a placement's task be stopped with a grace period in seconds. A
// repeated request can only shorten the grace period. A placement whose start was never sent is
// detached immediately.
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

// stopGracefully stops a placement, with time to save a checkpoint if that is worth it. The tasks
// of a gang can only be stopped together, so it stops the whole gang.
func (p *Partition) stopGracefully(placement *Placement, now time.Time) {
	job := placement.job
	graceS := p.checkpointGraceSeconds(job)
	if !job.IsGang() {
		p.requestStop(placement, graceS, now)
		return
	}
	// gangBroken is reset only when the last placement ends, so it must not be set if no
	// placement is left.
	job.gangBroken = len(job.placements) > 0
	for _, other := range sortedPlacements(job) {
		p.requestStop(other, graceS, now)
	}
}

// checkpointGraceSeconds returns the grace period in seconds in which a task of the job can save a
// checkpoint, or 0 if saving is not worth it. A task that is stopped without a grace period loses
// half a checkpoint interval of work on average, so saving must take less time than that.
func (p *Partition) checkpointGraceSeconds(job *Job) float64 {
	if job.CheckpointIntervalS > 2*job.CheckpointSaveS {
		return job.CheckpointSaveS + p.tuning.GraceS
	}
	return 0
}

// remainingGraceSeconds returns the grace period in seconds to send with a repeated stop command.
// It is 0, which kills the task, if the grace period and the time allowed for delivery have
// passed.
func (p *Partition) remainingGraceSeconds(request *stopRequest, now time.Time) float64 {
	limitS := request.gracePeriodS + stopDeliveryHeartbeats*p.settings.Cluster.WorkerTiming.HeartbeatIntervalS + p.tuning.MarginS
	if now.Sub(request.requestedAt) > tuning.Seconds(limitS) {
		return 0
	}
	return request.gracePeriodS
}

// evacuateOnNotice stops the tasks that benefit from being stopped before the cloud terminates the
// machine.
func (p *Partition) evacuateOnNotice(machine *Machine, now time.Time) {
	for _, key := range sortedTaskAttempts(machine.placements) {
		placement := machine.placements[key]
		if placement == nil || placement.stopRequest != nil || placement.gangDone {
			continue
		}
		p.evacuatePlacement(placement, now)
	}
}

// evacuatePlacement stops a placement unless it is better to let its task run until the machine is
// terminated, as for a running task that writes no checkpoints.
func (p *Partition) evacuatePlacement(placement *Placement, now time.Time) {
	job := placement.job
	running := placement.state == wire.TaskRunning
	switch {
	case !placement.start.sent:
		p.requeue(placement, now)
	case job.IsService():
		// A running replica is stopped early only if another machine has capacity for
		// it.
		if !running || len(p.findMachines(job, 1, now, p.machines.all(), (*Machine).freeCapacity)) > 0 {
			p.requestStop(placement, 0, now)
		}
	case !running || job.CheckpointIntervalS > 0:
		p.stopGracefully(placement, now)
	}
}

// handleGangTimeout handles a gang task that timed out while it waited for the other tasks of its
// gang. Tasks that are still fetching the image continue until they have it, and the gang's
// machines are reserved, so that the next attempt can start without delay. If the fetches were
// aborted, they would begin again with the next attempt, whose first task would time out again,
// and so on forever.
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

// reserveMachineForGang reserves a placement's machine for the next attempt of its gang, until the
// slowest of the gang's machines should have fetched the image.
func (p *Partition) reserveMachineForGang(placement *Placement, now time.Time) {
	job := placement.job
	fetchS := 0.0
	for _, other := range job.placements {
		rate := other.machine.machineType.ImageFetchGBPerS
		if rate > 0 && !other.imageFetched {
			fetchS = max(fetchS, imageFetchTimeFactor*job.ImageGB/rate)
		}
	}
	placement.machine.reserve(job.ID, now.Add(tuning.Seconds(fetchS+p.heartbeatToleranceSeconds())))
}
