package core

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// demandBytes is what a demand takes of a summary's record, names apart, in the
// protocol's measure.
const demandBytes = 130

// Summary sums up the part for the leader.
func (p *Partition) Summary(now time.Time) Summary {
	s := Summary{Booked: map[string]float64{}, Firm: map[string]float64{}, Machines: map[string]MachineNote{}}
	for _, id := range p.order {
		p.sumUpMachine(&s, p.machines[id], now)
	}
	for _, b := range []map[string]float64{s.Booked, s.Firm} {
		for k, v := range b {
			b[k] = math.Round(v*1000) / 1000
		}
	}
	s.Waiting = p.waiting(now)
	return s
}

// sumUpMachine adds a machine's booked room and the note on it.
func (p *Partition) sumUpMachine(s *Summary, m *Machine, now time.Time) {
	var firm Room
	for _, pl := range m.places {
		if !pl.job.Spot {
			firm = firm.add(need(pl.job.Job))
		}
	}
	s.Firm[m.Rec.Type] += m.size.share(firm)
	if len(m.places) > 0 {
		s.Booked[m.Rec.Type] += m.size.share(m.used)
	}
	if note := p.note(m, now); note != 0 {
		s.Machines[m.ID] = note
	}
}

// note is what there is to tell of a machine.
func (p *Partition) note(m *Machine, now time.Time) MachineNote {
	var note MachineNote
	if m.acked {
		note |= NoteUp
	}
	if len(m.places) == 0 && m.usable() && !(m.reserved != "" && now.Before(m.resUntil)) {
		note |= NoteEmpty
	}
	// A silent machine may hang or be cut off, and be back with its images sooner than
	// another could boot in its place; if it is gone, the cloud's list tells.
	if m.sick || (m.leaseExpired && now.Sub(m.leaseExpiredAt) > tuning.Seconds(m.typ.BootS)) {
		note |= NoteBad
	}
	w := p.s.Cluster.Workers
	patience := tuning.Seconds(w.LeaseS + 3*w.ReportS)
	switch {
	case !m.acked && len(m.places) > 0 && now.Sub(m.adopted) > patience:
		// Never heard since the takeover: only its return frees its tasks.
		note |= NoteBad
	case !m.spoken && now.Sub(m.adopted) > patience:
		// Booting still, or cut off: the cloud's list tells.
		note |= NoteUnheard
	case !m.unresponsiveSince.IsZero() && now.Sub(m.unresponsiveSince) > patience:
		// It reports, but neither answers nor orders arrive there.
		note |= NoteBad
	}
	return note
}

// waiting lists the tasks that wait unplaced, the first in turn as far as they fit.
func (p *Partition) waiting(now time.Time) []Demand {
	var out []Demand
	left := maxDemandBytes
	like := map[string]int{} // demands of arrays and services, by what they ask for
	for _, q := range p.queues(now) {
		for _, j := range q.jobs {
			n := p.demanded(j, q.team, now)
			if n == 0 {
				continue
			}
			d := demand(j, n)
			key := likeness(j, &d)
			if i, ok := like[key]; ok && key != "" {
				out[i].join(&d)
				continue
			}
			size := d.bytes()
			if size > left {
				continue
			}
			left -= size
			like[key] = len(out)
			out = append(out, d)
		}
	}
	return out
}

// demanded is how many of a job's waiting tasks are a demand for machines.
func (p *Partition) demanded(j *Job, t *team, now time.Time) int {
	if j.held && now.Sub(j.preempted).Seconds() < p.t.PreemptGapS {
		return 0 // room is being made for it
	}
	n := min(j.waitingAt(now), t.left(need(j.Job)))
	if j.Shape == wire.Gang && n < j.Tasks {
		return 0
	}
	return n
}

// likeness tells alike demands: arrays that ask for the same are one, and so are services.
// "" is like no other.
func likeness(j *Job, d *Demand) string {
	if d.Gang || d.ZoneMax != 0 || d.OneZone {
		return ""
	}
	return fmt.Sprint(isService(j.Job), d.Types, d.Zone, d.Spot, d.CPUs, d.GPUs, d.RAM, d.Level)
}

// join adds the tasks of a demand that is alike.
func (d *Demand) join(o *Demand) {
	tasks, more := float64(d.Tasks), float64(o.Tasks)
	d.Seconds = math.Round((d.Seconds*tasks+o.Seconds*more)/(tasks+more)*10) / 10
	d.Tasks += o.Tasks
}

// summaryBytes is set aside for what a summary's record holds beside the waiting tasks.
const summaryBytes = 1024

// maxDemandBytes bounds what a summary tells of waiting tasks, those first in turn: the
// leader has to read it every second.
const maxDemandBytes = 12 << 10

// bytes bounds a demand's size in the protocol's measure from above.
func (d *Demand) bytes() int {
	size := demandBytes + len(d.Zone)
	for _, t := range d.Types {
		size += len(t) + 3
	}
	return size
}

// SplitWaiting leaves those demands in the summary that fit its record, and returns the
// rest, split into records.
func (s *Summary) SplitWaiting(valueKB float64) [][]Demand {
	limit := int(valueKB * 1024)
	all := s.Waiting
	s.Waiting = nil
	var more [][]Demand
	left := limit - summaryBytes
	for _, d := range all {
		size := d.bytes()
		if size > left {
			more = append(more, nil)
			left = limit - groupBytes
		}
		left -= size
		if len(more) == 0 {
			s.Waiting = append(s.Waiting, d)
		} else {
			more[len(more)-1] = append(more[len(more)-1], d)
		}
	}
	return more
}

// MachineNotes splits the notes into records that fit a value, in the order of names.
func (s *Summary) MachineNotes(valueKB float64) []map[string]MachineNote {
	ids := sortedKeys(s.Machines)
	longest := 0
	for _, id := range ids {
		longest = max(longest, len(id))
	}
	var out []map[string]MachineNote
	for part := range slices.Chunk(ids, max(1, int(valueKB*1024-64)/(longest+6))) {
		m := make(map[string]MachineNote, len(part))
		for _, id := range part {
			m[id] = s.Machines[id]
		}
		out = append(out, m)
	}
	return out
}

func demand(j *Job, n int) Demand {
	d := Demand{Types: j.Types, Zone: j.Zone, Spot: j.Spot, OneZone: j.OneZone, Gang: j.Shape == wire.Gang,
		CPUs: j.CPUs, GPUs: j.GPUs, RAM: j.RAM, Tasks: n, Seconds: runSeconds(j.Job), Level: j.Rank.Level()}
	if j.Spread {
		d.ZoneMax = (j.Tasks + 1) / 2
	}
	if j.OneZone {
		// Where its other tasks are, the rest has to go.
		for z := range zoneCount(j) {
			d.Zone = z
		}
	}
	return d
}
