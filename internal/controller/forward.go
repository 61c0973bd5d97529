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
	// forwardBatchDelay is how long heartbeats are gathered before they are forwarded
	// together: little beside the seconds between a worker's heartbeats, and enough to make
	// one call of several.
	forwardBatchDelay = 50 * time.Millisecond
	// forwardTimeout bounds a call that forwards heartbeats, so that workers, which wait for
	// 4 s, still have time for another node.
	forwardTimeout = 1500 * time.Millisecond
	// maxForwardBatch bounds the heartbeats that wait to be forwarded to a node, and those of
	// one call. With more than that, workers are redirected to the owner.
	maxForwardBatch = 256
	// peerBackoff is how long nothing is forwarded to a peer after a call that failed.
	peerBackoff = 2 * time.Second
)

// forwarder forwards workers' heartbeats to one peer, in batches.
type forwarder struct {
	// peer has a connection of its own, which no other call can delay.
	peer  *peerrpc.Peer
	queue chan forwardRequest
	// done is closed when nothing is forwarded any more. It is set before run and forward
	// are called.
	done <-chan struct{}
}

// forwardRequest is a heartbeat on its way to the peer.
type forwardRequest struct {
	heartbeat *wire.Heartbeat
	// answer receives exactly one answer; its buffer lets the caller leave before that.
	answer chan forwardAnswer
}

// forwardAnswer is the outcome of a forwarded heartbeat.
type forwardAnswer struct {
	result peerrpc.HeartbeatResult
	// reached: the peer has answered; without, the result is empty.
	reached bool
}

func newForwarder(peer *peerrpc.Peer) *forwarder {
	return &forwarder{
		peer:  peer,
		queue: make(chan forwardRequest, maxForwardBatch),
		done:  make(chan struct{}),
	}
}

// forward has the peer answer a heartbeat. reached is false if the peer did not answer, or if
// too many heartbeats wait for it.
func (f *forwarder) forward(heartbeat *wire.Heartbeat) (result peerrpc.HeartbeatResult, reached bool) {
	if f.peer.Failing(peerBackoff) {
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

// run forwards what is queued until the context ends.
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

// collectBatch returns a first request and what is queued behind it, up to maxForwardBatch.
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

// callPeer makes the call for a batch; the results are in the order of the requests. No call
// is made shortly after one that failed, so that what has queued up meanwhile is answered at
// once.
func (f *forwarder) callPeer(batch []forwardRequest) (results []peerrpc.HeartbeatResult, reached bool) {
	if f.peer.Failing(peerBackoff) {
		return nil, false
	}
	heartbeats := make([]*wire.Heartbeat, len(batch))
	for i, request := range batch {
		heartbeats[i] = request.heartbeat
	}
	results, err := f.peer.ForwardHeartbeats(heartbeats, forwardTimeout)
	if err != nil {
		slog.Debug("heartbeats not forwarded", "node", f.peer.Node, "count", len(batch), "err", err)
		return nil, false
	}
	return results, true
}
