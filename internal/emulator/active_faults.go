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

// overlappingSettings keeps the values that active faults give to settings of the emulated systems.
// Faults may overlap: a setting has the value of the newest fault that is active.
type overlappingSettings[V any] struct {
	mu     sync.Mutex
	values map[settingKey][]*V // in the order in which the faults began
}

// settingKey identifies a setting that faults change.
type settingKey struct {
	kind FaultKind
	// target is the host, link or machine that the setting is for; empty if it is for all.
	target string
}

// begin applies the value of a fault that begins. The caller must call end when the fault is over:
// it applies the newest value of the faults that are still active, or the zero value if none is.
func (o *overlappingSettings[V]) begin(key settingKey, value V, apply func(V)) (end func()) {
	entry := &value
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.values == nil {
		o.values = map[settingKey][]*V{}
	}
	o.values[key] = append(o.values[key], entry)
	apply(value)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.values[key] = slices.DeleteFunc(o.values[key], func(other *V) bool { return other == entry })
		var current V
		if remaining := o.values[key]; len(remaining) > 0 {
			current = *remaining[len(remaining)-1]
		}
		apply(current)
	}
}
