// Package peerrpc carries the calls between controllers, by net/rpc. Every call is a
// hint: the key-value store alone decides.
package peerrpc

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

// OwnershipClaim says that a node has become the owner of a partition.
type OwnershipClaim struct {
	Partition int
	Revision  uint64 // of the partition's ownership key
	Node      string
}

// JobCancellation says that a job's cancellation is committed.
type JobCancellation struct {
	Partition int
	JobID     string
}

// JobCounts counts a job's tasks for display; they are unknown to a node that does not
// run the job.
type JobCounts struct {
	Known         bool
	Done, Running int
}

// HeartbeatResult is the owner's answer to a forwarded heartbeat; without Accepted the
// worker must not be answered with success.
type HeartbeatResult struct {
	Accepted bool
	Response wire.HeartbeatResponse
}

// Handler answers the calls of other controllers.
type Handler interface {
	// HandleClaim handles the announcement that another node owns a partition.
	HandleClaim(OwnershipClaim)
	// HandleCancellation handles the announcement that another node has committed a cancellation.
	HandleCancellation(JobCancellation)
	// LocalJobCounts counts the tasks of a job that this node runs.
	LocalJobCounts(jobID string) JobCounts
	// SinceContact is the time since the key-value store last served this node.
	SinceContact() time.Duration
	// AnswerHeartbeatAsOwner answers a heartbeat that reached another node, as the owner of the
	// machine's partition.
	AnswerHeartbeatAsOwner(heartbeat *wire.Heartbeat) HeartbeatResult
}

// Service holds the methods that net/rpc offers to other controllers. They are named, and
// take and return messages, as the production version expects; see messages.go.
type Service struct{ handler Handler }

// Claimed is called by a node that has become the owner of a partition.
func (s *Service) Claimed(claim Claim, _ *struct{}) error {
	s.handler.HandleClaim(OwnershipClaim{Partition: claim.Part, Revision: claim.Stamp, Node: claim.Node})
	return nil
}

// Cancelled is called by a node that has confirmed a cancellation to a user.
func (s *Service) Cancelled(c Cancellation, _ *struct{}) error {
	s.handler.HandleCancellation(JobCancellation{Partition: c.Part, JobID: c.Job})
	return nil
}

// View is called for a job's counts, or for the age of the last contact only.
func (s *Service) View(query Query, answer *Answer) error {
	if query.Job != "" {
		counts := s.handler.LocalJobCounts(query.Job)
		answer.Known, answer.Done, answer.Running = counts.Known, counts.Done, counts.Running
	}
	answer.Contact = s.handler.SinceContact().Seconds()
	return nil
}

// Reports is called with workers' heartbeats that reached another node.
func (s *Service) Reports(batch ReportBatch, reply *BatchReply) error {
	reply.Replies = make([]WorkerReply, len(batch.Reports))
	for i := range batch.Reports {
		result := s.handler.AnswerHeartbeatAsOwner(batch.Reports[i].decodeHeartbeat())
		reply.Replies[i] = WorkerReply{Accepted: result.Accepted, Reply: encodeResponse(result.Response)}
	}
	return nil
}

const (
	// maxInboundConns bounds the connections that others may hold to this node.
	maxInboundConns = 32
	// acceptRetryDelay is the pause after a failed accept, as for want of sockets.
	acceptRetryDelay = 50 * time.Millisecond
)

// Serve answers other controllers until the context ends.
func Serve(ctx context.Context, network transport.Net, addr string, handler Handler) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{handler}); err != nil {
		return err
	}
	listener, err := network.Listen(ctx, addr)
	if err != nil {
		return err
	}
	listener = netutil.LimitListener(listener, maxInboundConns)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err == nil {
			go serveConn(ctx, server, conn)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// serveConn answers the calls of one connection until it or the context ends.
func serveConn(ctx context.Context, server *rpc.Server, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	server.ServeConn(writeTimeoutConn{conn})
}
