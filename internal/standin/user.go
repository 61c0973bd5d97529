package standin

import (
	"context"
	"net/http"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// User submits a job and follows it as the protocol's users do.
type User struct {
	World *World
	Net   transport.Net
	// Pick chooses a node for each request.
	Pick func() Node
	// CancelAfter, if above 0, is when the user cancels the job.
	CancelAfter time.Duration
}

// Follow submits the job, polls it, and returns the phase it ended in; "" if the
// context ended first or the submission was given up.
func (u *User) Follow(ctx context.Context, j *wire.Job) wire.Phase {
	cl := transport.Client(u.Net, 1, 1, time.Second)
	defer cl.CloseIdleConnections()
	body := submission(j)
	u.World.Submitted(j)
	start := time.Now()
	for accepted := false; !accepted; {
		if ctx.Err() != nil || time.Since(start) > time.Minute {
			return ""
		}
		v, status := u.send(ctx, cl, http.MethodPost, "/work", body, 5*time.Second)
		switch status {
		case http.StatusCreated, http.StatusOK:
			u.World.Told(j.ID, v.Phase)
			accepted = true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.World.Missing(j.ID, status)
			return ""
		default:
			transport.Pause(ctx, time.Second)
		}
	}
	for ctx.Err() == nil {
		if u.CancelAfter > 0 && time.Since(start) > u.CancelAfter {
			u.World.Asked(j.ID)
			v, status := u.send(ctx, cl, http.MethodPost, "/work/"+j.ID+"/withdraw", nil, 5*time.Second)
			if status != http.StatusOK {
				transport.Pause(ctx, time.Second)
				continue
			}
			u.World.Told(j.ID, v.Phase)
		}
		v, status := u.send(ctx, cl, http.MethodGet, "/work/"+j.ID, nil, 2*time.Second)
		switch status {
		case http.StatusOK:
			u.World.Told(j.ID, v.Phase)
			if v.Phase.Final() {
				return v.Phase
			}
		case http.StatusNotFound:
			u.World.Missing(j.ID, status)
		default:
			u.World.Unanswered(j.ID)
		}
		transport.Pause(ctx, 5*time.Second)
	}
	return ""
}

func (u *User) send(ctx context.Context, cl *http.Client, method, path string, body any, limit time.Duration) (wire.JobView, int) {
	var v wire.JobView
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := transport.Send(ctx, cl, method, "http://"+u.Pick().Addr+path, body)
	if err != nil {
		return v, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode > 299 {
		transport.Discard(resp)
		return v, resp.StatusCode
	}
	if err := wire.ReadReply(resp.Body, &v); err != nil {
		return v, 0
	}
	return v, resp.StatusCode
}

// submission is a job as a user writes it, with null where nothing is asked.
func submission(j *wire.Job) map[string]any {
	b, err := wire.Marshal(j)
	if err != nil {
		return nil
	}
	m := map[string]any{}
	if wire.Unmarshal(b, &m) != nil {
		return nil
	}
	for _, k := range []string{"breeds", "field", "dueS"} {
		if _, ok := m[k]; !ok {
			m[k] = nil
		}
	}
	return m
}
