// Package config reads the platform's settings file and the operators' policy script.
package config

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Settings are what the platform configures for one controller.
type Settings struct {
	Node       string   `toml:"node"`
	Zone       string   `toml:"zone"`
	PublicAddr string   `toml:"public_addr"` // where users and workers connect
	MeshAddr   string   `toml:"mesh_addr"`   // where the other controllers connect
	Members    []Member `toml:"members"`
	Outside    Outside  `toml:"outside"`
	Cluster    Cluster  `toml:"cluster"`
}

// Member is another controller.
type Member struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"` // for calls between controllers
}

// Outside has the addresses of the services that controllers depend on.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"` // the key-value store
}

// Cluster is what all controllers have in common.
type Cluster struct {
	Count        int           `toml:"count"` // number of controllers
	Zones        []string      `toml:"zones"`
	ClockErrorMS float64       `toml:"clock_error_ms"`
	Teams        []Team        `toml:"teams"`
	Workers      Workers       `toml:"workers"`
	State        State         `toml:"state"`
	Cloud        Cloud         `toml:"cloud"`
	Limits       MachineLimits `toml:"machine_limits"`
}

// Team has a guarantee and a limit of CPUs and of GPUs; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Workers has the workers' timing, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // between two heartbeats
	LeaseS    float64 `toml:"lease_s"`     // after the last answered heartbeat until a worker kills its tasks
	GangWaitS float64 `toml:"gang_wait_s"` // that a gang's task waits for the rest of the gang
	GangPeerS float64 `toml:"gang_peer_s"` // until a gang's task exits after another one was lost
	CancelS   float64 `toml:"cancel_s"`    // within which a cancelled job's tasks have to stop
}

// State has the limits of the key-value store.
type State struct {
	StateLimits
	// Next has the limits that will be in force at some later time; nil if none are
	// announced. A limit of 0 does not change.
	Next *StateLimits `toml:"next"`
}

// StateLimits are limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // KiB in a value
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// Cloud has the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // seconds by which its list may lag
}

// MachineLimits are the limits of the machine that the controller runs on.
type MachineLimits struct {
	CPU        float64 `toml:"cpu"`         // cores
	RAMMB      float64 `toml:"ram_mb"`      // MiB
	MaxSockets int     `toml:"max_sockets"` // open at the same time
}

// Error reports what is wrong with a key of a settings file or a policy script.
type Error struct {
	File    string
	Key     string
	Problem string
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Problem) }

// Load reads and validates a settings file. Unknown keys are ignored, since the platform
// may add some.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var settings Settings
	if err := toml.Unmarshal(text, &settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if problem := settings.validate(); problem != nil {
		problem.File = path
		return nil, problem
	}
	return &settings, nil
}

// WriteLimits returns the limits that whatever is written must keep to: the present ones, or
// the announced ones where those are lower, since they may come into force at any time.
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

// Team returns the settings of a team; ok reports whether there is such a team.
func (s *Settings) Team(name string) (team Team, ok bool) {
	for _, team := range s.Cluster.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
