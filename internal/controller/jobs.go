package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"ambersill/internal/admission"
	"ambersill/internal/api"
	"ambersill/internal/config"
	"ambersill/internal/kvstore"
	"ambersill/internal/peerrpc"
	"ambersill/internal/records"
	"ambersill/internal/scheduler"
	"ambersill/internal/wire"
)

// taskCountsTimeout bounds the call to a peer for a job's task counts. The counts are for display
// only, and the user waits 2 s for the whole query.
const taskCountsTimeout = 200 * time.Millisecond

var (
	errNoSuchJob   = &api.PermanentError{Status: http.StatusNotFound, Reason: "no such job"}
	errJobTooLarge = &api.PermanentError{Status: http.StatusBadRequest, Reason: "the description is too long"}
	// errNoCatalog is temporary. A controller that has just started has not read the catalog.
	errNoCatalog = errors.New("catalog of machine types not loaded yet")
)

// Submit accepts a job. Submission is idempotent: for a job that already exists, Submit returns
// its status, even if a new job with this description would be refused.
func (c *Controller) Submit(ctx context.Context, body []byte) (api.Submission, error) {
	job, err := wire.ParseJob(body)
	if err != nil {
		refusal := &api.PermanentError{Status: http.StatusBadRequest, Reason: err.Error()}
		return c.refuseUnlessStored(ctx, refusal, wire.SubmittedJobIDs(body))
	}
	if record, ok := c.finalJobs.get(job.ID); ok {
		return api.Submission{Job: jobStatus(record)}, nil
	}
	refusal, err := c.checkAdmission(job)
	if err != nil {
		return api.Submission{}, err
	}
	if refusal != nil {
		return c.refuseUnlessStored(ctx, refusal, []string{job.ID})
	}
	if err := c.checkContact(); err != nil {
		return api.Submission{}, err
	}
	return c.createJob(ctx, job)
}

// checkAdmission returns the reason to refuse a new job under the current settings and catalog, or
// nil if there is none. It returns an error if that cannot be decided yet.
func (c *Controller) checkAdmission(job *wire.Job) (refusal *api.PermanentError, err error) {
	if !records.JobFitsRecord(job, c.settings) {
		return errJobTooLarge, nil
	}
	types := c.catalog()
	if len(types) == 0 {
		return nil, errNoCatalog
	}
	if infeasible := admission.Check(job, c.settings, types); infeasible != nil {
		return &api.PermanentError{
			Status: http.StatusUnprocessableEntity,
			Reason: infeasible.Error(),
		}, nil
	}
	return nil, nil
}

// refuseUnlessStored answers a submission that would be refused now. If one of the IDs is that of a
// stored job, which an earlier version or other settings may have accepted, refuseUnlessStored
// returns the job's status; otherwise it returns the refusal.
func (c *Controller) refuseUnlessStored(
	ctx context.Context, refusal *api.PermanentError, ids []string,
) (api.Submission, error) {
	for _, id := range ids {
		submission, err := c.existingJob(ctx, id)
		if !errors.Is(err, kvstore.ErrNotFound) {
			return submission, err
		}
	}
	slog.Debug("submission refused", "status", refusal.Status, "reason", refusal.Reason, "ids", ids)
	return api.Submission{}, refusal
}

// createJob commits a job's record and its first chunk. If the job already exists, createJob
// returns its status.
func (c *Controller) createJob(ctx context.Context, job *wire.Job) (api.Submission, error) {
	record := records.JobRecord{
		Job:           job,
		Phase:         wire.JobQueued,
		Partition:     c.partitionForJob(job),
		SubmittedAtMS: time.Now().UnixMilli(),
	}
	jobKey := records.JobKey(job.ID)
	chunkKey := records.FirstChunkKey(record.Partition, job.ID)
	chunk := records.NewFirstChunk(&record, c.cluster.featureLevel(), c.settings)
	_, err := c.store.CommitUrgent(ctx, wire.Txn{
		Compares: []wire.Compare{{Key: jobKey, Revision: 0}},
		Writes: []wire.Write{
			{Put: jobKey, Value: record},
			{Put: chunkKey, Value: chunk},
		},
	})
	switch {
	case err == nil:
		return api.Submission{Job: jobStatus(record), IsNew: true}, nil
	case needsReread(err):
		return c.existingJob(ctx, job.ID)
	default:
		return api.Submission{}, err
	}
}

// needsReread reports whether a job's record has to be read again to know its state after a
// commit failed with err, because another commit was applied first or the response to this
// commit was lost.
func needsReread(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvstore.ErrOutcomeUnknown)
}

