package scheduler

import "ambersill/internal/wire"

// Completion is the evidence on which a job counts as done: the worker's report of the exit of its
// last task, or of the first task of a gang, whose tasks complete together.
type Completion struct {
	Job string
	// Restored is set if the records of an earlier owner contain the end. The fields below are
	// not set then.
	Restored bool
	Task     string
	Attempt  uint64
	Machine  string
	// Incarnation and Sequence identify the message of the machine's worker.
	Incarnation uint64
	Sequence    uint64
}

// recordCompletion records the evidence if the exit that a worker has reported for a placement's
// task completes the job.
func (j *Job) recordCompletion(placement *Placement) {
	if j.doneTasks < j.TaskCount || j.completion != nil {
		return
	}
	message := &placement.machine.newestMessage
	j.completion = &Completion{
		Job:         j.ID,
		Task:        wire.TaskName(j.ID, placement.task),
		Attempt:     placement.attempt,
		Machine:     placement.machine.ID,
		Incarnation: message.incarnation,
		Sequence:    message.sequence,
	}
}

// Completion returns the evidence that the job is done whose end the batch commits; nil if the batch
// commits no such end.
func (b *Batch) Completion() *Completion {
	job := b.endedJob
	switch {
	case job == nil || job.Cancelled:
		return nil
	case job.completion == nil:
		return &Completion{Job: job.ID, Restored: true}
	default:
		return job.completion
	}
}
