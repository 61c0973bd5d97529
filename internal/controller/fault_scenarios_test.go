// Scenarios of coinciding faults, each a row of a test: cancellations while the store refuses
// the owner, failovers with machines that cannot be reached, late messages, teams at their
// limits, and users that query while something changes. docs/design.md lists what each guards.

package controller

import (
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// submitLongJobs submits jobs that run for as long as anything is checked here.
func submitLongJobs(jobs int) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for n := range jobs {
			cluster.submit(smallMachineJob(n, 2, 4, 200), 0)
		}
	}
}

// submitLongAndShortJobs submits such jobs, and short ones that end within the first minute, whose
// machines are free then.
func submitLongAndShortJobs(jobs, short int, seconds float64) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		submitLongJobs(jobs)(cluster)
		for n := range short {
			cluster.submit(smallMachineJob(100+n, 1, 8, seconds), 0)
		}
	}
}

// The gap: the state service refuses the owner alone, users are told by other nodes that
// their jobs are cancelled, and then it is out for all beyond cancel_s, while the workers
// report to the old owner. Its contact may be renewed in between by a watch that ends, and
// is back after the outage before the news are; neither may keep the tasks alive.
func TestJobsCancelledWhileOwnerIsRefused(t *testing.T) {
	refused := emulator.Fault{
		At:    40 * second,
		For:   3 * second,
		Kind:  emulator.StoreRefusesNode,
		Nodes: []int{emulator.Owner},
	}
	cancels := emulator.Fault{At: 41 * second, Kind: emulator.CancelRunningJobs, Count: 5}
	out := emulator.Fault{At: 42500 * time.Millisecond, For: 60 * second, Kind: emulator.StoreOutage}
	with := func(more ...emulator.Fault) []emulator.Fault {
		return append([]emulator.Fault{refused, cancels, out}, more...)
	}
	stuck := emulator.Fault{At: 40 * second, For: 80 * second, Kind: emulator.WatchesStalled}
	long := refused
	long.For = 70 * second
	met := map[emulator.FaultKind]int{
		emulator.StoreRefusesNode:  1,
		emulator.CancelRunningJobs: 5,
		emulator.StoreOutage:       1,
	}
	all := []faultScenario{
		{name: "ends in the outage", script: with()},
		{name: "outlasts the outage", script: []emulator.Fault{long, cancels, out}},
		{
			name: "a second outage",
			script: with(emulator.Fault{
				At:   103500 * time.Millisecond,
				For:  50 * second,
				Kind: emulator.StoreOutage,
			}),
		},
		{
			name: "a moment of contact",
			script: []emulator.Fault{
				refused, cancels,
				{At: 42500 * time.Millisecond, For: 20 * second, Kind: emulator.StoreOutage},
				{At: 62600 * time.Millisecond, For: 50 * second, Kind: emulator.StoreOutage},
			},
		},
		{
			name: "the owner restarts",
			script: with(emulator.Fault{
				At:    55 * second,
				Kind:  emulator.ControllerCrash,
				Nodes: []int{emulator.Owner},
				Wait:  200 * time.Millisecond,
			}),
		},
		{
			name: "machines hang",
			script: with(emulator.Fault{
				At:    41500 * time.Millisecond,
				For:   12 * second,
				Kind:  emulator.MachineHang,
				Count: 3,
			}),
		},
		{
			name: "machines are deaf",
			script: with(emulator.Fault{
				At:    41500 * time.Millisecond,
				For:   90 * second,
				Kind:  emulator.MachineInboundCut,
				Count: 3,
			}),
		},
		{
			name: "reports come through a third node",
			script: with(emulator.Fault{
				At:    39 * second,
				For:   80 * second,
				Kind:  emulator.WorkersCut,
				Nodes: []int{emulator.Owner},
			}),
		},
		{
			name: "all at the same moment",
			script: []emulator.Fault{
				refused,
				{At: 40 * second, Kind: emulator.CancelRunningJobs, Count: 5},
				{At: 41500 * time.Millisecond, For: 60 * second, Kind: emulator.StoreOutage},
			},
		},
		{
			name: "answers are slow",
			script: with(emulator.Fault{
				At:   30 * second,
				For:  90 * second,
				Kind: emulator.StoreSlow,
				Wait: 800 * time.Millisecond,
			}),
		},
	}
	for i := range all {
		all[i].minInjected = met
	}
	all = append(all, faultScenario{
		name:        "watches are stuck",
		script:      []emulator.Fault{stuck, cancels},
		minInjected: map[emulator.FaultKind]int{emulator.WatchesStalled: 1, emulator.CancelRunningJobs: 5},
	})
	// The owner has contact all the time, and no news.
	all = append(all, faultScenario{
		name: "the cancellations cannot be read",
		script: []emulator.Fault{
			stuck,
			cancels,
			{At: 40 * second, For: 80 * second, Kind: emulator.ListsRefused},
		},
		minInjected: map[emulator.FaultKind]int{
			emulator.WatchesStalled:    1,
			emulator.ListsRefused:      1,
			emulator.CancelRunningJobs: 5,
		},
	})
	for i := range all {
		all[i].seed, all[i].submit = uint64(20+i), submitLongJobs(8)
		all[i].setup = func(cluster *simulatedCluster) { cluster.store.WatchesEnd = true }
		// No node can tell the owner, so that it hears by the state service only.
		all[i].script = append(all[i].script, emulator.Fault{
			At:    40500 * time.Millisecond,
			For:   2 * second,
			Kind:  emulator.PeersCut,
			Nodes: []int{emulator.Owner},
		})
	}
	runScenarios(t, all)
}

