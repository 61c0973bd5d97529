// Tests that execute one commit of each kind late, on quiet clusters: no later write corrects what
// the late one has changed.

package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
)

// lateCommitTest executes commits late that put or delete a key of one kind.
type lateCommitTest struct {
	name   string
	prefix string // of the key
}

// lateCommitTests has one row for each kind of record that a controller writes.
var lateCommitTests = []lateCommitTest{
	{"leader", records.LeaderKey},
	{"partition owner", records.PartitionPrefix},
	{"node", records.NodePrefix},
	{"feature level", records.FeatureLevelKey},
	{"machines", records.MachinePrefix},
	{"rental", records.RentalPrefix},
	{"summary", records.SummaryPrefix},
	{"job", jobPrefix},
	{"chunk", records.ChunkPrefix(0)},
	{"journal", records.JournalPrefix(0)},
	{"cancellation", records.CancellationPrefix(0)},
}

// Whichever commit is executed late, all jobs end, no rule is broken, no task starts twice, no more
// machines are rented than the tasks need, and the records agree with the cluster's state.
func TestOneLateCommit(t *testing.T) {
	runLateCommitTests(t, func(cluster *simulatedCluster, held *emulator.HeldCommit, name string) {
		runJobsOnQuietCluster(cluster, name)
		const tasks, machinesOfCancelledJob = 2, 1
		if rented := cluster.cloud.RentedMachines(); rented > tasks+machinesOfCancelledJob {
			cluster.t.Errorf("%s: machines rented: got %d, want at most %d", name, rented, tasks+machinesOfCancelledJob)
		}
	})
}

// The same holds if the controller that has sent the commit crashes half a second later and is back
// within its lease, but for the number of machines: a new leader does not know which rentals the
// former one has given up.
func TestOneLateCommitOfCrashedController(t *testing.T) {
	runLateCommitTests(t, func(cluster *simulatedCluster, held *emulator.HeldCommit, name string) {
		go cluster.restartSender(held)
		runJobsOnQuietCluster(cluster, name)
	})
}

// runLateCommitTests runs a simulation for each kind of record, number of commits to skip and delay,
// one child process for each kind.
func runLateCommitTests(t *testing.T, run func(cluster *simulatedCluster, held *emulator.HeldCommit, name string)) {
	t.Parallel()
	for _, test := range lateCommitTests {
		t.Run(test.name, func(t *testing.T) {
			if runInChildProcess(t) {
				return
			}
			for _, hold := range test.holds() {
				name := fmt.Sprintf("commit %d held for %v, after a newer one: %v", hold.Skip+1, hold.Delay, hold.AfterNewer)
				simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
					run(cluster, cluster.store.HoldCommit(hold), name)
				})
			}
		})
	}
}

// holds returns the commits to hold, one in each simulation. SEEDS sets how many commits of a kind
// are held, from the first one.
func (test *lateCommitTest) holds() []emulator.CommitHold {
	var holds []emulator.CommitHold
	for skip := range seedCount(3) {
		for _, delay := range []time.Duration{2 * second, 9 * second} {
			holds = append(holds,
				emulator.CommitHold{Prefix: test.prefix, Skip: skip, Delay: delay},
				emulator.CommitHold{Prefix: test.prefix, Skip: skip, Delay: delay, AfterNewer: true},
			)
		}
	}
	return holds
}

// runJobsOnQuietCluster runs a job on machines of its own, then a second one on the same machines and
// one that its user cancels before its machine, of another type, can have booted. It checks the
// starts of tasks, and the records some time after the end of the jobs.
func runJobsOnQuietCluster(cluster *simulatedCluster, name string) {
	const (
		tasks = 2  // each fills a machine
		runS  = 70 // long enough that the autoscaler counts a machine for each
	)
	time.Sleep(5 * second)
	cluster.submit(newSmallMachineJob(1, tasks, 8, runS), 0)
	cluster.waitForUsers(3 * time.Minute)
	cluster.submit(newSmallMachineJob(2, tasks, 8, runS), 0)
	cluster.submit(newArrayJob(3, 1, 16, 60, withGPUs(4)), 2*second)
	cluster.waitForJobsAndCheck(3 * time.Minute)
	if starts := cluster.simulation.StartCount(); starts != 2*tasks {
		cluster.t.Errorf("%s: tasks started: got %d, want %d", name, starts, 2*tasks)
	}
	time.Sleep(2 * time.Minute)
	cluster.checkRecordsOfQuietCluster(name)
}

// restartSender waits until a commit is held, kills the controller that has sent it and starts it
// again.
func (cluster *simulatedCluster) restartSender(held *emulator.HeldCommit) {
	const interval = 100 * time.Millisecond
	for held.Sender() == "" {
		if cluster.ctx.Err() != nil {
			return // the cluster has not written so many records of that kind
		}
		time.Sleep(interval)
	}
	sender := slices.IndexFunc(cluster.nodes, func(node emulator.Node) bool { return node.Name == held.Sender() })
	time.Sleep(second / 2)
	cluster.restartNode(sender, second)
}
