package emulator

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	// maxBufferedWrites is the capacity of a connection's send buffer, in calls of Write.
	maxBufferedWrites = 1024
	// flushTimeout is the time after Close during which the other end can still read what is
	// buffered.
	flushTimeout = 5 * time.Second
)

// connection is one end of a connection between two hosts. As with a kernel's send buffer, Write
// returns once the data is buffered, so that the writer continues while the other end is frozen.
type connection struct {
	net.Conn
	dialer, acceptor *Host // the hosts of both ends
	localHost        *Host // the host of this end
	outgoing         chan []byte
	closed           chan struct{}
	closeOnce        sync.Once // closes closed
}

// newConnection returns the end of a connection at localHost, which is either the dialer or the
// acceptor, and starts sending what is written to it.
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

// sendBuffered sends buffered writes until the connection is closed and the buffer is empty. Each
// write occupies the host's processor.
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
			closed = nil // a nil channel blocks, so that only buffered writes are received
		}
	}
}

// Read reads from the other end. Each call occupies the host's processor.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.localHost.useProcessor()
	return n, err
}

// Write adds a copy of b to the send buffer, and blocks while the buffer is full. It returns
// net.ErrClosed after Close.
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

// RemoteAddr returns the name of the host at the other end.
func (c *connection) RemoteAddr() net.Addr {
	if c.localHost == c.dialer {
		return memoryAddr(c.acceptor.name)
	}
	return memoryAddr(c.dialer.name)
}

// Close closes the connection. The other end can read what is buffered until flushTimeout has
// passed.
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

// reset closes the connection at once and discards what is buffered.
func (c *connection) reset() {
	_ = c.Close()
	_ = c.Conn.Close()
}
