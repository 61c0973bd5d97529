package config

import (
	"fmt"
	"net"
)

const (
	// minTxnOps is the fewest writes that a transaction must allow: the end of a job or of
	// a rental takes two, and a third lets another change go with it.
	minTxnOps = 3
	// minSockets is the fewest sockets that a controller can do its work with.
	minSockets = 50
)

// keyedNumber is the value of a key.
type keyedNumber struct {
	key   string
	value float64
}

// newError returns an error without a file, which Load adds.
func newError(key, format string, args ...any) *Error {
	return &Error{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// validate returns the first problem, in the order of the file's sections, or nil.
func (s *Settings) validate() *Error {
	for _, check := range []func() *Error{
		s.validateNode,
		s.validateAddresses,
		s.validateMembers,
		s.Cluster.validateCount,
		s.Cluster.validateTeams,
		s.Cluster.validateAmounts,
		s.Cluster.Store.validate,
		s.Cluster.Limits.validate,
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
		return newError(key, "%q is not of the form host:port", address)
	}
	return nil
}

func (s *Settings) validateMembers() *Error {
	nodes := map[string]bool{s.Node: true}
	for i, member := range s.Members {
		if member.Node == "" || nodes[member.Node] {
			return newError(fmt.Sprintf("members[%d].node", i), "missing or duplicate")
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
			return newError(fmt.Sprintf("cluster.teams[%d].name", i), "missing or duplicate")
		}
		names[team.Name] = true
		if team.CPUs < 0 || team.MaxCPUs < 0 || team.GPUs < 0 || team.MaxGPUs < 0 {
			return newError(fmt.Sprintf("cluster.teams[%d]", i), "an amount is negative")
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
		{"cluster.machine_limits.ram_mb", c.Limits.MemoryMiB},
	} {
		// Negated, so that NaN is refused too.
		if !(amount.value > 0) {
			return newError(amount.key, "must be above 0")
		}
	}
	return nil
}

// validate checks what validateAmounts does not. Of the announced limits, 0 stands for one
// that does not change.
func (s *Store) validate() *Error {
	if s.MaxTxnWrites < minTxnOps {
		return newError("cluster.state.txn_ops", "must be at least %d", minTxnOps)
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
			return newError(limit.key, "must not be below 0")
		}
	}
	if s.Announced.MaxTxnWrites != 0 && s.Announced.MaxTxnWrites < minTxnOps {
		return newError("cluster.state.next.txn_ops", "must be at least %d", minTxnOps)
	}
	return nil
}

func (l *MachineLimits) validate() *Error {
	if l.MaxSockets < minSockets {
		return newError("cluster.machine_limits.max_sockets", "must be at least %d", minSockets)
	}
	return nil
}
