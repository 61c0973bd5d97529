package core

import (
	"slices"
	"time"

	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// Verdict tells what to answer to a report.
type Verdict int

// The verdicts on a report.
const (
	Accepted   Verdict = iota // answer 200 with the commands
	Stale                     // older than the newest: refuse, it must not renew the lease
	Outranked                 // the worker has seen a higher token: this owner may be deposed
	NotOurs                   // the machine is not of this part
	Overloaded                // refuse for now
)

// Report takes in a worker's report and gives the commands for it. fresh tells
// whether the state service has been reached lately; without, nothing starts.
func (p *Partition) Report(r *wire.Report, now time.Time, fresh bool) (Verdict, wire.ReportReply) {
	var reply wire.ReportReply
	m := p.machines[r.Machine]
	if m == nil || m.Rec.Free {
		return NotOurs, reply
	}
	if r.Token > m.token {
		return Outranked, reply
	}
	if m.leaseExpired && r.Session <= m.session {
		// Its lease has surely run out, after which its session rises: what still
		// comes of the old one is a late copy, and the machine may be dead.
		return Stale, reply
	}
	// Reports held back by a cut arrive late; their lists are as old as they are.
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		if r.Session == m.session && r.Seq > max(m.reported, m.overtook) {
			// Not late: the answer to an order has overtaken it on the way. Its list
			// is old, but refused, the worker would turn to another node.
			m.overtook = r.Seq
			m.answered = now
			return Accepted, wire.ReportReply{Token: m.token, Commands: []wire.Command{}}
		}
		return Stale, reply
	}
	p.listen(m, r, now)
	if r.Session > m.session {
		m.overtook = 0
	}
	m.session, m.seq, m.reported = r.Session, r.Seq, r.Seq
	m.answered, m.heard = now, true
	if m.leaseExpired {
		m.leaseExpired = false
		p.room++
	}
	if n := r.Notice != nil; n != m.notice {
		m.notice = n
		p.room++
	}
	acked := r.Token == m.token
	if acked {
		p.ack(m, now)
	}
	switch unheard := !acked || m.unconfirmed; {
	case !unheard:
		m.unresponsiveSince = time.Time{}
	case m.unresponsiveSince.IsZero():
		m.unresponsiveSince = now
	}
	reply.Token = m.token
	p.takeTasks(m, r, acked, now)
	if m.notice {
		p.drain(m, now)
	}
	reply.Commands = p.commands(m, r, now, fresh)
	return Accepted, reply
}

// listen notices a machine that is heard but does not hear: its lease ran out
// although all its reports were answered for as long as the lease lasts. Nothing is
// placed there until it has shown a token that it can have from an answer only.
func (p *Partition) listen(m *Machine, r *wire.Report, now time.Time) {
	lease := tuning.Seconds(p.s.Cluster.Workers.LeaseS)
	if m.run.IsZero() || now.Sub(m.answered) > lease {
		m.run = now
	}
	if r.Session <= m.session {
		return
	}
	if m.spoken && !m.unconfirmed && now.Sub(m.run) >= lease {
		m.unconfirmed, m.unconfirmedToken = true, m.token
		p.room++
	}
	m.run = now
}

// takeTasks compares the worker's list with the placements.
func (p *Partition) takeTasks(m *Machine, r *wire.Report, acked bool, now time.Time) {
	m.lists++
	for i := range r.Tasks {
		t := &r.Tasks[i]
		k := attempt{t.Task, t.Attempt}
		pl := m.places[k]
		if pl != nil {
			pl.listed = m.lists
		}
		if pl == nil || pl.session > r.Session {
			continue
		}
		pl.seen = true
		if t.State != wire.Exited {
			if t.State == wire.RunningTask && pl.state != wire.RunningTask && pl.began.IsZero() {
				pl.began = now
				pl.job.started = true
			}
			pl.state = t.State
			m.images[pl.job.Image] = now
			if t.State != wire.Fetching {
				pl.fetched = true
			}
			if t.State == wire.WaitingGang && pl.job.broken && pl.kill == nil {
				p.keep(pl, now)
				p.stop(pl, 0, now)
			}
			continue
		}
		p.exited(pl, t, now)
		c := pl.chunk()
		m.clearing[k] = clearance{job: pl.job, task: pl.task, version: c.version}
	}
	for _, k := range m.unlisted() {
		pl := m.places[k]
		if pl == nil {
			continue
		}
		switch {
		case pl.session < r.Session:
			// The worker killed and forgot everything of its last session, and
			// drops whatever was meant for that session.
			p.requeue(pl, now)
		case acked && pl.direct > 0 && pl.direct < m.token:
			// Its order was never answered, and can no longer be carried out.
			p.requeue(pl, now)
		case acked && pl.seen:
			// Under the present token no earlier command can take effect any
			// more, and the worker no longer has it.
			p.requeue(pl, now)
		}
	}
	if acked && len(m.clearing) > 0 {
		shown := make(map[attempt]bool, len(r.Tasks))
		for i := range r.Tasks {
			shown[attempt{r.Tasks[i].Task, r.Tasks[i].Attempt}] = true
		}
		for k := range m.clearing {
			if !shown[k] {
				delete(m.clearing, k)
			}
		}
	}
}

