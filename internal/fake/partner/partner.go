// Package partner is a fake partner system: endpoints on loopback that accept calls as docs/operate/run.md describes
// them, fail in ways that a test chooses, and keep a ledger of every call and every effect.
//
// The methods of a [System] may be called by several goroutines, except [System.Listen], [System.MoveEndpoint] and
// [System.Close], which one goroutine at a time may call. Exported fields may be set while no call comes.
//
// Start reading at [System] and [Mode].
package partner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a partner system responds to calls.
type Mode int

// The modes.
const (
	Healthy          Mode = iota
	Unavailable           // rejects all calls with 503
	RateLimiting          // rejects all calls with 429 and a time to wait
	FailsAfterEffect      // runs the call and answers 500
	HangsAfterEffect      // runs the call and does not respond
	DropsAfterEffect      // runs the call and closes the connection
	DropsBeforeRead       // closes the connection before it reads the call
	RepeatsResponses      // runs each first call of a connection, and answers it a second time when the next one has come, which it rejects
)

const (
	// defaultRetryAfter is the time to wait in the responses of RateLimiting.
	defaultRetryAfter = 500 * time.Millisecond
	// retryAfterGrace is how long after a response with a time to wait calls may arrive that were on their way.
	retryAfterGrace = 100 * time.Millisecond
	// moveTimeout is how long outstanding calls have when their endpoint moves.
	moveTimeout = 2 * time.Second
	// headerTimeout is how long a caller may take for the header of a request.
	headerTimeout = 5 * time.Second
)

// System is one partner system, with endpoints in availability zones. Each zone drops repeats of an idempotency key.
type System struct {
	// DedupeWindow is how long a zone drops repeats of a key.
	DedupeWindow time.Duration
	// CallDuration is how long a call takes.
	CallDuration time.Duration
	// RetryAfter is the time to wait in the responses of RateLimiting.
	RetryAfter time.Duration
	// ConstantResponses makes the responses to all calls that ran equal.
	ConstantResponses bool

	responses, copies atomic.Int64
	servers           []endpointServer
	running           sync.WaitGroup

	mu           sync.Mutex
	mode         Mode
	stalledUntil time.Time                       // no call gets a response before
	limitedUntil time.Time                       // calls before are early, see RateLimiting
	keys         map[string]map[string]time.Time // by zone and key: when the dedupe window began
	ledger       Ledger
	outstanding  map[string]int          // calls by id
	calls        map[string][]CallRecord // by id
	rate         rateCounter
	hijacked     map[net.Conn]bool // open connections of RepeatsResponses
	closed       bool
}

// endpointServer is an endpoint that listens.
type endpointServer struct {
	*http.Server
	zone string
}

// Ledger is what a system has received.
type Ledger struct {
	Calls, Effects  map[string]int       // by id
	FirstEffect     map[string]time.Time // by id
	LastKey         map[string]string    // by id: the key of its last call
	ConcurrentCalls int                  // calls that came while another one of the same id was outstanding
	EarlyCalls      int                  // calls that came within the time to wait of an earlier response
}

// New returns a system without endpoints.
func New(dedupeWindow, callDuration time.Duration) *System {
	return &System{
		DedupeWindow: dedupeWindow, CallDuration: callDuration, RetryAfter: defaultRetryAfter,
		keys: map[string]map[string]time.Time{}, outstanding: map[string]int{},
		calls: map[string][]CallRecord{},
		ledger: Ledger{
			Calls: map[string]int{}, Effects: map[string]int{}, FirstEffect: map[string]time.Time{}, LastKey: map[string]string{},
		},
	}
}

// Listen starts an endpoint in a zone and returns its address.
func (s *System) Listen(zone string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("a partner's endpoint: %w", err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, zone) }),
		ReadHeaderTimeout: headerTimeout,
	}
	s.servers = append(s.servers, endpointServer{server, zone})
	s.running.Go(func() { _ = server.Serve(listener) }) // ends with Close
	return listener.Addr().String(), nil
}

// MoveEndpoint starts the endpoint of a zone at another address, which it returns, and closes the one before, which
// refuses connections from then on.
func (s *System) MoveEndpoint(zone string) (string, error) {
	address, err := s.Listen(zone)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	for _, server := range s.servers[:len(s.servers)-1] {
		if server.zone == zone {
			err = errors.Join(err, server.Shutdown(ctx))
		}
	}
	return address, err
}

// Close closes all endpoints and their connections.
func (s *System) Close() error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	s.closeHijacked()
	s.running.Wait()
	return errors.Join(errs...)
}

// SetMode changes how the system responds to calls that come from now on.
func (s *System) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Stall delays all responses until a time from now, as a pause of the partner's machine does. Calls that come meanwhile
// have their effect.
func (s *System) Stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledUntil = time.Now().Add(d)
}

// Ledger returns a copy of what the system has received.
func (s *System) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger
	ledger.Calls, ledger.Effects = maps.Clone(ledger.Calls), maps.Clone(ledger.Effects)
	ledger.FirstEffect, ledger.LastKey = maps.Clone(ledger.FirstEffect), maps.Clone(ledger.LastKey)
	return ledger
}
