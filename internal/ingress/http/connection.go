package httpingress

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// clientConn is one connection of a client. The listener's mutex guards its fields.
type clientConn struct {
	net.Conn
	listener *Listener
	receiver receiver
	// prefixSent is set while answerPrefix of the next answer has been sent already. Only the server's goroutine uses it.
	prefixSent bool
	since      time.Time
	list       *list.List // of the listener that it is in, nil while it can't be retired
	element    *list.Element
	idling     bool // every request of which a byte was read has its answer
	ahead      bool // bytes beyond the request that the server has read or is answering were read
	buffered   bool // these bytes came together with that request
	retired    bool // it closes when it is idle and nothing more is there, or with the next answer
	closed     bool
}

// move moves the connection to another list of the listener, or to none.
func (c *clientConn) move(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.element = to, nil
	if to != nil {
		c.element = to.PushBack(c)
	}
}

// retire makes a connection give way. If it is idle it has a reader, or will soon: that is woken, and closes it unless it
// finds a request after all.
func (c *clientConn) retire() {
	if !c.retired {
		c.retired = true
		c.listener.retired++
	}
	c.move(nil)
	if c.idling {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection
	}
}

// readSocket reads from the connection itself. It counts the first byte as the start of a request. A connection that is retired, or whose time-out has passed without
// a byte, ends here and nowhere else, after a last read without waiting: what has arrived by then is served.
func (c *clientConn) readSocket(b []byte) (int, error) {
	if c.retiredAndIdle() {
		return c.lastRead(b, io.EOF)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requestStarted()
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.lastRead(b, err)
	}
	return n, err
}

// retiredAndIdle reports whether the connection has to close.
func (c *clientConn) retiredAndIdle() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.retired && c.idling
}

// lastRead reads what is there, without waiting, if the connection is idle, or returns the error end.
func (c *clientConn) lastRead(b []byte, end error) (int, error) {
	c.listener.mu.Lock()
	idling := c.idling
	c.listener.mu.Unlock()
	t, ok := c.Conn.(*net.TCPConn)
	if !idling || !ok {
		return 0, end
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, end
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), b) }); err != nil || n <= 0 {
		return 0, end
	}
	// The time-out of this request, in place of the one that has passed.
	if err := c.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return 0, end
	}
	c.requestStarted()
	return n, nil
}

// requestStarted records that bytes of a request were read.
func (c *clientConn) requestStarted() {
	_ = atRead.At()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.busy()
}

// setAhead records whether bytes of a request were read beyond the one that the server has read or is answering. They are
// buffered if they came together with that one.
func (c *clientConn) setAhead(ahead, buffered bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.ahead, c.buffered = ahead, buffered
	if ahead {
		c.busy()
	}
}

// busy takes the connection out of the lists of those that may be retired. The caller has the lock.
func (c *clientConn) busy() {
	if c.idling = false; !c.closed {
		c.move(nil)
	}
	c.listener.changed.Broadcast()
}

// serving records that a request is being answered, also one from the server's buffer, and reports whether its answer
// has to close the connection.
func (c *clientConn) serving() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.idling && c.retired { // the reader was woken though a request was buffered
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	c.busy()
	return c.retired
}

// idle records that a request has been answered. If the next one is in the buffer, the connection is not idle, but it may be
// retired until that is served.
func (c *clientConn) idle() {
	c.listener.mu.Lock()
	if !c.closed && (!c.ahead || c.buffered) {
		c.idling = !c.ahead
		if !c.retired {
			c.move(c.listener.idle)
			c.listener.retireOverMemory(c.listener.idle, idleConnBytes)
		}
	}
	c.listener.mu.Unlock()
	_ = atRest.At()
}

// CloseWrite lets net/http shut down the sending side before it closes.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection, and removes it from the listener once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.listener.count--
		delete(c.listener.all, c)
		if c.retired {
			c.listener.retired--
		}
		c.move(nil)
		c.receiver.memory.close()
		c.listener.checkEnded()
		c.listener.changed.Broadcast()
	}
	return err
}
