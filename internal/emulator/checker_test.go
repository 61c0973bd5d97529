package emulator

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/wire"
)

// checkerSetup is a simulation with a few machines and no network.
type checkerSetup struct {
	*Simulation
	west, west2, east *Worker
	spot, large       *Worker
}

func newCheckerSetup() *checkerSetup {
	s := &checkerSetup{Simulation: NewSimulation(SimulationConfig{
		Teams:           []config.Team{{Name: "limited", MaxCPUs: 2}},
		LeaseDuration:   time.Hour,
		GangWaitTimeout: time.Minute,
		GangPeerTimeout: 5 * time.Second,
		CancelDeadline:  44 * time.Second,
	})}
	machine := func(id, machineType, zone string, spot bool) *Worker {
		return &Worker{
			Machine:        wire.CloudMachine{ID: id, MachineType: machineType, Zone: zone, Spot: spot},
			simulation:     s.Simulation,
			machineType:    wire.MachineType{Name: machineType, CPUs: 4, MemoryGB: 16},
			tasks:          map[string]*task{},
			fetchedImages:  map[string]bool{},
			leaseStart:     time.Now(),
			earlyHeartbeat: make(chan struct{}, 1),
		}
	}
	s.west, s.west2 = machine("m-1", "small", "west", false), machine("m-2", "small", "west", false)
	s.east = machine("m-3", "small", "east", false)
	s.spot, s.large = machine("m-4", "small", "west", true), machine("m-5", "large", "west", false)
	return s
}

// submit uploads a job that runs on small machines, after a change, and has it accepted.
func (s *checkerSetup) submit(change func(job *wire.Job)) *wire.Job {
	job := &wire.Job{ID: "req-1", Team: "free", Shape: wire.ArrayJob, TaskCount: 4, CPUs: 1, MemoryGB: 1, MachineTypes: []string{"small"}, EstimatedRunS: 100}
	if change != nil {
		change(job)
	}
	s.JobSubmitted(job)
	s.PhaseReported(job.ID, wire.JobQueued, time.Now())
	return job
}

// start has a task begin on a machine.
func (s *checkerSetup) start(worker *Worker, job *wire.Job, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &task{name: wire.TaskName(job.ID, index), job: job, index: index, attempt: 1, state: wire.TaskFetching}
	worker.tasks[t.name] = t
	s.startTask(worker, t)
}

// cancel has the user cancel a job and be answered that it is.
func (s *checkerSetup) cancel(job *wire.Job) {
	s.CancelRequested(job.ID)
	s.PhaseReported(job.ID, wire.JobCancelled, time.Now())
}