// submitJobsAtTeamLimits has every team with a limit use all of it for as long as anything is checked
// here, with more than a limit's worth of its work waiting, and other work beside whose
// machines could take it at once.
func submitJobsAtTeamLimits(cluster *simulatedCluster) {
	for n := range 22 {
		job := smallMachineJob(100+n, 1, 4, 80)
		job.Team = "blue"
		cluster.submit(job, 0)
		g := smallMachineJob(200+n, 1, 2, 80)
		g.Team, g.GPUs, g.MachineTypes = "red", 1, nil
		cluster.submit(g, 0)
	}
	time.Sleep(10 * second)
	for n := range 9 {
		cluster.submit(smallMachineJob(300+n, 1, 8, 80), 0)
	}
	for n := range 3 {
		g := smallMachineJob(400+n, 1, 10, 80)
		g.GPUs, g.MachineTypes = 4, nil
		cluster.submit(g, 0)
	}
}

// expectTeamsAtLimits notes whether every team with a limit used all of it at that time.
func expectTeamsAtLimits(at time.Duration) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		time.Sleep(at)
		for _, c := range cluster.settings(0).Cluster.Teams {
			cpus, gpus := cluster.simulation.Used(c.Name)
			if (c.CPUsMax > 0 && cpus < c.CPUsMax) || (c.GPUsMax > 0 && gpus < c.GPUsMax) {
				cluster.t.Errorf("the scenario did not come about: %s uses %v CPUs and %v GPUs", c.Name, cpus, gpus)
			}
		}
	}
}

// submitJobStream submits a one-task job each gap, and cancels every fourth after a while.
func submitJobStream(n, tasks int, cpus float64, gap time.Duration, seconds float64) func(cluster *simulatedCluster) {
	return func(cluster *simulatedCluster) {
		for i := range n {
			cancel := time.Duration(0)
			if i%4 == 3 {
				cancel = time.Duration(i%5) * second
			}
			cluster.submit(smallMachineJob(i, tasks, cpus, seconds), cancel)
			time.Sleep(gap)
		}
	}
}

// expectStarts expects that many, so that no task ran anew that need not have.
func expectStarts(n int) func(t *testing.T, cluster *simulatedCluster) {
	return func(t *testing.T, cluster *simulatedCluster) {
		if got := cluster.simulation.Starts(); got != n {
			t.Errorf("%d starts of %d tasks", got, n)
		}
	}
}

