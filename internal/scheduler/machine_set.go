package scheduler

import (
	"cmp"
	"slices"
)

// machineSet is a set of machines, indexed and sorted by ID. The sorted order makes scheduling
// decisions deterministic.
type machineSet struct {
	byID   map[string]*Machine
	sorted []*Machine
}

func newMachineSet() machineSet { return machineSet{byID: map[string]*Machine{}} }

// get returns the machine with the given ID, or nil if the set does not contain it.
func (s *machineSet) get(id string) *Machine { return s.byID[id] }

// all returns the machines sorted by ID. The caller must not modify the slice.
func (s *machineSet) all() []*Machine { return s.sorted }

func (s *machineSet) len() int { return len(s.sorted) }

// add adds a machine. The set must not contain its ID already.
func (s *machineSet) add(machine *Machine) {
	position, _ := s.search(machine.ID)
	s.sorted = slices.Insert(s.sorted, position, machine)
	s.byID[machine.ID] = machine
}

// remove removes the machine with the given ID, if the set contains it.
func (s *machineSet) remove(id string) {
	position, found := s.search(id)
	if !found {
		return
	}
	s.sorted = slices.Delete(s.sorted, position, position+1)
	delete(s.byID, id)
}

// search returns the position at which the ID is or would be inserted in sorted, and whether the
// set contains it.
func (s *machineSet) search(id string) (position int, found bool) {
	return slices.BinarySearchFunc(s.sorted, id, func(machine *Machine, id string) int {
		return cmp.Compare(machine.ID, id)
	})
}

// selectIDs returns the sorted IDs of the matching machines.
func (s *machineSet) selectIDs(match func(*Machine) bool) []string {
	var ids []string
	for _, machine := range s.sorted {
		if match(machine) {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}
