package httpingress

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

// Listener bounds the connections of clients. When one more comes it retires another: first the oldest one that has never
// sent a byte, then the one that has been idle for longest. So clients that connect and send nothing can't exclude
// others. If all have a request open, the one whose request has been arriving for longest gives way.
type Listener struct {
	net.Listener
	limit  int
	memory *requestMemory // of requests that are being received

	start     sync.Once        // of run
	ready     chan *clientConn // with a complete request
	failures  chan error       // of the inner listener
	receiving sync.WaitGroup   // of first requests
	aborted   chan struct{}    // closed by abort

	mu       sync.Mutex
	changed  *sync.Cond // broadcast when a retired connection has closed, or serves a request after all
	count    int
	retired  int        // of them
	silent   *list.List // of *clientConn that have sent nothing yet, the oldest first
	idle     *list.List // between requests, the longest idle first
	all      map[*clientConn]struct{}
	stopping bool
	ended    chan struct{} // closed when stopping and no connection is left
}

// NewListener returns a listener with at most limit connections, whose requests have at most so many bytes of memory while
// they are received; 0 for a default.
func NewListener(l net.Listener, limit int, memoryBytes int64) *Listener {
	k := &Listener{
		Listener: l, limit: max(1, limit), memory: newRequestMemory(memoryBytes), silent: list.New(), idle: list.New(),
		all: map[*clientConn]struct{}{}, ended: make(chan struct{}),
		ready: make(chan *clientConn), failures: make(chan error), aborted: make(chan struct{}),
	}
	k.changed = sync.NewCond(&k.mu)
	return k
}

// crowded reports whether so many connections are open that each answer closes its own.
func (l *Listener) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count > int(crowdedFraction*float64(l.limit))
}

// Accept waits for the next connection with a complete request. After the listener was closed it returns the connections
// whose requests were in progress, and then the error.
func (l *Listener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.run() })
	select {
	case c := <-l.ready:
		return c, nil
	case err := <-l.failures:
		return nil, err
	case <-l.aborted:
		return nil, net.ErrClosed
	}
}

// run accepts connections until the listener is closed, and receives the first request of each.
func (l *Listener) run() {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.receiveFirst(conn)
			continue
		}
		closed := errors.Is(err, net.ErrClosed)
		if closed {
			l.receiving.Wait()
		}
		select {
		case l.failures <- err: // the server waits before it accepts again
		case <-l.aborted:
			return
		}
		if closed {
			return
		}
	}
}

// receiveFirst receives the first request of a connection, and passes the connection to Accept.
func (l *Listener) receiveFirst(conn net.Conn) {
	c := l.admit(conn)
	if c == nil {
		_ = conn.Close() // all others have a request open
		return
	}
	l.receiving.Go(func() {
		if !c.receiveFirst() {
			_ = c.Close() // it has sent nothing, or has its answer
			return
		}
		select {
		case l.ready <- c:
		case <-l.aborted:
			_ = c.Close()
		}
	})
}

// receiveFirst receives the first request of the connection. It returns false if the server has nothing to read.
func (c *clientConn) receiveFirst() bool {
	if c.SetReadDeadline(c.since.Add(headerTimeout)) != nil {
		return false
	}
	c.receive(c.since)
	return c.receiver.end > 0
}

// abort closes all connections, also those that Accept has not returned yet.
func (l *Listener) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.aborted:
		return
	default:
	}
	close(l.aborted)
	for c := range l.all {
		_ = c.Conn.Close() // its reader removes it
	}
}

// admit adds a connection once the limit allows it. If no other connection can be retired, one gives way whose request has
// been arriving for long. It returns nil if there is none, or if the one that gives way has an open request that takes longer than it may take to persist a message.
func (l *Listener) admit(conn net.Conn) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= l.limit {
		until := time.Now().Add(persistTimeout)
		late := time.AfterFunc(persistTimeout, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.changed.Broadcast()
		})
		defer late.Stop()
		for chosen := (*clientConn)(nil); l.count >= l.limit; l.changed.Wait() {
			if chosen != nil && chosen.idling && !chosen.closed { // its reader closes it, or finds a request
				continue
			}
			if chosen = l.leastNeeded(); chosen != nil {
				chosen.retire()
				continue
			}
			if evicted := l.memory.evictOne(); !evicted && l.retired == 0 || !time.Now().Before(until) {
				return nil
			}
		}
	}
	c := &clientConn{Conn: conn, listener: l, since: time.Now(), idling: true}
	c.receiver.memory = requestBytes{memory: l.memory, evict: func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }}
	c.list, c.element = l.silent, l.silent.PushBack(c)
	l.count++
	l.all[c] = struct{}{}
	l.retireOverMemory(l.silent, silentConnBytes)
	if l.stopping {
		c.retire()
	}
	return c
}

// retireOverMemory retires the oldest connections of a list that together need more memory than connections without a
// request may have. The caller has the lock.
func (l *Listener) retireOverMemory(conns *list.List, connBytes int) {
	for float64(conns.Len()*connBytes) > idleConnShare*float64(l.memory.limit) {
		conns.Front().Value.(*clientConn).retire()
	}
}

// leastNeeded returns the connection to retire, nil if none is idle.
func (l *Listener) leastNeeded() *clientConn {
	e := l.silent.Front()
	if e == nil || time.Since(e.Value.(*clientConn).since) < silenceGrace && l.idle.Len() > 0 {
		e = l.idle.Front()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*clientConn)
}

// drain retires all connections, and returns a channel that is closed when all have closed.
func (l *Listener) drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		l.stopping = true
		for c := range l.all {
			c.retire()
		}
		l.checkEnded()
	}
	return l.ended
}

// checkEnded closes ended when the last connection has closed after a drain. The caller has the lock.
func (l *Listener) checkEnded() {
	if l.stopping && l.count == 0 {
		select {
		case <-l.ended:
		default:
			close(l.ended)
		}
	}
}
