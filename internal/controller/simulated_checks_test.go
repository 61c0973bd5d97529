// This file contains the checks that the simulations share.

package controller

import (
	"regexp"
	"strings"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// jobIDPattern matches the ID of a job in the text of a violation.
var jobIDPattern = regexp.MustCompile(`req-\d+`)

// checkStoreChange checks a write to the key-value store. It is called with the store's lock
// held.
func (cluster *simulatedCluster) checkStoreChange(key string, before, after wire.Raw) {
	cluster.checkChunkFormat(key, after)
	cluster.checkFinalPhase(key, before, after)
}

// checkFinalPhase checks that the record of a job never leaves a final phase, because a user may
// already have been told that phase.
func (cluster *simulatedCluster) checkFinalPhase(key string, before, after wire.Raw) {
	if !strings.HasPrefix(key, records.JobKey("")) || len(before) == 0 {
		return
	}
	var oldRecord, newRecord records.JobRecord
	if wire.Unmarshal(before, &oldRecord) != nil || wire.Unmarshal(after, &newRecord) != nil {
		return
	}
	if oldRecord.Phase.IsFinal() && newRecord.Phase != oldRecord.Phase {
		cluster.t.Errorf("broken rule: final phase in record %s changed from %s to %s", key, oldRecord.Phase, newRecord.Phase)
	}
}

// waitForJobsAndCheck waits up to the timeout until all users have seen their jobs end, and then
// checks that no rule was broken, that a task was started and that each job has a final phase.
func (cluster *simulatedCluster) waitForJobsAndCheck(timeout time.Duration) {
	cluster.waitForUsers(timeout)
	violations := cluster.simulation.Violations()
	for _, violation := range violations {
		cluster.t.Errorf("broken rule: %s", violation)
	}
	cluster.logJobTraces(violations)
	if cluster.simulation.StartCount() == 0 {
		cluster.t.Error("number of task starts: got 0, want at least 1")
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for id, phase := range cluster.finalPhases {
		if phase == "" {
			cluster.t.Errorf("final phase of job %s: got none, want one seen by its user", id)
			cluster.logJobTrace(id)
		}
	}
}

// logJobTraces logs what happened to each job that a violation names.
func (cluster *simulatedCluster) logJobTraces(violations []string) {
	logged := map[string]bool{}
	for _, violation := range violations {
		job := jobIDPattern.FindString(violation)
		if job == "" || logged[job] {
			continue
		}
		logged[job] = true
		cluster.logJobTrace(job)
	}
}

// logJobTrace logs what happened to a job.
func (cluster *simulatedCluster) logJobTrace(job string) {
	cluster.t.Logf("events of job %s:\n%s", job, strings.Join(cluster.simulation.JobTrace(job), "\n"))
}

func (cluster *simulatedCluster) waitForUsers(timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		cluster.background.Wait()
		close(ended)
	}()
	deadline := time.Now().Add(timeout)
	for {
		select {
		case <-ended:
			return
		case <-time.After(checkInterval):
		}
		cluster.simulation.CheckWaitingJobs(cluster.cloud.Workers())
		if !time.Now().Before(deadline) {
			cluster.t.Errorf("some jobs have not ended within %v; contents of the key-value store:\n%s", timeout, cluster.store.Dump())
			return
		}
	}
}

// checkTaskStarts checks the total number of task starts. A number higher than expected means
// that some tasks were restarted unnecessarily.
func (cluster *simulatedCluster) checkTaskStarts(want int) {
	cluster.t.Helper()
	if got := cluster.simulation.StartCount(); got != want {
		cluster.t.Errorf("number of task starts: got %d, want %d", got, want)
	}
}

// requireTaskStarts checks the total number of task starts and stops the test if it differs.
func (cluster *simulatedCluster) requireTaskStarts(want int) {
	cluster.t.Helper()
	if got := cluster.simulation.StartCount(); got != want {
		cluster.t.Fatalf("number of task starts: got %d, want %d", got, want)
	}
}

// checkViolationReported checks that the simulation reported a violation of the rule.
func (cluster *simulatedCluster) checkViolationReported(rule string) {
	cluster.t.Helper()
	violations := cluster.simulation.Violations()
	for _, violation := range violations {
		if strings.Contains(violation, rule) {
			return
		}
	}
	cluster.t.Errorf("rule %q was broken but not reported; reported violations: %v", rule, violations)
}

// countJobsEndedAs returns the number of jobs whose users saw them end in the given phase.
func (cluster *simulatedCluster) countJobsEndedAs(phase wire.JobPhase) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	count := 0
	for _, finalPhase := range cluster.finalPhases {
		if finalPhase == phase {
			count++
		}
	}
	return count
}

// checkRecordsOfQuietCluster checks the records of a cluster that has had no work for some time.
func (cluster *simulatedCluster) checkRecordsOfQuietCluster(name string) {
	cluster.t.Helper()
	for _, node := range cluster.nodes {
		if value, _ := cluster.store.Value(records.NodePrefix + node.Name); len(value) == 0 {
			cluster.t.Errorf("%s: live node %s has no record", name, node.Name)
		}
	}
	cluster.checkNoKeys(name, records.MachinePrefix)
	cluster.checkNoKeys(name, records.RentalPrefix)
	for partition := range cluster.partitionCount() {
		cluster.checkNoKeys(name, records.ChunkPrefix(partition))
		cluster.checkNoKeys(name, records.CancellationPrefix(partition))
		cluster.checkSummaryWithoutWork(name, partition)
	}
}

// partitionCount returns the number of partitions that the tunables set.
func (cluster *simulatedCluster) partitionCount() int {
	if cluster.tuning.Parts == 0 {
		return controllerCount
	}
	return cluster.tuning.Parts
}

// checkNoKeys checks that no key with a prefix is left.
func (cluster *simulatedCluster) checkNoKeys(name, prefix string) {
	cluster.t.Helper()
	if n := cluster.store.CountKeys(prefix); n != 0 {
		cluster.t.Errorf("%s: keys below %s of a cluster without work: got %d, want 0", name, prefix, n)
	}
}

// checkSummaryWithoutWork checks that the summary of a partition has no waiting tasks.
func (cluster *simulatedCluster) checkSummaryWithoutWork(name string, partition int) {
	cluster.t.Helper()
	var summary records.PartitionSummary
	value, _ := cluster.store.Value(records.SummaryKey(partition))
	if err := wire.Unmarshal(value, &summary); err != nil {
		cluster.t.Errorf("%s: decoding the summary of partition %d: %v", name, partition, err)
	}
	if waiting := summary.WaitingTasks(); waiting != 0 {
		cluster.t.Errorf("%s: waiting tasks in the summary of partition %d without work: got %d, want 0", name, partition, waiting)
	}
}