// expectNoRepeatedAttempts expects that no attempt began again after it was cleared.
func expectNoRepeatedAttempts(t *testing.T, cluster *simulatedCluster) {
	if n := cluster.simulation.RepeatedAttempts(); n != 0 {
		t.Errorf("%d attempts began once more", n)
	}
}

// Work changes hands while its machines can't be asked: nothing is freed by time alone.
func TestFailoverWithUnreachableMachines(t *testing.T) {
	owner, all := []int{emulator.Owner}, []int{0, 1, 2}
	crash := emulator.Fault{At: 60 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 4 * second}
	tenTimes := []emulator.Fault{{At: 90 * second, For: 25 * second, Kind: emulator.StoreOutage}}
	for i := range 10 {
		tenTimes = append(tenTimes, emulator.Fault{
			At:    time.Duration(50+12*i) * second,
			Kind:  emulator.ControllerCrash,
			Nodes: owner,
			Wait:  time.Duration(200+700*i) * time.Millisecond,
		})
	}
	runScenarios(t, []faultScenario{
		{
			name:        "machines with long tasks hang as the owner ends",
			seed:        40,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.MachineHang: 4, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				{At: 59 * second, For: 12 * second, Kind: emulator.MachineHang, Count: 4},
				crash,
			},
		},
		{
			name:        "machines do not hear the next owner",
			seed:        41,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.MachineInboundCut: 4, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				{At: 59 * second, For: 40 * second, Kind: emulator.MachineInboundCut, Count: 4},
				crash,
			},
		},
		{
			name:        "machines cannot be reached by the next owner",
			seed:        42,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.ZoneCut: 1, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				{At: 59 * second, For: 12 * second, Kind: emulator.ZoneCut, Zone: "a"},
				crash,
			},
		},
		{
			name:        "all end for longer than a lease",
			seed:        43,
			submit:      submitLongAndShortJobs(10, 6, 30),
			minInjected: map[emulator.FaultKind]int{emulator.ControllerCrash: 3, emulator.MachineInboundCut: 3},
			check:       expectStarts(46),
			// Some machines do not hear those that are back: their work is known to be over
			// by their sessions alone, and goes on elsewhere.
			script: []emulator.Fault{
				{At: 59 * second, For: 90 * second, Kind: emulator.MachineInboundCut, Count: 3},
				{At: 60 * second, Kind: emulator.ControllerCrash, Nodes: all, Wait: 20 * second},
			},
			observe: func(cluster *simulatedCluster) {
				time.Sleep(92 * second)
				if n := cluster.simulation.Running(); n != 20 {
					cluster.t.Errorf("%d of 20 tasks run again", n)
				}
			},
		},
		{
			name:        "handed over and back, all end, and one is back at once",
			seed:        44,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.ControllerCrash: 5},
			script: []emulator.Fault{
				crash,
				{At: 66 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 300 * time.Millisecond},
				{At: 72 * second, Kind: emulator.ControllerCrash, Nodes: all, Wait: 200 * time.Millisecond},
			},
			check: expectStarts(20),
		},
		{
			name:        "ten owners in two minutes, and an outage",
			seed:        45,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.ControllerCrash: 8, emulator.StoreOutage: 1},
			script:      tenTimes,
		},
		{
			name:        "a zone is cut off with the owner inside",
			seed:        46,
			submit:      submitLongJobs(10),
			minInjected: map[emulator.FaultKind]int{emulator.ZoneCut: 1},
			script: []emulator.Fault{{
				At:    60 * second,
				For:   50 * second,
				Kind:  emulator.ZoneCut,
				Zone:  "a",
				Nodes: owner,
			}},
		},
		{
			name:        "a zone is cut off with another inside",
			seed:        47,
			submit:      submitLongAndShortJobs(10, 6, 30),
			minInjected: map[emulator.FaultKind]int{emulator.ZoneCut: 1},
			script: []emulator.Fault{{
				At:    60 * second,
				For:   50 * second,
				Kind:  emulator.ZoneCut,
				Zone:  "b",
				Nodes: []int{emulator.Others},
			}},
		},
	})
}

