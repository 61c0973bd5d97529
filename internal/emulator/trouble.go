package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ambersill/internal/wire"
)

// Kind is a kind of trouble.
type Kind string

// The troubles. Each strikes at its time and, where it lasts, ends after For.
const (
	// Crash kills controllers (Nodes, or Count of them from there on); each is back
	// after Wait.
	Crash Kind = "crash"
	// StateRefuses: the state service refuses the nodes alone; their watches stay open.
	StateRefuses Kind = "state refuses"
	// StateOut: it refuses everybody, and no hold runs out.
	StateOut Kind = "state out"
	// StateSlow: its answers take Wait.
	StateSlow Kind = "state slow"
	// WatchesStuck: its watches bring nothing, while all else is served.
	WatchesStuck Kind = "watches stuck"
	// ListsRefused: it refuses listings, while all else is served.
	ListsRefused Kind = "lists refused"
	// LateWrites: that Share of commits (of the nodes, if some are named) gets no answer and is carried out 2 to 12 s later.
	LateWrites Kind = "late writes"
	// LostAnswers: that Share of commits (likewise) is carried out at once and gets no answer.
	LostAnswers Kind = "lost answers"
	// LateReports: of that Share of reports a copy reaches some node again, up to Wait later.
	LateReports Kind = "late reports"
	// ReportsForNext: copies are kept, and reach every node Wait after the part has
	// another owner.
	ReportsForNext Kind = "reports for next"
	// SlowLinks: what workers and users send and get takes Wait longer each way.
	SlowLinks Kind = "slow links"
	// Hang, Deaf, Mute: Count machines with work (0: all) hang, hear nothing, or reach no
	// controller.
	Hang Kind = "hang"
	Deaf Kind = "deaf"
	Mute Kind = "mute"
	// HeldOrders: orders straight to Count machines, idle ones too, are carried out Wait late.
	HeldOrders Kind = "held orders"
	// Taken: Count machines are gone at once.
	Taken Kind = "taken"
	// Alone: the nodes lose the state service and the other controllers.
	Alone Kind = "alone"
	// PeersCut: the nodes lose the other controllers.
	PeersCut Kind = "peers cut"
	// WorkersCut: the nodes lose the workers.
	WorkersCut Kind = "workers cut"
	// CloudCut: the nodes lose the cloud, so that they can neither rent nor return.
	CloudCut Kind = "cloud cut"
	// ZoneCut: a Zone's workers, and the nodes, reach nothing outside of it.
	ZoneCut Kind = "zone cut"
	// SlowProcessor: every message that the nodes send or receive takes Wait of the one
	// processor that each has.
	SlowProcessor Kind = "slow processor"
	// StandsStill: the nodes send and receive nothing, as processes that are not run.
	StandsStill Kind = "stands still"
	// CancelNow: users cancel Count jobs (0: all) that run, at once.
	CancelNow Kind = "cancel now"
)

// Owner stands for the node that owns the first part when the trouble strikes; Others for
// all but that one.
const (
	Owner  = -1
	Others = -2
)

// Trouble is one line of a script.
type Trouble struct {
	At, For time.Duration
	Kind    Kind
	Nodes   []int
	Count   int
	Share   float64
	Wait    time.Duration
	Zone    string
	Team    string // only machines with work of it
}

// Stage is where troubles strike: the stand-ins, and the controllers by their callbacks.
type Stage struct {
	Fabric *Fabric
	State  *State
	Cloud  *Cloud
	World  *World
	Nodes  []Node
	Rand   *rand.Rand
	// Start and Crash begin and kill a controller. Owner tells which one owns the first
	// part by the state service's record, and that record's stamp.
	Start, Crash func(node int)
	Owner        func() (node int, stamp uint64)
	// Cancel has the users of up to n jobs that run (0: all) cancel them.
	Cancel func(n int) int

	mu    sync.Mutex
	met   map[Kind]int
	write func(from string) (Fault, time.Duration) // of commits, while some are late or unanswered
	copyR func(heartbeat *wire.Heartbeat, send func(Node))
	wg    sync.WaitGroup
}

// Met counts how often a kind of trouble came about: requests refused, commits late or
// unanswered, copies delivered, commands late, machines and nodes struck.
func (s *Stage) Met(k Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.met[k]
}

func (s *Stage) meet(k Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.met == nil {
		s.met = map[Kind]int{}
	}
	s.met[k] += n
}

func (s *Stage) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Rand.Float64()
}

// Attach has the stand-ins ask the stage what becomes of commits and reports; to be
// called before the controllers start.
func (s *Stage) Attach() {
	s.State.Faults = func(from string, _ *wire.Txn) (Fault, time.Duration) {
		s.mu.Lock()
		f := s.write
		s.mu.Unlock()
		if f == nil {
			return NoFault, 0
		}
		return f(from)
	}
	s.World.Copies = func(heartbeat *wire.Heartbeat, send func(Node)) {
		s.mu.Lock()
		f := s.copyR
		s.mu.Unlock()
		if f != nil {
			f(heartbeat, send)
		}
	}
}

