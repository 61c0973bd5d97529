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
		m := p.machines[id]
		var note MachineNote
		if m.acked {
			note |= NoteUp
		}
		var firm Room
		for _, pl := range m.places {
			if !pl.job.Spot {
				firm = firm.add(need(pl.job.Job))
			}
		}
		s.Firm[m.Rec.Type] += m.size.share(firm)
		if len(m.places) > 0 {
			s.Booked[m.Rec.Type] += m.size.share(m.used)
		} else if m.usable() && !(m.reserved != "" && now.Before(m.resUntil)) {
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
		if note != 0 {
			s.Machines[id] = note
		}
	}
	for _, b := range []map[string]float64{s.Booked, s.Firm} {
		for k, v := range b {
			b[k] = math.Round(v*1000) / 1000
		}
	}
	left := maxDemandBytes
	like := map[string]int{}
	for _, q := range p.queues(now) {
		for _, j := range q.jobs {
			if j.held && now.Sub(j.preempted).Seconds() < p.t.PreemptGapS {
				continue
			}
			n := min(j.waitingAt(now), q.team.left(need(j.Job)))
			if j.Shape == wire.Gang && n < j.Tasks {
				continue
			}
			if n == 0 {
				continue
			}
			d := demand(j, n)
			size := d.bytes()
			// Arrays that ask for the same are one demand.
			key := ""
			if !d.Gang && d.ZoneMax == 0 && !d.OneZone {
				key = fmt.Sprint(isService(j.Job), d.Types, d.Zone, d.Spot, d.CPUs, d.GPUs, d.RAM, d.Level)
				if i, ok := like[key]; ok {
					o := &s.Waiting[i]
					o.Seconds = math.Round((o.Seconds*float64(o.Tasks)+d.Seconds*float64(n))/float64(o.Tasks+n)*10) / 10
					o.Tasks += n
					continue
				}
			}
			if size > left {
				continue
			}
			left -= size
			if key != "" {
				like[key] = len(s.Waiting)
			}
			s.Waiting = append(s.Waiting, d)
		}
	}
	return s
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
