package scheduler

import (
	"time"

	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Partition is the state of one partition of the cluster, its jobs and machines. It decides
// where tasks run. It is not safe for concurrent use.
type Partition struct {
	Index    int
	Revision uint64 // of the ownership: it fences all writes of the partition
	Counters Counters

	settings     *config.Settings
	tuning       *tuning.Tuning
	machineTypes map[string]wire.MachineType

	jobs  map[string]*Job
	teams map[string]*quota.Team
	// finalizedJobs have ended, but some of their records remain to be deleted.
	finalizedJobs   []*Job
	cancelledJobIDs map[string]bool // by the last listing, those of jobs not added yet included
	tombstones      tombstones

	machines machineSet

	// capacityVersion counts the changes of free capacity, scheduledVersion is its value
	// at the end of the last scheduling cycle.
	capacityVersion    int
	scheduledVersion   int
	candidates         []*Machine // machines with free capacity when the cycle began
	cycleStartedAt     time.Time  // when the current cycle began
	lastConsolidatedAt time.Time

	layout     chunkLayout
	journal    journal
	conversion formatConversion
}

// Counters count what a partition has done under this owner.
type Counters struct {
	Placed           int // placements made
	Finished         int // tasks completed
	Requeued         int // placements that ended without a result
	Preempted        int // placements stopped for others
	Moved            int // placements moved to free a machine
	JournalRecords   int // journal records written
	Compactions      int // chunk records written
	GangReservations int // reservations of machines for gangs
	GangTimeouts     int // gang tasks that timed out waiting for the others
}

// NewPartition returns an empty partition owned under the given revision.
func NewPartition(index int, revision uint64, settings *config.Settings, tunables *tuning.Tuning) *Partition {
	p := &Partition{
		Index:        index,
		Revision:     revision,
		settings:     settings,
		tuning:       tunables,
		machineTypes: map[string]wire.MachineType{},
		jobs:         map[string]*Job{},
		teams:        map[string]*quota.Team{},
		tombstones:   newTombstones(),
		machines:     newMachineSet(),
		layout:       newChunkLayout(index, settings),
		journal:      newJournal(index, tuning.JournalSlots),
	}
	for _, team := range settings.Cluster.Teams {
		p.teams[team.Name] = &quota.Team{Team: team}
	}
	return p
}

// SetMachineTypes adds machine types, or replaces those of the same name.
func (p *Partition) SetMachineTypes(types []wire.MachineType) {
	for _, machineType := range types {
		p.machineTypes[machineType.Name] = machineType
	}
}

// team returns the team of a name.
func (p *Partition) team(name string) *quota.Team {
	team := p.teams[name]
	if team == nil {
		// A team that the settings no longer name keeps its accepted jobs.
		team = &quota.Team{Team: config.Team{Name: name}}
		p.teams[name] = team
	}
	return team
}

// AddJob adds a new job, or one read from its records, with the revision at which both its
// record and its first chunk were created. A known job is returned as it is. The result is
// nil if the job ended before.
func (p *Partition) AddJob(description *wire.Job, submittedAt time.Time, revision uint64) *Job {
	if job := p.jobs[description.ID]; job != nil {
		job.Revision = max(job.Revision, revision)
		return job
	}
	if p.tombstones.contains(description.ID) {
		return nil
	}
	job := newJob(description, submittedAt, revision)
	job.Cancelled = p.cancelledJobIDs[job.ID]
	job.chunks = p.layout.newChunks(job, revision)
	p.jobs[job.ID] = job
	return job
}

// JobCounts counts a job's tasks by their state.
type JobCounts struct {
	Done    int
	Running int // those that save a checkpoint included
}

// JobCounts counts the tasks of a job, and reports whether the partition has the job.
func (p *Partition) JobCounts(id string) (JobCounts, bool) {
	job := p.jobs[id]
	if job == nil {
		return JobCounts{}, false
	}
	return JobCounts{Done: job.doneTasks, Running: job.runningTasks()}, true
}

// JobCount returns the number of jobs that have not ended.
func (p *Partition) JobCount() int { return len(p.jobs) }

// MachineCount returns the number of the partition's machines.
func (p *Partition) MachineCount() int { return p.machines.len() }
