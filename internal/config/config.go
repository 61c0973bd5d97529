// Package config loads the settings file written by the platform and the policy script written by
// operators.
package config

import (
	"errors"
	"fmt"
	"os"
)

// Settings is the configuration that the platform provides to one controller.
type Settings struct {
	Node       string    `toml:"node"`
	Zone       string    `toml:"zone"`
	PublicAddr string    `toml:"public_addr"` // host:port for users and workers
	PeerAddr   string    `toml:"mesh_addr"`   // host:port for the other controllers
	Members    []Member  `toml:"members"`
	Endpoints  Endpoints `toml:"outside"`
	Cluster    Cluster   `toml:"cluster"`
	// IgnoredKeys are the keys of the file that may have been meant as settings.
	IgnoredKeys []IgnoredKey `toml:"-"`
}

// Member is another controller of the cluster.
type Member struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"addr"` // host:port for calls between controllers
}

// Endpoints has the addresses, as host:port, of the external services that controllers use.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"` // the key-value store
}

// Cluster has the settings that are the same for all controllers.
type Cluster struct {
	ControllerCount int      `toml:"count"` // number of controllers, including this one
	Zones           []string `toml:"zones"`
	// ClockErrorMS bounds the error of the time of day. No lease or deadline depends on the time
	// of day of two hosts, so nothing has to allow for it.
	ClockErrorMS     float64       `toml:"clock_error_ms"`
	Teams            []Team        `toml:"teams"`
	WorkerTiming     WorkerTiming  `toml:"workers"`
	Store            Store         `toml:"state"`
	Cloud            Cloud         `toml:"cloud"`
	ControllerLimits MachineLimits `toml:"machine_limits"`
}

// Team is the quota of a team: the guaranteed and the maximum amounts of CPUs and GPUs. A guarantee
// of 0 means no guarantee, a maximum of 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed CPU cores
	MaxCPUs float64 `toml:"cpus_max"` // maximum CPU cores
	GPUs    float64 `toml:"gpus"`     // guaranteed GPUs
	MaxGPUs float64 `toml:"gpus_max"` // maximum GPUs
}

// WorkerTiming has the intervals and timeouts that workers use, in seconds.
type WorkerTiming struct {
	// HeartbeatIntervalS is the time between two heartbeats.
	HeartbeatIntervalS float64 `toml:"report_s"`
	// LeaseDurationS is the time after the last answered heartbeat at which a worker kills its
	// tasks.
	LeaseDurationS float64 `toml:"lease_s"`
	// GangWaitTimeoutS is the time that a task waits for the other tasks of its gang.
	GangWaitTimeoutS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is the time after which a task exits because another task of its gang was
	// lost.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
	// CancelDeadlineS is the time within which the tasks of a cancelled job must stop.
	CancelDeadlineS float64 `toml:"cancel_s"`
}

// Store has the current and the announced limits of the key-value store.
type Store struct {
	StoreLimits
	// Announced has the limits that will apply from an unknown later time. It is nil if no
	// change is announced. A value of 0 means that the limit does not change.
	Announced *StoreLimits `toml:"next"`
}

// StoreLimits has the limits that the key-value store enforces.
type StoreLimits struct {
	RequestsPerS float64 `toml:"rps"`       // maximum requests per second
	WritesPerS   float64 `toml:"write_rps"` // maximum puts and deletes per second
	MaxValueKiB  float64 `toml:"value_kb"`  // maximum size of a value, in KiB
	MaxTxnWrites int     `toml:"txn_ops"`   // maximum puts and deletes in a transaction
}

// Cloud has the limits of the cloud's API.
type Cloud struct {
	RequestsPerS float64 `toml:"rps"`        // maximum requests per second
	MaxListLagS  float64 `toml:"list_lag_s"` // maximum age of the list of machines, in seconds
}

// MachineLimits has the resource limits of the machine that the controller runs on.
type MachineLimits struct {
	CPU        float64 `toml:"cpu"`         // CPU cores
	MemoryMiB  float64 `toml:"ram_mb"`      // memory, in MiB
	MaxSockets int     `toml:"max_sockets"` // maximum number of open sockets
}

// Error reports an invalid key of a settings file or an invalid variable of a policy script.
type Error struct {
	File    string
	Key     string
	Problem string
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Problem) }

// Load reads and validates a settings file. It ignores unknown keys because newer versions of the
// platform may add keys; names are compared exactly. It returns an *Error if a key is missing or
// invalid.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := decodeSettings(string(text))
	if problem, ok := errors.AsType[*Error](err); ok {
		problem.File = path
		return nil, problem
	}
	if err != nil {
		return nil, fmt.Errorf("parsing settings file %s: %w", path, err)
	}
	if problem := settings.validate(); problem != nil {
		problem.File = path
		problem.Problem += settings.nearNameHint(problem.Key)
		return nil, problem
	}
	return settings, nil
}

// nearNameHint returns a hint if the file has the name of a setting in another case, and "" otherwise.
func (s *Settings) nearNameHint(setting string) string {
	for _, ignored := range s.IgnoredKeys {
		if ignored.Setting == setting {
			return fmt.Sprintf(" (%s is ignored: names are compared exactly)", ignored.Key)
		}
	}
	return ""
}

// WriteLimits returns the limits that requests to the key-value store must keep to. Each is the
// lower of the current and the announced limit, because the announced limits may take effect at any
// time.
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

// Team returns the settings of the team with the given name. ok is false if there is no such team.
func (s *Settings) Team(name string) (team Team, ok bool) {
	for _, team := range s.Cluster.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