// The owner has its workers and users only, and jobs are cancelled through the next one,
// which does not reach the workers: they must not live on the old one's answers.
func TestIsolatedOwnerKeepsWorkers(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "cancelled through the next owner",
		seed:        50,
		submit:      submitLongJobs(10),
		minInjected: map[emulator.FaultKind]int{emulator.NodeIsolated: 1, emulator.CancelRunningJobs: 5},
		script: []emulator.Fault{
			{At: 60 * second, For: 80 * second, Kind: emulator.NodeIsolated, Nodes: []int{emulator.Owner}},
			{At: 60 * second, For: 80 * second, Kind: emulator.WorkersCut, Nodes: []int{emulator.Others}},
			// Else the next owner returns the machines that it does not hear, with all on them.
			{At: 60 * second, For: 80 * second, Kind: emulator.CloudCut, Nodes: []int{emulator.Others}},
			{At: 68 * second, Kind: emulator.CancelRunningJobs, Count: 5},
		},
	}})
}

// Teams are at their limits while the owner changes, machines can't be asked, and jobs
// are cancelled: what may still be on a machine counts.
func TestTeamsAtLimits(t *testing.T) {
	crash := emulator.Fault{
		At:    71 * second,
		Kind:  emulator.ControllerCrash,
		Nodes: []int{emulator.Owner},
		Wait:  3 * second,
	}
	cancels := emulator.Fault{At: 70500 * time.Millisecond, Kind: emulator.CancelRunningJobs, Count: 0}
	met := map[emulator.FaultKind]int{emulator.CancelRunningJobs: 6, emulator.ControllerCrash: 1}
	row := func(name string, seed uint64, silence ...emulator.Fault) faultScenario {
		return faultScenario{
			name:        name,
			seed:        seed,
			submit:      submitJobsAtTeamLimits,
			observe:     expectTeamsAtLimits(69 * second),
			minInjected: met,
			script:      append(silence, cancels, crash),
		}
	}
	deaf := row("machines are deaf", 63, emulator.Fault{
		At:    70 * second,
		For:   30 * second,
		Kind:  emulator.MachineInboundCut,
		Count: 3,
		Team:  "blue",
	},
		emulator.Fault{
			At:    70 * second,
			For:   30 * second,
			Kind:  emulator.MachineInboundCut,
			Count: 1,
			Team:  "red",
		})
	zone := row("a zone is cut off", 61, emulator.Fault{
		At:   70 * second,
		For:  13 * second,
		Kind: emulator.ZoneCut,
		Zone: "a",
	})
	// Once the owner is gone: it would place the next work where its orders are lost.
	for _, m := range []faultScenario{deaf, zone} {
		m.script[len(m.script)-2].At = 72 * second
	}
	runScenarios(t, []faultScenario{
		row("machines hang", 60, emulator.Fault{
			At:    70 * second,
			For:   13 * second,
			Kind:  emulator.MachineHang,
			Count: 3,
			Team:  "blue",
		},
			emulator.Fault{
				At:    70 * second,
				For:   13 * second,
				Kind:  emulator.MachineHang,
				Count: 1,
				Team:  "red",
			}),
		zone,
		deaf,
	})
}

