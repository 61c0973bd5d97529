package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// dialLatency is how long a connection takes to be set up.
const dialLatency = time.Millisecond

var (
	errRefused      = errors.New("connection refused")
	errAddressInUse = errors.New("address in use")
	// errLinkCut is returned for a link that is cut, and not passed on to dialers.
	errLinkCut = errors.New("link is cut")
)

// Network is a network in memory. Hosts on it can be switched off, and pairs of them cut off
// from each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener  // by address
	hosts     map[string]*Host      // by name
	cutLinks  map[directedLink]bool // both directions of each pair
	// messageCost is the processor time that a message takes on a host, by name.
	messageCost map[string]time.Duration
}

// directedLink is one direction between two hosts.
type directedLink struct{ from, to string }

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners:   map[string]*listener{},
		hosts:       map[string]*Host{},
		cutLinks:    map[directedLink]bool{},
		messageCost: map[string]time.Duration{},
	}
}

// Host is one machine's access to the network; it implements transport.Net.
type Host struct {
	network     *Network
	name        string
	isShutDown  bool
	connections map[*connection]bool // their ends here and at the other host
	// processor is full while the host's processor works on a message.
	processor chan struct{}
}

// Host adds a machine to the network. It replaces one of the same name.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	host := &Host{
		network:     n,
		name:        name,
		connections: map[*connection]bool{},
		processor:   make(chan struct{}, 1),
	}
	n.hosts[name] = host
	return host
}

// SetLinkCut cuts two hosts off from each other, or restores their link. Their connections are reset,
// and new ones hang until the dialer gives up.
func (n *Network) SetLinkCut(a, b string, cut bool) {
	for _, c := range n.updateCutLinks(a, b, cut) {
		c.reset()
	}
}

// updateCutLinks cuts or restores a link, and returns the connections that are to be reset.
func (n *Network) updateCutLinks(a, b string, cut bool) []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[directedLink{from: a, to: b}] = cut
	n.cutLinks[directedLink{from: b, to: a}] = cut
	host := n.hosts[a]
	if !cut || host == nil {
		return nil
	}
	var connections []*connection
	for c := range host.connections {
		if c.dialer.name == b || c.acceptor.name == b {
			connections = append(connections, c)
		}
	}
	return connections
}

// Shutdown resets all of the host's connections. It accepts and dials no more.
func (h *Host) Shutdown() {
	for _, c := range h.refuseConnections() {
		c.reset()
	}
}

// refuseConnections closes the host's listeners, and returns the connections that are to be reset.
func (h *Host) refuseConnections() []*connection {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.isShutDown = true
	var connections []*connection
	for c := range h.connections {
		connections = append(connections, c)
	}
	for address, l := range h.network.listeners {
		if l.host == h {
			delete(h.network.listeners, address)
			l.stopAccepting()
		}
	}
	return connections
}

// Dial connects to an address.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	latency := time.NewTimer(dialLatency)
	defer latency.Stop()
	select {
	case <-latency.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialed, err := h.connect(address)
	if errors.Is(err, errLinkCut) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	select {
	case dialed.listener.incoming <- dialed.acceptorEnd:
		return dialed.dialerEnd, nil
	case <-dialed.listener.done:
	case <-ctx.Done():
	}
	dialed.dialerEnd.reset()
	dialed.acceptorEnd.reset()
	return nil, errRefused
}

// pendingConnection is a connection that is not accepted yet.
type pendingConnection struct {
	listener               *listener
	dialerEnd, acceptorEnd *connection
}

// connect makes a connection to the listener at an address, unless the link to its host is cut.
func (h *Host) connect(address string) (*pendingConnection, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := h.network.listeners[address]
	if h.isShutDown || l == nil {
		return nil, errRefused
	}
	if h.network.cutLinks[directedLink{from: h.name, to: l.host.name}] {
		return nil, errLinkCut
	}
	dialerPipe, acceptorPipe := net.Pipe()
	dialed := &pendingConnection{
		listener:    l,
		dialerEnd:   newConnection(dialerPipe, h, l.host, h),
		acceptorEnd: newConnection(acceptorPipe, h, l.host, l.host),
	}
	for _, end := range []*connection{dialed.dialerEnd, dialed.acceptorEnd} {
		h.connections[end] = true
		l.host.connections[end] = true
	}
	return dialed, nil
}

// Listen accepts connections at an address.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.isShutDown {
		return nil, errRefused
	}
	if h.network.listeners[address] != nil {
		return nil, errAddressInUse
	}
	l := &listener{
		host:     h,
		address:  address,
		incoming: make(chan net.Conn),
		done:     make(chan struct{}),
	}
	h.network.listeners[address] = l
	return l, nil
}

// listener accepts the connections that are dialed to an address.
type listener struct {
	host      *Host
	address   string
	incoming  chan net.Conn
	done      chan struct{} // closed when no more connections are accepted
	closeOnce sync.Once     // closes done
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	network := l.host.network
	network.mu.Lock()
	if network.listeners[l.address] == l {
		delete(network.listeners, l.address)
	}
	network.mu.Unlock()
	l.stopAccepting()
	return nil
}

func (l *listener) stopAccepting() {
	l.closeOnce.Do(func() { close(l.done) })
}

// Addr returns the address that the listener accepts connections at.
func (l *listener) Addr() net.Addr { return memoryAddr(l.address) }

// memoryAddr is the address of a listener, or the name of a host, as a net.Addr.
type memoryAddr string

// Network returns the name of the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