// unlisted are the placements that the newest list does not show, in order. Mostly there
// are none: reports in which nothing has changed are by far the most frequent work.
func (m *Machine) unlisted() []attempt {
	for _, pl := range m.places {
		if pl.listed != m.lists {
			return slices.DeleteFunc(sortedAttempts(m.places), func(k attempt) bool { return m.places[k].listed == m.lists })
		}
	}
	return nil
}

// exited takes in a task's end.
func (p *Partition) exited(pl *Placement, t *wire.TaskReport, now time.Time) {
	j, m := pl.job, pl.machine
	if t.Cause != wire.CauseStopped && t.Cause != wire.CauseNoRoom && t.Cause != wire.CauseBusy && t.Cause != wire.CauseUnknown {
		pl.fetched = true // it has waited or run, which takes the image
	}
	switch t.Cause {
	case wire.CauseDone:
		clear(m.failures)
		if isService(j.Job) {
			p.replicaEnded(pl, now)
			p.requeue(pl, now)
			return
		}
		j.backoff = 0
		if j.Shape == wire.Gang {
			p.finishGang(j)
		} else {
			p.finish(j, pl.task)
		}
		p.detach(pl)
	case wire.CauseError:
		if isService(j.Job) {
			p.replicaEnded(pl, now)
		}
		p.failed(j, m, now)
		p.requeue(pl, now)
	case wire.CauseIncomplete:
		p.Incomplete++
		p.incomplete(pl, now)
	default:
		p.requeue(pl, now)
	}
}

// finishGang ends a gang: its tasks complete together, so the others are done even if
// their machines are lost before they can say so.
func (p *Partition) finishGang(j *Job) {
	for i := range j.tasks {
		p.finish(j, i)
	}
	for _, o := range j.placed {
		o.over = true
	}
}

func (p *Partition) finish(j *Job, task int) {
	if j.tasks[task] == done {
		return
	}
	if j.tasks[task] == waiting {
		j.waiting--
	}
	j.tasks[task] = done
	j.done++
	p.touch(j.chunkOf(task), task)
	p.Finished++
}

// failed notes an error: of the job if it fails on several machines, of the
// machine if several jobs fail there.
func (p *Partition) failed(j *Job, m *Machine, now time.Time) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.ID] = true
	m.failures[j.ID] = true
	if len(m.failures) >= p.t.SickErrors && !m.sick {
		m.sick = true
		p.room++
	}
	if len(j.failedOn) >= 2 && !isService(j.Job) {
		// A job that fails everywhere must not keep machines busy or rented.
		if j.backoff == 0 {
			j.backoff = p.t.ErrorBackoffS
		} else {
			j.backoff = min(2*j.backoff, p.t.ErrorBackoffMaxS)
		}
		j.retryAt = now.Add(tuning.Seconds(j.backoff))
	}
}

// drain lets what can save do so before the cloud takes the machine.
func (p *Partition) drain(m *Machine, now time.Time) {
	for _, k := range sortedAttempts(m.places) {
		pl := m.places[k]
		if pl == nil || pl.kill != nil || pl.over {
			continue
		}
		j := pl.job
		switch {
		case !pl.sent:
			p.requeue(pl, now)
		case isService(j.Job):
			// It runs on until the machine goes, unless there is another to go to.
			if pl.state != wire.RunningTask || len(p.fit(j, 1, now, p.all(), (*Machine).free)) > 0 {
				p.stop(pl, 0, now)
			}
		case pl.state != wire.RunningTask || j.Checkpoint > 0:
			p.stopWhole(pl, now)
		}
	}
}

