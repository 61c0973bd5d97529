// Package core decides: which task runs where, what a worker is told, how large
// the fleet should be. It does no input or output and reads no clock; time is
// passed in.
package core

import (
	"sort"

	"ambersill/internal/wire"
)

// JobRecord is a job as users see it, kept for ever.
type JobRecord struct {
	Job   *wire.Job  `cbor:"job"`
	Phase wire.Phase `cbor:"ph"`
	Part  int        `cbor:"p"`
	At    int64      `cbor:"at"` // submission, milliseconds of the time of day
}

// ChunkRecord is the state of some of a job's tasks. The first chunk also holds
// the description, so that a new owner needs nothing else.
type ChunkRecord struct {
	Job *wire.Job `cbor:"job,omitempty"`
	At  int64     `cbor:"at,omitempty"`
	// JobStamp is the revision of the job's record; left out until the first
	// rewrite, for both are created at the same revision.
	JobStamp uint64       `cbor:"js,omitempty"`
	Try      uint64       `cbor:"try"`            // highest attempt given out
	Done     []int        `cbor:"done,omitempty"` // ranges [from, to) of task numbers, flattened
	Live     []LiveRecord `cbor:"live,omitempty"`
	// Seq is the newest journal record whose changes are all in here.
	Seq uint64 `cbor:"q,omitempty"`
	// From and To are the tasks that the record holds, [From, To). Records of the first
	// format lack them: those hold ChunkTasks tasks each, in the order of their numbers.
	From int `cbor:"from,omitempty"`
	To   int `cbor:"to,omitempty"`
}

// LiveRecord is a placement that may be in effect.
type LiveRecord struct {
	_       struct{} `cbor:",toarray"`
	Task    int
	Try     uint64
	Machine string
	Session uint64
}

// Wishes that the leader writes into a machine's record.
const (
	WishNone   = ""
	WishReturn = "return" // to the cloud
	WishMove   = "move"   // to another part
)

// MachineRecord assigns a machine to a part.
type MachineRecord struct {
	Type string `cbor:"type"`
	Zone string `cbor:"zone"`
	Spot bool   `cbor:"spot"`
	Part int    `cbor:"part"`
	Wish string `cbor:"wish,omitempty"`
	To   int    `cbor:"to,omitempty"`
	// Free: the owner has let go; nothing that its part placed can be live.
	Free bool  `cbor:"free,omitempty"`
	Born int64 `cbor:"born"` // milliseconds of the time of day
	// Token that the machine's commands carry at least; raised above all that came
	// before when the machine moves, or when an order's outcome is not known.
	Token uint64 `cbor:"tok,omitempty"`
}

// GroupRecord holds machines that were rented or taken in together: a fleet that
// starts or ends at once costs a change of the state service for dozens of them,
// not for each.
type GroupRecord struct {
	Machines map[string]MachineRecord `cbor:"ms"`
}

// ReadGroup decodes a group. Versions before groups kept a record for each machine,
// whose stamp was its token; such a record is read as a group of one.
func ReadGroup(id string, value wire.Raw, stamp uint64) (GroupRecord, error) {
	var g GroupRecord
	if err := wire.Unmarshal(value, &g); err != nil || g.Machines != nil {
		return g, err
	}
	var m MachineRecord
	if err := wire.Unmarshal(value, &m); err != nil {
		return g, err
	}
	m.Token = stamp
	g.Machines = map[string]MachineRecord{id: m}
	return g, nil
}

// Sizes of a group's record in the protocol's measure, in bytes.
const (
	groupBytes   = 64  // without its machines
	machineBytes = 150 // of a machine without its names, whatever is written of it later
)

// PerGroup is how many machines of a type and zone a record of the given size holds.
func PerGroup(valueKB float64, typ, zone string) int {
	return max(1, int(valueKB*1024-groupBytes)/(machineBytes+len(typ)+len(zone)))
}

// bytes bounds a machine's size in a group from above.
func (r *MachineRecord) bytes() int { return machineBytes + len(r.Type) + len(r.Zone) }

// Bytes bounds the size of a group's record from above.
func (g *GroupRecord) Bytes() int {
	n := groupBytes
	for _, r := range g.Machines {
		n += r.bytes()
	}
	return n
}

// Divide divides a group into pieces that are no larger than the limit, in the order of
// the machines' names.
func (g *GroupRecord) Divide(limit int) []GroupRecord {
	var out []GroupRecord
	size := limit
	for _, id := range sortedKeys(g.Machines) {
		r := g.Machines[id]
		if size+r.bytes() > limit {
			out = append(out, GroupRecord{Machines: map[string]MachineRecord{}})
			size = groupBytes
		}
		out[len(out)-1].Machines[id] = r
		size += r.bytes()
	}
	return out
}

// RentalRecord is written before the cloud is called, so that a rental whose
// answer is lost can be repeated under the same name by any leader.
type RentalRecord struct {
	Type  string `cbor:"type"`
	Zone  string `cbor:"zone"`
	Spot  bool   `cbor:"spot"`
	Count int    `cbor:"n"`
	Part  int    `cbor:"part"`
	At    int64  `cbor:"at"`
}

// OwnerRecord names the node that holds a part or leads.
type OwnerRecord struct {
	Node string `cbor:"node"`
}

// Summary is what a part tells the leader each round.
type Summary struct {
	// Booked room per type, in machines.
	Booked map[string]float64 `cbor:"booked"`
	// Firm is the booked room of jobs that may not use spot machines.
	Firm map[string]float64 `cbor:"firm"`
	// Waiting tasks that fit no free room.
	Waiting []Demand `cbor:"waiting"`
	// Machines that have something to tell of. In the state service they stand in
	// records of their own, since their number has no bound.
	Machines map[string]MachineNote `cbor:"-"`
	// Notes is how many such records there are.
	Notes int `cbor:"notes"`
	// More is how many further records hold waiting tasks. Programs of the first format
	// size for what this record holds.
	More int `cbor:"more,omitempty"`
}

// MachineNote is what a part's owner tells of a machine.
type MachineNote uint8

// What there is to tell, in any combination.
const (
	NoteUp      MachineNote = 1 << iota // has reported to this owner
	NoteEmpty                           // may be moved or given back
	NoteUnheard                         // has been there for long, and was never heard
	NoteBad                             // is to go back: faulty, deaf, or silent beyond its lease
)

// Demand is a number of like tasks that wait unplaced.
type Demand struct {
	Types   []string `cbor:"t,omitempty"`
	Zone    string   `cbor:"z,omitempty"`
	Spot    bool     `cbor:"s"`
	OneZone bool     `cbor:"o"`
	ZoneMax int      `cbor:"zm,omitempty"` // most tasks in one zone; 0: any
	Gang    bool     `cbor:"g"`
	CPUs    float64  `cbor:"c"`
	GPUs    float64  `cbor:"gp"`
	RAM     float64  `cbor:"r"`
	Tasks   int      `cbor:"n"`
	Seconds float64  `cbor:"e"` // estimated run time of one
	Level   int      `cbor:"l"`
}

// ranges packs the set of finished tasks of [from, to) for a record.
func ranges(from, to int, done func(int) bool) []int {
	var out []int
	for i := from; i < to; i++ {
		if !done(i) {
			continue
		}
		if n := len(out); n > 0 && out[n-1] == i {
			out[n-1] = i + 1
		} else {
			out = append(out, i, i+1)
		}
	}
	return out
}

// sortedKeys makes iteration over maps repeatable.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
