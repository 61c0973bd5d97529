package core

import (
	"math"
	"sort"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Kind is what machines are rented by.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// FleetMachine is a machine as the leader sees it.
type FleetMachine struct {
	ID    string
	Kind  Kind
	Part  int
	Wish  string
	Empty bool // usable and without tasks, by its part's summary
	Up    bool // has reported
}

// FleetInput is what a sizing round looks at.
type FleetInput struct {
	Types     []wire.MachineType
	Machines  []FleetMachine
	Coming    []FleetMachine // recorded rentals without an answer yet, one each
	Summaries map[int]Summary
	// Refused kinds are not asked for now.
	Refused map[Kind]bool
}

// Rental asks for machines for a part.
type Rental struct {
	Kind  Kind
	Part  int
	Count int
}

// Move shifts an empty machine to another part.
type Move struct {
	ID string
	To int
}

// Plan is the outcome of a sizing round.
type Plan struct {
	Target  map[string]int
	Booked  map[string]float64 // room in use, in machines
	Rentals []Rental
	Moves   []Move
	Returns []string
}

// Fleet sizes the rented fleet; it remembers since when a lower target holds.
type Fleet struct {
	t     *tuning.Tuning
	lower map[string]time.Time
}

// NewFleet makes a sizer.
func NewFleet(t *tuning.Tuning) *Fleet { return &Fleet{t: t, lower: map[string]time.Time{}} }

type bin struct {
	machine *FleetMachine // nil: to be rented
	kind    Kind
	part    int
	left    Room
	taken   bool
	known   bool // a rental that is counted already
}

// Plan sizes the fleet. In-flight target = ceil(booked room / 0.8) per type;
// while tasks wait unplaced the larger of that and machines + ceil(waiting
// units / 1), where the units are counted as the machines that the waiting
// tasks would fill after the booting and the empty ones are full.
func (f *Fleet) Plan(in FleetInput, now time.Time) Plan {
	p := Plan{Target: map[string]int{}, Booked: map[string]float64{}}
	types := map[string]wire.MachineType{}
	for _, t := range in.Types {
		types[t.Name] = t
	}
	have := map[string]int{}
	firmHave := map[string]int{}
	var bins []*bin
	for i := range in.Machines {
		m := &in.Machines[i]
		if m.Wish == WishReturn {
			continue
		}
		have[m.Kind.Type]++
		if !m.Kind.Spot {
			firmHave[m.Kind.Type]++
		}
		if m.Wish == WishNone && (m.Empty || !m.Up) {
			bins = append(bins, &bin{machine: m, kind: m.Kind, part: m.Part, left: size(types[m.Kind.Type])})
		}
	}
	for i := range in.Coming {
		m := &in.Coming[i]
		have[m.Kind.Type]++
		if !m.Kind.Spot {
			firmHave[m.Kind.Type]++
		}
		bins = append(bins, &bin{kind: m.Kind, part: m.Part, left: size(types[m.Kind.Type])})
	}
	type rentKey struct {
		kind Kind
		part int
	}
	rent := map[rentKey]int{}
	var order []rentKey
	add := func(k Kind, part, n int) {
		key := rentKey{k, part}
		if rent[key] == 0 {
			order = append(order, key)
		}
		rent[key] += n
	}
	queued := map[string]int{}
	rented := map[Kind]int{}
	for _, w := range f.demands(in) {
		got := f.assign(w, in, bins, types, rented)
		for i, k := range got.take {
			b := got.bins[i]
			if b.machine == nil && !b.known {
				b.known = true
				bins = append(bins, b)
				add(b.kind, w.part, 1)
				rented[b.kind]++
				queued[b.kind.Type]++
			} else if b.machine != nil && b.part != w.part {
				p.Moves = append(p.Moves, Move{b.machine.ID, w.part})
				b.part = w.part
			}
			b.taken = true
			b.left = b.left.sub(Room{w.CPUs, w.GPUs, w.RAM}.times(k))
		}
	}
	booked, firm := p.Booked, map[string]float64{}
	busiest, most := 0, -1.0
	for _, part := range sortedParts(in.Summaries) {
		s := in.Summaries[part]
		sum := 0.0
		for k, v := range s.Booked {
			booked[k] += v
			sum += v
		}
		for k, v := range s.Firm {
			firm[k] += v
		}
		if sum > most {
			busiest, most = part, sum
		}
	}
	for _, t := range in.Types {
		inflight := int(math.Ceil(booked[t.Name]/f.t.InFlightTarget - eps))
		target := inflight
		if queued[t.Name] > 0 {
			target = max(target, have[t.Name]+queued[t.Name])
		}
		p.Target[t.Name] = target
		if extra := target - have[t.Name] - queued[t.Name]; extra > 0 {
			spot := firm[t.Name] <= f.t.InFlightTarget*float64(firmHave[t.Name])
			if k, ok := f.standing(t, spot, in); ok {
				add(k, busiest, extra)
			}
		}
		f.giveBack(&p, t.Name, have[t.Name]-target, int(math.Ceil(firm[t.Name]/f.t.InFlightTarget-eps)), firmHave[t.Name], bins, now)
	}
	for _, k := range order {
		p.Rentals = append(p.Rentals, Rental{Kind: k.kind, Part: k.part, Count: rent[k]})
	}
	return p
}

// assignment is where a demand's tasks would go: take[i] tasks to bins[i].
type assignment struct {
	bins   []*bin
	take   []int
	placed int
	rented int
}

// assign finds bins for a demand and adds what has to be rented. A demand that
// must stay in one zone gets the one where most of it can be, at the least rent.
func (f *Fleet) assign(w partDemand, in FleetInput, bins []*bin, types map[string]wire.MachineType, rented map[Kind]int) assignment {
	if !w.OneZone || w.Zone != "" {
		return f.assignIn(w, w.Zone, in, bins, types, rented)
	}
	zones := map[string]bool{}
	for _, t := range in.Types {
		for _, z := range t.Zones {
			zones[z] = true
		}
	}
	var best assignment
	for _, z := range sortedKeys(zones) {
		a := f.assignIn(w, z, in, bins, types, rented)
		if a.placed > best.placed || (a.placed == best.placed && a.rented < best.rented) {
			best = a
		}
	}
	return best
}

func (f *Fleet) assignIn(w partDemand, zone string, in FleetInput, bins []*bin, types map[string]wire.MachineType, rented map[Kind]int) assignment {
	var a assignment
	r := Room{w.CPUs, w.GPUs, w.RAM}
	inZone := map[string]int{}
	n := f.units(w.Demand)
	room := func(z string) int {
		if w.ZoneMax == 0 {
			return n
		}
		return min(n, w.ZoneMax-inZone[z])
	}
	put := func(b *bin, k int) {
		a.bins, a.take = append(a.bins, b), append(a.take, k)
		a.placed += k
		inZone[b.kind.Zone] += k
		n -= k
	}
	for pass := range 2 { // the demand's own part first, then empty ones of others
		for _, b := range bins {
			if n == 0 || !kindAllowed(w.Demand, b.kind, zone) || (b.part == w.part) != (pass == 0) || (pass == 1 && (b.taken || b.machine == nil)) {
				continue
			}
			if w.GPUs == 0 && types[b.kind.Type].GPUs > 0 {
				continue
			}
			// What waits fits no free room of its own part, whatever keeps it
			// from there; only several tasks of a gang can use some of it.
			if pass == 0 && b.machine != nil && b.machine.Empty && !(w.Gang && w.Tasks > 1) {
				continue
			}
			if k := min(room(b.kind.Zone), b.left.count(r)); k > 0 {
				put(b, k)
			}
		}
	}
	mine := map[Kind]int{}
	for k, v := range rented {
		mine[k] = v
	}
	for n > 0 {
		k, ok := f.choose(w.Demand, zone, n, in, types, mine, func(z string) bool { return room(z) > 0 })
		if !ok {
			break
		}
		b := &bin{kind: k, part: w.part, left: size(types[k.Type])}
		mine[k]++
		a.rented++
		put(b, min(room(k.Zone), b.left.count(r)))
	}
	return a
}

func sortedParts(m map[int]Summary) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Ints(out)
	return out
}

