package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
	"ambersill/internal/tuning"
	"ambersill/internal/wire"
)

// unresponsiveTimeout is how long a connection may go without any answer before a call that times
// out closes it. It also limits how long a write may block. With a shorter time, calls that a busy
// peer answers late would close the connection, and connecting again would only add to its load.
const unresponsiveTimeout = 2 * time.Second

// errTimeout is returned if the peer did not answer within the caller's timeout.
var errTimeout = errors.New("peer did not answer before the timeout")

// Peer is a client of another controller. It connects when the first call is made, and again
// after a connection was closed.
type Peer struct {
	config.Member
	Net transport.Net

	initOnce sync.Once
	// sendSlot is a semaphore for the one call that is being written. Writing is limited by
	// unresponsiveTimeout instead of the caller's timeout, and blocks while the peer does not
	// read. The other calls wait for the semaphore until their own timeouts.
	sendSlot chan struct{}

	mu          sync.Mutex
	client      *rpc.Client
	lastAnswer  time.Time // time of the last answer on the connection, or of connecting
	lastFailure time.Time // time of the last call if it failed, otherwise zero
}

// FailedWithin reports whether the last call failed, and did so within the given period.
func (p *Peer) FailedWithin(period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastFailure.IsZero() && time.Since(p.lastFailure) < period
}

// AnnounceClaim tells the peer that this node owns a partition.
func (p *Peer) AnnounceClaim(claim OwnershipClaim, timeout time.Duration) error {
	message := Claim{Part: claim.Partition, Stamp: claim.Revision, Node: claim.Node}
	return p.callAndRecordFailure(methodClaimed, message, &struct{}{}, timeout)
}

// AnnounceCancellation tells the peer that the cancellation of a job has been committed.
func (p *Peer) AnnounceCancellation(cancellation JobCancellation, timeout time.Duration) error {
	message := Cancellation{Part: cancellation.Partition, Job: cancellation.JobID}
	return p.callAndRecordFailure(methodCancelled, message, &struct{}{}, timeout)
}

// JobCounts asks the peer for the task counts of a job.
func (p *Peer) JobCounts(jobID string, timeout time.Duration) (JobCounts, error) {
	var answer Answer
	if err := p.callAndRecordFailure(methodView, Query{Job: jobID}, &answer, timeout); err != nil {
		return JobCounts{}, err
	}
	return JobCounts{Known: answer.Known, Done: answer.Done, Running: answer.Running}, nil
}

// SinceContact asks the peer for the time since it sent the last request that the key-value
// store served.
func (p *Peer) SinceContact(timeout time.Duration) (time.Duration, error) {
	var answer Answer
	if err := p.callAndRecordFailure(methodView, Query{}, &answer, timeout); err != nil {
		return 0, err
	}
	return tuning.Seconds(answer.Contact), nil
}

// ForwardHeartbeats sends heartbeats to the peer, which answers them as the owner of their
// machines' partitions. The results are in the order of the heartbeats.
func (p *Peer) ForwardHeartbeats(heartbeats []*wire.Heartbeat, timeout time.Duration) ([]HeartbeatResult, error) {
	batch := ReportBatch{Reports: make([]WorkerReport, len(heartbeats))}
	for i, heartbeat := range heartbeats {
		batch.Reports[i] = encodeHeartbeat(heartbeat)
	}
	var reply BatchReply
	if err := p.callAndRecordFailure(methodReports, batch, &reply, timeout); err != nil {
		return nil, err
	}
	if len(reply.Replies) != len(heartbeats) {
		return nil, fmt.Errorf("forwarding heartbeats to peer %s: got %d replies to %d heartbeats", p.Node, len(reply.Replies), len(heartbeats))
	}
	results := make([]HeartbeatResult, len(heartbeats))
	for i := range reply.Replies {
		results[i] = HeartbeatResult{Accepted: reply.Replies[i].Accepted, Response: reply.Replies[i].Reply.decodeResponse()}
	}
	return results, nil
}

// callAndRecordFailure makes a call and records for FailedWithin whether it failed. After an error
// the caller must not read reply, because a late answer may still be written to it.
func (p *Peer) callAndRecordFailure(method string, args, reply any, timeout time.Duration) error {
	err := p.call(method, args, reply, timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFailure = time.Time{}
	if err != nil {
		p.lastFailure = time.Now()
	}
	return err
}

func (p *Peer) call(method string, args, reply any, timeout time.Duration) error {
	client, err := p.connect(timeout)
	if err != nil {
		return err
	}
	p.initOnce.Do(func() { p.sendSlot = make(chan struct{}, 1) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p.sendSlot <- struct{}{}:
	case <-timer.C:
		return errTimeout
	}
	done := make(chan *rpc.Call, 1)
	go func() {
		client.Go(method, args, reply, done)
		<-p.sendSlot
	}()
	select {
	case call := <-done:
		if call.Error != nil {
			p.closeClient(client)
			return call.Error
		}
		p.mu.Lock()
		p.lastAnswer = time.Now()
		p.mu.Unlock()
		return nil
	case <-timer.C:
		p.mu.Lock()
		unresponsive := time.Since(p.lastAnswer) >= unresponsiveTimeout
		p.mu.Unlock()
		if unresponsive {
			p.closeClient(client)
		}
		return errTimeout
	}
}

// writeTimeoutConn is a connection whose writes fail if they take longer than
// unresponsiveTimeout.
type writeTimeoutConn struct{ net.Conn }

func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(unresponsiveTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connect returns the client of the open connection, or opens a connection. It takes no context
// from the caller, because later calls share the connection.
//
//nolint:contextcheck // see above
func (p *Peer) connect(timeout time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := p.Net.Dial(ctx, p.Addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		_ = conn.Close() // another call has connected in the meantime
		return p.client, nil
	}
	p.client, p.lastAnswer = rpc.NewClient(writeTimeoutConn{conn}), time.Now()
	return p.client, nil
}

func (p *Peer) closeClient(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close() // returns an error if the connection has already closed
}
