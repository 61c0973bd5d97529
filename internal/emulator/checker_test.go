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

// checkerSetup is a simulation with five machines and no network.
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
			resume:         make(chan struct{}),
			cancel:         func() {},
		}
	}
	s.west, s.west2 = machine("m-1", "small", "west", false), machine("m-2", "small", "west", false)
	s.east = machine("m-3", "small", "east", false)
	s.spot, s.large = machine("m-4", "small", "west", true), machine("m-5", "large", "west", false)
	return s
}

// submitAndAccept registers a job of four tasks that may run on small machines only, and reports it
// as queued to its user. If change is not nil, it is applied to the job first.
func (s *checkerSetup) submitAndAccept(change func(job *wire.Job)) *wire.Job {
	job := &wire.Job{ID: "req-1", Team: "free", Shape: wire.ArrayJob, TaskCount: 4, CPUs: 1, MemoryGB: 1, MachineTypes: []string{"small"}, EstimatedRunS: 100}
	if change != nil {
		change(job)
	}
	s.RegisterJob(job)
	s.RecordPhaseAnswer(job.ID, wire.JobQueued, time.Now())
	return job
}

// startTaskOn starts the first attempt of a task on a machine.
func (s *checkerSetup) startTaskOn(worker *Worker, job *wire.Job, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &task{name: wire.TaskName(job.ID, index), job: job, index: index, attempt: 1, state: wire.TaskFetching}
	worker.tasks[t.name] = t
	s.startTask(worker, t)
}

// cancelAndConfirm requests the cancellation of a job and reports it as cancelled to its user.
func (s *checkerSetup) cancelAndConfirm(job *wire.Job) {
	s.RecordCancelRequest(job.ID)
	s.RecordPhaseAnswer(job.ID, wire.JobCancelled, time.Now())
}

// containsRule reports whether one of the violations is of the rule.
func containsRule(violations []string, violated rule) bool {
	return slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, " "+string(violated)+": ") })
}

// Each way to violate a rule is reported, and under that rule only. All simulated scenarios rely
// on the checker, so that a violation that it misses goes unnoticed in their tests.
func TestBrokenRulesAreReported(t *testing.T) {
	onlyZone := func(zone string) func(*wire.Job) { return func(job *wire.Job) { job.Zone = zone } }
	for _, c := range []struct {
		name     string
		wantRule rule
		scenario func(s *checkerSetup)
		wantText string // must occur in one of the reports
	}{
		{"no violation", "", func(s *checkerSetup) {
			job := s.submitAndAccept(func(job *wire.Job) { job.TaskCount = 1 })
			s.startTaskOn(s.west, job, 0)
			time.Sleep(101 * time.Second)
			s.RecordPhaseAnswer(job.ID, wire.JobDone, time.Now())
		}, ""},
		{"a task on two machines at the same time", ruleRanTwice, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.startTaskOn(s.west, job, 0)
			s.startTaskOn(s.west2, job, 0)
		}, ""},
		{"a team over its limit", ruleQuota, func(s *checkerSetup) {
			job := s.submitAndAccept(func(job *wire.Job) { job.Team = "limited" })
			for i := range 3 {
				s.startTaskOn(s.west, job, i)
			}
		}, ""},
		{"a machine type that is not allowed", ruleWrongPlace, func(s *checkerSetup) {
			s.startTaskOn(s.large, s.submitAndAccept(nil), 0)
		}, ""},
		{"a zone that is not allowed", ruleWrongPlace, func(s *checkerSetup) {
			s.startTaskOn(s.east, s.submitAndAccept(onlyZone("west")), 0)
		}, ""},
		{"a spot machine for a job that allows none", ruleWrongPlace, func(s *checkerSetup) {
			s.startTaskOn(s.spot, s.submitAndAccept(nil), 0)
		}, ""},
		{"two zones for a job that must be in one", ruleWrongPlace, func(s *checkerSetup) {
			job := s.submitAndAccept(func(job *wire.Job) { job.SingleZone = true })
			s.startTaskOn(s.west, job, 0)
			s.startTaskOn(s.east, job, 1)
		}, ""},
		{"more than half of the tasks in one zone for a job that must be spread", ruleWrongPlace, func(s *checkerSetup) {
			job := s.submitAndAccept(func(job *wire.Job) { job.SpreadZones = true })
			for i := range 3 {
				s.startTaskOn(s.west, job, i)
			}
		}, ""},
		{"a task that still runs long after the cancellation of its job", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.startTaskOn(s.west, job, 0)
			s.cancelAndConfirm(job)
			time.Sleep(45 * time.Second)
		}, "is still on a machine"},
		{"a task that starts long after the cancellation of its job", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.cancelAndConfirm(job)
			time.Sleep(45 * time.Second)
			s.startTaskOn(s.west, job, 0)
		}, "started"},
		{"a task that leaves its machine long after the cancellation of its job", ruleRanCancelled, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.startTaskOn(s.west, job, 0)
			s.cancelAndConfirm(job)
			time.Sleep(45 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.west.dropTasks("lease expired")
		}, "left its machine"},
		{"an accepted job that is later reported as unknown", ruleForgotten, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			time.Sleep(time.Second)
			s.RecordUnknownJobAnswer(job.ID, 404, time.Now())
		}, ""},
		{"an accepted job about which no request is answered", ruleForgotten, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.RecordFaultsOver()
			time.Sleep(76 * time.Second)
			s.RecordUnansweredRequest(job.ID)
		}, ""},
		{"a phase of a job that was never submitted", ruleInvented, func(s *checkerSetup) {
			s.RecordPhaseAnswer("req-9", wire.JobQueued, time.Now())
		}, ""},
		{"a job reported as done before its tasks have completed", ruleNotDone, func(s *checkerSetup) {
			s.RecordPhaseAnswer(s.submitAndAccept(nil).ID, wire.JobDone, time.Now())
		}, ""},
		{"a cancelled job reported as queued", ruleWentBack, func(s *checkerSetup) {
			job := s.submitAndAccept(nil)
			s.cancelAndConfirm(job)
			time.Sleep(time.Second)
			s.RecordPhaseAnswer(job.ID, wire.JobQueued, time.Now())
		}, ""},
		{"a job reported as cancelled without a request", ruleWentBack, func(s *checkerSetup) {
			s.RecordPhaseAnswer(s.submitAndAccept(nil).ID, wire.JobCancelled, time.Now())
		}, ""},
		{"a job that waits although a machine has free capacity", ruleLeftWaiting, func(s *checkerSetup) {
			s.submitAndAccept(nil)
			s.RecordFaultsOver()
			for range 20 {
				s.CheckWaitingJobs([]*Worker{s.west})
				time.Sleep(5 * time.Second)
			}
		}, ""},
		{"a job that is accepted although it cannot run", ruleAcceptedInvalid, func(s *checkerSetup) {
			s.RecordInvalidJobAccepted("req-1", 201)
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCheckerSetup()
				c.scenario(s)
				got := s.Violations()
				if c.wantRule == "" && len(got) > 0 || c.wantRule != "" && len(got) == 0 {
					t.Fatalf("violations: got %q, want none if the case names no rule, and at least one otherwise", got)
				}
				if !strings.Contains(strings.Join(got, "\n"), c.wantText) {
					t.Errorf("violations: got %q, want one that contains %q", got, c.wantText)
				}
				if slices.ContainsFunc(got, func(v string) bool { return !strings.Contains(v, " "+string(c.wantRule)+": ") }) {
					t.Errorf("violations: got %q, want violations of rule %s only", got, c.wantRule)
				}
			})
		})
	}
}
