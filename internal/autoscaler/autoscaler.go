package autoscaler

import (
	"ambersill/internal/records"
	"ambersill/internal/resource"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Offering is what machines are rented by.
type Offering struct {
	MachineType, Zone string
	Spot              bool
}

// Machine is a machine as the leader sees it.
type Machine struct {
	ID        string
	Offering  Offering
	Partition int
	Desired   string
	Empty     bool // usable and without tasks, by its part's summary
	Running   bool // has reported
}

// Input is what a sizing round looks at.
type Input struct {
	MachineTypes   []wire.MachineType
	Machines       []Machine
	PendingRentals []Machine // recorded rentals without an answer yet, one each
	Summaries      map[int]records.PartitionSummary
	// Unavailable kinds are not asked for now.
	Unavailable map[Offering]bool
}

// Rental asks for machines for a part.
type Rental struct {
	Offering  Offering
	Partition int
	Count     int
}

// Reassignment shifts an empty machine to another part.
type Reassignment struct {
	MachineID   string
	ToPartition int
}

// Plan is the outcome of a sizing round.
type Plan struct {
	TargetMachines map[string]int
	BookedMachines map[string]float64 // room in use, in machines
	Rentals        []Rental
	Reassignments  []Reassignment
	Returns        []string
}

// Autoscaler sizes the rented fleet; it remembers since when a lower target holds.
type Autoscaler struct {
	tuning           *tuning.Tuning
	belowTargetSince map[string]time.Time
}

// New makes a sizer.
func New(tunables *tuning.Tuning) *Autoscaler {
	return &Autoscaler{tuning: tunables, belowTargetSince: map[string]time.Time{}}
}

type capacityBin struct {
	machine   *Machine // nil: to be rented
	offering  Offering
	partition int
	remaining resource.Vector
	used      bool
	counted   bool // a rental that is counted already
}

// Plan sizes the fleet. In-flight target = ceil(booked room / 0.8) per type;
// while tasks wait unplaced the larger of that and machines + ceil(waiting
// units / 1), where the units are counted as the machines that the waiting
// tasks would fill after the booting and the empty ones are full.
func (f *Autoscaler) Plan(input Input, now time.Time) Plan {
	p := Plan{TargetMachines: map[string]int{}, BookedMachines: map[string]float64{}}
	types := map[string]wire.MachineType{}
	for _, machineType := range input.MachineTypes {
		types[machineType.Name] = machineType
	}
	have := map[string]int{}
	firmHave := map[string]int{}
	var bins []*capacityBin
	for i := range input.Machines {
		m := &input.Machines[i]
		if m.Desired == records.DesiredReturned {
			continue
		}
		have[m.Offering.MachineType]++
		if !m.Offering.Spot {
			firmHave[m.Offering.MachineType]++
		}
		if m.Desired == records.DesiredInService && (m.Empty || !m.Running) {
			bins = append(bins, &capacityBin{machine: m, offering: m.Offering, partition: m.Partition, remaining: resource.OfMachineType(types[m.Offering.MachineType])})
		}
	}
	for i := range input.PendingRentals {
		m := &input.PendingRentals[i]
		have[m.Offering.MachineType]++
		if !m.Offering.Spot {
			firmHave[m.Offering.MachineType]++
		}
		bins = append(bins, &capacityBin{offering: m.Offering, partition: m.Partition, remaining: resource.OfMachineType(types[m.Offering.MachineType])})
	}
	type rentKey struct {
		kind Offering
		part int
	}
	rent := map[rentKey]int{}
	var order []rentKey
	add := func(offering Offering, part, n int) {
		key := rentKey{offering, part}
		if rent[key] == 0 {
			order = append(order, key)
		}
		rent[key] += n
	}
	queued := map[string]int{}
	rented := map[Offering]int{}
	for _, demand := range f.demands(input) {
		got := f.assign(demand, input, bins, types, rented)
		for i, k := range got.tasks {
			bin := got.bins[i]
			if bin.machine == nil && !bin.counted {
				bin.counted = true
				bins = append(bins, bin)
				add(bin.offering, demand.partition, 1)
				rented[bin.offering]++
				queued[bin.offering.MachineType]++
			} else if bin.machine != nil && bin.partition != demand.partition {
				p.Reassignments = append(p.Reassignments, Reassignment{bin.machine.ID, demand.partition})
				bin.partition = demand.partition
			}
			bin.used = true
			bin.remaining = bin.remaining.Sub(demand.Request().Scale(k))
		}
	}
	booked, firm := p.BookedMachines, map[string]float64{}
	busiest, most := 0, -1.0
	for _, part := range sortedPartitions(input.Summaries) {
		summary := input.Summaries[part]
		sum := 0.0
		for k, v := range summary.BookedMachines {
			booked[k] += v
			sum += v
		}
		for k, v := range summary.BookedOnDemand {
			firm[k] += v
		}
		if sum > most {
			busiest, most = part, sum
		}
	}
	for _, machineType := range input.MachineTypes {
		inflight := int(math.Ceil(booked[machineType.Name]/f.tuning.InFlightTarget - resource.Epsilon))
		target := inflight
		if queued[machineType.Name] > 0 {
			target = max(target, have[machineType.Name]+queued[machineType.Name])
		}
		p.TargetMachines[machineType.Name] = target
		if extra := target - have[machineType.Name] - queued[machineType.Name]; extra > 0 {
			spot := firm[machineType.Name] <= f.tuning.InFlightTarget*float64(firmHave[machineType.Name])
			if offering, ok := f.offeringWithFewest(machineType, spot, input); ok {
				add(offering, busiest, extra)
			}
		}
		f.scaleIn(&p, machineType.Name, have[machineType.Name]-target, int(math.Ceil(firm[machineType.Name]/f.tuning.InFlightTarget-resource.Epsilon)), firmHave[machineType.Name], bins, now)
	}
	for _, k := range order {
		p.Rentals = append(p.Rentals, Rental{Offering: k.kind, Partition: k.part, Count: rent[k]})
	}
	return p
}

// assignment is where a demand's tasks would go: take[i] tasks to bins[i].
type assignment struct {
	bins   []*capacityBin
	tasks  []int
	placed int
	rented int
}

// assign finds bins for a demand and adds what has to be rented. A demand that
// must stay in one zone gets the one where most of it can be, at the least rent.
func (f *Autoscaler) assign(demand partitionDemand, input Input, bins []*capacityBin, types map[string]wire.MachineType, rented map[Offering]int) assignment {
	if !demand.SingleZone || demand.Zone != "" {
		return f.assignInZone(demand, demand.Zone, input, bins, types, rented)
	}
	zones := map[string]bool{}
	for _, machineType := range input.MachineTypes {
		for _, z := range machineType.Zones {
			zones[z] = true
		}
	}
	var best assignment
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		a := f.assignInZone(demand, z, input, bins, types, rented)
		if a.placed > best.placed || (a.placed == best.placed && a.rented < best.rented) {
			best = a
		}
	}
	return best
}

