package peerrpc

import (
	"bytes"
	"context"
	"encoding/gob"
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

// stubHandler is a Handler that accepts every heartbeat except those of the machine "refused".
type stubHandler struct {
	got             []wire.Heartbeat
	claims          []OwnershipClaim
	taskCountsDelay atomic.Int64 // how long LocalTaskCounts takes, in nanoseconds
}

func (h *stubHandler) HandleClaim(claim OwnershipClaim) { h.claims = append(h.claims, claim) }
func (*stubHandler) HandleCancellation(JobCancellation) {}
func (*stubHandler) SinceContact() time.Duration        { return 0 }
func (h *stubHandler) LocalTaskCounts(string) TaskCounts {
	time.Sleep(time.Duration(h.taskCountsDelay.Load()))
	return TaskCounts{Known: true, Done: 1, Running: 2}
}

func (h *stubHandler) AnswerHeartbeatAsOwner(heartbeat *wire.Heartbeat) HeartbeatResult {
	h.got = append(h.got, *heartbeat)
	response := wire.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{{Op: wire.StartTask, Task: "req-000001/0", Attempt: heartbeat.Sequence}}}
	return HeartbeatResult{Accepted: heartbeat.Machine != "refused", Response: response}
}

// countingNet counts the attempts to connect.
type countingNet struct {
	transport.TCP
	dials atomic.Int64
}

func (n *countingNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dials.Add(1)
	return n.TCP.Dial(ctx, addr)
}