// Each way to break a rule is reported, and as that rule alone: the checker is the judge of
// all days that the tests play.
func TestBrokenRulesAreReported(t *testing.T) {
	onlyZone := func(zone string) func(*wire.Job) { return func(job *wire.Job) { job.Zone = zone } }
	for _, c := range []struct {
		name   string
		broken rule
		play   func(s *checkerSetup)
		says   string // in one of the reports
	}{
		{"nothing is broken", "", func(s *checkerSetup) {
			job := s.submit(func(job *wire.Job) { job.TaskCount = 1 })
			s.start(s.west, job, 0)
			time.Sleep(101 * time.Second)
			s.PhaseReported(job.ID, wire.JobDone, time.Now())
		}, ""},
		{"a task on two machines", ruleRanTwice, func(s *checkerSetup) {
			job := s.submit(nil)
			s.start(s.west, job, 0)
			s.start(s.west2, job, 0)
		}, ""},
		{"a team over its limit", ruleQuota, func(s *checkerSetup) {
			job := s.submit(func(job *wire.Job) { job.Team = "limited" })
			for i := range 3 {
				s.start(s.west, job, i)
			}
		}, ""},
		{"a machine type that is not allowed", ruleWrongPlace, func(s *checkerSetup) {
			s.start(s.large, s.submit(nil), 0)
		}, ""},
		{"another zone", ruleWrongPlace, func(s *checkerSetup) {
			s.start(s.east, s.submit(onlyZone("west")), 0)
		}, ""},
		{"a spot machine for a job that allows none", ruleWrongPlace, func(s *checkerSetup) {
			s.start(s.spot, s.submit(nil), 0)
		}, ""},
		{"two zones for a job that must be in one", ruleWrongPlace, func(s *checkerSetup) {
			job := s.submit(func(job *wire.Job) { job.SingleZone = true })
			s.start(s.west, job, 0)
			s.start(s.east, job, 1)
		}, ""},
		{"more than half in a zone of a job that must be spread", ruleWrongPlace, func(s *checkerSetup) {
			job := s.submit(func(job *wire.Job) { job.SpreadZones = true })
			for i := range 3 {
				s.start(s.west, job, i)
			}
		}, ""},
		{"a cancelled task that goes on", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submit(nil)
			s.start(s.west, job, 0)
			s.cancel(job)
			time.Sleep(45 * time.Second)
		}, "is on a machine"},
		{"a cancelled task that starts late", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submit(nil)
			s.cancel(job)
			time.Sleep(45 * time.Second)
			s.start(s.west, job, 0)
		}, "starts"},
		{"a cancelled task that leaves its machine late", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submit(nil)
			s.start(s.west, job, 0)
			s.cancel(job)
			time.Sleep(45 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.west.dropTasks()
		}, "leaves its machine"},
		{"an accepted job that is not known", ruleForgotten, func(s *checkerSetup) {
			job := s.submit(nil)
			time.Sleep(time.Second)
			s.ReportedUnknown(job.ID, 404, time.Now())
		}, ""},
		{"an accepted job about which nothing is answered", ruleForgotten, func(s *checkerSetup) {
			job := s.submit(nil)
			s.FaultsOver()
			time.Sleep(76 * time.Second)
			s.PollFailed(job.ID)
		}, ""},
		{"a job that nobody has submitted", ruleInvented, func(s *checkerSetup) {
			s.PhaseReported("req-9", wire.JobQueued, time.Now())
		}, ""},
		{"a job called done before its tasks are", ruleNotDone, func(s *checkerSetup) {
			s.PhaseReported(s.submit(nil).ID, wire.JobDone, time.Now())
		}, ""},
		{"a cancelled job called queued", ruleWentBack, func(s *checkerSetup) {
			job := s.submit(nil)
			s.cancel(job)
			time.Sleep(time.Second)
			s.PhaseReported(job.ID, wire.JobQueued, time.Now())
		}, ""},
		{"a job called cancelled that nobody cancelled", ruleWentBack, func(s *checkerSetup) {
			s.PhaseReported(s.submit(nil).ID, wire.JobCancelled, time.Now())
		}, ""},
		{"a job that waits beside free capacity", ruleLeftWaiting, func(s *checkerSetup) {
			s.submit(nil)
			s.FaultsOver()
			for range 20 {
				s.CheckWaiting([]*Worker{s.west})
				time.Sleep(5 * time.Second)
			}
		}, ""},
		{"a job accepted although it can't run", ruleAccepted, func(s *checkerSetup) {
			s.AcceptedInvalid("req-1", 201)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCheckerSetup()
				c.play(s)
				got := s.Violations()
				if c.broken == "" && len(got) > 0 || c.broken != "" && len(got) == 0 {
					t.Fatalf("reported %q", got)
				}
				if !strings.Contains(strings.Join(got, "\n"), c.says) {
					t.Errorf("reported %q, want one that says %q", got, c.says)
				}
				if slices.ContainsFunc(got, func(v string) bool { return !strings.Contains(v, " "+string(c.broken)+": ") }) {
					t.Errorf("reported %q, want %s alone", got, c.broken)
				}
			})
		})
	}
}