func (f *Autoscaler) assignInZone(demand partitionDemand, zone string, input Input, bins []*capacityBin, types map[string]wire.MachineType, rented map[Offering]int) assignment {
	var a assignment
	request := demand.Request()
	inZone := map[string]int{}
	n := f.concurrentTasks(demand.Demand)
	room := func(z string) int {
		if demand.MaxPerZone == 0 {
			return n
		}
		return min(n, demand.MaxPerZone-inZone[z])
	}
	put := func(bin *capacityBin, k int) {
		a.bins, a.tasks = append(a.bins, bin), append(a.tasks, k)
		a.placed += k
		inZone[bin.offering.Zone] += k
		n -= k
	}
	for pass := range 2 { // the demand's own part first, then empty ones of others
		for _, bin := range bins {
			if n == 0 || !offeringAllowed(demand.Demand, bin.offering, zone) || (bin.partition == demand.partition) != (pass == 0) || (pass == 1 && (bin.used || bin.machine == nil)) {
				continue
			}
			if demand.GPUs == 0 && types[bin.offering.MachineType].GPUs > 0 {
				continue
			}
			// What waits fits no free room of its own part, whatever keeps it
			// from there; only several tasks of a gang can use some of it.
			if pass == 0 && bin.machine != nil && bin.machine.Empty && !(demand.Gang && demand.Tasks > 1) {
				continue
			}
			if k := min(room(bin.offering.Zone), bin.remaining.CountOf(request)); k > 0 {
				put(bin, k)
			}
		}
	}
	mine := map[Offering]int{}
	for offering, v := range rented {
		mine[offering] = v
	}
	for n > 0 {
		offering, ok := f.cheapestOffering(demand.Demand, zone, n, input, types, mine, func(z string) bool { return room(z) > 0 })
		if !ok {
			break
		}
		bin := &capacityBin{offering: offering, partition: demand.partition, remaining: resource.OfMachineType(types[offering.MachineType])}
		mine[offering]++
		a.rented++
		put(bin, min(room(offering.Zone), bin.remaining.CountOf(request)))
	}
	return a
}

func sortedPartitions(m map[int]records.PartitionSummary) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Ints(out)
	return out
}

type partitionDemand struct {
	records.Demand
	partition int
}

