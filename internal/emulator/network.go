package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// dialLatency is the time that Dial takes to set up a connection.
const dialLatency = time.Millisecond

var (
	errRefused      = errors.New("connection refused")
	errAddressInUse = errors.New("address already in use")
	// errLinkCut is internal to this package: Dial does not return it, but blocks until its
	// context ends, as on a network that drops packets.
	errLinkCut = errors.New("link is cut")
)

// Network is an in-memory network. Its hosts can be shut down, and the link between any two of
// them can be cut.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener  // by address
	hosts     map[string]*Host      // by name
	cutLinks  map[directedLink]bool // true for both directions of a cut link
	// messageCost is the processor time that each message sent or received takes on a host, by
	// the host's name.
	messageCost map[string]time.Duration
}

// directedLink is one direction of the link between two hosts.
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

// Host is a machine on the network. It implements transport.Net.
type Host struct {
	network     *Network
	name        string
	isShutDown  bool
	connections map[*connection]bool // both ends of each connection of this host
	// processor is a semaphore of one slot, which is held while the host processes a message.
	processor chan struct{}
}

// Host adds a host to the network and returns it. It replaces any host of the same name.
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

// SetLinkCut cuts or restores the link between hosts a and b in both directions. A cut resets the
// connections over the link. While the link is cut, Dial blocks until its context ends.
func (n *Network) SetLinkCut(a, b string, cut bool) {
	for _, c := range n.updateCutLinks(a, b, cut) {
		c.reset()
	}
}

// updateCutLinks records that a link is cut or restored, and returns the connections that the
// caller must reset.
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

// Shutdown resets all of the host's connections. From then on the host neither accepts nor dials
// connections.
func (h *Host) Shutdown() {
	for _, c := range h.refuseConnections() {
		c.reset()
	}
}

// refuseConnections has the host refuse new connections, closes its listeners, and returns the
// open connections, which the caller must reset.
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

// Dial connects to the listener at an address. It returns errRefused if nothing listens there, if
// this host is shut down, or if the connection is not accepted before ctx ends. If the link is cut,
// Dial blocks until ctx ends and returns ctx.Err().
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

// pendingConnection is a connection that has been dialed and not yet accepted.
type pendingConnection struct {
	listener               *listener
	dialerEnd, acceptorEnd *connection
}

// connect creates a connection to the listener at an address. It returns errRefused if nothing
// listens there or the dialing host is shut down, and errLinkCut if the link is cut.
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

// Listen returns a listener at an address, which stays in use until the listener is closed or the
// host is shut down.
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

// listener accepts the connections that are dialed to its address. It implements net.Listener.
type listener struct {
	host      *Host
	address   string
	incoming  chan net.Conn
	done      chan struct{} // closed when no more connections are accepted
	closeOnce sync.Once     // closes done
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections and frees the address.
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

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return memoryAddr(l.address) }

// memoryAddr implements net.Addr: it is the address of a listener, or the name of a host.
type memoryAddr string

// Network returns "memory", the network name that net.Addr requires.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