func serveAndConnect(t *testing.T, handler Handler) (*Peer, *countingNet) {
	listener, err := transport.TCP{}.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		if err := Serve(ctx, transport.TCP{}, addr, handler); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-serverDone })
	network := &countingNet{}
	peer := &Peer{Member: config.Member{Node: "owner", Addr: addr}, Net: network}
	start := time.Now()
	for { // until the server accepts connections
		_, err := peer.SinceContact(time.Second)
		if err == nil {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	network.dials.Store(0)
	return peer, network
}

// A forwarded heartbeat must reach the owner unchanged. Because gob omits a pointer to zero, spot
// termination notices that had counted down to zero were once lost.
func TestForwardedHeartbeatsArriveUnchanged(t *testing.T) {
	owner := &stubHandler{}
	peer, _ := serveAndConnect(t, owner)
	zero, positive := 0.0, 7.5
	sent := []wire.Heartbeat{
		{Machine: "m-1", Address: "10.1.0.2:9000", MachineType: "big", Zone: "a", Incarnation: 1, Sequence: 3, FencingToken: 9, TerminationNoticeS: &zero},
		{Machine: "refused", Address: "10.1.0.3:9000", MachineType: "big", Zone: "a", Incarnation: 2, Sequence: 1, TerminationNoticeS: &positive},
		{
			Machine: "m-2", Address: "10.1.0.1:9000", MachineType: "big", Zone: "a", Spot: true, Incarnation: 1, Sequence: 8, FencingToken: 9,
			Tasks: []wire.TaskStatus{{Task: "req-000001/0", Attempt: 4, State: wire.TaskExited, ExitCause: wire.ExitStopped, CheckpointSaved: true}},
		},
	}
	var heartbeats []*wire.Heartbeat
	for i := range sent {
		heartbeats = append(heartbeats, &sent[i])
	}
	got, err := peer.ForwardHeartbeats(heartbeats, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, owner.got); diff != "" {
		t.Errorf("forwarded heartbeats (-sent +received):\n%s", diff)
	}
	for i, r := range got {
		if r.Accepted != (sent[i].Machine != "refused") || r.Response.FencingToken != sent[i].FencingToken || r.Response.Commands[0].Attempt != sent[i].Sequence {
			t.Errorf("result %d: got %+v, want the fencing token and sequence of the heartbeat, and only \"refused\" not accepted", i, r)
		}
	}
}

// Guards against heartbeats without a field that nodes of earlier versions read as zero and forward. They
// do not keep the others of the batch from being answered.
func TestForwardedHeartbeatWithoutFieldIsNotAccepted(t *testing.T) {
	owner := &stubHandler{}
	peer, _ := serveAndConnect(t, owner)
	complete := wire.Heartbeat{Machine: "m-1", Address: "10.1.0.2:9000", MachineType: "big", Zone: "a", Incarnation: 1}
	withoutSession := complete
	withoutSession.Incarnation = 0
	got, err := peer.ForwardHeartbeats([]*wire.Heartbeat{{Machine: "m-1"}, &withoutSession, &complete}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if got[0].Accepted || got[1].Accepted || !got[2].Accepted || len(owner.got) != 1 {
		t.Errorf("forwarded heartbeats: got %+v and %d handled, want only the complete one handled and accepted", got, len(owner.got))
	}
}

// Guards against announcements of a claim that lack a field, which would name no owner.
func TestIncompleteClaimIsIgnored(t *testing.T) {
	owner := &stubHandler{}
	service := &Service{owner}
	for _, claim := range []Claim{{Part: 1, Stamp: 7}, {Part: 1, Node: "node-1"}, {Part: 1, Stamp: 7, Node: "node-1"}} {
		if err := service.Claimed(claim, &struct{}{}); err != nil {
			t.Fatal(err)
		}
	}
	if want := []OwnershipClaim{{Partition: 1, Revision: 7, Node: "node-1"}}; !cmp.Equal(owner.claims, want) {
		t.Errorf("announced claims: got %+v, want only the complete one, %+v", owner.claims, want)
	}
}

// Guards against a field of a later version that stands in for a known one because its name differs only
// in case. gob compares names exactly.
func TestFieldOfPeerInAnotherCaseIsIgnored(t *testing.T) {
	type claimOfLaterVersion struct {
		PART, NODE string
		Stamp      uint64
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(claimOfLaterVersion{PART: "x", NODE: "node-9", Stamp: 7}); err != nil {
		t.Fatal(err)
	}
	var got Claim
	if err := gob.NewDecoder(&encoded).Decode(&got); err != nil || got != (Claim{Stamp: 7}) {
		t.Errorf("claim with unknown fields: got %+v, error %v, want the revision alone", got, err)
	}
}

// A call that times out because the peer is busy must not close the connection. It once did, which
// made all other pending calls fail and the peer accept another connection.
func TestLateAnswerKeepsConnection(t *testing.T) {
	owner := &stubHandler{}
	peer, network := serveAndConnect(t, owner)
	owner.taskCountsDelay.Store(int64(300 * time.Millisecond))
	if _, err := peer.TaskCounts("req-000001", 50*time.Millisecond); err == nil {
		t.Fatal("TaskCounts with a timeout shorter than the peer's delay: got no error, want a timeout")
	}
	if !peer.FailedWithin(time.Minute) {
		t.Error("FailedWithin after a call that timed out: got false, want true")
	}
	if counts, err := peer.TaskCounts("req-000001", 10*time.Second); err != nil || counts.Running != 2 {
		t.Errorf("TaskCounts after a call that timed out: got %+v, error %v, want 2 running tasks", counts, err)
	}
	if network.dials.Load() != 0 {
		t.Errorf("new connections after a call that timed out: got %d, want 0", network.dials.Load())
	}
	if peer.FailedWithin(time.Minute) {
		t.Error("FailedWithin after an answered call: got true, want false")
	}
}

// nonReadingNet connects to a peer that reads nothing, like a process that hangs after the socket
// buffers have filled up.
type nonReadingNet struct{ transport.TCP }

func (nonReadingNet) Dial(context.Context, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// If the peer does not read, a call and those that wait behind it must end at their timeouts, and
// the connection must be closed. A write that had no timeout once blocked all callers for as long
// as the peer hung.
func TestCallsTimeOutWhenPeerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 200 * time.Millisecond
		peer := &Peer{Member: config.Member{Node: "silent", Addr: "10.0.0.1:8081"}, Net: nonReadingNet{}}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				start := time.Now()
				if _, err := peer.SinceContact(timeout); err == nil || time.Since(start) > timeout {
					t.Errorf("SinceContact of a peer that reads nothing: got error %v after %v, want an error within the timeout", err, time.Since(start))
				}
			})
		}
		wg.Wait()
		time.Sleep(unresponsiveTimeout)
		peer.mu.Lock()
		defer peer.mu.Unlock()
		if peer.client != nil && len(peer.sendSlot) > 0 {
			t.Error("call is still being written after unresponsiveTimeout")
		}
		if peer.client != nil {
			_ = peer.client.Close() // returns an error if the connection has already closed
		}
	})
}
