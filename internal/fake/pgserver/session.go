package pgserver

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Transaction states as ReadyForQuery has them (protocol, 'Message Formats').
const (
	statusIdle          = 'I'
	statusInTransaction = 'T'
	statusFailed        = 'E' // a transaction that can only be rolled back
)

// session is one connection. It belongs to one goroutine, except for what comments name.
type session struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	processID uint32
	secretKey []byte // for cancel
	status    byte   // of the transaction
	db        *database

	application string // guarded by server.mu

	statements map[string]*statement // by name
	portals    map[string]*portal    // by name

	mu              sync.Mutex
	cancelStatement context.CancelFunc // of the statement that runs, nil for none; guarded by mu
}

// statement is a prepared statement.
type statement struct {
	text          string
	parameterOIDs []uint32
	columns       []pgproto3.FieldDescription
}

// portal is a statement with its parameters.
type portal struct {
	*statement
	values        []any
	resultFormats []int16
}

// run serves the connection: startup, then messages until it ends.
func (x *session) run(rejecting bool) error {
	if err := x.startup(rejecting); err != nil {
		return err
	}
	db, err := openDatabase(x.server.config.Path, x.server.config.Now)
	if err != nil {
		return err
	}
	x.db = db
	defer db.close() // rolls back a transaction that is open
	if err := x.sendReady(); err != nil {
		return err
	}
	skipping := false // after an error, until Sync (protocol, 'Extended Query')
	for {
		message, err := x.backend.Receive()
		if err != nil {
			return errConnectionClosed
		}
		if _, ok := message.(*pgproto3.Sync); ok {
			skipping = false
		}
		handled, err := x.handleControl(message)
		if err != nil {
			return err
		}
		if handled || skipping {
			continue
		}
		if err := x.handleExtended(message); errors.Is(err, errConnectionClosed) {
			return err
		} else if err != nil {
			skipping = true
			x.sendError(err)
		}
	}
}

// handleControl handles a message that is not part of the extended query protocol, and reports whether it was one. After
// an error the connection ends.
func (x *session) handleControl(message pgproto3.FrontendMessage) (handled bool, err error) {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return true, errConnectionClosed
	case *pgproto3.Flush:
		if err := x.backend.Flush(); err != nil {
			return true, errConnectionClosed
		}
		return true, nil
	case *pgproto3.Query:
		x.server.roundTrips.Add(1)
		if err := x.runSimple(m.String); errors.Is(err, errConnectionClosed) {
			return true, err
		} else if err != nil {
			x.sendError(err)
		}
	case *pgproto3.Sync:
		x.server.roundTrips.Add(1)
	default:
		return false, nil
	}
	if err := x.flush(&pgproto3.ReadyForQuery{TxStatus: x.status}); err != nil {
		return true, errConnectionClosed
	}
	return true, nil
}

// interrupt cancels the statement that runs.
func (x *session) interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelStatement != nil {
		x.cancelStatement()
	}
}

// statementContext returns the context of a statement, which interrupt cancels, and a function that ends it.
func (x *session) statementContext() (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(x.server.ctx)
	x.setCancel(cancel)
	return ctx, func() {
		x.setCancel(nil)
		cancel()
	}
}

func (x *session) setCancel(cancel context.CancelFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelStatement = cancel
}

// hang sends nothing until the client or the server closes the connection.
func (x *session) hang() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, x.conn) // ends with the connection
	}()
	select {
	case <-closed:
	case <-x.server.ctx.Done():
		_ = x.conn.Close()
		<-closed
	}
}

// send buffers messages for the client.
func (x *session) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		x.backend.Send(m)
	}
}

// flush sends messages, after those that are buffered.
func (x *session) flush(messages ...pgproto3.BackendMessage) error {
	x.send(messages...)
	return x.backend.Flush()
}

// complete reports to the client that a command has completed.
func (x *session) complete(tag string) {
	x.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendError sends an error. A transaction that is open can only be rolled back then.
func (x *session) sendError(err error) {
	x.send(errorResponse(err))
	if x.status == statusInTransaction {
		x.status = statusFailed
	}
}

// sendFatal sends an error with which the connection ends.
func (x *session) sendFatal(err error) {
	response := errorResponse(err)
	response.Severity, response.SeverityUnlocalized = "FATAL", "FATAL"
	_ = x.flush(response) // the client may be gone
}