// Play has a script's troubles strike, each in a goroutine of its own, and returns when
// all are over.
func (s *Stage) Play(ctx context.Context, script ...Trouble) {
	for _, t := range script {
		s.wg.Go(func() {
			select {
			case <-time.After(t.At):
				s.strike(ctx, t)
			case <-ctx.Done():
			}
		})
	}
	s.wg.Wait()
}

// lasts waits until the trouble is over.
func lasts(ctx context.Context, t Trouble) {
	select {
	case <-time.After(t.For):
	case <-ctx.Done():
	}
}

func (s *Stage) nodes(t Trouble) []int {
	var out []int
	for _, n := range t.Nodes {
		owner := n
		if n < 0 {
			owner, _ = s.Owner()
		}
		for i := range s.Nodes {
			if (n == Others) != (i == owner) {
				out = append(out, i)
			}
		}
	}
	return out
}

// machines lists up to Count machines with work, in the zone if one is named.
func (s *Stage) machines(t Trouble) []*Worker {
	var out []*Worker
	for _, w := range s.Cloud.Workers() {
		s.World.mu.Lock()
		busy := t.Kind == HeldOrders && !w.dead // starts go to idle ones above all
		for _, x := range w.tasks {
			busy = busy || (!w.dead && (t.Team == "" || x.job.Team == t.Team))
		}
		s.World.mu.Unlock()
		if busy && (t.Zone == "" || w.M.Zone == t.Zone) && (t.Count == 0 || len(out) < t.Count) {
			out = append(out, w)
		}
	}
	return out
}

func (s *Stage) strike(ctx context.Context, t Trouble) {
	t.Nodes = s.nodes(t) // whoever owns the part when the trouble is over
	switch t.Kind {
	case Crash:
		for _, n := range t.Nodes {
			s.meet(t.Kind, 1)
			s.Crash(n)
			s.wg.Go(func() {
				select {
				case <-time.After(t.Wait):
					s.Start(n)
				case <-ctx.Done():
				}
			})
		}
	case StateRefuses:
		for _, n := range t.Nodes {
			s.State.Refuse(s.Nodes[n].Name, true)
		}
		lasts(ctx, t)
		for _, n := range t.Nodes {
			s.meet(t.Kind, s.State.Refused(s.Nodes[n].Name))
			s.State.Refuse(s.Nodes[n].Name, false)
		}
	case StateOut:
		s.meet(t.Kind, 1)
		s.State.SetDown(true)
		lasts(ctx, t)
		s.State.SetDown(false)
	case StateSlow:
		s.meet(t.Kind, 1)
		s.State.Slow(t.Wait)
		lasts(ctx, t)
		s.State.Slow(0)
	case WatchesStuck:
		s.meet(t.Kind, 1)
		s.State.Stall(true)
		lasts(ctx, t)
		s.State.Stall(false)
	case ListsRefused:
		s.meet(t.Kind, 1)
		s.State.RefuseLists(true)
		lasts(ctx, t)
		s.State.RefuseLists(false)
	case LateWrites, LostAnswers:
		named := map[string]bool{}
		for _, n := range t.Nodes {
			named[s.Nodes[n].Name] = true
		}
		s.during(ctx, t, &s.write, func(from string) (Fault, time.Duration) {
			if (len(named) > 0 && !named[from]) || s.float() >= t.Share {
				return NoFault, 0
			}
			s.meet(t.Kind, 1)
			if t.Kind == LostAnswers {
				return LostReply, 0
			}
			return Late, time.Duration((2 + 10*s.float()) * float64(time.Second))
		})
	case LateReports:
		s.mu.Lock()
		s.copyR = func(_ *wire.Heartbeat, send func(Node)) {
			if s.float() >= t.Share {
				return
			}
			to := s.Nodes[int(s.float()*float64(len(s.Nodes)))]
			time.AfterFunc(2*time.Second+time.Duration(s.float()*float64(t.Wait)), func() {
				s.meet(t.Kind, 1)
				send(to)
			})
		}
		s.mu.Unlock()
		lasts(ctx, t)
		s.mu.Lock()
		s.copyR = nil
		s.mu.Unlock()
	case ReportsForNext:
		s.keepReports(ctx, t)
	case Hang, Deaf, Mute, HeldOrders, Taken:
		s.strikeMachines(ctx, t)
	case Alone, PeersCut, WorkersCut, CloudCut, ZoneCut:
		s.cut(t, true)
		lasts(ctx, t)
		s.cut(t, false)
	case SlowLinks:
		s.meet(t.Kind, 1)
		s.World.Delay(t.Wait)
		lasts(ctx, t)
		s.World.Delay(0)
	case SlowProcessor, StandsStill:
		s.starve(ctx, t)
	case CancelNow:
		s.meet(t.Kind, s.Cancel(t.Count))
	default:
		panic(fmt.Sprintf("standin: no trouble is called %q", t.Kind))
	}
}

