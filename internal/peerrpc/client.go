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

// unresponsiveTimeout is how long a connection may leave calls unanswered before it is dropped.
// A busy peer answers late, and connecting anew would only add to its work.
const unresponsiveTimeout = 2 * time.Second

// errTimeout: the peer did not answer within the caller's limit.
var errTimeout = errors.New("peer: no answer in time")

// Peer is a client of another controller; its connection is made when needed.
type Peer struct {
	config.Member
	Net transport.Net

	initOnce sync.Once
	// sendSlot holds a place for the call that is being written: that blocks, whatever the
	// caller's limit, while the peer reads nothing.
	sendSlot chan struct{}

	mu          sync.Mutex
	client      *rpc.Client
	lastAnswer  time.Time // last answer on the connection, or when it was made
	lastFailure time.Time // when a call last failed, with none answered since
}

// FailedWithin tells whether a call has failed within the given time, with none answered since.
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

// AnnounceCancellation tells the peer that a job's cancellation is committed.
func (p *Peer) AnnounceCancellation(cancellation JobCancellation, timeout time.Duration) error {
	message := Cancellation{Part: cancellation.Partition, Job: cancellation.JobID}
	return p.callAndRecordFailure(methodCancelled, message, &struct{}{}, timeout)
}

// JobCounts asks the peer for a job's counts.
func (p *Peer) JobCounts(jobID string, timeout time.Duration) (JobCounts, error) {
	var answer Answer
	if err := p.callAndRecordFailure(methodView, Query{Job: jobID}, &answer, timeout); err != nil {
		return JobCounts{}, err
	}
	return JobCounts{Known: answer.Known, Done: answer.Done, Running: answer.Running}, nil
}

// SinceContact asks the peer how long ago the key-value store last served it.
func (p *Peer) SinceContact(timeout time.Duration) (time.Duration, error) {
	var answer Answer
	if err := p.callAndRecordFailure(methodView, Query{}, &answer, timeout); err != nil {
		return 0, err
	}
	return tuning.Seconds(answer.Contact), nil
}

// ForwardHeartbeats has the peer answer heartbeats as the owner of their machines'
// partitions. The results are in the order of the heartbeats.
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
		return nil, fmt.Errorf("peer %s: %d replies to %d heartbeats", p.Node, len(reply.Replies), len(heartbeats))
	}
	results := make([]HeartbeatResult, len(heartbeats))
	for i := range reply.Replies {
		results[i] = HeartbeatResult{Accepted: reply.Replies[i].Accepted, Response: reply.Replies[i].Reply.decodeResponse()}
	}
	return results, nil
}

// callAndRecordFailure makes a call and keeps what Failing tells. After an error the reply must not
// be read: a late answer may still be written to it.
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

// writeTimeoutConn gives a write up that the other end does not take in time.
type writeTimeoutConn struct{ net.Conn }

func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(unresponsiveTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connect returns the open connection, or makes one. A new one gets no caller's context,
// since all later calls share it.
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
		_ = conn.Close() // another call was faster
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
	_ = client.Close() // it may have ended by itself
}
