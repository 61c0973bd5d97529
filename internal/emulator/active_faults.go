package emulator

import (
	"slices"
	"sync"
)

// activeFaults has a function for each fault of a kind that is active, in the order in which the
// faults began. Faults may overlap: each function stays until its own fault is over.
type activeFaults[F any] struct {
	mu      sync.Mutex
	entries []*F
}

// add adds the function of a fault that begins. The caller must call remove when the fault is over.
func (a *activeFaults[F]) add(function F) (remove func()) {
	entry := &function
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, entry)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.entries = slices.DeleteFunc(a.entries, func(other *F) bool { return other == entry })
	}
}

// functions returns the functions of the faults that are active now.
func (a *activeFaults[F]) functions() []F {
	a.mu.Lock()
	defer a.mu.Unlock()
	functions := make([]F, 0, len(a.entries))
	for _, entry := range a.entries {
		functions = append(functions, *entry)
	}
	return functions
}
