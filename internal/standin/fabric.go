package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Fabric is a network in memory. Hosts on it can be switched off, and pairs of
// them cut apart.
type Fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]*Host
	cuts      map[[2]string]bool
}

// NewFabric makes an empty network.
func NewFabric() *Fabric {
	return &Fabric{listeners: map[string]*listener{}, hosts: map[string]*Host{}, cuts: map[[2]string]bool{}}
}

// Host is one machine's access to the network; it implements transport.Net.
type Host struct {
	f     *Fabric
	name  string
	off   bool
	conns map[*conn]bool
}

type listener struct {
	host *Host
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

type conn struct {
	net.Conn
	a, b   *Host
	remote string // host at the other end
}

// RemoteAddr names the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

var errRefused = errors.New("connection refused")

// Host adds a machine to the network.
func (f *Fabric) Host(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &Host{f: f, name: name, conns: map[*conn]bool{}}
	f.hosts[name] = h
	return h
}

// Off ends all of the host's connections and takes no more.
func (h *Host) Off() {
	h.f.mu.Lock()
	h.off = true
	var all []*conn
	for c := range h.conns {
		all = append(all, c)
	}
	for a, l := range h.f.listeners {
		if l.host == h {
			delete(h.f.listeners, a)
			l.once.Do(func() { close(l.done) })
		}
	}
	h.f.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// Cut parts two hosts, or joins them again. Their connections are reset, and
// new ones hang until they are given up.
func (f *Fabric) Cut(a, b string, cut bool) {
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
		c.Close()
	}
}

func (c *conn) Close() error {
	c.a.f.mu.Lock()
	delete(c.a.conns, c)
	delete(c.b.conns, c)
	c.a.f.mu.Unlock()
	return c.Conn.Close()
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
	h.f.mu.Lock()
	l := h.f.listeners[addr]
	if h.off || l == nil {
		h.f.mu.Unlock()
		return nil, errRefused
	}
	if h.f.cuts[[2]string{h.name, l.host.name}] {
		h.f.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x, y := net.Pipe()
	cx, cy := &conn{x, h, l.host, l.host.name}, &conn{y, h, l.host, h.name}
	for _, c := range []*conn{cx, cy} {
		h.conns[c], l.host.conns[c] = true, true
	}
	h.f.mu.Unlock()
	select {
	case l.in <- cy:
		return cx, nil
	case <-l.done:
	case <-ctx.Done():
	}
	cx.Close()
	cy.Close()
	return nil, errRefused
}

// Listen takes connections at an address.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.off {
		return nil, errRefused
	}
	if h.f.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{host: h, addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
	h.f.listeners[addr] = l
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
	l.host.f.mu.Lock()
	if l.host.f.listeners[l.addr] == l {
		delete(l.host.f.listeners, l.addr)
	}
	l.host.f.mu.Unlock()
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
