package emulator

import "time"

// RequestFault is the fault that an emulated service applies to one request.
type RequestFault int

// Values of RequestFault.
const (
	// NoFault executes the request and sends its response.
	NoFault RequestFault = iota
	// LoseResponse executes the request, and closes the connection without a response.
	LoseResponse
	// ExecuteLate closes the connection without a response, and executes the request after a
	// delay.
	ExecuteLate
	// RefuseRequest answers 503 without executing the request.
	RefuseRequest
)

// storeFaults holds the faults that are active in a key-value store.
type storeFaults struct {
	down bool // all requests are answered 503, and no lease expires
	// refusedRequests has the number of refused requests of each host that is refused now.
	refusedRequests map[string]int
	responseDelay   time.Duration
	watchesStalled  bool // watches get no response; other requests are served
	listsRefused    bool // listings are answered 429; other requests are served
}

// SetDown starts or ends an outage, during which every request is answered 503. The end of an
// outage renews every lease.
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

// RefuseHost starts or stops answering 503 to all requests of one host. Other hosts are served, and
// the leases of the refused host expire.
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

// RefusedRequests returns how many requests of a host have been refused since RefuseHost began to
// refuse it; 0 if the host is not refused.
func (s *KeyValueStore) RefusedRequests(host string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.refusedRequests[host]
}

// SetResponseDelay delays every response from now on by d. Requests are still executed on arrival.
func (s *KeyValueStore) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responseDelay = d
}

// StallWatches starts or stops withholding the responses to watches.
func (s *KeyValueStore) StallWatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesStalled = on
}

// RefuseLists starts or stops answering listings with 429, as if they exceeded a rate limit. Other
// requests are served.
func (s *KeyValueStore) RefuseLists(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.listsRefused = on
}

// refusesHost reports whether RefuseHost has been called to refuse this host. The lock must be
// held.
func (s *KeyValueStore) refusesHost(host string) bool {
	_, refused := s.faults.refusedRequests[host]
	return refused
}

// serves reports whether requests of a host are served, which is the case if there is no outage
// and the host is not refused. The lock must be held.
func (s *KeyValueStore) serves(host string) bool {
	return !s.faults.down && !s.refusesHost(host)
}