// starve takes processor time from the nodes.
func (s *Stage) starve(ctx context.Context, t Trouble) {
	var struck sync.WaitGroup
	for _, n := range t.Nodes {
		name := s.Nodes[n].Name
		s.meet(t.Kind, 1)
		struck.Go(func() {
			if t.Kind == StandsStill {
				s.Fabric.StandStill(ctx, name, t.For)
				return
			}
			s.Fabric.SlowDown(name, t.Wait)
			lasts(ctx, t)
			s.Fabric.SlowDown(name, 0)
		})
	}
	struck.Wait()
}

// during sets what becomes of commits for as long as the trouble lasts.
func (s *Stage) during(ctx context.Context, t Trouble, at *func(string) (Fault, time.Duration), f func(string) (Fault, time.Duration)) {
	s.mu.Lock()
	*at = f
	s.mu.Unlock()
	lasts(ctx, t)
	s.mu.Lock()
	*at = nil
	s.mu.Unlock()
}

// keepLimit is how long another owner is waited for.
const keepLimit = 2 * time.Minute

// keepReports keeps the first copy of each machine's reports in this trouble, and sends
// them to every node when the part has another owner.
func (s *Stage) keepReports(ctx context.Context, t Trouble) {
	_, stamp := s.Owner()
	kept := map[string]func(Node){}
	s.mu.Lock()
	s.copyR = func(heartbeat *wire.Heartbeat, send func(Node)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if kept[heartbeat.Machine] == nil {
			kept[heartbeat.Machine] = send
		}
	}
	s.mu.Unlock()
	lasts(ctx, t)
	s.mu.Lock()
	s.copyR = nil
	s.mu.Unlock()
	for end := time.Now().Add(keepLimit); ; time.Sleep(20 * time.Millisecond) {
		if n, now := s.Owner(); n >= 0 && now != stamp {
			break
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
	}
	time.Sleep(t.Wait)
	// Several times, since it begins when it has read its records.
	for range 6 {
		for _, send := range kept {
			for _, n := range s.Nodes {
				s.meet(t.Kind, 1)
				s.wg.Go(func() { send(n) })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *Stage) strikeMachines(ctx context.Context, t Trouble) {
	ws := s.machines(t)
	before := 0
	for _, w := range ws {
		before += w.LateOrders()
		switch t.Kind {
		case Hang:
			w.Hang(t.For)
		case Deaf:
			w.Deafen(true)
		case Mute:
			w.Silence(true)
		case HeldOrders:
			w.HoldOrders(t.Wait)
		case Taken:
			s.Cloud.Take(w.M.ID)
		}
	}
	if t.Kind != HeldOrders {
		s.meet(t.Kind, len(ws))
	}
	if t.Kind == Hang || t.Kind == Taken {
		return
	}
	lasts(ctx, t)
	after := 0
	for _, w := range ws {
		after += w.LateOrders()
		w.Deafen(false)
		w.Silence(false)
		w.HoldOrders(0)
	}
	if t.Kind == HeldOrders {
		s.meet(t.Kind, after-before)
	}
}

// cut parts hosts, or joins them again.
func (s *Stage) cut(t Trouble, on bool) {
	part := func(a, b string) { s.Fabric.Cut(a, b, on) }
	inside := map[string]bool{}
	for _, n := range t.Nodes {
		inside[s.Nodes[n].Name] = true
	}
	if on {
		s.meet(t.Kind, 1)
	}
	for name := range inside {
		switch t.Kind {
		case Alone, PeersCut:
			if t.Kind == Alone {
				part(name, "state")
			}
			for _, o := range s.Nodes {
				if o.Name != name {
					part(name, o.Name)
				}
			}
		case WorkersCut:
			for zone := range s.World.ZoneNets {
				part(name, "workers-"+zone)
			}
		case CloudCut:
			part(name, "cloud")
		case ZoneCut:
			for _, o := range append([]string{"state", "cloud"}, s.otherWorkers(t.Zone)...) {
				part(name, o)
			}
			for _, o := range s.Nodes {
				if !inside[o.Name] {
					part(name, o.Name)
				}
			}
		}
	}
	if t.Kind == ZoneCut {
		for _, o := range s.Nodes {
			if !inside[o.Name] {
				part("workers-"+t.Zone, o.Name)
			}
		}
	}
}

func (s *Stage) otherWorkers(zone string) []string {
	var out []string
	for z := range s.World.ZoneNets {
		if z != zone {
			out = append(out, "workers-"+z)
		}
	}
	return out
}
