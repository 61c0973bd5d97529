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
func (k *Worker) heartbeat() wire.Heartbeat {
	k.sequence++
	heartbeat := wire.Heartbeat{
		Machine:            k.Machine.ID,
		Address:            k.Machine.Address,
		MachineType:        k.Machine.MachineType,
		Zone:               k.Machine.Zone,
		Spot:               k.Machine.Spot,
		Incarnation:        k.incarnation,
		Sequence:           k.sequence,
		FencingToken:       k.fencingToken,
		TerminationNoticeS: k.terminationNoticeS,
		Tasks:              []wire.TaskStatus{}, // an empty list on the wire, not null
	}
	for _, t := range k.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	for _, t := range k.refused {
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
	// minHeartbeatGap is the minimum time between two heartbeats.
	minHeartbeatGap = 500 * time.Millisecond
)

// exchange is a heartbeat and what came back.
type exchange struct {
	heartbeat wire.Heartbeat
	sent      time.Time
	status    int // 0: no answer
	response  wire.HeartbeatResponse
	redirect  wire.Redirect
}

// run sends heartbeats until the machine is removed.
func (k *Worker) run(ctx context.Context) {
	client := k.simulation.client(k.Machine)
	for ctx.Err() == nil {
		k.simulation.mu.Lock()
		k.checkLease()
		resume, hung := k.resume, k.hung
		e := exchange{heartbeat: k.heartbeat(), sent: time.Now()}
		node := k.simulation.Nodes[k.nodeIndex%len(k.simulation.Nodes)]
		cut, onHeartbeat := k.outboundCut, k.simulation.OnHeartbeat
		k.simulation.mu.Unlock()
		if hung {
			select {
			case <-ctx.Done():
				return
			case <-resume:
			}
			continue
		}
		if !cut && onHeartbeat != nil {
			onHeartbeat(&e.heartbeat, k.sendCopy(e.heartbeat))
		}
		if !cut {
			e.status = k.post(ctx, client, heartbeatURL(node), e.heartbeat, &e.response, &e.redirect)
		}
		k.pauseBeforeHeartbeat(ctx, k.handleResponse(&e))
	}
}

// sendCopy returns a function that sends a copy of a heartbeat to a node.
func (k *Worker) sendCopy(heartbeat wire.Heartbeat) func(to Node) {
	return func(to Node) {
		client := k.simulation.client(k.Machine)
		k.post(k.simulation.Ctx, client, heartbeatURL(to), heartbeat, &wire.HeartbeatResponse{}, &wire.Redirect{})
	}
}

func heartbeatURL(node Node) string { return "http://" + node.Addr + "/agent/beat" }

// handleResponse acts on what a heartbeat brought, and returns the time to the next one.
func (k *Worker) handleResponse(e *exchange) time.Duration {
	k.simulation.mu.Lock()
	defer k.simulation.mu.Unlock()
	redirected := k.simulation.indexOfNode(e.redirect.Node)
	switch {
	case k.inboundCut:
		k.nodeIndex++
	case k.hung:
		// The response is not read before the hang ends, and too old by then.
	case e.status == http.StatusOK:
		k.acceptResponse(e)
		// The protocol has workers send heartbeats up to a quarter early or late.
		return k.simulation.HeartbeatInterval * 3 / 4
	case e.status == http.StatusMisdirectedRequest && redirected >= 0 && redirected != k.nodeIndex%len(k.simulation.Nodes):
		k.nodeIndex = redirected
		return redirectDelay
	default:
		k.nodeIndex++
	}
	return retryDelay
}

// acceptResponse renews the lease and executes the commands, unless the response is of an
// earlier incarnation, has a lower token, or is too late.
func (k *Worker) acceptResponse(e *exchange) {
	token := e.response.FencingToken
	if e.heartbeat.Incarnation != k.incarnation || token < k.fencingToken || time.Since(e.sent) > responseTimeout {
		return
	}
	if token > k.fencingToken {
		k.notifyChange()
	}
	k.fencingToken = token
	k.leaseStart = e.sent
	k.execute(e.response.Commands)
}

// pauseBeforeHeartbeat waits for the given time, or after a change for the minimum gap.
func (k *Worker) pauseBeforeHeartbeat(ctx context.Context, next time.Duration) {
	timer := time.NewTimer(next)
	defer timer.Stop()
	minimum := time.NewTimer(min(next, minHeartbeatGap))
	defer minimum.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.changed:
		select {
		case <-minimum.C:
		case <-ctx.Done():
		}
	}
}

// post sends a heartbeat, decodes the response by its status, and returns the status; 0: no
// answer.
func (k *Worker) post(ctx context.Context, client *http.Client, url string, body, ok, redirect any) int {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	k.simulation.waitLinkDelay(ctx)
	defer k.simulation.waitLinkDelay(ctx)
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
