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

// echoOwner answers each report with its own number as the token.
type echoOwner struct {
	block chan struct{} // answers wait until it is closed
}

func (*echoOwner) PartitionClaimed(peerrpc.OwnershipClaim) {}
func (*echoOwner) JobCancelled(peerrpc.JobCancellation)    {}
func (*echoOwner) LocalJobCounts(string) peerrpc.JobCounts { return peerrpc.JobCounts{} }
func (*echoOwner) SinceContact() time.Duration             { return 0 }

func (o *echoOwner) OwnedHeartbeat(heartbeat *wire.Heartbeat) peerrpc.HeartbeatResult {
	<-o.block
	return peerrpc.HeartbeatResult{Accepted: true, Response: wire.HeartbeatResponse{FencingToken: heartbeat.Sequence}}
}

// writesNet counts the writes to connections made through it.
type writesNet struct {
	transport.Net
	writes atomic.Int64
}

type writesConn struct {
	net.Conn
	writes *atomic.Int64
}

func (n *writesNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Net.Dial(ctx, addr)
	return &writesConn{c, &n.writes}, err
}

func (c *writesConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// forwarding runs a forwarder to an owner on a network of their own.
func forwarding(t *testing.T, f func(fw *forwarder, o *echoOwner, owner *emulator.Host)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fabric := emulator.NewNetwork()
		o := &echoOwner{block: make(chan struct{})}
		host := fabric.Host("owner")
		served := make(chan error, 1)
		go func() { served <- peerrpc.Serve(ctx, host, "10.0.0.1:8081", o) }()
		fw := newForwarder(&peerrpc.Peer{Member: config.Member{Node: "owner", Addr: "10.0.0.1:8081"}, Net: &writesNet{Net: fabric.Host("other")}})
		fw.done = ctx.Done()
		go func() { _ = fw.run(ctx) }()
		time.Sleep(time.Millisecond) // it listens
		f(fw, o, host)
		cancel()
		<-served
		host.Shutdown()
		time.Sleep(time.Minute)
	})
}

// forwardAll forwards n reports at once, and counts those that are reached and answered
// as their own.
func forwardAll(t *testing.T, fw *forwarder, n int) (reached int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		wg.Go(func() {
			a, ok := fw.forward(&wire.Heartbeat{Machine: fmt.Sprintf("m-%d", i), Sequence: uint64(i + 1)})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				reached++
				if !a.Accepted || a.Response.FencingToken != uint64(i+1) {
					t.Errorf("report %d got the answer %+v", i+1, a)
				}
			}
		})
	}
	wg.Wait()
	return reached
}

// A call for each report would cost the owner nearly what reading them itself does.
func TestReportsAreForwardedTogether(t *testing.T) {
	forwarding(t, func(fw *forwarder, o *echoOwner, _ *emulator.Host) {
		close(o.block)
		if n := forwardAll(t, fw, 100); n != 100 {
			t.Errorf("%d of 100 reports were answered", n)
		}
		if n := fw.peer.Net.(*writesNet).writes.Load(); n == 0 || n > 4 {
			t.Errorf("100 reports took %d writes", n)
		}
	})
}

// While the owner does not answer, workers are told within a fraction of the 4 s that
// they wait, those that come later at once; what waits has a bound.
func TestForwardingToASilentOwner(t *testing.T) {
	forwarding(t, func(fw *forwarder, o *echoOwner, _ *emulator.Host) {
		began := time.Now()
		if n := forwardAll(t, fw, maxForwardBatch); n != 0 {
			t.Errorf("%d reports were answered by nobody", n)
		}
		if d := time.Since(began); d > forwardTimeout+2*forwardBatchDelay {
			t.Errorf("the answer took %v", d)
		}
		began = time.Now()
		if n := forwardAll(t, fw, 10); n != 0 || time.Since(began) != 0 {
			t.Errorf("%d answered, %v later", n, time.Since(began))
		}
		close(o.block)
		time.Sleep(peerBackoff)
		if n := forwardAll(t, fw, 10); n != 10 {
			t.Errorf("%d of 10 were answered by the owner that is back", n)
		}
	})
}

// Reports beyond the bound of the queue are turned away at once.
func TestForwardingIsBounded(t *testing.T) {
	forwarding(t, func(fw *forwarder, o *echoOwner, _ *emulator.Host) {
		const beyond = 50
		var late sync.WaitGroup
		late.Go(func() { forwardAll(t, fw, 1) })
		time.Sleep(forwardBatchDelay + time.Millisecond) // under way, and not answered
		for range maxForwardBatch {
			late.Go(func() { fw.forward(&wire.Heartbeat{Machine: "m", Sequence: 1}) })
		}
		synctest.Wait()
		began := time.Now()
		if n := forwardAll(t, fw, beyond); n != 0 || time.Since(began) != 0 {
			t.Errorf("%d beyond the bound were answered, after %v", n, time.Since(began))
		}
		close(o.block)
		late.Wait()
	})
}

// An owner that ends fails what is under way at once, not after the limit.
func TestForwardingToAnOwnerThatEnds(t *testing.T) {
	forwarding(t, func(fw *forwarder, o *echoOwner, owner *emulator.Host) {
		defer close(o.block)
		time.AfterFunc(2*forwardBatchDelay, owner.Shutdown)
		began := time.Now()
		if n := forwardAll(t, fw, 20); n != 0 || time.Since(began) > 3*forwardBatchDelay {
			t.Errorf("%d answered, after %v", n, time.Since(began))
		}
	})
}
