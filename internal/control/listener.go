package control

import (
	"net"
	"sync"
	"time"
)

// extraConnections are those beyond two for each session: of operators and of nodes that ask for owners.
const extraConnections = 256

// refusalTimeout bounds the writing of a refusal.
const refusalTimeout = 100 * time.Millisecond

// refusal is the answer to a connection beyond the bound.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedListener bounds the open connections. One beyond the bound is answered with 503 and closed.
type boundedListener struct {
	net.Listener
	places chan struct{}
}

func newBoundedListener(listener net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: listener, places: make(chan struct{}, most)}
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
			refuse(connection)
		}
	}
}

func refuse(connection net.Conn) {
	_ = connection.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = connection.Write([]byte(refusal))
	_ = connection.Close()
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
