package emulator

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	// maxBufferedWrites is how many writes a connection's buffer has capacity for.
	maxBufferedWrites = 1024
	// flushTimeout is how long a closed connection's buffer may take to be read.
	flushTimeout = 5 * time.Second
)

// connection is one end of a connection. Writes wait in a buffer, as in a kernel's, so that
// the writer continues while the other end is frozen.
type connection struct {
	net.Conn
	dialer, acceptor *Host // the hosts of both ends
	localHost        *Host // the host of this end
	outgoing         chan []byte
	closed           chan struct{}
	closeOnce        sync.Once // closes closed
}

// newConnection returns the end at the local host, which is the dialer or the acceptor.
func newConnection(pipe net.Conn, dialer, acceptor, localHost *Host) *connection {
	c := &connection{
		Conn:      pipe,
		dialer:    dialer,
		acceptor:  acceptor,
		localHost: localHost,
		outgoing:  make(chan []byte, maxBufferedWrites),
		closed:    make(chan struct{}),
	}
	go c.sendBuffered()
	return c
}

// sendBuffered sends what is written, and after Close what is left of it. Sending takes the
// processor of the host.
func (c *connection) sendBuffered() {
	defer func() { _ = c.Conn.Close() }()
	closed := c.closed
	isClosed := false
	for !isClosed || len(c.outgoing) > 0 {
		select {
		case message := <-c.outgoing:
			c.localHost.useProcessor()
			if _, err := c.Conn.Write(message); err != nil {
				return
			}
		case <-closed:
			isClosed = true
			closed = nil // blocks from now on, so that only messages are received
		}
	}
}

// Read receives a message, which takes the processor of the host.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.localHost.useProcessor()
	return n, err
}

// Write puts a message into the buffer.
func (c *connection) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.outgoing <- bytes.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// RemoteAddr names the host at the other end.
func (c *connection) RemoteAddr() net.Addr {
	if c.localHost == c.dialer {
		return memoryAddr(c.acceptor.name)
	}
	return memoryAddr(c.dialer.name)
}

// Close closes the connection; the other end can read what is buffered for a while.
func (c *connection) Close() error {
	c.dialer.network.mu.Lock()
	delete(c.dialer.connections, c)
	delete(c.acceptor.connections, c)
	c.dialer.network.mu.Unlock()
	c.closeOnce.Do(func() {
		close(c.closed)
		time.AfterFunc(flushTimeout, func() { _ = c.Conn.Close() })
	})
	return nil
}

// reset closes the connection, and drops what is buffered.
func (c *connection) reset() {
	_ = c.Close()
	_ = c.Conn.Close()
}
