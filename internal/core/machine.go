package core

import (
	"time"

	"ambersill/internal/wire"
)

// Machine is a machine of this part.
type Machine struct {
	ID      string
	Rec     MachineRecord
	stamp   uint64 // of its record
	size    Room
	typ     wire.MachineType
	used    Room
	token   uint64
	session uint64
	seq     uint64
	// acked: a report under the present token has come, so that whatever an
	// earlier owner ordered has taken effect or never will.
	acked             bool
	spoken            bool      // has been acked under this ownership at least once
	lists             uint64    // counts the lists of tasks taken in
	reported          uint64    // number of the newest message that was a report
	overtook          uint64    // number of the newest report that an order's answer overtook
	answered          time.Time // last report answered
	run               time.Time // since when its reports have been answered without a gap
	unresponsiveSince time.Time // since when it reports without showing the present token
	heard             bool
	notice            bool
	// ordering: an order with starts is under way. doubt: one was not answered,
	// and may be carried out until the worker has seen a token above doubtToken.
	ordering         bool
	unconfirmed      bool
	unconfirmedToken uint64
	leaseExpired     bool
	leaseExpiredAt   time.Time // when its lease had surely run out, if silent
	sick             bool
	places           map[attempt]*Placement
	clearing         map[attempt]clearance
	images           map[string]time.Time
	failures         map[string]bool // jobs that failed here since the last success
	reserved         string          // job that room is kept for
	resUntil         time.Time
	adopted          time.Time
}

func (m *Machine) free() Room { return m.size.sub(m.used) }

// usable tells whether tasks may be placed here.
func (m *Machine) usable() bool {
	return m.acked && !m.unconfirmed && !m.notice && !m.leaseExpired && !m.sick && m.Rec.Wish == WishNone && !m.Rec.Free
}

// fetches tells whether some task placed here wants the image.
func (m *Machine) fetches(image string) bool {
	for _, pl := range m.places {
		if pl.job.Image == image {
			return true
		}
	}
	return false
}

// SetMachine takes in a machine's record, new or changed.
func (p *Partition) SetMachine(id string, rec MachineRecord, stamp uint64, now time.Time) {
	if rec.Part != p.Index {
		if p.machines[id] != nil {
			p.drop(id, now)
		}
		return
	}
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, places: map[attempt]*Placement{}, clearing: map[attempt]clearance{},
			images: map[string]time.Time{}, failures: map[string]bool{}, adopted: now}
		p.machines[id] = m
		p.order = sortedKeys(p.machines)
	} else if stamp < m.stamp {
		return
	}
	m.Rec, m.stamp = rec, stamp
	m.typ = p.types[rec.Type]
	m.size = size(m.typ)
	if tok := max(p.Stamp, rec.Token); tok > m.token {
		m.token = tok
		m.acked = false
	}
	p.room++
}

// RemoveMachine is told when a machine's record is gone, which it is only after
// the cloud has confirmed that the machine is: all on it is gone too.
func (p *Partition) RemoveMachine(id string, now time.Time) {
	if p.machines[id] != nil {
		p.drop(id, now)
	}
}

func (p *Partition) drop(id string, now time.Time) {
	m := p.machines[id]
	for _, k := range sortedAttempts(m.places) {
		if pl := m.places[k]; pl != nil {
			p.requeue(pl, now)
		}
	}
	for _, j := range p.jobs {
		delete(j.failedOn, id)
	}
	delete(p.machines, id)
	p.order = sortedKeys(p.machines)
	p.room++
}

// Releasable lists the machines on which nothing of this part can be live, so
// that they may be let go as the leader wishes, with the records to write.
func (p *Partition) Releasable() map[string]MachineRecord {
	out := map[string]MachineRecord{}
	for id, m := range p.machines {
		if m.Rec.Wish == WishNone || m.Rec.Free || len(m.places) > 0 || len(m.clearing) > 0 {
			continue
		}
		r := m.Rec
		if r.Wish == WishMove {
			r.Part, r.Wish, r.To = r.To, WishNone, 0
		} else {
			r.Free = true
		}
		out[id] = r
	}
	return out
}
