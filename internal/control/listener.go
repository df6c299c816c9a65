package control

import (
	"io"
	"net"
	"sync"
	"time"
)

// extraConnections is the number of connections in addition to two per session: those of operators and of nodes that
// look up owners.
const extraConnections = 256

// Limits of rejections: the time for each, the bytes of its request that are read, and the number in progress.
// Connections beyond maxRejections are closed without a response.
const (
	rejectionTimeout      = 200 * time.Millisecond
	maxRejectionReadBytes = 64 << 10
	maxRejections         = 64
)

// rejection is the response to a connection above the limit.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedListener limits the number of open connections. A connection above the limit gets a 503 and is closed.
type boundedListener struct {
	net.Listener
	slots      chan struct{}
	rejections chan struct{}
}

func newBoundedListener(listener net.Listener, maxConnections int) *boundedListener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, maxConnections), rejections: make(chan struct{}, maxRejections)}
}

// Accept implements [net.Listener].
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{Conn: connection, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			l.reject(connection)
		}
	}
}

// reject starts answering a connection with 503 and returns without waiting.
func (l *boundedListener) reject(connection net.Conn) {
	select {
	case l.rejections <- struct{}{}:
		go func() {
			defer func() { <-l.rejections }()
			answerRejected(connection)
		}()
	default:
		_ = connection.Close()
	}
}

// answerRejected responds once the request has begun, since a client ignores bytes that it receives before it has sent
// any. It then reads the rest of the request, since closing with unread bytes would discard the response.
func answerRejected(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(rejectionTimeout))
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return
	}
	if _, err := connection.Write([]byte(rejection)); err != nil {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(connection, maxRejectionReadBytes)) // until the client closes
}

// boundedConn frees its slot when it is closed.
type boundedConn struct {
	net.Conn
	release func()
}

// Close implements [net.Conn].
func (c *boundedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
