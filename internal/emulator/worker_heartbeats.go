package emulator

import (
	"context"
	"net/http"
	"sort"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// heartbeat returns the next heartbeat. The simulation's lock must be held.
func (w *Worker) heartbeat() wire.Heartbeat {
	w.sequence++
	heartbeat := wire.Heartbeat{
		Machine:            w.Machine.ID,
		Address:            w.Machine.Address,
		MachineType:        w.Machine.MachineType,
		Zone:               w.Machine.Zone,
		Spot:               w.Machine.Spot,
		Incarnation:        w.incarnation,
		Sequence:           w.sequence,
		FencingToken:       w.fencingToken,
		TerminationNoticeS: w.terminationNoticeS,
		Tasks:              []wire.TaskStatus{}, // an empty list on the wire, not null
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	for _, t := range w.refusedStarts {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	sort.Slice(heartbeat.Tasks, func(a, b int) bool { return heartbeat.Tasks[a].Task < heartbeat.Tasks[b].Task })
	return heartbeat
}

const (
	// responseTimeout is after how long a worker drops the response to a heartbeat.
	responseTimeout = 4 * time.Second
	// retryDelay is the pause before the next node is tried.
	retryDelay = time.Second
	// redirectDelay is the pause before a redirect is followed.
	redirectDelay = 100 * time.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
)

// heartbeatExchange is a heartbeat and what came back.
type heartbeatExchange struct {
	heartbeat wire.Heartbeat
	sentAt    time.Time
	status    int // 0: no answer
	response  wire.HeartbeatResponse
	redirect  wire.Redirect
}

// sendHeartbeats sends heartbeats until the machine is removed.
func (w *Worker) sendHeartbeats(ctx context.Context) {
	client := w.simulation.client(w.Machine)
	for ctx.Err() == nil {
		w.simulation.mu.Lock()
		w.expireLease()
		resume, hung := w.resume, w.hung
		e := heartbeatExchange{heartbeat: w.heartbeat(), sentAt: time.Now()}
		node := w.simulation.Nodes[w.nodeIndex%len(w.simulation.Nodes)]
		cutOff, onHeartbeat := w.outboundCut, w.simulation.OnHeartbeat
		w.simulation.mu.Unlock()
		if hung {
			select {
			case <-ctx.Done():
				return
			case <-resume:
			}
			continue
		}
		if !cutOff && onHeartbeat != nil {
			onHeartbeat(&e.heartbeat, w.copySender(e.heartbeat))
		}
		if !cutOff {
			e.status = w.postHeartbeat(ctx, client, heartbeatURL(node), e.heartbeat, &e.response, &e.redirect)
		}
		w.pauseBeforeHeartbeat(ctx, w.handleResponse(&e))
	}
}

// copySender returns a function that sends a copy of a heartbeat to a node.
func (w *Worker) copySender(heartbeat wire.Heartbeat) func(to Node) {
	return func(to Node) {
		client := w.simulation.client(w.Machine)
		w.postHeartbeat(w.simulation.Ctx, client, heartbeatURL(to), heartbeat, &wire.HeartbeatResponse{}, &wire.Redirect{})
	}
}

func heartbeatURL(node Node) string { return "http://" + node.Addr + "/agent/beat" }

// handleResponse acts on what a heartbeat brought, and returns the time to the next one.
func (w *Worker) handleResponse(e *heartbeatExchange) time.Duration {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	redirected := w.simulation.node(e.redirect.Node)
	switch {
	case w.inboundCut:
		w.nodeIndex++
	case w.hung:
		// The response is not read before the hang ends, and too old by then.
	case e.status == http.StatusOK:
		w.acceptResponse(e)
		// The protocol has workers send heartbeats up to a quarter early or late.
		return w.simulation.HeartbeatInterval * 3 / 4
	case e.status == http.StatusMisdirectedRequest && redirected >= 0 && redirected != w.nodeIndex%len(w.simulation.Nodes):
		w.nodeIndex = redirected
		return redirectDelay
	default:
		w.nodeIndex++
	}
	return retryDelay
}

// acceptResponse renews the lease and executes the commands, unless the response is of an
// earlier incarnation, has a lower token, or is too late.
func (w *Worker) acceptResponse(e *heartbeatExchange) {
	token := e.response.FencingToken
	if e.heartbeat.Incarnation != w.incarnation || token < w.fencingToken || time.Since(e.sentAt) > responseTimeout {
		return
	}
	if token > w.fencingToken {
		w.notifyChange()
	}
	w.fencingToken = token
	w.leaseStart = e.sentAt
	w.executeCommands(e.response.Commands)
}

// pauseBeforeHeartbeat waits for the given time, or after a change for the minimum gap.
func (w *Worker) pauseBeforeHeartbeat(ctx context.Context, next time.Duration) {
	timer := time.NewTimer(next)
	defer timer.Stop()
	minimum := time.NewTimer(min(next, minHeartbeatInterval))
	defer minimum.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.changed:
		select {
		case <-minimum.C:
		case <-ctx.Done():
		}
	}
}

// postHeartbeat sends a heartbeat, decodes the response by its status, and returns the status; 0: no
// answer.
func (w *Worker) postHeartbeat(ctx context.Context, client *http.Client, url string, body, ok, redirect any) int {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	w.simulation.waitLinkDelay(ctx)
	defer w.simulation.waitLinkDelay(ctx)
	resp, err := transport.Send(ctx, client, http.MethodPost, url, body)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		err = wire.ReadResponse(resp.Body, ok)
	case http.StatusMisdirectedRequest:
		err = wire.ReadResponse(resp.Body, redirect)
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