// Old reports, commands and writes arrive after newer ones.
func TestLateMessages(t *testing.T) {
	owner := []int{emulator.Owner}
	boots := func(cluster *simulatedCluster) {
		cluster.cloud.BootTime = func(wire.MachineType) time.Duration { return 1500 * time.Millisecond }
	}
	// Whole machines of work that yields to others before its start is surely known.
	yielding := func(cluster *simulatedCluster) {
		for i := range 180 {
			job := smallMachineJob(i, 2, 8, 2)
			if job.Priority = "idle"; i%2 == 1 {
				job.Priority = "urgent"
			}
			cluster.submit(job, 0)
			time.Sleep(second / 3)
		}
	}
	// The owner's writes are late just before it ends, and some machines hang as it does,
	// so that the next one does not hear of what runs there.
	lateThenCrash := func(at ...time.Duration) (out []emulator.Fault) {
		for _, x := range at {
			out = append(out, emulator.Fault{
				At:    x - 5*second,
				For:   5 * second,
				Kind:  emulator.LateCommits,
				Share: 1,
				Nodes: owner,
			},
				emulator.Fault{At: x, For: 9 * second, Kind: emulator.MachineHang, Count: 7},
				emulator.Fault{At: x, Kind: emulator.ControllerCrash, Nodes: owner, Wait: second})
		}
		return out
	}
	takenEach := func(gap, from time.Duration, n int) (out []emulator.Fault) {
		for i := range n {
			out = append(out, emulator.Fault{
				At:    from + time.Duration(i)*gap,
				Kind:  emulator.MachineLost,
				Count: 1,
			})
		}
		return out
	}
	runScenarios(t, []faultScenario{
		// The first reports of all, without a task. The machines with work hang then, so
		// that neither an answer to an order nor a newer report of theirs comes first.
		{
			name:   "old reports as the next owner begins",
			seed:   70,
			submit: submitLongAndShortJobs(5, 5, 10),
			minInjected: map[emulator.FaultKind]int{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.MachineHang:            4,
				emulator.ControllerCrash:        1,
			},
			check: expectStarts(15),
			script: []emulator.Fault{
				{At: 2 * second, For: 36 * second, Kind: emulator.HeartbeatsForNextOwner},
				{At: 39 * second, For: 11 * second, Kind: emulator.MachineHang},
				{At: 40 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 3 * second},
			},
		},
		// Those kept for the next owner, and some that have its token already.
		{
			name:   "old reports once the next owner has acted",
			seed:   71,
			submit: submitJobStream(60, 2, 4, second, 15),
			minInjected: map[emulator.FaultKind]int{
				emulator.HeartbeatsForNextOwner: 6,
				emulator.LateHeartbeats:         20,
				emulator.ControllerCrash:        1,
			},
			script: []emulator.Fault{
				{At: 22 * second, For: 20 * second, Kind: emulator.HeartbeatsForNextOwner, Wait: 6 * second},
				{At: 50 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 3 * second},
				{
					At:    54 * second,
					For:   30 * second,
					Kind:  emulator.LateHeartbeats,
					Share: 0.5,
					Wait:  10 * second,
				},
			},
		},
		{
			name:        "copies from earlier sessions and attempts",
			seed:        72,
			submit:      submitJobStream(60, 2, 4, second, 15),
			minInjected: map[emulator.FaultKind]int{emulator.LateHeartbeats: 50, emulator.MachineHang: 4},
			script: []emulator.Fault{
				{
					At:    20 * second,
					For:   80 * second,
					Kind:  emulator.LateHeartbeats,
					Share: 0.3,
					Wait:  30 * second,
				},
				{At: 45 * second, For: 16 * second, Kind: emulator.MachineHang, Count: 4},
			},
		},
		{
			name:        "orders are held up",
			seed:        73,
			submit:      yielding,
			minInjected: map[emulator.FaultKind]int{emulator.DelayedCommands: 5},
			check:       expectNoRepeatedAttempts,
			script: []emulator.Fault{{
				At:   42 * second,
				For:  50 * second,
				Kind: emulator.DelayedCommands,
				Wait: 9 * second,
			}},
		},
		{
			name:        "machines go on with an order in flight",
			seed:        74,
			submit:      submitJobStream(60, 2, 4, second, 20),
			minInjected: map[emulator.FaultKind]int{emulator.MachineHang: 4},
			script: []emulator.Fault{
				{At: 30 * second, For: 9 * second, Kind: emulator.MachineHang},
				{At: 42 * second, For: 9 * second, Kind: emulator.MachineHang},
				{At: 55 * second, For: 13 * second, Kind: emulator.MachineHang},
			},
		},
		{
			name:   "machines reach no controller, orders reach them",
			seed:   75,
			submit: submitJobStream(90, 2, 4, second, 14),
			minInjected: map[emulator.FaultKind]int{
				emulator.MachineOutboundCut: 4,
				emulator.CloudCut:           1,
				emulator.CancelRunningJobs:  5,
			},
			// Their leases run out, and then orders to stop work reach them, which are refused
			// by the next session. Nothing is returned once the next owner has learned the machines' addresses.
			script: []emulator.Fault{
				{At: 61 * second, Kind: emulator.CancelRunningJobs},
				{At: 54 * second, For: 40 * second, Kind: emulator.CloudCut, Nodes: []int{0, 1, 2}},
				{At: 45 * second, For: 45 * second, Kind: emulator.MachineOutboundCut, Count: 5},
				{At: 48 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: 2 * second},
			},
		},
		{
			name:        "writes are late",
			seed:        76,
			submit:      submitJobStream(150, 2, 2, 500*time.Millisecond, 10),
			minInjected: map[emulator.FaultKind]int{emulator.LateCommits: 6, emulator.ControllerCrash: 3},
			script:      lateThenCrash(40*second, 55*second, 70*second),
		},
		{
			name:         "answers to writes are lost",
			seed:         77,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, second, 10),
			minInjected:  map[emulator.FaultKind]int{emulator.LostResponses: 20},
			script: []emulator.Fault{{
				At:    10 * second,
				For:   50 * second,
				Kind:  emulator.LostResponses,
				Share: 0.4,
			}},
		},
		{
			name:   "machines boot within two seconds, writes lag, and the owner ends",
			seed:   78,
			setup:  boots,
			submit: submitJobStream(40, 2, 2, second, 30),
			minInjected: map[emulator.FaultKind]int{
				emulator.StoreSlow:       1,
				emulator.ControllerCrash: 2,
				emulator.MachineLost:     5,
			},
			// Machines are taken, and their records go while the next owner reads its own.
			script: append(takenEach(500*time.Millisecond, 28*second, 16), emulator.Fault{
				At:   3 * second,
				For:  60 * second,
				Kind: emulator.StoreSlow,
				Wait: 600 * time.Millisecond,
			},
				emulator.Fault{
					At:    15 * second,
					Kind:  emulator.ControllerCrash,
					Nodes: owner,
					Wait:  second,
				}, emulator.Fault{At: 42 * second, Kind: emulator.ControllerCrash, Nodes: owner, Wait: second}),
		},
	})
}

