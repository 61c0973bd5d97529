package scheduler

import (
	"cmp"
	"slices"
)

// machineSet contains the machines of a partition, indexed and sorted by ID. The sorted order
// keeps scheduling decisions deterministic.
type machineSet struct {
	byID   map[string]*Machine
	sorted []*Machine
}

// newMachineSet returns an empty set.
func newMachineSet() machineSet { return machineSet{byID: map[string]*Machine{}} }

// get returns the machine with an ID, nil if there is none.
func (s *machineSet) get(id string) *Machine { return s.byID[id] }

// all returns the machines by ID. The caller must not change the list.
func (s *machineSet) all() []*Machine { return s.sorted }

// len returns the number of machines.
func (s *machineSet) len() int { return len(s.sorted) }

// add adds a machine whose ID the set does not contain.
func (s *machineSet) add(machine *Machine) {
	position, _ := s.search(machine.ID)
	s.sorted = slices.Insert(s.sorted, position, machine)
	s.byID[machine.ID] = machine
}

// remove removes the machine with an ID, if there is one.
func (s *machineSet) remove(id string) {
	position, found := s.search(id)
	if !found {
		return
	}
	s.sorted = slices.Delete(s.sorted, position, position+1)
	delete(s.byID, id)
}

// search returns the position of an ID in the sorted machines, and whether a machine has it.
func (s *machineSet) search(id string) (position int, found bool) {
	return slices.BinarySearchFunc(s.sorted, id, func(machine *Machine, id string) int {
		return cmp.Compare(machine.ID, id)
	})
}

// selectIDs returns the IDs of the machines that match, in order.
func (s *machineSet) selectIDs(match func(*Machine) bool) []string {
	var ids []string
	for _, machine := range s.sorted {
		if match(machine) {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}
