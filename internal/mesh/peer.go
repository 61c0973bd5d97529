package mesh

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"ambersill/internal/config"
	"ambersill/internal/transport"
)

// silentLimit is how long a connection may leave calls unanswered before it is dropped.
// A busy peer answers late, and connecting anew would only add to its work.
const silentLimit = 2 * time.Second

// errTimeout: the peer did not answer within the caller's limit.
var errTimeout = errors.New("mesh: no answer in time")

// Peer is a connection to another node, made when needed.
type Peer struct {
	config.Member
	Net transport.Net

	once sync.Once
	// sending holds a place for the call that is being written: that blocks, whatever the
	// caller's limit, while the peer reads nothing.
	sending chan struct{}

	mu       sync.Mutex
	client   *rpc.Client
	answered time.Time // last answer on the connection, or when it was made
	failed   time.Time // when a call last failed, with none answered since
}

// Failing tells whether a call has failed within the given time, with none answered since.
func (p *Peer) Failing(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.failed.IsZero() && time.Since(p.failed) < within
}

// Call asks the peer. After an error the reply must not be read: a late answer may still
// be written to it.
func (p *Peer) Call(method string, args, reply any, limit time.Duration) error {
	err := p.call(method, args, reply, limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = time.Time{}
	if err != nil {
		p.failed = time.Now()
	}
	return err
}

func (p *Peer) call(method string, args, reply any, limit time.Duration) error {
	client, err := p.connect(limit)
	if err != nil {
		return err
	}
	p.once.Do(func() { p.sending = make(chan struct{}, 1) })
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case p.sending <- struct{}{}:
	case <-t.C:
		return errTimeout
	}
	done := make(chan *rpc.Call, 1)
	go func() {
		client.Go(method, args, reply, done)
		<-p.sending
	}()
	select {
	case call := <-done:
		if call.Error != nil {
			p.drop(client)
			return call.Error
		}
		p.mu.Lock()
		p.answered = time.Now()
		p.mu.Unlock()
		return nil
	case <-t.C:
		p.mu.Lock()
		silent := time.Since(p.answered) >= silentLimit
		p.mu.Unlock()
		if silent {
			p.drop(client)
		}
		return errTimeout
	}
}

// boundedConn gives a write up that the other end does not take in time.
type boundedConn struct{ net.Conn }

func (c boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(silentLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connect returns the open connection, or makes one.
func (p *Peer) connect(limit time.Duration) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	conn, err := p.Net.Dial(ctx, p.Addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		conn.Close() // another call was faster
		return p.client, nil
	}
	p.client, p.answered = rpc.NewClient(boundedConn{conn}), time.Now()
	return p.client, nil
}

func (p *Peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	client.Close()
}
