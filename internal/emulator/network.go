package emulator

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network is a network in memory. Hosts on it can be switched off, and pairs of
// them cut apart.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]*Host
	cuts      map[[2]string]bool
	// messageCost is the processor time that a message takes on a host.
	messageCost map[string]time.Duration
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, hosts: map[string]*Host{}, cuts: map[[2]string]bool{},
		messageCost: map[string]time.Duration{},
	}
}

// Host is one machine's access to the network; it implements transport.Net.
type Host struct {
	network *Network
	name    string
	off     bool
	conns   map[*conn]bool
	// processor holds a place for the message that is being worked on.
	processor chan struct{}
}

type listener struct {
	host *Host
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

// conn is one end of a connection. What is written waits in a buffer, as in a kernel's, so
// that a writer goes on while the other end stands still.
type conn struct {
	net.Conn
	a, b   *Host
	local  *Host
	remote string // host at the other end
	out    chan []byte
	done   chan struct{} // closed by Close
	once   sync.Once
}

// maxBuffered is how many writes wait in a connection's buffer.
const maxBuffered = 1024

// flushLimit is how long a closed connection's buffer may take to be read.
const flushLimit = 5 * time.Second

func newConn(end net.Conn, a, b, local, remote *Host) *conn {
	c := &conn{Conn: end, a: a, b: b, local: local, remote: remote.name, out: make(chan []byte, maxBuffered), done: make(chan struct{})}
	go c.deliver()
	return c
}

// deliver hands on what is written, and after Close what is left of it. Sending takes the
// processor of the host.
func (c *conn) deliver() {
	defer func() { _ = c.Conn.Close() }()
	for closed := false; !closed || len(c.out) > 0; {
		select {
		case b := <-c.out:
			c.local.useProcessor()
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		case <-c.closing(closed):
			closed = true
		}
	}
}

// closing is closed with the connection; nil, on which nothing is received, once that is known.
func (c *conn) closing(known bool) <-chan struct{} {
	if known {
		return nil
	}
	return c.done
}

// Read receives a message, which takes the processor of the host.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.local.useProcessor()
	return n, err
}

// Write puts a message into the buffer.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- bytes.Clone(b):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// RemoteAddr names the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

var errRefused = errors.New("connection refused")

// Host adds a machine to the network.
func (f *Network) Host(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &Host{network: f, name: name, conns: map[*conn]bool{}, processor: make(chan struct{}, 1)}
	f.hosts[name] = h
	return h
}

// Shutdown ends all of the host's connections and takes no more.
func (h *Host) Shutdown() {
	h.network.mu.Lock()
	h.off = true
	var all []*conn
	for c := range h.conns {
		all = append(all, c)
	}
	for a, l := range h.network.listeners {
		if l.host == h {
			delete(h.network.listeners, a)
			l.once.Do(func() { close(l.done) })
		}
	}
	h.network.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// Cut parts two hosts, or joins them again. Their connections are reset, and
// new ones hang until they are given up.
func (f *Network) Cut(a, b string, cut bool) {
	f.mu.Lock()
	var all []*conn
	f.cuts[[2]string{a, b}], f.cuts[[2]string{b, a}] = cut, cut
	if h := f.hosts[a]; cut && h != nil {
		for c := range h.conns {
			if c.a.name == b || c.b.name == b {
				all = append(all, c)
			}
		}
	}
	f.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

func (c *conn) Close() error {
	c.a.network.mu.Lock()
	delete(c.a.conns, c)
	delete(c.b.conns, c)
	c.a.network.mu.Unlock()
	c.once.Do(func() {
		close(c.done)
		time.AfterFunc(flushLimit, func() { _ = c.Conn.Close() })
	})
	return nil
}

// reset closes the connection, and drops what is under way.
func (c *conn) reset() {
	_ = c.Close()
	_ = c.Conn.Close()
}

// Dial connects to an address.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	t := time.NewTimer(time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	if h.off || l == nil {
		h.network.mu.Unlock()
		return nil, errRefused
	}
	if h.network.cuts[[2]string{h.name, l.host.name}] {
		h.network.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x, y := net.Pipe()
	cx, cy := newConn(x, h, l.host, h, l.host), newConn(y, h, l.host, l.host, h)
	for _, c := range []*conn{cx, cy} {
		h.conns[c], l.host.conns[c] = true, true
	}
	h.network.mu.Unlock()
	select {
	case l.in <- cy:
		return cx, nil
	case <-l.done:
	case <-ctx.Done():
	}
	cx.reset()
	cy.reset()
	return nil, errRefused
}

// Listen takes connections at an address.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.off {
		return nil, errRefused
	}
	if h.network.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{host: h, addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
	h.network.listeners[addr] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.host.network.mu.Lock()
	if l.host.network.listeners[l.addr] == l {
		delete(l.host.network.listeners, l.addr)
	}
	l.host.network.mu.Unlock()
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