// Users see no older answer, wherever they ask.
func TestUsersSeeNoOlderAnswer(t *testing.T) {
	cancelAtEnd := func(cluster *simulatedCluster) { // at once, or while its owner is about to say so
		n := 0
		cluster.simulation.OnJobDone = func(id string) {
			n++
			time.AfterFunc(time.Duration(n%40)*20*time.Millisecond, func() { cluster.cancelJob(id) })
		}
	}
	records := func(t *testing.T, cluster *simulatedCluster) {
		time.Sleep(10 * second)
		for _, prefix := range []string{records.ChunkPrefix(0), records.CancellationPrefix(0)} {
			if n := cluster.store.Count(prefix); n != 0 {
				t.Errorf("%d records under %s of jobs that are over", n, prefix)
			}
		}
	}
	runScenarios(t, []faultScenario{
		{
			name:         "cancelled and asked about at the last task's end",
			seed:         80,
			pollAllNodes: true,
			setup:        cancelAtEnd,
			submit:       submitJobStream(80, 1, 2, 250*time.Millisecond, 5),
			// So that what a cancellation reads and what it writes lie apart.
			script: []emulator.Fault{{
				At:   15 * second,
				For:  60 * second,
				Kind: emulator.StoreSlow,
				Wait: 150 * time.Millisecond,
			}},
			check: func(t *testing.T, cluster *simulatedCluster) {
				if done, cancelled := cluster.countFinalPhase(wire.JobDone), cluster.countFinalPhase(wire.JobCancelled); done < 5 || cancelled < 5 {
					t.Errorf("%d done, %d cancelled", done, cancelled)
				}
			},
		},
		{
			name:         "asked at all nodes within milliseconds",
			seed:         81,
			pollAllNodes: true,
			submit:       submitJobStream(40, 2, 2, 500*time.Millisecond, 6),
			minInjected:  map[emulator.FaultKind]int{emulator.CancelRunningJobs: 3},
			script: []emulator.Fault{
				{At: 30 * second, Kind: emulator.CancelRunningJobs, Count: 10},
				{At: 34 * second, Kind: emulator.CancelRunningJobs, Count: 10},
			},
		},
		{
			name:         "cancelled while the work changes hands",
			seed:         82,
			pollAllNodes: true,
			submit:       submitLongJobs(10),
			minInjected:  map[emulator.FaultKind]int{emulator.CancelRunningJobs: 9, emulator.ControllerCrash: 1},
			script: []emulator.Fault{
				{
					At:    60 * second,
					Kind:  emulator.ControllerCrash,
					Nodes: []int{emulator.Owner},
					Wait:  20 * second,
				},
				{At: 60300 * time.Millisecond, Kind: emulator.CancelRunningJobs, Count: 3},
				{At: 62 * second, Kind: emulator.CancelRunningJobs, Count: 3},
				{At: 64500 * time.Millisecond, Kind: emulator.CancelRunningJobs, Count: 3},
			},
		},
		{
			name:   "one-task jobs four a second, a quarter cancelled",
			seed:   83,
			submit: submitJobStream(480, 1, 2, 250*time.Millisecond, 5),
			check:  records,
		},
		{
			name: "odd requests",
			seed: 84,
			submit: func(cluster *simulatedCluster) {
				submitLongJobs(2)(cluster)
				u := &emulator.User{
					Simulation: cluster.simulation,
					Net:        cluster.network.Host("odd"),
					Pick:       func() emulator.Node { return cluster.nodes[cluster.random.IntN(3)] },
				}
				for n := range 10 {
					time.Sleep(2 * second)
					u.SubmitInvalid(cluster.ctx, smallMachineJob(500+n, 1, 1, 5))
				}
			},
		},
	})
}

