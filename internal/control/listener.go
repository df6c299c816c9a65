package control

import (
	"io"
	"net"
	"sync"
	"time"
)

// extraConnections are those beyond two for each session: of operators and of nodes that ask for owners.
const extraConnections = 256

// The bounds of refusals: how long one may take, how much of a request is read for it, and how many are under way.
// Further connections are closed without an answer.
const (
	refusalTimeout = 200 * time.Millisecond
	refusalBytes   = 64 << 10
	maxRefusals    = 64
)

// refusal is the answer to a connection beyond the bound.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedListener bounds the open connections. One beyond the bound is answered with 503 and closed.
type boundedListener struct {
	net.Listener
	places   chan struct{}
	refusals chan struct{}
}

func newBoundedListener(listener net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: listener, places: make(chan struct{}, most), refusals: make(chan struct{}, maxRefusals)}
}

// Accept implements [net.Listener].
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &boundedConn{Conn: connection, leave: sync.OnceFunc(func() { <-l.places })}, nil
		default:
			l.refuse(connection)
		}
	}
}

// refuse answers a connection with 503, without waiting for it.
func (l *boundedListener) refuse(connection net.Conn) {
	select {
	case l.refusals <- struct{}{}:
		go func() {
			defer func() { <-l.refusals }()
			answerRefused(connection)
		}()
	default:
		_ = connection.Close() // too many come at once
	}
}

// answerRefused answers once the request has begun to come: a client takes what comes before it has asked for no answer. What
// else it sends is read, since a close over unread bytes would take the answer with it.
func answerRefused(connection net.Conn) {
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return
	}
	if _, err := connection.Write([]byte(refusal)); err != nil {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(connection, refusalBytes)) // until the client closes
}

// boundedConn gives its place back once it is closed.
type boundedConn struct {
	net.Conn
	leave func()
}

// Close implements [net.Conn].
func (c *boundedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
