package scheduler

import (
	"fmt"
	"time"

	"ambersill/internal/quota"
	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
)

// The demand of the waiting tasks is the part of a partition's summary for which the leader rents
// machines.

const (
	// minDemandBytes is the size that the demand in a summary may always have.
	minDemandBytes = 12 << 10
	// maxDemandBytes is the maximum size of the demand, which the leader reads every SummaryS.
	maxDemandBytes = 256 << 10
)

// demandKey identifies demands that are merged: those of job arrays, or of services, that request
// the same resources and placement at the same priority.
type demandKey struct {
	service       bool
	machineTypes  string
	zone          string
	allowSpot     bool
	taskResources resource.Vector
	priority      int
}

// newDemandKey returns the key of a job's demand. The result is false if the demand must not be
// merged, because the job's tasks depend on each other's placement.
func newDemandKey(job *Job, demand *records.Demand) (demandKey, bool) {
	if demand.Gang || demand.MaxPerZone != 0 || demand.SingleZone {
		return demandKey{}, false
	}
	key := demandKey{
		service:       job.IsService(),
		machineTypes:  fmt.Sprint(demand.MachineTypes),
		zone:          demand.Zone,
		allowSpot:     demand.AllowSpot,
		taskResources: resource.TaskRequest(job.Job),
		priority:      demand.Priority,
	}
	return key, true
}

// demandList collects demands up to a total size in bytes, and merges those with the same key.
type demandList struct {
	demands        []records.Demand
	omittedTasks   int // tasks of the demands for which too few bytes remained
	remainingBytes int
	indexByKey     map[demandKey]int
}

// add merges a job's demand into an earlier one with the same key. If there is none, it appends
// the demand, provided that enough bytes remain.
func (l *demandList) add(job *Job, demand records.Demand) {
	key, mergeable := newDemandKey(job, &demand)
	if i, found := l.indexByKey[key]; mergeable && found {
		l.demands[i].Merge(&demand)
		return
	}
	size := demand.SizeBound()
	if size > l.remainingBytes {
		l.omittedTasks += demand.Tasks
		return
	}
	l.remainingBytes -= size
	if mergeable {
		l.indexByKey[key] = len(l.demands)
	}
	l.demands = append(l.demands, demand)
}

// machineConstraints are the constraints of a job on the machines of its tasks.
type machineConstraints struct {
	machineTypes string
	zone         string
	allowSpot    bool
	needsGPUs    bool
	gangTasks    int // the number of tasks that start together; 0 if the job is no gang
}

// teamLimits compares a team's waiting jobs with its limit as if the jobs before them had been placed.
// Jobs with other constraints do not count: they may wait for machines that are not available.
type teamLimits struct {
	team       *quota.Team
	byMachines map[machineConstraints]*quota.Team
}

// of returns the team with the demand of the earlier jobs that have the same constraints as the job.
func (l *teamLimits) of(job *Job) *quota.Team {
	constraints := machineConstraints{
		machineTypes: fmt.Sprint(job.MachineTypes),
		zone:         job.Zone,
		allowSpot:    job.AllowSpot,
		needsGPUs:    job.GPUs > 0,
	}
	if job.IsGang() {
		constraints.gangTasks = job.TaskCount
	}
	if l.byMachines[constraints] == nil {
		team := *l.team
		l.byMachines[constraints] = &team
	}
	return l.byMachines[constraints]
}

// demandBytesLimit returns the maximum size of the waiting tasks' demand in a summary. Within the
// key-value store's rate limit, it can be written twice in each round of the leader.
func (p *Partition) demandBytesLimit() int {
	writesPerRound := tuning.SummaryWriteFraction * p.layout.limits.WritesPerS * p.tuning.RoundS
	bytes := int(writesPerRound/2) * p.layout.maxValueBytes()
	return min(max(minDemandBytes, bytes), maxDemandBytes)
}

// unplacedDemand returns the demand of the tasks that are not placed, as far as it fits into a
// summary. The teams' jobs are taken in turn, those of a team in scheduling order.
func (p *Partition) unplacedDemand(now time.Time) demandList {
	list := demandList{remainingBytes: p.demandBytesLimit(), indexByKey: map[demandKey]int{}}
	queues := p.buildQueues(now)
	limits := make([]teamLimits, len(queues))
	longest := 0
	for i, queue := range queues {
		limits[i] = teamLimits{team: queue.team, byMachines: map[machineConstraints]*quota.Team{}}
		longest = max(longest, len(queue.jobs))
	}
	for position := range longest {
		for i, queue := range queues {
			if position < len(queue.jobs) {
				p.addDemand(&list, queue.jobs[position], &limits[i], now)
			}
		}
	}
	return list
}

// addDemand adds the demand of a job's tasks that are not placed to the list.
func (p *Partition) addDemand(list *demandList, job *Job, limits *teamLimits, now time.Time) {
	team := limits.of(job)
	count := p.unplacedTaskCount(job, team, now)
	if count == 0 {
		return
	}
	list.add(job, newDemand(job, count))
	team.Allocated = team.Allocated.Add(resource.TaskRequest(job.Job).Scale(count))
}

// unplacedTaskCount returns the number of a job's waiting tasks for which machines are needed.
func (p *Partition) unplacedTaskCount(job *Job, team *quota.Team, now time.Time) int {
	if job.preemption.inProgress && now.Sub(job.preemption.lastPreemptedAt).Seconds() < p.tuning.PreemptGapS {
		return 0 // the preempted tasks are about to free capacity for this job
	}
	count := min(job.placeableTasks(now), team.RemainingTasks(resource.TaskRequest(job.Job)))
	if job.IsGang() && count < job.TaskCount {
		return 0
	}
	return count
}

// newDemand returns the demand for machines of the given number of a job's tasks.
func newDemand(job *Job, count int) records.Demand {
	demand := records.Demand{
		MachineTypes:  job.MachineTypes,
		Zone:          job.Zone,
		AllowSpot:     job.AllowSpot,
		SingleZone:    job.SingleZone,
		Gang:          job.IsGang(),
		CPUs:          job.CPUs,
		GPUs:          job.GPUs,
		MemoryGB:      job.MemoryGB,
		Tasks:         count,
		EstimatedRunS: expectedRunSeconds(job.Job),
		Priority:      job.Priority.Value(),
	}
	if job.SpreadZones {
		demand.MaxPerZone = job.maxTasksPerZone()
	}
	if job.SingleZone {
		// The remaining tasks must run in the zone of those that are placed.
		for zone := range job.tasksByZone() {
			demand.Zone = zone
		}
	}
	return demand
}
