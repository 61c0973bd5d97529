package emulator

import (
	"context"
	"net/http"
	"sort"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// heartbeat returns the next heartbeat, with a new sequence number. The simulation's lock must be
// held.
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
		Tasks:              []wire.TaskStatus{}, // encoded as an empty list, not as null
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
	// responseTimeout is the maximum time from sending a heartbeat to its response. Later
	// responses are ignored.
	responseTimeout = 4 * time.Second
	// retryDelay is the pause before the next node is tried, after a heartbeat that was not
	// accepted.
	retryDelay = time.Second
	// redirectDelay is the pause before a redirect is followed.
	redirectDelay = 100 * time.Millisecond
	// minHeartbeatInterval is the minimum pause before a heartbeat that a change makes due early.
	minHeartbeatInterval = 500 * time.Millisecond
)

// heartbeatExchange is a heartbeat with the response to it.
type heartbeatExchange struct {
	heartbeat wire.Heartbeat
	sentAt    time.Time
	status    int // HTTP status; 0 if there was no readable response
	response  wire.HeartbeatResponse
	redirect  wire.Redirect
}

// sendHeartbeats sends heartbeats until ctx ends, at the latest when the machine is killed.
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

// copySender returns a function that sends a copy of a heartbeat to a node, and ignores the
// response.
func (w *Worker) copySender(heartbeat wire.Heartbeat) func(to Node) {
	return func(to Node) {
		client := w.simulation.client(w.Machine)
		w.postHeartbeat(w.simulation.Ctx, client, heartbeatURL(to), heartbeat, &wire.HeartbeatResponse{}, &wire.Redirect{})
	}
}

func heartbeatURL(node Node) string { return "http://" + node.Addr + "/agent/beat" }

// handleResponse handles the result of a heartbeat, and returns the pause before the next
// heartbeat. The next heartbeat goes to the next node if inbound traffic is cut, or if the machine
// does not hang and the node answered neither 200 nor with a redirect to another known node.
func (w *Worker) handleResponse(e *heartbeatExchange) time.Duration {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	redirectIndex := w.simulation.indexOfNode(e.redirect.Node)
	switch {
	case w.inboundCut:
		w.nodeIndex++
	case w.hung:
		// The response would be read when the hang ends, and be too old by then.
	case e.status == http.StatusOK:
		w.acceptResponse(e)
		// Workers may send heartbeats up to a quarter of the interval early or late; this is the
		// shortest pause allowed.
		return w.simulation.HeartbeatInterval * 3 / 4
	case e.status == http.StatusMisdirectedRequest && redirectIndex >= 0 && redirectIndex != w.nodeIndex%len(w.simulation.Nodes):
		w.nodeIndex = redirectIndex
		return redirectDelay
	default:
		w.nodeIndex++
	}
	return retryDelay
}

// acceptResponse renews the lease and executes the commands of a response. It ignores a response to
// a heartbeat of an earlier incarnation, one with a lower fencing token than the worker has seen,
// and one that arrives after responseTimeout. A lease that has expired meanwhile is not renewed.
func (w *Worker) acceptResponse(e *heartbeatExchange) {
	w.expireLease()
	token := e.response.FencingToken
	if e.heartbeat.Incarnation != w.incarnation || token < w.fencingToken || time.Since(e.sentAt) > responseTimeout {
		return
	}
	if token > w.fencingToken {
		w.requestEarlyHeartbeat()
	}
	w.fencingToken = token
	w.leaseStart = e.sentAt
	w.executeCommands(e.response.Commands)
}

// pauseBeforeHeartbeat waits for the given time. If there is a change to report, it returns as soon
// as minHeartbeatInterval has passed, or when the given time has passed if that is shorter.
func (w *Worker) pauseBeforeHeartbeat(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	minimum := time.NewTimer(min(pause, minHeartbeatInterval))
	defer minimum.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.earlyHeartbeat:
		select {
		case <-minimum.C:
		case <-ctx.Done():
		}
	}
}

// postHeartbeat sends a heartbeat, and returns the HTTP status, or 0 if there is no response or its
// body cannot be decoded. It decodes the body of StatusOK into response, and that of
// StatusMisdirectedRequest into redirect.
func (w *Worker) postHeartbeat(ctx context.Context, client *http.Client, url string, body, response, redirect any) int {
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
		err = wire.ReadResponse(resp.Body, response)
	case http.StatusMisdirectedRequest:
		err = wire.ReadResponse(resp.Body, redirect)
	}
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
