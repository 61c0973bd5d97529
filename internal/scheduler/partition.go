package scheduler

import (
	"sort"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Partition holds the jobs and machines of one part. Its caller serialises calls.
type Partition struct {
	Index            int
	Revision         uint64 // of the part's ownership: the fence of all its writes
	settings         *config.Settings
	tuning           *tuning.Tuning
	machineTypes     map[string]wire.MachineType
	jobs             map[string]*Job
	machines         map[string]*Machine
	teams            map[string]*quota.Team
	capacityVersion  int // counts changes of free room
	scheduledVersion int // room as the last pass left it
	layout           chunkLayout
	journal          journal
	conversion       formatConversion
	// finishedJobs are jobs that are over but whose records still stand.
	finishedJobs      []*Job
	machineIDs        []string        // machine names, sorted
	candidates        []*Machine      // those that could take work when the pass began
	cancelledJobIDs   map[string]bool // jobs marked as cancelled, by the last listing
	tombstones        tombstones
	cycleTime         time.Time // of the scheduling cycle under way
	Counters          Counters
	lastConsolidation time.Time
}

// Counters count what a partition has done under this owner.
type Counters struct {
	Started          int // placements made
	Finished         int // tasks completed
	Requeued         int // placements that ended without a result
	Preempted        int // placements stopped for others
	Moved            int // placements moved to free a machine
	JournalRecords   int // journal records written
	Compactions      int // chunk records written
	GangReservations int // reservations of machines for gangs
	GangTimeouts     int // gang tasks that waited in vain for the others
}

// NewPartition makes an empty part owned under the given stamp.
func NewPartition(index int, revision uint64, settings *config.Settings, tunables *tuning.Tuning) *Partition {
	p := &Partition{Index: index, Revision: revision, settings: settings, tuning: tunables, machineTypes: map[string]wire.MachineType{}, jobs: map[string]*Job{},
		machines: map[string]*Machine{}, teams: map[string]*quota.Team{}, tombstones: newTombstones(),
		layout: newChunkLayout(index, settings), journal: newJournal(index, tuning.JournalSlots)}
	for _, c := range settings.Cluster.Teams {
		p.teams[c.Name] = &quota.Team{Team: c}
	}
	return p
}

// SetMachineTypes tells the machine types.
func (p *Partition) SetMachineTypes(types []wire.MachineType) {
	for _, machineType := range types {
		p.machineTypes[machineType.Name] = machineType
	}
}

func (p *Partition) team(name string) *quota.Team {
	team := p.teams[name]
	if team == nil {
		// A team that the settings no longer name keeps its accepted jobs.
		team = &quota.Team{Team: config.Team{Name: name}}
		p.teams[name] = team
	}
	return team
}

// AddJob takes in a new job, or one read from its records, with the stamp at
// which both its record and its first chunk were created. Known jobs are left alone.
func (p *Partition) AddJob(description *wire.Job, at time.Time, revision uint64) *Job {
	if job := p.jobs[description.ID]; job != nil {
		if revision > job.Revision {
			job.Revision = revision
		}
		return job
	}
	if p.tombstones.contains(description.ID) {
		return nil
	}
	job := &Job{Job: description, SubmittedAt: at, Revision: revision, Cancelled: p.cancelledJobIDs[description.ID], taskStates: make([]taskState, description.Tasks), waitingTasks: description.Tasks,
		placements: map[int]*Placement{}, noCapacityVersion: -1}
	job.chunks = p.layout.newChunks(job, revision)
	p.jobs[description.ID] = job
	return job
}

func (p *Partition) attach(placement *Placement) {
	job, machine := placement.job, placement.machine
	job.taskStates[placement.task] = taskPlaced
	job.waitingTasks--
	job.placements[placement.task] = placement
	machine.placements[taskAttempt{wire.TaskName(job.ID, placement.task), placement.attempt}] = placement
	machine.allocated = machine.allocated.Add(resource.OfJob(job.Job))
	p.team(job.Team).Allocated = p.team(job.Team).Allocated.Add(resource.OfJob(job.Job))
	machine.cachedImages[job.Image] = time.Time{}
}

// detach frees a placement's room once it can no longer be in effect.
func (p *Partition) detach(placement *Placement) {
	job, machine := placement.job, placement.machine
	if job.placements[placement.task] != placement {
		return
	}
	delete(job.placements, placement.task)
	delete(machine.placements, taskAttempt{wire.TaskName(job.ID, placement.task), placement.attempt})
	machine.allocated = machine.allocated.Sub(resource.OfJob(job.Job))
	if len(machine.placements) == 0 {
		machine.allocated = resource.Vector{}
	}
	if !placement.imageFetched && !machine.wantsImage(job.Image) {
		delete(machine.cachedImages, job.Image) // the fetch is given up when no task waits for it
	}
	team := p.team(job.Team)
	team.Allocated = team.Allocated.Sub(resource.OfJob(job.Job))
	if job.taskStates[placement.task] == taskPlaced {
		job.taskStates[placement.task] = taskWaiting
		job.waitingTasks++
		p.Counters.Requeued++
		job.noCapacityVersion = -1
	}
	p.journal.markDirty(placement.chunk(), placement.task)
	p.capacityVersion++
}

// SetCancelledJobs takes in a listing of the jobs that are marked as cancelled, and tells whether
// one of them was news. A job that is marked before its submission is known, as when
// the watch is behind, is cancelled from the start.
func (p *Partition) SetCancelledJobs(ids []string, now time.Time) bool {
	some := false
	p.cancelledJobIDs = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.cancelledJobIDs[id] = true
		some = some || (p.jobs[id] != nil && !p.jobs[id].Cancelled)
		p.Cancel(id, now)
	}
	return some
}

// Cancel stops a job whose cancellation is committed.
func (p *Partition) Cancel(id string, now time.Time) {
	job := p.jobs[id]
	if job == nil || job.Cancelled {
		return
	}
	job.Cancelled = true
	for _, placement := range sortedPlacements(job) {
		p.requestStop(placement, 0, now)
	}
}

// sortedPlacements lists a job's placements in the order of its tasks.
func sortedPlacements(job *Job) []*Placement {
	out := make([]*Placement, 0, len(job.placements))
	for _, placement := range job.placements {
		out = append(out, placement)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].task < out[b].task })
	return out
}

func sortedTaskAttempts(m map[taskAttempt]*Placement) []taskAttempt {
	out := make([]taskAttempt, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].task != out[b].task {
			return out[a].task < out[b].task
		}
		return out[a].attempt < out[b].attempt
	})
	return out
}

// JobCounts counts a job's tasks for display.
func (p *Partition) JobCounts(id string) (doneTasks, running int, ok bool) {
	job := p.jobs[id]
	if job == nil {
		return 0, 0, false
	}
	for _, placement := range job.placements {
		if placement.state == wire.TaskRunning || placement.state == wire.TaskSaving {
			running++
		}
	}
	return job.doneTasks, running, true
}

// JobCount is how many jobs are not over.
func (p *Partition) JobCount() int { return len(p.jobs) }

// MachineIDs lists the part's machines.
func (p *Partition) MachineIDs() []string { return p.machineIDs }
