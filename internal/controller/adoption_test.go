package controller

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"ambersill/internal/emulator"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// Guards against a leader that records adopted machines in another order on every run, so that a
// leader that ends meanwhile leaves other machines without records, and no run can be repeated.
func TestMachinesAreAdoptedInOrder(t *testing.T) {
	simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
		var written []string
		checkChange := cluster.store.OnPut
		cluster.store.OnPut = func(key string, before, after wire.Raw) {
			checkChange(key, before, after)
			if strings.HasPrefix(key, records.MachinePrefix) && len(before) == 0 {
				written = append(written, key)
			}
		}
		offerings := 0
		for _, machineType := range testMachineTypes {
			for _, zone := range machineType.Zones {
				for _, spot := range []bool{true, false} {
					cluster.cloud.AddMachine(machineType.Name, zone, spot)
					offerings++
				}
			}
		}
		cluster.startNodes()
		time.Sleep(time.Minute)
		if len(written) < offerings || !slices.IsSorted(written[:offerings]) {
			t.Errorf("keys of the %d adopted groups, in the order of their writes: got %q, want that of the machines' IDs", offerings, written)
		}
	})
}

// The partitions of adopted machines are the same on every run, with several owners too.
func TestAdoptedMachinesGetTheSamePartitions(t *testing.T) {
	const partitions = 3
	first := adoptedPartitions(t, partitions)
	if len(first) == 0 || !maps.Equal(first, adoptedPartitions(t, partitions)) {
		t.Errorf("partitions of the machines adopted in two runs: got different ones or none, want the same ones; first run: %v", first)
	}
}

// adoptedPartitions returns the partition that each machine gets when a cluster with the given number
// of partitions adopts it.
func adoptedPartitions(t *testing.T, partitions int) map[string]int {
	t.Helper()
	adopted := map[string]int{}
	simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
		cluster.tuning.Parts = partitions
		cluster.store.OnPut = func(key string, before, after wire.Raw) {
			if !strings.HasPrefix(key, records.MachinePrefix) || len(before) > 0 {
				return
			}
			var group records.MachineGroupRecord
			if err := wire.Unmarshal(after, &group); err != nil {
				t.Error(err)
			}
			for id, machine := range group.Machines {
				adopted[id] = machine.Partition
			}
		}
		for range initialCapacity {
			for _, zone := range []string{"a", "b"} {
				cluster.cloud.AddMachine("small", zone, true)
				cluster.cloud.AddMachine("big", zone, false)
			}
		}
		cluster.startNodes()
		time.Sleep(time.Minute)
	})
	return adopted
}

// Guards against a machine in two groups: the record of adopted machines was written late, after the
// first of them had gone and the others had been adopted again under another name. A node that
// knows the machine by the one group does not see it leave the other, and keeps its tasks for ever.
func TestLateAdoptionPutsNoMachineIntoTwoGroups(t *testing.T) {
	simulate(t, 1, func(t *testing.T, cluster *simulatedCluster) {
		cluster.tuning.ListS = 10 // the first machine is gone by the second listing
		held := cluster.store.HoldCommit(emulator.CommitHold{Prefix: records.MachinePrefix, Delay: 12 * second})
		for range 3 {
			cluster.cloud.AddMachine("small", "a", false)
		}
		time.Sleep(30 * second) // the machines are up and in all listings
		cluster.startNodes()
		time.Sleep(2 * second)
		cluster.cloud.Reclaim("m-000000")
		for begin := time.Now(); time.Since(begin) < time.Minute && !t.Failed(); time.Sleep(second) {
			cluster.checkMachinesInOneGroup()
		}
		if held.Status() == 0 {
			t.Error("late adoption: never executed, want it executed")
		}
	})
}

// checkMachinesInOneGroup checks that no machine is in two of the stored groups.
func (cluster *simulatedCluster) checkMachinesInOneGroup() {
	cluster.t.Helper()
	groups := map[string]string{}
	for _, key := range cluster.store.Keys(records.MachinePrefix) {
		var group records.MachineGroupRecord
		value, _ := cluster.store.Value(key)
		if err := wire.Unmarshal(value, &group); err != nil {
			cluster.t.Error(err)
		}
		for id := range group.Machines {
			if other := groups[id]; other != "" {
				cluster.t.Errorf("groups of machine %s: got %s and %s, want one", id, other, key)
			}
			groups[id] = key
		}
	}
}

// Guards against machines that are rented again and again while the cloud does not answer.
func TestCloudThatDoesNotAnswerGetsNoSecondRental(t *testing.T) {
	const tasks = 2 // each fills a machine
	simulateOnePartition(t, 1, func(cluster *simulatedCluster) {
		const readCatalog, cut, boot = 10 * second, time.Minute, 30 * second
		time.Sleep(readCatalog)
		cloudCut := emulator.Fault{ActiveFor: cut, Kind: emulator.CloudCut, Nodes: allNodes}
		cluster.background.Go(func() { cluster.injector.Run(cluster.ctx, cloudCut) })
		cluster.submit(newSmallMachineJob(1, tasks, 8, 60), 0)
		time.Sleep(cut + boot)
		if got := len(cluster.cloud.Workers()); got != tasks {
			t.Errorf("machines %v after the cloud answers again: got %d, want %d", boot, got, tasks)
		}
		cluster.waitForJobsAndCheck(5 * time.Minute)
	})
}
