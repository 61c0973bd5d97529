// Package peerrpc implements the calls between controllers, with net/rpc. What a call reports is
// only a hint: the records in the key-value store are authoritative.
package peerrpc

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"

	"golang.org/x/net/netutil"
)

// OwnershipClaim announces that a node has become the owner of a partition.
type OwnershipClaim struct {
	Partition int
	Revision  uint64 // of the partition's key
	Node      string
}

// JobCancellation announces that the cancellation of a job has been committed.
type JobCancellation struct {
	Partition int
	JobID     string
}

// TaskCounts contains the numbers of a job's tasks by state, for display to users. Known is false
// if the node that was asked does not run the job.
type TaskCounts struct {
	Known         bool
	Done, Running int
}

// HeartbeatResult is the owner's answer to a forwarded heartbeat. If Accepted is false, the node
// that forwarded it must not send the worker a successful response.
type HeartbeatResult struct {
	Accepted bool
	Response wire.HeartbeatResponse
}

// Handler answers the calls of other controllers.
type Handler interface {
	// HandleClaim handles another node's announcement that it owns a partition.
	HandleClaim(OwnershipClaim)
	// HandleCancellation handles another node's announcement that it has committed a
	// cancellation.
	HandleCancellation(JobCancellation)
	// LocalTaskCounts returns the task counts of a job if this node runs the job.
	LocalTaskCounts(jobID string) TaskCounts
	// SinceContact returns the time since this node sent the last request that the key-value
	// store served.
	SinceContact() time.Duration
	// AnswerHeartbeatAsOwner answers a heartbeat that a worker sent to another node. This node
	// owns the partition of the worker's machine, unless ownership has changed.
	AnswerHeartbeatAsOwner(heartbeat *wire.Heartbeat) HeartbeatResult
}

// Service has the methods that other controllers call through net/rpc. Controllers of the
// version in production call them too, so their names and messages must not change; see
// messages.go.
type Service struct{ handler Handler }

// Claimed receives the announcement of a node that has become the owner of a partition. It ignores one
// without a node or a revision.
func (s *Service) Claimed(claim Claim, _ *struct{}) error {
	if claim.Node == "" || claim.Stamp == 0 {
		return nil
	}
	s.handler.HandleClaim(OwnershipClaim{Partition: claim.Part, Revision: claim.Stamp, Node: claim.Node})
	return nil
}

// Cancelled receives the announcement of a node that has committed the cancellation of a job.
func (s *Service) Cancelled(c Cancellation, _ *struct{}) error {
	s.handler.HandleCancellation(JobCancellation{Partition: c.Part, JobID: c.Job})
	return nil
}

// View returns a job's task counts and the time since the last contact with the key-value store, or
// only the latter if the query names no job.
func (s *Service) View(query Query, answer *Answer) error {
	if query.Job != "" {
		counts := s.handler.LocalTaskCounts(query.Job)
		answer.Known, answer.Done, answer.Running = counts.Known, counts.Done, counts.Running
	}
	answer.Contact = s.handler.SinceContact().Seconds()
	return nil
}

// Reports receives heartbeats that workers sent to another node, and returns the answers to
// them. It accepts none that lacks a required field: nodes of earlier versions forward those, too.
func (s *Service) Reports(batch ReportBatch, reply *BatchReply) error {
	reply.Replies = make([]WorkerReply, len(batch.Reports))
	for i := range batch.Reports {
		heartbeat := batch.Reports[i].decodeHeartbeat()
		if err := heartbeat.Validate(); err != nil {
			slog.Debug("forwarded heartbeat not accepted", "machine", heartbeat.Machine, "err", err)
			continue
		}
		result := s.handler.AnswerHeartbeatAsOwner(heartbeat)
		reply.Replies[i] = WorkerReply{Accepted: result.Accepted, Reply: encodeResponse(result.Response)}
	}
	return nil
}

const (
	// maxInboundConns limits the connections from other controllers that are open at once.
	maxInboundConns = 32
	// acceptRetryDelay is the wait after a failed accept, for example when the process has no
	// file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Serve answers the calls of other controllers until the context ends.
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

// serveConn answers the calls on one connection until the connection closes or the context
// ends.
func serveConn(ctx context.Context, server *rpc.Server, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	server.ServeConn(writeTimeoutConn{conn})
}
