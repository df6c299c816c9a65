package httpingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"
	"wingmount/internal/failpoint"
)

const (
	// headerTimeout and requestTimeout bound how long a client may take to send its request: a bad client's connection
	// has to end within 3 s of connecting.
	headerTimeout  = 2 * time.Second
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection may be idle between requests. Clients keep theirs open, and notice only at the
	// next use that one was closed.
	idleTimeout = time.Minute
	// crowdedFraction is the fraction of the connection limit from which on each answer closes its connection: a client
	// that is notified knows at once, and so does a proxy between it and the node.
	crowdedFraction = 0.5
	maxHeaderBytes  = 16 << 10
	// silenceGrace is how long a new connection without a byte is not closed in favour of others.
	silenceGrace = 250 * time.Millisecond
)

// Failure points where the order of events matters: bytes of a client have been read and not been counted, and a
// connection is idle that may have more to read.
var (
	atRead = failpoint.New("front/http/after-read")
	atRest = failpoint.New("front/http/at-rest")
)

// Server serves a handler on the connections of a [Listener]. It never closes a connection during a request of which it
// has read a byte, unless the request's time-out has passed: a connection that has to give way, for another one or for a
// shutdown, is retired, and its own reader closes it when there is nothing more to read.
//
// http.Server.Shutdown would close idle connections from outside, and lose a request that was read meanwhile.
type Server struct {
	http     *http.Server
	listener *Listener
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewServer returns a server on a listener.
func NewServer(l *Listener, h http.Handler, log *slog.Logger) *Server {
	closing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*clientConn)
		if ok && c.clientHasLeft(r) {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if ok && (c.serving() || c.receiver.unbounded) || l.crowded() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
	return &Server{listener: l, http: &http.Server{
		Handler: closing, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Clients that send malformed requests must not cost a log line each.
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*clientConn); ok && s == http.StateIdle {
				c.idle()
			}
		},
	}}
}

// Serve serves clients until the listener closes. It returns the listener's error.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Stop accepts no more connections, closes idle ones, and waits until each open request has its answer, which closes its
// connection. When the context ends it closes what is left, and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.listener.Close()
	ended := s.listener.drain()
	select {
	case <-ended:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	return errors.Join(err, s.Close())
}

// Close closes all connections at once.
func (s *Server) Close() error {
	err := s.http.Close()
	s.listener.abort()
	if errors.Is(err, net.ErrClosed) { // the listener, by Stop
		return nil
	}
	return err
}
