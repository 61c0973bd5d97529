// This file has the checks of the simulations.

package controller

import (
	"strings"
	"time"

	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// checkStoreChange checks what controllers write to the key-value store, whose lock is held.
func (cluster *simulatedCluster) checkStoreChange(key string, before, after wire.Raw) {
	cluster.checkChunkFormat(key, after)
	cluster.checkFinalPhase(key, before, after)
}

// checkFinalPhase checks that the record of a job that has ended keeps its final phase: a
// user may have been told of it.
func (cluster *simulatedCluster) checkFinalPhase(key string, before, after wire.Raw) {
	if !strings.HasPrefix(key, records.JobKey("")) || len(before) == 0 {
		return
	}
	var was, is records.JobRecord
	if wire.Unmarshal(before, &was) != nil || wire.Unmarshal(after, &is) != nil {
		return
	}
	if was.Phase.IsFinal() && is.Phase != was.Phase {
		cluster.t.Errorf("broken rule: the record of %s went from %s to %s", key, was.Phase, is.Phase)
	}
}

// waitAndCheck waits until all users know how their jobs ended, and checks the rules.
func (cluster *simulatedCluster) waitAndCheck(limit time.Duration) {
	cluster.waitForUsers(limit)
	for _, violation := range cluster.simulation.Violations() {
		cluster.t.Errorf("broken rule: %s", violation)
	}
	if cluster.simulation.Starts() == 0 {
		cluster.t.Error("no task was started")
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for id, phase := range cluster.finalPhases {
		if phase == "" {
			cluster.t.Errorf("%s has no final phase", id)
		}
	}
}

func (cluster *simulatedCluster) waitForUsers(limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		cluster.background.Wait()
		close(ended)
	}()
	deadline := time.Now().Add(limit)
	for {
		select {
		case <-ended:
			return
		case <-time.After(checkInterval):
		}
		cluster.simulation.CheckWaiting(cluster.cloud.Workers())
		if !time.Now().Before(deadline) {
			cluster.t.Errorf("jobs still under way after %v; the key-value store has\n%s", limit, cluster.store.Dump())
			return
		}
	}
}

// checkStarts checks how many tasks were started in all. A number above that of the tasks
// means that some ran anew without need.
func (cluster *simulatedCluster) checkStarts(want int) {
	cluster.t.Helper()
	if got := cluster.simulation.Starts(); got != want {
		cluster.t.Errorf("%d task starts, want %d", got, want)
	}
}

// requireStarts ends the test unless that many tasks were started in all.
func (cluster *simulatedCluster) requireStarts(want int) {
	cluster.t.Helper()
	if got := cluster.simulation.Starts(); got != want {
		cluster.t.Fatalf("%d task starts, want %d", got, want)
	}
}

// checkViolated checks that the checker reported a violation of the rule.
func (cluster *simulatedCluster) checkViolated(rule string) {
	cluster.t.Helper()
	violations := cluster.simulation.Violations()
	for _, violation := range violations {
		if strings.Contains(violation, rule) {
			return
		}
	}
	cluster.t.Errorf("%s was broken and not reported: %v", rule, violations)
}

// countFinalPhase counts the jobs that ended in a phase.
func (cluster *simulatedCluster) countFinalPhase(phase wire.JobPhase) int {
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
