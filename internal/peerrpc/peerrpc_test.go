package peerrpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"github.com/google/go-cmp/cmp"
)

// stubHandler accepts every report but those of one machine, and answers views late while
// it is busy.
type stubHandler struct {
	got       []wire.Heartbeat
	jobCountsDelay atomic.Int64 // nanoseconds that a view takes
}

func (*stubHandler) HandleClaim(OwnershipClaim)         {}
func (*stubHandler) HandleCancellation(JobCancellation) {}
func (*stubHandler) SinceContact() time.Duration        { return 0 }
func (o *stubHandler) LocalJobCounts(string) JobCounts {
	time.Sleep(time.Duration(o.jobCountsDelay.Load()))
	return JobCounts{Known: true, Done: 1, Running: 2}
}

func (o *stubHandler) AnswerHeartbeatAsOwner(r *wire.Heartbeat) HeartbeatResult {
	o.got = append(o.got, *r)
	response := wire.HeartbeatResponse{FencingToken: r.FencingToken, Commands: []wire.Command{{Op: wire.StartTask, Task: "req-000001/0", Attempt: r.Sequence}}}
	return HeartbeatResult{Accepted: r.Machine != "refused", Response: response}
}

// countingNet counts the connections that are made.
type countingNet struct {
	transport.TCP
	dials atomic.Int64
}

func (n *countingNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dials.Add(1)
	return n.TCP.Dial(ctx, addr)
}

func serveAndConnect(t *testing.T, h Handler) (*Peer, *countingNet) {
	l, err := transport.TCP{}.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		if err := Serve(ctx, transport.TCP{}, addr, h); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-serverDone })
	n := &countingNet{}
	p := &Peer{Member: config.Member{Node: "owner", Addr: addr}, Net: n}
	start := time.Now()
	for { // until it listens
		_, err := p.SinceContact(time.Second)
		if err == nil {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.dials.Store(0)
	return p, n
}

// A report must reach the owner as its worker sent it, whatever the encoding leaves out:
// a spot notice that has counted down to zero was once lost on the way.
func TestForwardedHeartbeatsArriveUnchanged(t *testing.T) {
	owner := &stubHandler{}
	p, _ := serveAndConnect(t, owner)
	zero, some := 0.0, 7.5
	sent := []wire.Heartbeat{
		{Machine: "m-1", Incarnation: 1, Sequence: 3, FencingToken: 9, TerminationNoticeS: &zero},
		{Machine: "refused", Incarnation: 2, Sequence: 1, TerminationNoticeS: &some},
		{
			Machine: "m-2", Address: "10.1.0.1:9000", MachineType: "big", Zone: "a", Spot: true, Incarnation: 1, Sequence: 8, FencingToken: 9,
			Tasks: []wire.TaskStatus{{Task: "req-000001/0", Attempt: 4, State: wire.TaskExited, ExitCause: wire.ExitStopped, CheckpointSaved: true}},
		},
	}
	var heartbeats []*wire.Heartbeat
	for i := range sent {
		heartbeats = append(heartbeats, &sent[i])
	}
	got, err := p.ForwardHeartbeats(heartbeats, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(sent, owner.got); d != "" {
		t.Errorf("reports changed on the way:\n%s", d)
	}
	for i, r := range got {
		if r.Accepted != (sent[i].Machine != "refused") || r.Response.FencingToken != sent[i].FencingToken || r.Response.Commands[0].Attempt != sent[i].Sequence {
			t.Errorf("reply %d is %+v", i, r)
		}
	}
}

// A call that a busy peer answers late fails alone: the connection was once dropped with
// it, which failed all calls under way and had the peer accept another one.
func TestLateAnswerKeepsConnection(t *testing.T) {
	owner := &stubHandler{}
	p, n := serveAndConnect(t, owner)
	owner.jobCountsDelay.Store(int64(300 * time.Millisecond))
	if _, err := p.JobCounts("req-000001", 50*time.Millisecond); err == nil {
		t.Fatal("the call was not late")
	}
	if !p.FailedWithin(time.Minute) {
		t.Error("the late call left no trace")
	}
	if counts, err := p.JobCounts("req-000001", 10*time.Second); err != nil || counts.Running != 2 {
		t.Errorf("the next call: %+v, %v", counts, err)
	}
	if n.dials.Load() != 0 {
		t.Errorf("connected anew %d times", n.dials.Load())
	}
	if p.FailedWithin(time.Minute) {
		t.Error("failing although the last call was answered")
	}
}

// nonReadingNet connects to a peer that reads nothing, as one that stands still once the
// buffers between the two are full.
type nonReadingNet struct{ transport.TCP }

func (nonReadingNet) Dial(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// A call ends within its limit although its request cannot even be written; so do those
// behind it, and the connection is given up. Writing once held up all callers for as long
// as the peer stood still.
func TestCallsTimeOutWhenPeerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 200 * time.Millisecond
		p := &Peer{Member: config.Member{Node: "silent", Addr: "10.0.0.1:8081"}, Net: nonReadingNet{}}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				began := time.Now()
				if _, err := p.SinceContact(limit); err == nil || time.Since(began) > limit {
					t.Errorf("%v after %v", err, time.Since(began))
				}
			})
		}
		wg.Wait()
		time.Sleep(unresponsiveTimeout)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.client != nil && len(p.sendSlot) > 0 {
			t.Error("still writing beyond the limit")
		}
		if p.client != nil {
			_ = p.client.Close() // it may have ended by itself
		}
	})
}
