// Package mesh is what controllers tell one another, by net/rpc. All of it are
// hints: the state service alone decides.
package mesh

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"golang.org/x/net/netutil"
)

// Claim says that a node has taken a part over.
type Claim struct {
	Part  int
	Stamp uint64
	Node  string
}

// Cancellation says that a job's cancellation is committed.
type Cancellation struct {
	Part int
	Job  string
}

// Query asks for a job's counts, or just whether the node is there.
type Query struct{ Job string }

// Answer to a query.
type Answer struct {
	Known         bool
	Done, Running int
	// Contact: seconds since the state service last served the node.
	Contact float64
}

// Relayed is the answer to a worker's report that another node passed on.
type Relayed struct {
	OK    bool
	Reply wire.ReportReply
}

// Handler takes in what others tell.
type Handler interface {
	Claimed(Claim)
	Cancelled(Cancellation)
	View(job string) (done, running int, ok bool)
	Contact() time.Duration
	// Relay answers a report that reached another node.
	Relay(r *wire.Report) (wire.ReportReply, bool)
}

// Service is the RPC face of a Handler.
type Service struct{ h Handler }

// Claimed is called by a node that has taken a part.
func (s *Service) Claimed(c Claim, _ *struct{}) error {
	s.h.Claimed(c)
	return nil
}

// Cancelled is called by a node that has confirmed a cancellation to a user.
func (s *Service) Cancelled(c Cancellation, _ *struct{}) error {
	s.h.Cancelled(c)
	return nil
}

// View is called for a job's counts.
func (s *Service) View(q Query, a *Answer) error {
	if q.Job != "" {
		a.Done, a.Running, a.Known = s.h.View(q.Job)
	}
	a.Contact = s.h.Contact().Seconds()
	return nil
}

// Report is called with a worker's report that its worker cannot bring itself.
func (s *Service) Report(r wire.Report, a *Relayed) error {
	a.Reply, a.OK = s.h.Relay(&r)
	return nil
}

// maxPeers bounds the connections that others may hold to this node.
const maxPeers = 32

// Serve answers other nodes until the context ends.
func Serve(ctx context.Context, n transport.Net, addr string, h Handler) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Mesh", &Service{h}); err != nil {
		return err
	}
	l, err := n.Listen(ctx, addr)
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, maxPeers)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go func() {
			defer context.AfterFunc(ctx, func() { c.Close() })()
			srv.ServeConn(c)
		}()
	}
}

// Peer is a connection to another node, made when needed.
type Peer struct {
	config.Member
	Net transport.Net
	mu  sync.Mutex
	c   *rpc.Client
	// failed is when a call last failed, with none answered since.
	failed time.Time
}

var errTimeout = errors.New("mesh: no answer in time")

// Failing tells whether a call has failed within the given time, with none answered since.
func (p *Peer) Failing(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.failed.IsZero() && time.Since(p.failed) < within
}

// Call asks the peer; a connection that fails is dropped, and made anew next time.
func (p *Peer) Call(method string, args, reply any, limit time.Duration) error {
	err := p.call(method, args, reply, limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = time.Time{}
	if err != nil {
		p.failed = time.Now()
	}
	return err
}

func (p *Peer) call(method string, args, reply any, limit time.Duration) error {
	p.mu.Lock()
	c := p.c
	p.mu.Unlock()
	if c == nil {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		conn, err := p.Net.Dial(ctx, p.Addr)
		cancel()
		if err != nil {
			return err
		}
		c = rpc.NewClient(conn)
		p.mu.Lock()
		if p.c != nil {
			c.Close()
			c = p.c
		} else {
			p.c = c
		}
		p.mu.Unlock()
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		p.drop(c)
		return call.Error
	case <-t.C:
		p.drop(c)
		return errTimeout
	}
}

func (p *Peer) drop(c *rpc.Client) {
	p.mu.Lock()
	if p.c == c {
		p.c = nil
	}
	p.mu.Unlock()
	c.Close()
}
