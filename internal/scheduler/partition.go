package scheduler

import (
	"time"

	"ambersill/internal/config"
	"ambersill/internal/quota"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Partition holds the jobs and machines of one partition of the cluster, and decides where
// tasks run. It is not safe for concurrent use.
type Partition struct {
	Index    int
	Revision uint64 // of the owner record; every write of the partition is conditional on it
	Counters Counters

	settings     *config.Settings
	tuning       *tuning.Tuning
	machineTypes map[string]wire.MachineType

	jobs  map[string]*Job
	teams map[string]*quota.Team
	// finalizedJobs lists the jobs whose end is committed but some of whose records still
	// have to be deleted.
	finalizedJobs   []*Job
	cancelledJobIDs map[string]bool // from the last listing; may contain jobs not added yet
	tombstones      tombstones

	machines machineSet

	// capacityVersion is incremented when free capacity may have grown or machines have
	// changed. scheduledVersion is its value at the end of the last scheduling cycle.
	capacityVersion    int
	scheduledVersion   int
	candidates         []*Machine // usable machines with free CPUs when the cycle began
	cycleStartedAt     time.Time  // start of the current scheduling cycle
	lastConsolidatedAt time.Time

	// newestCommit is the highest revision at which a commit of this owner was applied; before
	// the first commit, that of the claim. commitNeeded is set if a newer one is needed, although
	// nothing may have changed.
	newestCommit uint64
	commitNeeded bool

	layout     chunkLayout
	journal    journal
	conversion formatConversion
}

// NewPartition returns an empty partition. revision is the revision of the owner record.
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
		newestCommit: revision,
		layout:       newChunkLayout(index, settings),
		journal:      newJournal(index, tuning.JournalSlots),
	}
	for _, team := range settings.Cluster.Teams {
		p.teams[team.Name] = &quota.Team{Team: team}
	}
	return p
}

// SetMachineTypes adds the machine types, replacing known ones of the same name.
func (p *Partition) SetMachineTypes(types []wire.MachineType) {
	for _, machineType := range types {
		p.machineTypes[machineType.Name] = machineType
	}
}

// team returns the team with the given name, and adds it if it is not configured.
func (p *Partition) team(name string) *quota.Team {
	team := p.teams[name]
	if team == nil {
		// Jobs that were accepted before a team was removed from the settings still run.
		team = &quota.Team{Team: config.Team{Name: name}}
		p.teams[name] = team
	}
	return team
}

// AddJob adds a job that was submitted or read from the key-value store, and returns it.
// revision is the revision at which the job's record and its first chunk were created. If the
// job is already known, AddJob only raises its revision. It returns nil if the job has ended.
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

// TaskCounts contains the numbers of a job's tasks by state.
type TaskCounts struct {
	Done    int
	Running int // includes tasks that are saving a checkpoint
}

// TaskCounts returns the numbers of a job's tasks by state, and whether the partition has the
// job.
func (p *Partition) TaskCounts(id string) (TaskCounts, bool) {
	job := p.jobs[id]
	if job == nil {
		return TaskCounts{}, false
	}
	return TaskCounts{Done: job.doneTasks, Running: job.runningTasks()}, true
}

// JobCount returns the number of jobs that have not ended.
func (p *Partition) JobCount() int { return len(p.jobs) }

// MachineCount returns the number of the partition's machines.
func (p *Partition) MachineCount() int { return p.machines.len() }