// stopWhole stops a placement with the grace to save, and with it its gang:
// all of a gang's tasks must be told together.
func (p *Partition) stopWhole(pl *Placement, now time.Time) {
	j := pl.job
	grace := 0.0
	// A task that is stopped without grace falls back by half a checkpoint
	// interval on average; saving pays only if it takes less than that.
	if j.Checkpoint > 2*j.Save {
		grace = j.Save + p.t.GraceS
	}
	if j.Shape != wire.Gang {
		p.stop(pl, grace, now)
		return
	}
	// Without any placement left nothing would ever end the gang's being broken.
	j.broken = len(j.placed) > 0
	for _, o := range placements(j) {
		p.stop(o, grace, now)
	}
}

// commands composes the answer to a report.
func (p *Partition) commands(m *Machine, r *wire.Report, now time.Time, fresh bool) []wire.Command {
	out := []wire.Command{}
	for i := range r.Tasks {
		if len(out) >= tuning.MaxCommands {
			return out
		}
		t := &r.Tasks[i]
		k := attempt{t.Task, t.Attempt}
		pl := m.places[k]
		switch {
		case t.State == wire.Exited:
			// Unknown exited tasks are those whose end is already on record.
			if c, ok := m.clearing[k]; (!ok || c.ready()) && !m.ordering && !m.unconfirmed {
				out = append(out, wire.Command{Op: wire.Forget, Task: t.Task, Attempt: t.Attempt})
			}
		case pl == nil:
			// Nothing on record: cancelled, over or given up. It must go.
			out = append(out, wire.Command{Op: wire.Stop, Task: t.Task, Attempt: t.Attempt})
		case pl.kill != nil:
			out = append(out, wire.Command{Op: wire.Stop, Task: t.Task, Attempt: t.Attempt, Grace: p.grace(pl, now)})
			pl.kill.told = true
		}
	}
	if !fresh || !m.acked || m.notice || m.ordering || m.unconfirmed {
		return out
	}
	for _, k := range p.startables(m) {
		if len(out) >= tuning.MaxCommands {
			break
		}
		pl := m.places[k]
		// A start leaves only after its placement is committed. One that no
		// report has shown was lost with its answer, and may be repeated: the
		// worker sends its next report only after it is through with the last.
		pl.sent, pl.sentSeq = true, r.Seq
		out = append(out, wire.Command{Op: wire.Start, Task: k.task, Attempt: k.try})
	}
	return out
}

// grace is what a stopped task still gets: a second order without grace ends a
// task that does not come to an end.
func (p *Partition) grace(pl *Placement, now time.Time) float64 {
	limit := pl.kill.grace + 2*p.s.Cluster.Workers.ReportS + p.t.MarginS
	if now.Sub(pl.kill.at) > tuning.Seconds(limit) {
		return 0
	}
	return pl.kill.grace
}

// Unconfirmed lists machines whose records must be rewritten to raise their tokens.
func (p *Partition) Unconfirmed() []string {
	var out []string
	for _, id := range p.order {
		if m := p.machines[id]; m.unconfirmed && m.token == m.unconfirmedToken {
			out = append(out, id)
		}
	}
	return out
}

// Heard takes in a worker's answer to an order. It does not renew the lease,
// which only answers to reports do.
func (p *Partition) Heard(r *wire.Report, now time.Time) {
	m := p.machines[r.Machine]
	if m == nil || r.Token > m.token || r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return
	}
	if m.spoken && r.Session > m.session {
		// Its lease ran out, and no report of the new session has come. Work that was
		// placed in it once was freed with the old one's, a lease too early: the time
		// that Sweep waits counts from the last report that was answered.
		return
	}
	m.session, m.seq = r.Session, r.Seq
	if r.Token == m.token {
		p.ack(m, now)
	}
	p.takeTasks(m, r, r.Token == m.token, now)
}

// ack notes that the worker has seen the present token.
func (p *Partition) ack(m *Machine, now time.Time) {
	if !m.spoken {
		// Answers of earlier owners are dropped from now on, so the lease was
		// last renewed no later than this.
		m.spoken, m.answered = true, now
	}
	if m.unconfirmed && m.token > m.unconfirmedToken {
		m.unconfirmed = false
		p.room++
	}
	if !m.acked {
		m.acked = true
		p.room++
	}
}
