// Package config reads the platform's settings file and the operators' policy.
package config

import (
	"fmt"
	"net"
	"os"

	"github.com/BurntSushi/toml"
)

// Member is another controller.
type Member struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // KiB in a value
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// Settings are what the platform hands over.
type Settings struct {
	Node       string   `toml:"node"`
	Zone       string   `toml:"zone"`
	PublicAddr string   `toml:"public_addr"`
	MeshAddr   string   `toml:"mesh_addr"`
	Members    []Member `toml:"members"`
	Outside    struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Cluster struct {
		Count        int      `toml:"count"`
		Zones        []string `toml:"zones"`
		ClockErrorMS float64  `toml:"clock_error_ms"`
		Teams        []Team   `toml:"teams"`
		Workers      struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			StateLimits
			// Next holds the limits that will be in force at some later moment; nil
			// if none are announced, and a limit of 0 stays as it is.
			Next *StateLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPU        float64 `toml:"cpu"`
			RAMMB      float64 `toml:"ram_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

// Load reads and checks a settings file. Unknown fields are ignored, since the
// platform may add some.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.Node == "" {
		return fmt.Errorf("node: missing")
	}
	if s.Zone == "" {
		return fmt.Errorf("zone: missing")
	}
	for _, a := range []struct{ name, addr string }{
		{"public_addr", s.PublicAddr}, {"mesh_addr", s.MeshAddr},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if a.addr == "" {
			return fmt.Errorf("%s: missing", a.name)
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is no host:port", a.name, a.addr)
		}
	}
	seen := map[string]bool{s.Node: true}
	for i, m := range s.Members {
		if m.Node == "" || seen[m.Node] {
			return fmt.Errorf("members[%d].node: missing or named twice", i)
		}
		seen[m.Node] = true
		if _, _, err := net.SplitHostPort(m.Addr); err != nil {
			return fmt.Errorf("members[%d].addr: %q is no host:port", i, m.Addr)
		}
	}
	c := &s.Cluster
	if c.Count < 1 {
		return fmt.Errorf("cluster.count: must be at least 1")
	}
	teams := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("cluster.teams[%d].name: missing or named twice", i)
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("cluster.teams[%d]: an amount is negative", i)
		}
	}
	for _, v := range []struct {
		name string
		val  float64
	}{
		{"cluster.workers.report_s", c.Workers.ReportS}, {"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.gang_wait_s", c.Workers.GangWaitS}, {"cluster.workers.gang_peer_s", c.Workers.GangPeerS},
		{"cluster.workers.cancel_s", c.Workers.CancelS}, {"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS}, {"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.cloud.rps", c.Cloud.RPS}, {"cluster.machine_limits.ram_mb", c.Limits.RAMMB},
	} {
		if !(v.val > 0) {
			return fmt.Errorf("%s: must be above 0", v.name)
		}
	}
	if c.State.TxnOps < minTxnOps {
		return fmt.Errorf("cluster.state.txn_ops: must be at least %d", minTxnOps)
	}
	if err := checkNext(c.State.Next); err != nil {
		return err
	}
	if c.Limits.MaxSockets < 50 {
		return fmt.Errorf("cluster.machine_limits.max_sockets: must be at least 50")
	}
	return nil
}

// minTxnOps is the fewest changes that a transaction must allow: the end of a job or a
// rental takes two, and a third keeps it from being alone.
const minTxnOps = 3

// checkNext checks limits that are announced; 0 stands for one that does not change.
func checkNext(next *StateLimits) error {
	if next == nil {
		return nil
	}
	for _, v := range []struct {
		name  string
		value float64
	}{{"rps", next.RPS}, {"write_rps", next.WriteRPS}, {"value_kb", next.ValueKB}} {
		if !(v.value >= 0) {
			return fmt.Errorf("cluster.state.next.%s: must not be below 0", v.name)
		}
	}
	if next.TxnOps != 0 && next.TxnOps < minTxnOps {
		return fmt.Errorf("cluster.state.next.txn_ops: must be at least %d", minTxnOps)
	}
	return nil
}

// WriteLimits are the limits that whatever is written must keep to: the present ones, or
// those announced where they are lower, since they may be in force at any moment.
func (s *Settings) WriteLimits() StateLimits {
	limits := s.Cluster.State.StateLimits
	next := s.Cluster.State.Next
	if next == nil {
		return limits
	}
	if next.RPS > 0 {
		limits.RPS = min(limits.RPS, next.RPS)
	}
	if next.WriteRPS > 0 {
		limits.WriteRPS = min(limits.WriteRPS, next.WriteRPS)
	}
	if next.ValueKB > 0 {
		limits.ValueKB = min(limits.ValueKB, next.ValueKB)
	}
	if next.TxnOps > 0 {
		limits.TxnOps = min(limits.TxnOps, next.TxnOps)
	}
	return limits
}

// Team finds a team's settings.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Cluster.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
