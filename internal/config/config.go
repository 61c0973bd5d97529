// Package config reads the platform's settings file and the operators' policy script.
package config

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Settings are what the platform configures for one controller.
type Settings struct {
	Node       string    `toml:"node"`
	Zone       string    `toml:"zone"`
	PublicAddr string    `toml:"public_addr"` // where users and workers connect
	PeerAddr   string    `toml:"mesh_addr"`   // where the other controllers connect
	Members    []Member  `toml:"members"`
	Endpoints  Endpoints `toml:"outside"`
	Cluster    Cluster   `toml:"cluster"`
}

// Member is another controller.
type Member struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"` // for calls between controllers
}

// Endpoints has the addresses of the services that controllers depend on.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"` // the key-value store
}

// Cluster is what all controllers have in common.
type Cluster struct {
	ControllerCount int           `toml:"count"` // number of controllers
	Zones           []string      `toml:"zones"`
	ClockErrorMS    float64       `toml:"clock_error_ms"`
	Teams           []Team        `toml:"teams"`
	WorkerTiming    WorkerTiming  `toml:"workers"`
	Store           Store         `toml:"state"`
	Cloud           Cloud         `toml:"cloud"`
	Limits          MachineLimits `toml:"machine_limits"`
}

// Team has a guarantee and a limit of CPUs and of GPUs; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	MaxGPUs float64 `toml:"gpus_max"`
}

// WorkerTiming has the workers' timing, in seconds.
type WorkerTiming struct {
	HeartbeatIntervalS float64 `toml:"report_s"`    // between two heartbeats
	LeaseDurationS     float64 `toml:"lease_s"`     // after the last answered heartbeat until a worker kills its tasks
	GangWaitTimeoutS   float64 `toml:"gang_wait_s"` // that a gang's task waits for the rest of the gang
	GangPeerTimeoutS   float64 `toml:"gang_peer_s"` // until a gang's task exits after another one was lost
	CancelDeadlineS    float64 `toml:"cancel_s"`    // within which a cancelled job's tasks have to stop
}

// Store has the limits of the key-value store.
type Store struct {
	StoreLimits
	// Announced has the limits that will be in force at some later time; nil if none are
	// announced. A limit of 0 does not change.
	Announced *StoreLimits `toml:"next"`
}

// StoreLimits are limits of the key-value store.
type StoreLimits struct {
	RequestsPerS float64 `toml:"rps"`       // requests per second
	WritesPerS   float64 `toml:"write_rps"` // puts and deletes per second
	MaxValueKiB  float64 `toml:"value_kb"`  // KiB in a value
	MaxTxnWrites int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// Cloud has the limits of the cloud.
type Cloud struct {
	RequestsPerS float64 `toml:"rps"`        // requests per second
	MaxListLagS  float64 `toml:"list_lag_s"` // seconds by which its list may lag
}

// MachineLimits are the limits of the machine that the controller runs on.
type MachineLimits struct {
	CPU        float64 `toml:"cpu"`         // cores
	MemoryMiB  float64 `toml:"ram_mb"`      // MiB
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
func (s *Settings) WriteLimits() StoreLimits {
	limits := s.Cluster.Store.StoreLimits
	next := s.Cluster.Store.Announced
	if next == nil {
		return limits
	}
	if next.RequestsPerS > 0 {
		limits.RequestsPerS = min(limits.RequestsPerS, next.RequestsPerS)
	}
	if next.WritesPerS > 0 {
		limits.WritesPerS = min(limits.WritesPerS, next.WritesPerS)
	}
	if next.MaxValueKiB > 0 {
		limits.MaxValueKiB = min(limits.MaxValueKiB, next.MaxValueKiB)
	}
	if next.MaxTxnWrites > 0 {
		limits.MaxTxnWrites = min(limits.MaxTxnWrites, next.MaxTxnWrites)
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
