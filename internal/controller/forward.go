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
	// forwardBatchDelay is how long reports are gathered before they are forwarded together. It
	// is little beside the seconds between two reports, and makes one call of several.
	forwardBatchDelay = 50 * time.Millisecond
	// forwardTimeout bounds the call that forwards reports; workers wait 4 s.
	forwardTimeout = 1500 * time.Millisecond
	// maxForwardBatch bounds the reports that wait to be forwarded to a node, and those of
	// one call. With more than that the worker is sent to the owner itself.
	maxForwardBatch = 256
)

// forwarder passes workers' reports on to one other node, in batches.
type forwarder struct {
	// peer is a connection of its own, which no other call can hold up.
	peer  *peerrpc.Peer
	queue chan forwardRequest
	done  <-chan struct{}
}

// forwardRequest is a report on its way; its answer is sent once.
type forwardRequest struct {
	heartbeat *wire.Heartbeat
	answer    chan forwardAnswer
}

type forwardAnswer struct {
	result  peerrpc.HeartbeatResult
	reached bool // the peer has answered
}

func newForwarder(peer *peerrpc.Peer) *forwarder {
	return &forwarder{peer: peer, queue: make(chan forwardRequest, maxForwardBatch), done: make(chan struct{})}
}

// forward has the peer answer a report; reached is false if it did not, or if too many
// reports wait.
func (f *forwarder) forward(heartbeat *wire.Heartbeat) (result peerrpc.HeartbeatResult, reached bool) {
	if f.peer.Failing(peerBackoff) {
		return peerrpc.HeartbeatResult{}, false
	}
	item := forwardRequest{heartbeat: heartbeat, answer: make(chan forwardAnswer, 1)}
	select {
	case f.queue <- item:
	default:
		return peerrpc.HeartbeatResult{}, false
	}
	select {
	case a := <-item.answer:
		return a.result, a.reached
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

// collectBatch takes what is queued behind a first report, up to the bound of a call.
func (f *forwarder) collectBatch(first forwardRequest) []forwardRequest {
	batch := []forwardRequest{first}
	for len(batch) < maxForwardBatch {
		select {
		case item := <-f.queue:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

// send makes the call for a batch, and hands out the answers.
func (f *forwarder) send(batch []forwardRequest) {
	var results []peerrpc.HeartbeatResult
	reached := false
	if !f.peer.Failing(peerBackoff) {
		heartbeats := make([]*wire.Heartbeat, len(batch))
		for i, item := range batch {
			heartbeats[i] = item.heartbeat
		}
		var err error
		results, err = f.peer.ForwardHeartbeats(heartbeats, forwardTimeout)
		reached = err == nil
		if err != nil {
			slog.Debug("reports not forwarded", "node", f.peer.Node, "count", len(batch), "err", err)
		}
	}
	for i, item := range batch {
		a := forwardAnswer{reached: reached}
		if reached {
			a.result = results[i]
		}
		item.answer <- a
	}
}
