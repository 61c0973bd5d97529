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

// echoOwner is an owner that answers each heartbeat with its sequence number as the token.
type echoOwner struct {
	unblock chan struct{} // answers wait until it is closed
}

func (*echoOwner) PartitionClaimed(peerrpc.OwnershipClaim) {}
func (*echoOwner) JobCancelled(peerrpc.JobCancellation)    {}
func (*echoOwner) LocalJobCounts(string) peerrpc.JobCounts { return peerrpc.JobCounts{} }
func (*echoOwner) SinceContact() time.Duration             { return 0 }

func (o *echoOwner) OwnedHeartbeat(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	<-o.unblock
	return peerrpc.HeartbeatResult{Accepted: true, Response: wire.HeartbeatResponse{FencingToken: heartbeat.Sequence}}
}

// writeCountingNet counts the writes to connections made through it.
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

// forwardFixture is a forwarder to an owner, on a network of their own.
type forwardFixture struct {
	forwarder *forwarder
	network   *writeCountingNet // the forwarder's
	owner     *echoOwner
	ownerHost *emulator.Host
}

// withForwarder runs a test on a forwarder whose owner does not answer yet.
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
			_ = peerrpc.Serve(ctx, f.ownerHost, ownerAddr, f.owner) // fails where the test shuts the owner down
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

// forwardAll forwards heartbeats at once, and counts those that are answered, each of which
// must have its own answer.
func (f *forwardFixture) forwardAll(t *testing.T, count int) (answered int) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		wg.Go(func() {
			sequence := uint64(i + 1)
			result, reached := f.forwarder.forward(&wire.Heartbeat{Machine: fmt.Sprintf("m-%d", i), Sequence: sequence})
			if !reached {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if !result.Accepted || result.Response.FencingToken != sequence {
				t.Errorf("heartbeat %d got the answer %+v", sequence, result)
			}
		})
	}
	wg.Wait()
	return answered
}

// A call for each heartbeat would cost the owner nearly what reading them itself does.
func TestHeartbeatsAreForwardedInBatches(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		close(f.owner.unblock)
		if n := f.forwardAll(t, 100); n != 100 {
			t.Errorf("%d of 100 heartbeats were answered", n)
		}
		if n := f.network.writes.Load(); n == 0 || n > 4 {
			t.Errorf("100 heartbeats took %d writes", n)
		}
	})
}

// While the owner does not answer, workers have an answer within a fraction of the 4 s that
// they wait, those that come later at once; the number of waiting heartbeats is bounded.
func TestForwardingToUnresponsiveOwnerTimesOut(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		began := time.Now()
		if n := f.forwardAll(t, maxForwardBatch); n != 0 {
			t.Errorf("%d heartbeats were answered by nobody", n)
		}
		if took := time.Since(began); took > forwardTimeout+2*forwardBatchDelay {
			t.Errorf("the answer took %v", took)
		}
		began = time.Now()
		if n := f.forwardAll(t, 10); n != 0 || time.Since(began) != 0 {
			t.Errorf("%d answered, %v later", n, time.Since(began))
		}
		close(f.owner.unblock)
		time.Sleep(peerBackoff)
		if n := f.forwardAll(t, 10); n != 10 {
			t.Errorf("%d of 10 were answered by the owner that is back", n)
		}
	})
}

// Heartbeats beyond the bound of the queue are rejected at once.
func TestForwardQueueIsBounded(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		const beyond = 50
		var waiting sync.WaitGroup
		waiting.Go(func() { f.forwardAll(t, 1) })
		time.Sleep(forwardBatchDelay + time.Millisecond) // in flight, and not answered
		for range maxForwardBatch {
			waiting.Go(func() { f.forwarder.forward(&wire.Heartbeat{Machine: "m", Sequence: 1}) })
		}
		synctest.Wait()
		began := time.Now()
		if n := f.forwardAll(t, beyond); n != 0 || time.Since(began) != 0 {
			t.Errorf("%d beyond the bound were answered, after %v", n, time.Since(began))
		}
		close(f.owner.unblock)
		waiting.Wait()
	})
}

// An owner that ends fails what is in flight at once, not after the timeout.
func TestForwardingFailsAtOnceWhenOwnerShutsDown(t *testing.T) {
	withForwarder(t, func(t *testing.T, f *forwardFixture) {
		defer close(f.owner.unblock)
		time.AfterFunc(2*forwardBatchDelay, f.ownerHost.Shutdown)
		began := time.Now()
		if n := f.forwardAll(t, 20); n != 0 || time.Since(began) > 3*forwardBatchDelay {
			t.Errorf("%d answered, after %v", n, time.Since(began))
		}
	})
}
