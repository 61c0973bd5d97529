package config

import (
	"fmt"
	"net"
)

const (
	// MinTxnWrites is the smallest supported limit on the writes of a transaction. Completing a
	// job or a rental takes two writes, and a third allows another change in the same
	// transaction.
	MinTxnWrites = 3
	// minSockets is the smallest number of sockets with which a controller can operate.
	minSockets = 50
)

// keyedNumber is a key of the settings file and its numeric value.
type keyedNumber struct {
	key   string
	value float64
}

// newError returns an Error without the file, which Load and LoadPolicy add.
func newError(key, format string, args ...any) *Error {
	return &Error{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// validate returns the first problem found, in the order of the sections of the file, or nil if the
// settings are valid.
func (s *Settings) validate() *Error {
	for _, check := range []func() *Error{
		s.validateNode,
		s.validateAddresses,
		s.validateMembers,
		s.Cluster.validateCount,
		s.Cluster.validateTeams,
		s.Cluster.validateAmounts,
		s.Cluster.Store.validate,
		s.Cluster.ControllerLimits.validate,
	} {
		if problem := check(); problem != nil {
			return problem
		}
	}
	return nil
}

func (s *Settings) validateNode() *Error {
	if s.Node == "" {
		return newError("node", "missing")
	}
	if s.Zone == "" {
		return newError("zone", "missing")
	}
	return nil
}

func (s *Settings) validateAddresses() *Error {
	for _, address := range []struct{ key, value string }{
		{"public_addr", s.PublicAddr},
		{"mesh_addr", s.PeerAddr},
		{"outside.cloud", s.Endpoints.Cloud},
		{"outside.state", s.Endpoints.Store},
	} {
		if address.value == "" {
			return newError(address.key, "missing")
		}
		if problem := validateAddress(address.key, address.value); problem != nil {
			return problem
		}
	}
	return nil
}

func validateAddress(key, address string) *Error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return newError(key, "got %q, must be of the form host:port", address)
	}
	return nil
}

func (s *Settings) validateMembers() *Error {
	nodes := map[string]bool{s.Node: true}
	for i, member := range s.Members {
		if member.Node == "" || nodes[member.Node] {
			return newError(fmt.Sprintf("members[%d].node", i), "must be present and unique")
		}
		nodes[member.Node] = true
		if problem := validateAddress(fmt.Sprintf("members[%d].addr", i), member.Addr); problem != nil {
			return problem
		}
	}
	return nil
}

func (c *Cluster) validateCount() *Error {
	if c.ControllerCount < 1 {
		return newError("cluster.count", "must be at least 1")
	}
	return nil
}

func (c *Cluster) validateTeams() *Error {
	names := map[string]bool{}
	for i, team := range c.Teams {
		if team.Name == "" || names[team.Name] {
			return newError(fmt.Sprintf("cluster.teams[%d].name", i), "must be present and unique")
		}
		names[team.Name] = true
		if team.CPUs < 0 || team.MaxCPUs < 0 || team.GPUs < 0 || team.MaxGPUs < 0 {
			return newError(fmt.Sprintf("cluster.teams[%d]", i), "amounts of CPUs and GPUs must not be negative")
		}
	}
	return nil
}

func (c *Cluster) validateAmounts() *Error {
	for _, amount := range []keyedNumber{
		{"cluster.workers.report_s", c.WorkerTiming.HeartbeatIntervalS},
		{"cluster.workers.lease_s", c.WorkerTiming.LeaseDurationS},
		{"cluster.workers.gang_wait_s", c.WorkerTiming.GangWaitTimeoutS},
		{"cluster.workers.gang_peer_s", c.WorkerTiming.GangPeerTimeoutS},
		{"cluster.workers.cancel_s", c.WorkerTiming.CancelDeadlineS},
		{"cluster.state.rps", c.Store.RequestsPerS},
		{"cluster.state.write_rps", c.Store.WritesPerS},
		{"cluster.state.value_kb", c.Store.MaxValueKiB},
		{"cluster.cloud.rps", c.Cloud.RequestsPerS},
		{"cluster.machine_limits.ram_mb", c.ControllerLimits.MemoryMiB},
	} {
		// The condition is negated so that it also rejects NaN.
		if !(amount.value > 0) {
			return newError(amount.key, "must be above 0")
		}
	}
	return nil
}

// validate checks the limits of the key-value store that validateAmounts does not check. An
// announced limit may be 0, which means that the limit does not change.
func (s *Store) validate() *Error {
	if s.MaxTxnWrites < MinTxnWrites {
		return newError("cluster.state.txn_ops", "must be at least %d", MinTxnWrites)
	}
	if s.Announced == nil {
		return nil
	}
	for _, limit := range []keyedNumber{
		{"cluster.state.next.rps", s.Announced.RequestsPerS},
		{"cluster.state.next.write_rps", s.Announced.WritesPerS},
		{"cluster.state.next.value_kb", s.Announced.MaxValueKiB},
	} {
		if !(limit.value >= 0) {
			return newError(limit.key, "must not be negative")
		}
	}
	if s.Announced.MaxTxnWrites != 0 && s.Announced.MaxTxnWrites < MinTxnWrites {
		return newError("cluster.state.next.txn_ops", "must be at least %d", MinTxnWrites)
	}
	return nil
}

func (l *MachineLimits) validate() *Error {
	if l.MaxSockets < minSockets {
		return newError("cluster.machine_limits.max_sockets", "must be at least %d", minSockets)
	}
	return nil
}
