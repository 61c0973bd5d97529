// Package mesh is what controllers tell one another, by net/rpc. All of it are
// hints: the state service alone decides.
package mesh

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

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

// WorkerReport is a worker's report on its way to the owner of its machine.
type WorkerReport struct {
	Report wire.Report
	// Notice repeats that the report carries a spot notice: gob drops a pointer to
	// zero, which is what a notice counts down to.
	Notice bool
}

// ReportBatch holds reports in the order in which they reached the sending node.
type ReportBatch struct{ Reports []WorkerReport }

// WorkerReply answers one report of a batch; without Accepted it must not be answered
// with success.
type WorkerReply struct {
	Accepted bool
	Reply    wire.ReportReply
}

// BatchReply answers a batch, in the order of its reports.
type BatchReply struct{ Replies []WorkerReply }

// NewWorkerReport prepares a report for a batch.
func NewWorkerReport(r *wire.Report) WorkerReport {
	return WorkerReport{Report: *r, Notice: r.Notice != nil}
}

// restore undoes what the encoding loses.
func (w *WorkerReport) restore() *wire.Report {
	if w.Notice && w.Report.Notice == nil {
		w.Report.Notice = new(float64)
	}
	return &w.Report
}

// Handler takes in what others tell.
type Handler interface {
	Claimed(Claim)
	Cancelled(Cancellation)
	View(job string) (done, running int, ok bool)
	Contact() time.Duration
	// OwnedReport answers a report that reached another node.
	OwnedReport(r *wire.Report) (wire.ReportReply, bool)
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

// Reports is called with workers' reports that reached another node.
func (s *Service) Reports(batch ReportBatch, a *BatchReply) error {
	a.Replies = make([]WorkerReply, len(batch.Reports))
	for i := range batch.Reports {
		a.Replies[i].Reply, a.Replies[i].Accepted = s.h.OwnedReport(batch.Reports[i].restore())
	}
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
			srv.ServeConn(boundedConn{c})
		}()
	}
}
