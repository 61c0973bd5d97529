package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/peerrpc"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const (
	// forwardBatchDelay is how long heartbeats are collected before they are forwarded in one
	// call. It is short compared with the seconds between a worker's heartbeats, and long
	// enough to collect several of them.
	forwardBatchDelay = 50 * time.Millisecond
	// forwardTimeout bounds a call that forwards heartbeats. Workers wait for 4 s for an
	// answer, and must have time left to try another node.
	forwardTimeout = 1500 * time.Millisecond
	// maxForwardBatch bounds both the queue of heartbeats to be forwarded to a node and the
	// heartbeats of one call. When the queue is full, workers are redirected to the owner.
	maxForwardBatch = 256
	// peerBackoff is how long no heartbeats are forwarded to a peer, and no cancellations
	// announced to it, after a failed call.
	peerBackoff = 2 * time.Second
)

// forwarder forwards workers' heartbeats to one peer, in batches.
type forwarder struct {
	// peer has a separate connection, so that other calls do not delay heartbeats.
	peer  *peerrpc.Peer
	queue chan forwardRequest
	// done is closed when run stops forwarding. It is set before run and forward are called.
	done <-chan struct{}
}

// forwardRequest is a heartbeat that is to be forwarded to the peer.
type forwardRequest struct {
	heartbeat *wire.Heartbeat
	// answer receives at most one answer. It has a buffer of one, so that the sender does not
	// block if the caller no longer waits.
	answer chan forwardAnswer
}

// forwardAnswer is the outcome of a forwarded heartbeat.
type forwardAnswer struct {
	result peerrpc.HeartbeatResult
	// reached is whether the peer has answered. If it is false, result is empty.
	reached bool
}

func newForwarder(peer *peerrpc.Peer) *forwarder {
	return &forwarder{
		peer:  peer,
		queue: make(chan forwardRequest, maxForwardBatch),
		done:  make(chan struct{}),
	}
}

// forward forwards a heartbeat to the peer and returns the peer's answer. reached is false if
// the peer did not answer, or if the queue is full.
func (f *forwarder) forward(heartbeat *wire.Heartbeat) (result peerrpc.HeartbeatResult, reached bool) {
	if f.peer.FailedWithin(peerBackoff) {
		return peerrpc.HeartbeatResult{}, false
	}
	request := forwardRequest{heartbeat: heartbeat, answer: make(chan forwardAnswer, 1)}
	select {
	case f.queue <- request:
	default:
		return peerrpc.HeartbeatResult{}, false
	}
	select {
	case answer := <-request.answer:
		return answer.result, answer.reached
	case <-f.done:
		return peerrpc.HeartbeatResult{}, false
	}
}

// run forwards the queued heartbeats until the context ends.
func (f *forwarder) run(ctx context.Context) error {
	for {
		var first forwardRequest
		select {
		case <-ctx.Done():
			return nil
		case first = <-f.queue:
		}
		transport.Pause(ctx, forwardBatchDelay)
		f.send(f.collectBatch(first))
	}
}

// collectBatch returns the first request followed by those in the queue, at most maxForwardBatch
// in total.
func (f *forwarder) collectBatch(first forwardRequest) []forwardRequest {
	batch := []forwardRequest{first}
	for len(batch) < maxForwardBatch {
		select {
		case request := <-f.queue:
			batch = append(batch, request)
		default:
			return batch
		}
	}
	return batch
}

// send forwards a batch and answers its requests.
func (f *forwarder) send(batch []forwardRequest) {
	results, reached := f.callPeer(batch)
	for i, request := range batch {
		answer := forwardAnswer{reached: reached}
		if reached {
			answer.result = results[i]
		}
		request.answer <- answer
	}
}

// callPeer makes the call for a batch and returns the results in the order of the requests. It
// makes no call within peerBackoff of a failed call, so that requests that were queued in the
// meantime are answered at once.
func (f *forwarder) callPeer(batch []forwardRequest) (results []peerrpc.HeartbeatResult, reached bool) {
	if f.peer.FailedWithin(peerBackoff) {
		return nil, false
	}
	heartbeats := make([]*wire.Heartbeat, len(batch))
	for i, request := range batch {
		heartbeats[i] = request.heartbeat
	}
	results, err := f.peer.ForwardHeartbeats(heartbeats, forwardTimeout)
	if err != nil {
		slog.Debug("forwarding heartbeats failed", "node", f.peer.Node, "count", len(batch), "err", err)
		return nil, false
	}
	return results, true
}