// existingJob returns the answer to the submission of a job that already exists.
func (c *Controller) existingJob(ctx context.Context, id string) (api.Submission, error) {
	record, _, err := c.readJob(ctx, id)
	if err != nil {
		return api.Submission{}, err
	}
	return api.Submission{Job: jobStatus(record)}, nil
}

// Job returns the status of a job, with the task counts of the partition's owner if the job has
// not ended.
func (c *Controller) Job(ctx context.Context, id string) (wire.JobStatus, error) {
	record, _, err := c.findJob(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	status := jobStatus(record)
	if record.Phase.IsFinal() {
		return status, nil
	}
	counts := c.taskCounts(id, record.Partition)
	status.Done, status.Running = counts.Done, counts.Running
	if status.Running > 0 {
		status.Phase = wire.JobRunning
	}
	return status, nil
}

// findJob returns the record of a job and the record's revision, like readJob, for an ID that a
// user sent. It returns errNoSuchJob if the ID is invalid or there is no such job.
func (c *Controller) findJob(ctx context.Context, id string) (records.JobRecord, uint64, error) {
	if !wire.ValidJobID(id) {
		return records.JobRecord{}, 0, errNoSuchJob
	}
	record, revision, err := c.readJob(ctx, id)
	if errors.Is(err, kvstore.ErrNotFound) {
		return records.JobRecord{}, 0, errNoSuchJob
	}
	return record, revision, err
}

// readJob returns a job's current record and the record's revision. The revision is 0 if the
// job has ended and its record is cached.
func (c *Controller) readJob(ctx context.Context, id string) (records.JobRecord, uint64, error) {
	if record, ok := c.finalJobs.get(id); ok {
		return record, 0, nil
	}
	if err := c.checkContact(); err != nil {
		return records.JobRecord{}, 0, err
	}
	key := records.JobKey(id)
	item, err := c.store.Get(ctx, key)
	if err != nil {
		return records.JobRecord{}, 0, err
	}
	var record records.JobRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		return records.JobRecord{}, 0, fmt.Errorf("decoding %s: %w", key, err)
	}
	c.finalJobs.addIfFinal(record)
	return record, item.Revision, nil
}

// jobStatus returns a job's status as far as it follows from the job's record.
func jobStatus(record records.JobRecord) wire.JobStatus {
	status := wire.JobStatus{ID: record.Job.ID, Phase: record.Phase}
	if record.Phase == wire.JobDone {
		status.Done = record.Job.TaskCount
	}
	return status
}

// taskCounts returns a job's task counts from the partition's owner. The counts are zero if the
// owner does not answer within taskCountsTimeout.
func (c *Controller) taskCounts(id string, partition int) peerrpc.TaskCounts {
	if counts := c.LocalTaskCounts(id); counts.Known {
		return counts
	}
	peer := c.peers[c.cluster.partitionOwner(partition).node]
	if peer == nil {
		return peerrpc.TaskCounts{}
	}
	counts, err := peer.TaskCounts(id, taskCountsTimeout)
	if err != nil {
		return peerrpc.TaskCounts{}
	}
	return counts
}

// LocalTaskCounts returns the task counts of a job if this node owns the job's partition.
// Otherwise Known is false.
func (c *Controller) LocalTaskCounts(jobID string) peerrpc.TaskCounts {
	for _, owned := range c.ownedPartitions() {
		if counts := owned.taskCounts(jobID); counts.Known {
			return counts
		}
	}
	return peerrpc.TaskCounts{}
}

func (o *ownedPartition) taskCounts(jobID string) (counts peerrpc.TaskCounts) {
	o.withLoadedPartition(func(partition *scheduler.Partition) {
		tasks, known := partition.TaskCounts(jobID)
		counts = peerrpc.TaskCounts{
			Known:   known,
			Done:    tasks.Done,
			Running: tasks.Running,
		}
	})
	return counts
}

// partitionForJob returns the partition that a job is assigned to. If any team has a limit or a
// guarantee, all jobs of a team are in one partition, so that a single owner enforces the
// team's quota. Otherwise jobs that compete for the same machine types share a partition,
// because dividing the capacity of a machine type among partitions leaves part of it unused.
func (c *Controller) partitionForJob(job *wire.Job) int {
	teams := c.settings.Cluster.Teams
	if !anyQuota(teams) {
		return admission.PrimaryMachineType(job, c.catalog()) % c.partitionCount
	}
	for i, team := range teams {
		if team.Name == job.Team {
			return i % c.partitionCount
		}
	}
	return 0
}

// anyQuota reports whether any team has a limit on or a guarantee of CPUs or GPUs.
func anyQuota(teams []config.Team) bool {
	for _, team := range teams {
		if team.CPUs != 0 || team.MaxCPUs != 0 || team.GPUs != 0 || team.MaxGPUs != 0 {
			return true
		}
	}
	return false
}
