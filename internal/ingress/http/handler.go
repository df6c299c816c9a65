// Package httpingress accepts messages from clients over HTTP/1.1. A [Handler] validates a message, applies the rule set,
// reserves capacity, persists the message, and only then answers 202; a rejection has a Retry-After. The result
// of an accepted message is notified elsewhere. The themed words of the protocol (headers, query fields) stand in this
// package only: X-Final is the final response, refused in it is rejected.
//
// # Concurrency
//
// Handlers run in the goroutines of net/http, several at once. [Listener] bounds the connections under its mutex.
//
// Start reading at [Handler.ServeHTTP]; parse.go reads requests, respond.go has the answers, redirect.go what happens to
// destinations of other nodes, server.go, listener.go and connection.go the connections.
package httpingress

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"
	"wingmount/decide/rules"
	"wingmount/internal/directory"
	"wingmount/internal/failpoint"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/ruleset"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// defaultRetryAfter is the Retry-After where nothing better is known.
	defaultRetryAfter = time.Second
	// TimeoutSlack is by how much a client's time-out may exceed its class's deadline.
	TimeoutSlack = time.Second
	// lingerTime and lingerBytes bound how much of a rejected body is read after the answer.
	lingerTime  = time.Second
	lingerBytes = 64 << 20
	// persistTimeout is how long it may take to persist a message: a client waits 400 ms for its answer.
	persistTimeout = 250 * time.Millisecond
	// finalHeader has the final response of a message that is on record.
	finalHeader = "X-Final"
)

// Handler accepts messages from clients. A message is persisted before 202 is sent, and from then on the node has to
// complete it with a final response.
type Handler struct {
	classes  map[string]int
	names    map[int]string // of classes
	settings []policy.Class
	store    store.Store
	log      *slog.Logger
	registry *inflight.Registry
	rules    *ruleset.Manager // nil without rules
	// ownership is nil if this node accepts messages for all destinations.
	ownership Ownership
	accept    func(*message.Message)
	// maxDestination is the highest number of a destination.
	maxDestination uint64
}

// Config is the configuration of a handler.
type Config struct {
	Classes  map[string]int // names of the classes, as indices into Settings
	Settings []policy.Class
	Registry *inflight.Registry // the messages in flight, of all ingresses
	// MaxDestination is the highest number of a destination; [directory.PlatformDestinations] if 0.
	MaxDestination uint64
	// Rules decide which class and key a message has; nil if these are the client's.
	Rules *ruleset.Manager
	// Ownership decides which destinations are this node's; nil if all are.
	Ownership Ownership
}

// New returns a handler. It passes each message that the store has accepted to accept, which may block until the engine
// has capacity.
func New(c Config, s store.Store, accept func(*message.Message), log *slog.Logger) *Handler {
	names := make(map[int]string, len(c.Classes))
	for name, class := range c.Classes {
		names[class] = name
	}
	return &Handler{
		classes:        c.Classes,
		names:          names,
		settings:       c.Settings,
		store:          s,
		log:            log,
		registry:       c.Registry,
		rules:          c.Rules,
		ownership:      c.Ownership,
		accept:         accept,
		maxDestination: cmp.Or(c.MaxDestination, directory.MaxPlatformDestination),
	}
}

// Failure points: between a message's record, its start, and the client's answer.
var (
	atPersisted = failpoint.New("front/http/after-take")
	atAccepted  = failpoint.New("front/http/before-answer")
)

// badRequestError is the answer to a request that is not valid.
type badRequestError struct {
	status int
	text   string
}

func (b badRequestError) Error() string { return b.text }

