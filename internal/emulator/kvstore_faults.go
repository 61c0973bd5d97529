package emulator

import "time"

// RequestFault is what happens to one request to an emulated system.
type RequestFault int

// The faults of requests.
const (
	NoFault       RequestFault = iota
	LoseResponse               // executed, but not answered
	ExecuteLate                // not answered, and executed after a delay
	RefuseRequest              // answered 503, and not executed
)

// storeFaults are the faults of a key-value store that are switched on.
type storeFaults struct {
	down            bool           // all requests are refused, and no lease expires
	refusedRequests map[string]int // requests refused of each host that is refused alone
	responseDelay   time.Duration
	watchesStalled  bool // watches get no answer, while everything else is served
	listsRefused    bool // listings are refused, while everything else is served
}

// SetDown starts or ends an outage. At its end every lease is renewed.
func (s *KeyValueStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down && !down {
		for id := range s.leases {
			s.renewLease(id)
		}
	}
	s.faults.down = down
}

// RefuseHost refuses all requests of a host while the others are served; its leases expire.
func (s *KeyValueStore) RefuseHost(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !refuse {
		delete(s.faults.refusedRequests, host)
		return
	}
	if !s.refusesHost(host) {
		s.faults.refusedRequests[host] = 0
	}
}

// RefusedRequests counts the requests of a host that have been refused since RefuseHost.
func (s *KeyValueStore) RefusedRequests(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.refusedRequests[host]
}

// SetResponseDelay delays every response; requests are executed at once.
func (s *KeyValueStore) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responseDelay = d
}

// StallWatches keeps watches from being answered, or lets them be answered again.
func (s *KeyValueStore) StallWatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesStalled = on
}

// RefuseLists answers listings with 429, as over a rate limit, while all else is served.
func (s *KeyValueStore) RefuseLists(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.listsRefused = on
}

// refusesHost reports whether a host is refused alone. The lock must be held.
func (s *KeyValueStore) refusesHost(host string) bool {
	_, refused := s.faults.refusedRequests[host]
	return refused
}

// serves reports whether a host's requests are served. The lock must be held.
func (s *KeyValueStore) serves(host string) bool {
	return !s.faults.down && !s.refusesHost(host)
}