type partDemand struct {
	Demand
	part int
}

// demands lists what waits, the more urgent first, the larger task before the smaller.
func (f *Fleet) demands(in FleetInput) []partDemand {
	var out []partDemand
	for _, part := range sortedParts(in.Summaries) {
		for _, d := range in.Summaries[part].Waiting {
			out = append(out, partDemand{d, part})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Level != out[b].Level {
			return out[a].Level > out[b].Level
		}
		if out[a].GPUs != out[b].GPUs {
			return out[a].GPUs > out[b].GPUs
		}
		return out[a].CPUs > out[b].CPUs
	})
	return out
}

// units is how many places a demand asks for at once: short tasks of an array
// follow one another in the same place within the horizon.
func (f *Fleet) units(d Demand) int {
	if d.Gang || d.Seconds >= f.t.HorizonS {
		return d.Tasks
	}
	return max(1, int(math.Ceil(float64(d.Tasks)*d.Seconds/f.t.HorizonS/f.t.QueueTarget)))
}

func kindAllowed(d Demand, k Kind, zone string) bool {
	return typeAllowed(d.Types, k.Type) && (zone == "" || k.Zone == zone) && (d.Spot || !k.Spot)
}

// choose picks the kind whose machines do the waiting work at the lowest cost.
func (f *Fleet) choose(d Demand, zone string, n int, in FleetInput, types map[string]wire.MachineType, rented map[Kind]int, open func(zone string) bool) (Kind, bool) {
	r := Room{d.CPUs, d.GPUs, d.RAM}
	best, bestCost, bestHave := Kind{}, math.Inf(1), 0
	for _, t := range in.Types {
		per := size(t).count(r)
		if per == 0 || !typeAllowed(d.Types, t.Name) {
			continue
		}
		if d.GPUs == 0 && t.GPUs > 0 && hasPlain(d, in.Types) {
			continue
		}
		for _, z := range t.Zones {
			if (zone != "" && z != zone) || !open(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := Kind{t.Name, z, spot}
				if (spot && !d.Spot) || in.Refused[k] {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				machines := (n + per - 1) / per
				cost := price * float64(machines) / float64(n) * (1 + t.BootS/300)
				have := rented[k]
				for i := range in.Machines {
					if in.Machines[i].Kind == k {
						have++
					}
				}
				if cost < bestCost-eps || (cost < bestCost+eps && have < bestHave) {
					best, bestCost, bestHave = k, cost, have
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// hasPlain tells whether a type without GPUs could take the demand.
func hasPlain(d Demand, types []wire.MachineType) bool {
	for _, t := range types {
		if t.GPUs == 0 && typeAllowed(d.Types, t.Name) && size(t).holds(Room{d.CPUs, d.GPUs, d.RAM}) {
			return true
		}
	}
	return false
}

// standing picks the kind of a machine that the in-flight term asks for: in the
// zone that has the fewest.
func (f *Fleet) standing(t wire.MachineType, spot bool, in FleetInput) (Kind, bool) {
	best, have, ok := Kind{}, 0, false
	for _, z := range t.Zones {
		k := Kind{t.Name, z, spot}
		if in.Refused[k] {
			continue
		}
		n := 0
		for i := range in.Machines {
			if in.Machines[i].Kind == k {
				n++
			}
		}
		if !ok || n < have {
			best, have, ok = k, n, true
		}
	}
	if !ok && spot {
		return f.standing(t, false, in)
	}
	return best, ok
}

// giveBack returns empty machines once a lower target has held. Ordinary ones
// go first, being dearer, but not those that work without spot needs.
func (f *Fleet) giveBack(p *Plan, typ string, surplus, firmNeed, firmHave int, bins []*bin, now time.Time) {
	if surplus <= 0 {
		delete(f.lower, typ)
		return
	}
	since, ok := f.lower[typ]
	if !ok {
		f.lower[typ] = now
		return
	}
	if now.Sub(since) < tuning.Seconds(f.t.GiveBackS) {
		return
	}
	pass := func(spot bool) {
		for _, b := range bins {
			if surplus == 0 {
				return
			}
			if b.machine == nil || b.taken || !b.machine.Empty || b.kind.Type != typ || b.kind.Spot != spot {
				continue
			}
			if !spot && firmHave <= firmNeed {
				return
			}
			if !spot {
				firmHave--
			}
			b.taken = true
			surplus--
			p.Returns = append(p.Returns, b.machine.ID)
		}
	}
	pass(false)
	pass(true)
}