// ServeHTTP handles a client's message, or a health check.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.registry.Closing() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "GET only", http.StatusMethodNotAllowed)
			return
		}
		if h.registry.ShuttingDown() {
			h.rejectUntil(w, "stopping", defaultRetryAfter)
			return
		}
		if !h.registry.DestinationsKnown() {
			h.rejectUntil(w, "no endpoints are known yet", defaultRetryAfter)
			return
		}
		_, _ = io.WriteString(w, "ok\n") // a client that has gone needs no answer
		return
	}
	m, err := h.parse(r)
	if err != nil {
		h.reject(w, r, err)
		return
	}
	if h.rejectsDestination(w, r, m.Destination) {
		return
	}
	if !h.accepts(m.Destination) {
		h.redirect(w, r, m)
		return
	}
	if h.rules != nil && h.registry.Accepted(m.ID) { // whatever the rules say of it now
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if err := h.applyRules(m); err != nil {
		var wait *ruleset.WaitError
		if errors.As(err, &wait) {
			h.rejectUntil(w, wait.Reason, wait.RetryAfter)
		} else {
			h.reject(w, r, err)
		}
		return
	}
	if h.acceptMessage(w, r, m) {
		return
	}
	// A message that is not accepted does not use its key any more.
	if h.rules != nil {
		h.rules.Release(m.ID)
	}
}

// applyRules gives a message the class and the key of the rule set in force.
func (h *Handler) applyRules(m *message.Message) error {
	if h.rules == nil {
		return nil
	}
	r, err := h.rules.Evaluate(rules.Input{ID: m.ID, Key: m.Key, Class: h.names[m.Class], Dest: m.Destination, Body: m.Body})
	var invalid *rules.InvalidMessageError
	if errors.As(err, &invalid) {
		return badRequestError{http.StatusUnprocessableEntity, "the rules do not take it: " + invalid.Error()}
	}
	if err != nil {
		return err
	}
	m.Class, m.Key = h.classes[r.Class], r.Key
	class := h.settings[m.Class]
	if latest := time.Now().Add(class.Deadline + TimeoutSlack); m.Deadline.After(latest) {
		m.Deadline = latest
	}
	if class.Repeat == policy.Deduplicated && m.Key == "" {
		h.rules.Release(m.ID)
		return badRequestError{http.StatusBadRequest, "Idempotency-Key is missing, and no rule gives one"}
	}
	return nil
}

// acceptMessage reserves capacity for a message, persists it and answers its client. It reports whether the message is
// persisted, or may be.
func (h *Handler) acceptMessage(w http.ResponseWriter, r *http.Request, m *message.Message) bool {
	// The request's context is not checked: it also ends if the client has only closed its sending side, and waits for
	// the answer.
	verdict, retry := h.registry.Reserve(m.ID, m.Destination, m.Class, m.Bytes(), time.Until(m.Deadline))
	switch verdict {
	case inflight.Reserved:
	case inflight.InProgress: // sent again by a client that did not receive the answer
		w.WriteHeader(http.StatusAccepted)
		return false
	case inflight.Duplicate:
		h.rejectUntil(w, "the message is being taken", defaultRetryAfter)
		return false
	case inflight.TooLate:
		h.rejectUntil(w, "it would not be delivered in time", retry)
		return false
	case inflight.Saturated:
		h.rejectUntil(w, "the node is saturated", retry)
		return false
	default: // NoCapacity; and ShuttingDown, though the node is only stopping
		h.rejectUntil(w, "the node has no capacity for it", retry)
		return false
	}
	// From the reservation on, the destination is not released by this node. It may have moved just before.
	if !h.accepts(m.Destination) {
		h.registry.Release(m.ID)
		h.redirect(w, r, m)
		return false
	}
	if err := h.persist(r.Context(), m); err != nil {
		undecided := errors.Is(err, store.ErrUndecided)
		if undecided && h.rules != nil {
			h.rules.ReleaseUncertain(m.ID, m.Deadline)
		}
		h.registry.Release(m.ID)
		h.answerNotAccepted(w, m, err)
		return undecided
	}
	_ = atPersisted.At() // it is persisted, whatever the failure point returns
	h.registry.Accept(m.ID)
	h.accept(m)
	_ = atAccepted.At()
	w.WriteHeader(http.StatusAccepted)
	return true
}

// persist writes a message to the store, or returns an error in time for the client's answer.
func (h *Handler) persist(ctx context.Context, m *message.Message) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), persistTimeout)
	defer cancel()
	return h.store.Accept(ctx, m)
}

// Adopt starts a message that was persisted after its client was answered 504, or that another node left.
func (h *Handler) Adopt(m *message.Message) {
	if h.rules != nil {
		h.rules.Adopt(m)
	}
	h.registry.Adopt(m.ID, m.Destination, m.Class, m.Bytes())
	h.accept(m)
}
