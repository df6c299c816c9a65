// Package pgserver is a fake PostgreSQL server, written from the published frontend/backend protocol, version 3: startup,
// SCRAM-SHA-256, simple and extended queries, transactions, error fields with SQLSTATE, cancel. An embedded SQLite runs
// the statements; dialect.go has the part of the dialect that is supported. Faults can be injected at named points: the
// server can be slow, hang, close connections, be full, locked or read-only.
//
// Each connection is a session with a goroutine of its own. The methods of a [Server] may be called by several
// goroutines.
//
// Start reading at [New], then session.run.
package pgserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	defaultMaxConnections = 100
	// maxMessageSize is the highest size of a message from a client, in bytes.
	maxMessageSize = 16 << 20
)

// Config describes a server.
type Config struct {
	Path           string // of the database file
	User, Password string
	MaxConnections int // 100 by default
	// Now is the server's clock, [time.Now] by default.
	Now func() time.Time
}

// Server is a running server.
type Server struct {
	config   Config
	listener net.Listener
	running  sync.WaitGroup  // all goroutines
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc

	mu            sync.Mutex
	sessions      map[uint32]*session // by process id
	lastProcessID uint32
	faults        []*injectedFault
	faultCounts   map[Point]int
	cutOff        map[string]bool // by application name, "" for all

	readOnly   atomic.Bool
	rejecting  atomic.Bool
	roundTrips atomic.Int64
}

// New starts a server on loopback.
func New(config Config) (*Server, error) {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultMaxConnections
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a fake PostgreSQL server: %w", err)
	}
	s := &Server{config: config, listener: listener, sessions: map[uint32]*session{}, faultCounts: map[Point]int{}, cutOff: map[string]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Go(s.accept)
	return s, nil
}

// URL returns how a client connects.
func (s *Server) URL() string {
	return fmt.Sprintf("postgres://%s:%s@%s/wingmount?sslmode=disable", s.config.User, s.config.Password, s.listener.Addr())
}

// Close closes all connections and the server.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.CutAll()
	s.running.Wait()
	return err
}

// CutAll closes all connections. What they run is rolled back.
func (s *Server) CutAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		_ = session.conn.Close() // it may be closed already
	}
}

// CutOff closes the connections whose application_name this is, and each new one of it until [Server.EndCutOff]. The
// name "" stands for all.
func (s *Server) CutOff(application string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[application] = true
	for _, session := range s.sessions {
		if application == "" || session.application == application {
			_ = session.conn.Close() // it may be closed already
		}
	}
}

// EndCutOff ends what [Server.CutOff] did for the same name.
func (s *Server) EndCutOff(application string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[application] = false
}

// admit sets the application name of a session, and reports whether the session may continue.
func (s *Server) admit(session *session, application string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	session.application = application
	return !s.cutOff[""] && !s.cutOff[application]
}

// SetReadOnly makes the server a standby, on which writes fail with SQLSTATE 25006, or ends that.
func (s *Server) SetReadOnly(readOnly bool) { s.readOnly.Store(readOnly) }

// SetRejecting makes the server reject connections with SQLSTATE 53300, too many connections, or ends that.
func (s *Server) SetRejecting(rejecting bool) { s.rejecting.Store(rejecting) }

// RoundTrips returns how often clients have waited for a response so far: once for each Sync and each simple query.
func (s *Server) RoundTrips() int64 { return s.roundTrips.Load() }

// accept serves each connection in a goroutine of its own.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() {
			defer func() { _ = conn.Close() }()
			s.serve(conn)
		})
	}
}

// serve runs one connection from its first byte to its end.
func (s *Server) serve(conn net.Conn) {
	session, tooMany := s.register(conn)
	defer s.unregister(session)
	session.backend.SetMaxBodyLen(maxMessageSize)
	if s.ctx.Err() != nil {
		return
	}
	if err := session.run(tooMany || s.rejecting.Load()); err != nil && !errors.Is(err, errConnectionClosed) {
		session.sendFatal(err)
	}
}

// register adds a session, and reports whether there are too many.
func (s *Server) register(conn net.Conn) (added *session, tooMany bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProcessID++
	added = &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), processID: s.lastProcessID, status: statusIdle,
		statements: map[string]*statement{}, portals: map[string]*portal{},
	}
	s.sessions[added.processID] = added
	return added, len(s.sessions) > s.config.MaxConnections
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
}

// cancelStatement interrupts what a session runs, if the secret key is its own.
func (s *Server) cancelStatement(processID uint32, key []byte) {
	s.mu.Lock()
	session := s.sessions[processID]
	s.mu.Unlock()
	if session != nil && string(session.secretKey) == string(key) {
		session.interrupt()
	}
}
