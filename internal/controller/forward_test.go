package controller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/emulator"
	"ambersill/internal/peerrpc"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// echoOwner is a partition owner that answers each heartbeat with the heartbeat's sequence number
// as the fencing token.
type echoOwner struct {
	unblock chan struct{} // no heartbeat is answered until this channel is closed
}

func (*echoOwner) HandleClaim(peerrpc.OwnershipClaim)         {}
func (*echoOwner) HandleCancellation(peerrpc.JobCancellation) {}
func (*echoOwner) LocalTaskCounts(string) peerrpc.TaskCounts  { return peerrpc.TaskCounts{} }
func (*echoOwner) SinceContact() time.Duration                { return 0 }

func (o *echoOwner) AnswerHeartbeatAsOwner(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	<-o.unblock
	return peerrpc.HeartbeatResult{Accepted: true, Response: wire.HeartbeatResponse{FencingToken: heartbeat.Sequence}}
}

// writeCountingNet counts the writes to connections that are dialled through it.
type writeCountingNet struct {
	transport.Net
	writes atomic.Int64
}

type writeCountingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (n *writeCountingNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, addr)
	return &writeCountingConn{conn, &n.writes}, err
}

func (c *writeCountingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// forwardFixture is a forwarder and the owner that it forwards to, on a network without other
// hosts.
type forwardFixture struct {
	forwarder *forwarder
	network   *writeCountingNet // used by the forwarder
	owner     *echoOwner
	ownerHost *emulator.Host
}

// withForwarder runs a test with a forwarder whose owner does not answer until the test closes
// unblock.
func withForwarder(t *testing.T, test func(t *testing.T, f *forwardFixture)) {
	synctest.Test(t, func(t *testing.T) {
		const ownerAddr = "10.0.0.1:8081"
		ctx, cancel := context.WithCancel(t.Context())
		fabric := emulator.NewNetwork()
		f := &forwardFixture{
			network:   &writeCountingNet{Net: fabric.Host("other")},
			owner:     &echoOwner{unblock: make(chan struct{})},
			ownerHost: fabric.Host("owner"),
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			// Serve returns an error if the test shuts the owner down.
			_ = peerrpc.Serve(ctx, f.ownerHost, ownerAddr, f.owner)
		}()
		f.forwarder = newForwarder(&peerrpc.Peer{Member: config.Member{Node: "owner", Addr: ownerAddr}, Net: f.network})
		f.forwarder.done = ctx.Done()
		go func() { _ = f.forwarder.run(ctx) }()
		time.Sleep(time.Millisecond) // until the owner listens
		test(t, f)
		cancel()
		<-served
		f.ownerHost.Shutdown()
		time.Sleep(time.Minute) // until every goroutine has ended
	})
}

// forwardAll forwards the given number of heartbeats concurrently and returns how many were
// answered. It checks that each answer belongs to its heartbeat.
func (f *forwardFixture) forwardAll(t *testing.T, count int) (answered int) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		wg.Go(func() {
			sequence := uint64(i + 1)
			result, reached := f.forwarder.forward(newHeartbeat(fmt.Sprintf("m-%d", i), sequence))
			if !reached {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if !result.Accepted || result.Response.FencingToken != sequence {
				t.Errorf("heartbeat %d got the answer %+v, want it accepted with its sequence number as the token", sequence, result)
			}
		})
	}
	wg.Wait()
	return answered
}

// Heartbeats are forwarded in batches, because a call for each heartbeat would cost the owner
// nearly as much as reading the requests of workers itself.
func TestHeartbeatsAreForwardedInBatches(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		close(f.owner.unblock)
		if n := f.forwardAll(t, 100); n != 100 {
			t.Errorf("%d of 100 heartbeats were answered, want all", n)
		}
		if n := f.network.writes.Load(); n == 0 || n > 4 {
			t.Errorf("100 heartbeats took %d writes to the connection, want 1 to 4", n)
		}
	})
}

// If the owner does not answer, forwarding fails within a fraction of the 4 s that workers wait
// for an answer, so that they have time to try another node. During the back-off that follows,
// forwarding fails at once. Forwarding works again after the back-off.
func TestForwardingToUnresponsiveOwnerTimesOut(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		began := time.Now()
		if n := f.forwardAll(t, maxForwardBatch); n != 0 {
			t.Errorf("%d heartbeats were answered while the owner does not answer, want 0", n)
		}
		if took := time.Since(began); took > forwardTimeout+2*forwardBatchDelay {
			t.Errorf("forwarding to an unresponsive owner failed after %v, want at most forwardTimeout and two batch delays", took)
		}
		began = time.Now()
		if n := f.forwardAll(t, 10); n != 0 || time.Since(began) != 0 {
			t.Errorf("during the back-off %d heartbeats were answered after %v, want 0 answered after 0s", n, time.Since(began))
		}
		close(f.owner.unblock)
		time.Sleep(peerBackoff)
		if n := f.forwardAll(t, 10); n != 10 {
			t.Errorf("%d of 10 heartbeats were answered after the owner recovered, want all", n)
		}
	})
}

// When the queue is full, forwarding fails at once.
func TestForwardQueueIsBounded(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		const excess = 50
		var waiting sync.WaitGroup
		waiting.Go(func() { f.forwardAll(t, 1) })
		// Wait until the first heartbeat has been sent. It is not answered.
		time.Sleep(forwardBatchDelay + time.Millisecond)
		for range maxForwardBatch {
			waiting.Go(func() { f.forwarder.forward(newHeartbeat("m", 1)) })
		}
		synctest.Wait()
		began := time.Now()
		if n := f.forwardAll(t, excess); n != 0 || time.Since(began) != 0 {
			t.Errorf("with a full queue %d heartbeats were answered after %v, want 0 answered after 0s", n, time.Since(began))
		}
		close(f.owner.unblock)
		waiting.Wait()
	})
}

// If the owner shuts down, heartbeats in flight fail at once rather than after forwardTimeout.
func TestForwardingFailsAtOnceWhenOwnerShutsDown(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		defer close(f.owner.unblock)
		time.AfterFunc(2*forwardBatchDelay, f.ownerHost.Shutdown)
		began := time.Now()
		if n := f.forwardAll(t, 20); n != 0 || time.Since(began) > 3*forwardBatchDelay {
			t.Errorf("%d heartbeats were answered after %v, want 0 answered within three batch delays", n, time.Since(began))
		}
	})
}
