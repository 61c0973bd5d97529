package controller

import (
	"context"
	"log/slog"
	"time"

	"ambersill/internal/wire"
)

// commandPath is how commands reach a worker, as it is logged.
type commandPath string

const (
	viaHeartbeat commandPath = "heartbeat" // in the response to a heartbeat
	viaRequest   commandPath = "request"   // in a direct request
)

// logCommands logs each command to a worker together with the state on which it was decided. The
// caller must hold o.mu.
func (o *ownedPartition) logCommands(
	ctx context.Context, machine string, via commandPath, token uint64, commands []wire.Command,
) {
	if len(commands) == 0 || !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	listingAge := time.Since(o.cancellationsReadAt)
	for _, command := range commands {
		evidence := o.partition.Evidence(machine, command)
		slog.Debug("command to worker",
			"partition", o.index, "machine", machine, "operation", string(command.Op),
			"task", command.Task, "attempt", command.Attempt, "via", string(via), "token", token,
			"start_token", evidence.StartToken, "newest_commit", evidence.NewestCommit,
			"cancellations_age_ms", listingAge.Milliseconds())
	}
}

// logRequestOutcome logs a direct request that its worker did not execute, or may not have. response
// is nil if there was none.
func logRequestOutcome(machine string, request wire.CommandRequest, response *wire.Heartbeat, executed bool, err error) {
	switch {
	case err != nil:
		slog.Debug("sending commands to worker failed", "machine", machine, "token", request.FencingToken, "err", err)
	case !executed && response != nil:
		slog.Debug("worker refused commands", "machine", machine,
			"token", request.FencingToken, "worker_token", response.FencingToken,
			"incarnation", request.Incarnation, "worker_incarnation", response.Incarnation)
	}
}
