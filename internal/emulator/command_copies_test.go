package emulator

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// A copy of a command request is executed as long as token and incarnation match, as the request itself
// would be, and starts an attempt that the worker has forgotten.
func TestCopyOfCommandsNeedsTokenAndIncarnation(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(worker *Worker)
		want   bool
	}{
		{"unchanged", func(*Worker) {}, true},
		{"higher token seen", func(worker *Worker) { worker.fencingToken++ }, false},
		{"next incarnation", func(worker *Worker) { worker.incarnation++ }, false},
		{"inbound traffic cut", func(worker *Worker) { worker.inboundCut = true }, false},
		{"machine lost", func(worker *Worker) { worker.dead = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := newCheckerSetup()
				job := checker.submitAndAccept(nil)
				worker := checker.west
				start := wire.Command{Op: wire.StartTask, Task: wire.TaskName(job.ID, 0), Attempt: 1}
				request := wire.CommandRequest{FencingToken: 7, Incarnation: worker.incarnation, Commands: []wire.Command{start}}
				var repeat CommandRepeater
				checker.OnCommandsExecuted = func(_ *wire.CommandRequest, repeater CommandRepeater) { repeat = repeater }
				response := httptest.NewRecorder()
				worker.handleCommands(t.Context(), response, &request)
				if response.Code != http.StatusOK || repeat == nil {
					t.Fatalf("status of the request: got %d, want %d", response.Code, http.StatusOK)
				}
				time.Sleep(time.Second)
				worker.Execute(wire.Command{Op: wire.StopTask, Task: start.Task, Attempt: 1})
				worker.Execute(wire.Command{Op: wire.ForgetTask, Task: start.Task, Attempt: 1})
				checker.mu.Lock()
				c.change(worker)
				checker.mu.Unlock()
				if got := repeat(); got != c.want {
					t.Errorf("copy of the request was executed: got %t, want %t", got, c.want)
				}
				if got := worker.HasTask(start.Task); got != c.want {
					t.Errorf("worker has the task: got %t, want %t", got, c.want)
				}
			})
		})
	}
}

// Copies come with their probability, between the least and the longest delay.
func TestRepeatCommandsDrawsCopiesAndDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, maxDelay = 1000, 10 * time.Second
		random := rand.New(rand.NewPCG(1, 1))
		began, executed := time.Now(), make(chan time.Duration, requests)
		onExecuted := RepeatCommands(t.Context(), 0.25, maxDelay, random.Float64, func() { executed <- time.Since(began) })
		for range requests {
			onExecuted(&wire.CommandRequest{}, func() bool { return true })
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		close(executed)
		copies := 0
		for delay := range executed {
			copies++
			if delay < minCopyDelay || delay > minCopyDelay+maxDelay {
				t.Errorf("delay of a copy: got %v, want from %v to %v", delay, minCopyDelay, minCopyDelay+maxDelay)
			}
		}
		if copies < requests/5 || copies > requests*3/10 {
			t.Errorf("copies of %d requests with a probability of 0.25: got %d", requests, copies)
		}
	})
}
