package testcluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// proxyBuffer is the size of the buffer of one direction of a connection, in bytes.
const proxyBuffer = 32 << 10

// Proxy is a TCP path between two processes that can be cut. While it is cut the other side is silent: what was sent
// waits, and no connection closes. A connection that is opened meanwhile is accepted, and silent too, so that a cut path
// does not show what happens if a peer can't be reached. Its methods may be called by several goroutines.
type Proxy struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup // all goroutines

	mu          sync.Mutex
	joined      chan struct{} // closed while the path is not cut
	cut         bool
	closed      bool
	connections map[net.Conn]struct{}
}

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, joined: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	close(p.joined)
	p.running.Go(p.accept)
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut cuts the path, if it is not cut.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.cut {
		return
	}
	p.cut = true
	p.joined = make(chan struct{})
}

// Join ends a cut, if there is one.
func (p *Proxy) Join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join()
}

// join is Join for a caller that has locked p.mu.
func (p *Proxy) join() {
	if !p.cut {
		return
	}
	p.cut = false
	close(p.joined)
}

// Close closes the proxy and its connections, and waits for its goroutines.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.join()
	errs := []error{p.listener.Close()}
	for conn := range p.connections {
		_ = conn.Close() // it may be closed
	}
	p.mu.Unlock()
	p.running.Wait()
	return errors.Join(errs...)
}

// awaitJoined waits until the path is not cut. It reports false if the proxy is closed.
func (p *Proxy) awaitJoined() bool {
	p.mu.Lock()
	joined := p.joined
	p.mu.Unlock()
	<-joined
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed
}

// register adds a connection that Close is to close. It reports false, and closes the connection, if the proxy is closed.
func (p *Proxy) register(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close() // it is not used
		return false
	}
	p.connections[conn] = struct{}{}
	return true
}

// unregister closes a connection and removes it.
func (p *Proxy) unregister(conn net.Conn) {
	_ = conn.Close() // it may be closed
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, conn)
}

// accept serves each connection in a goroutine of its own.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.register(conn) {
			p.running.Go(func() { p.serve(conn) })
		}
	}
}

// serve connects a client with the target until one side closes its connection.
func (p *Proxy) serve(client net.Conn) {
	defer p.unregister(client)
	if !p.awaitJoined() {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.register(server) {
		return
	}
	defer p.unregister(server)
	var responses sync.WaitGroup
	responses.Go(func() { p.copy(client, server) })
	p.copy(server, client)
	responses.Wait()
}

// copy delivers what one side sends, and closes both connections after an error or the end.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if !p.awaitJoined() {
			err = io.EOF
		} else if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()   // it may be closed
			_ = from.Close() // as above
			return
		}
	}
}