// Jobs of two or three tasks end far apart, in an outage and across changes of the owner:
// what has ended is not run again.
func TestFinishedTasksDoNotRunAgain(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "across owners and an outage",
		seed:        90,
		minInjected: map[emulator.FaultKind]int{emulator.ControllerCrash: 2, emulator.StoreOutage: 1},
		check:       expectStarts(30),
		setup: func(cluster *simulatedCluster) {
			cluster.simulation.RunTime = func(_ *wire.Job, task int) time.Duration { return time.Duration(15+25*task) * second }
		},
		submit: func(cluster *simulatedCluster) {
			for n := range 10 {
				cluster.submit(smallMachineJob(n, 3, 2, 40), 0)
				time.Sleep(2 * second)
			}
		},
		script: []emulator.Fault{
			{At: 50 * second, For: 8 * second, Kind: emulator.StoreOutage},
			{At: 56 * second, Kind: emulator.ControllerCrash, Nodes: []int{emulator.Owner}, Wait: 2 * second},
			{At: 75 * second, Kind: emulator.ControllerCrash, Nodes: []int{emulator.Owner}, Wait: 2 * second},
		},
	}})
}

// Jobs bound to one zone, arrays too, lose machines, and a zone is cut off.
func TestSingleZoneJobsLoseMachines(t *testing.T) {
	runScenarios(t, []faultScenario{{
		name:        "taken, and cut off",
		seed:        91,
		minInjected: map[emulator.FaultKind]int{emulator.MachineLost: 6, emulator.ZoneCut: 1},
		submit: func(cluster *simulatedCluster) {
			for n := range 12 {
				job := smallMachineJob(n, 3, 4, 60)
				job.SingleZone = true
				if n%3 == 0 {
					job.Zone = "b"
				}
				if n%3 == 1 {
					job.Shape, job.CheckpointIntervalS, job.CheckpointSaveS = wire.GangJob, 20, 2
				}
				cluster.submit(job, 0)
				time.Sleep(3 * second)
			}
		},
		script: []emulator.Fault{
			{At: 45 * second, Kind: emulator.MachineLost, Count: 3, Zone: "a"},
			{At: 55 * second, Kind: emulator.MachineLost, Count: 3, Zone: "b"},
			{At: 70 * second, For: 20 * second, Kind: emulator.ZoneCut, Zone: "a"},
		},
	}})
}