// demands lists what waits, the more urgent first, the larger task before the smaller.
func (f *Autoscaler) demands(input Input) []partitionDemand {
	var out []partitionDemand
	for _, part := range sortedPartitions(input.Summaries) {
		for _, demand := range input.Summaries[part].Waiting {
			out = append(out, partitionDemand{demand, part})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Priority != out[b].Priority {
			return out[a].Priority > out[b].Priority
		}
		if out[a].GPUs != out[b].GPUs {
			return out[a].GPUs > out[b].GPUs
		}
		return out[a].CPUs > out[b].CPUs
	})
	return out
}

// concurrentTasks is how many places a demand asks for at once: short tasks of an array
// follow one another in the same place within the horizon.
func (f *Autoscaler) concurrentTasks(demand records.Demand) int {
	if demand.Gang || demand.EstimatedRunS >= f.tuning.HorizonS {
		return demand.Tasks
	}
	return max(1, int(math.Ceil(float64(demand.Tasks)*demand.EstimatedRunS/f.tuning.HorizonS/f.tuning.QueueTarget)))
}

func offeringAllowed(demand records.Demand, offering Offering, zone string) bool {
	return resource.TypeAllowed(demand.MachineTypes, offering.MachineType) && (zone == "" || offering.Zone == zone) && (demand.AllowSpot || !offering.Spot)
}

// cheapestOffering picks the kind whose machines do the waiting work at the lowest cost.
func (f *Autoscaler) cheapestOffering(demand records.Demand, zone string, n int, input Input, types map[string]wire.MachineType, rented map[Offering]int, open func(zone string) bool) (Offering, bool) {
	request := demand.Request()
	best, bestCost, bestHave := Offering{}, math.Inf(1), 0
	for _, machineType := range input.MachineTypes {
		per := resource.OfMachineType(machineType).CountOf(request)
		if per == 0 || !resource.TypeAllowed(demand.MachineTypes, machineType.Name) {
			continue
		}
		if demand.GPUs == 0 && machineType.GPUs > 0 && resource.CPUOnlyTypeFits(request, demand.MachineTypes, slices.Values(input.MachineTypes)) {
			continue
		}
		for _, z := range machineType.Zones {
			if (zone != "" && z != zone) || !open(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				offering := Offering{machineType.Name, z, spot}
				if (spot && !demand.AllowSpot) || input.Unavailable[offering] {
					continue
				}
				price := machineType.HourlyPrice
				if spot {
					price = machineType.HourlySpotPrice
				}
				machines := (n + per - 1) / per
				cost := price * float64(machines) / float64(n) * (1 + machineType.BootS/300)
				have := rented[offering]
				for i := range input.Machines {
					if input.Machines[i].Offering == offering {
						have++
					}
				}
				if cost < bestCost-resource.Epsilon || (cost < bestCost+resource.Epsilon && have < bestHave) {
					best, bestCost, bestHave = offering, cost, have
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// offeringWithFewest picks the kind of a machine that the in-flight term asks for: in the
// zone that has the fewest.
func (f *Autoscaler) offeringWithFewest(machineType wire.MachineType, spot bool, input Input) (Offering, bool) {
	best, have, ok := Offering{}, 0, false
	for _, z := range machineType.Zones {
		offering := Offering{machineType.Name, z, spot}
		if input.Unavailable[offering] {
			continue
		}
		n := 0
		for i := range input.Machines {
			if input.Machines[i].Offering == offering {
				n++
			}
		}
		if !ok || n < have {
			best, have, ok = offering, n, true
		}
	}
	if !ok && spot {
		return f.offeringWithFewest(machineType, false, input)
	}
	return best, ok
}

// scaleIn returns empty machines once a lower target has held. Ordinary ones
// go first, being dearer, but not those that work without spot needs.
func (f *Autoscaler) scaleIn(p *Plan, typ string, surplus, firmNeed, firmHave int, bins []*capacityBin, now time.Time) {
	if surplus <= 0 {
		delete(f.belowTargetSince, typ)
		return
	}
	since, ok := f.belowTargetSince[typ]
	if !ok {
		f.belowTargetSince[typ] = now
		return
	}
	if now.Sub(since) < tuning.Seconds(f.tuning.GiveBackS) {
		return
	}
	pass := func(spot bool) {
		for _, bin := range bins {
			if surplus == 0 {
				return
			}
			if bin.machine == nil || bin.used || !bin.machine.Empty || bin.offering.MachineType != typ || bin.offering.Spot != spot {
				continue
			}
			if !spot && firmHave <= firmNeed {
				return
			}
			if !spot {
				firmHave--
			}
			bin.used = true
			surplus--
			p.Returns = append(p.Returns, bin.machine.ID)
		}
	}
	pass(false)
	pass(true)
}
