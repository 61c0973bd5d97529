package emulator

import (
	"context"
	"math/rand/v2"
	"time"

	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

// minCopyDelay is the minimum delay of a late copy of a request that was answered.
const minCopyDelay = 100 * time.Millisecond

// CommandRepeater executes a late copy of a command request that its worker has executed and
// answered. It returns without a response, and whether the worker executed the copy.
type CommandRepeater func() (executed bool)

// commandsFunc is called when a worker has executed and answered a request with commands. It may
// call repeat at any later time, any number of times.
type commandsFunc func(request *wire.CommandRequest, repeat CommandRepeater)

// commandRepeater returns a function that executes a copy of a request.
func (w *Worker) commandRepeater(ctx context.Context, request *wire.CommandRequest) CommandRepeater {
	copied := *request
	return func() bool {
		w.simulation.mu.Lock()
		defer w.simulation.mu.Unlock()
		if w.inboundCut || !w.awaitCommandExecution(ctx) || w.dead {
			return false
		}
		return w.executeRequest(&copied)
	}
}

// RepeatCommands makes copies of command requests, each with the given probability, reach the worker
// again after minCopyDelay and a random time of up to maxDelay. Copies under way when ctx ends
// are lost. random returns a random number in [0, 1), and executed is called after each copy that its
// worker executed.
func RepeatCommands(
	ctx context.Context, probability float64, maxDelay time.Duration, random func() float64, executed func(),
) func(request *wire.CommandRequest, repeat CommandRepeater) {
	return func(_ *wire.CommandRequest, repeat CommandRepeater) {
		if random() >= probability {
			return
		}
		delay := minCopyDelay + time.Duration(random()*float64(maxDelay))
		go func() {
			transport.Pause(ctx, delay)
			if ctx.Err() == nil && repeat() {
				executed()
			}
		}()
	}
}

// copyCommands executes late copies of command requests with the fault's Probability, up to the
// fault's Delay after the requests. Its random numbers are not those of the injector, so that a script
// with copies has the same effect on everything else as one without.
func (f *FaultInjector) copyCommands(ctx context.Context, fault Fault) {
	// Used only with the simulation's lock held.
	random := rand.New(rand.NewPCG(uint64(fault.Start), uint64(fault.Delay)))
	countExecuted := func() { f.countInjected(fault.Kind, 1) }
	remove := f.commandFaults.add(RepeatCommands(ctx, fault.Probability, fault.Delay, random.Float64, countExecuted))
	waitUntilOver(ctx, fault)
	remove()
}
