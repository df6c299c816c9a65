package httpingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// owners is an ownership that a test sets.
type owners struct {
	mu      sync.Mutex
	accepts map[int]bool
	owner   string // of all other destinations; none where it is empty
	asked   int
	// distributed: the node knows only its own destinations; missing are those that nobody has.
	distributed bool
	missing     map[int]bool
}

func (o *owners) Distributed() bool { return o.distributed }

func (o *owners) Accepts(destination int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepts[destination]
}

func (o *owners) Locate(_ context.Context, destination int) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if o.missing[destination] {
		return "", fmt.Errorf("asking for it: %w", ErrNoDestination)
	}
	if o.owner == "" {
		return "", errors.New("no owner")
	}
	return o.owner, nil
}

func (o *owners) set(destination int, accepts bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepts[destination] = accepts
}

// records is a store that accepts everything, and knows the ids that a test puts there.
type records struct {
	store.Store
	mu       sync.Mutex
	accepted []string
	onRecord map[string]error
	onTake   func()
}

func (s *records) Accept(_ context.Context, m *message.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, m.ID)
	if s.onTake != nil {
		s.onTake()
	}
	return nil
}

func (s *records) Find(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onRecord[id]
}

// assignedNode is a front of a node that owns destination 7 of 7 and 8.
type assignedNode struct {
	*Handler
	*owners
	*records
	registry *inflight.Registry
}

func newAssignedNode(owner string) *assignedNode {
	n := &assignedNode{
		owners: &owners{accepts: map[int]bool{7: true}, owner: owner}, records: &records{onRecord: map[string]error{}},
		registry: inflight.New(inflight.Config{Max: 10}),
	}
	n.registry.SetDestinations(map[int]bool{7: true, 8: true}, true)
	n.Handler = New(Config{
		Classes: map[string]int{"c": 0}, Settings: []policy.Class{{Repeat: policy.Idempotent, Deadline: 5 * time.Second}},
		Registry: n.registry, Ownership: n.owners,
	}, n.records, func(*message.Message) {}, testkit.QuietLog())
	return n
}

func request(target, id, destination string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader("body"))
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Priority-Class", "c")
	r.Header.Set("X-Timeout-Ms", "1000")
	r.Header.Set("X-Route-To", "dest="+destination)
	r.Header.Set("Content-Length", "4")
	return r
}

func (n *assignedNode) ask(target, id, destination string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.ServeHTTP(w, request(target, id, destination))
	return w
}

// A message of another owner's destination is refused before it is accepted, and sent there.
func TestRedirect(t *testing.T) {
	n := newAssignedNode("127.0.0.1:99")
	if w := n.ask("/c", "own", "7"); w.Code != http.StatusAccepted {
		t.Errorf("a message of an own destination: %d", w.Code)
	}
	w := n.ask("/c", "other", "8")
	if want := "http://127.0.0.1:99/c?redirects=1"; w.Code != http.StatusTemporaryRedirect || w.Header().Get("Location") != want {
		t.Errorf("a message of another's destination: %d to %q, want %q", w.Code, w.Header().Get("Location"), want)
	}
	if len(n.accepted) != 1 || n.registry.Count() != 1 {
		t.Errorf("accepted %q, in flight %d: want the own one", n.accepted, n.registry.Count())
	}
	if w := n.ask("/c", "nowhere", "9"); w.Code != http.StatusNotFound {
		t.Errorf("a message for nowhere: %d", w.Code)
	}
}

// A node that knows only its own destinations redirects messages for all others to their owners, answers 404 where nobody
// has the destination, and rejects messages until it knows an endpoint.
func TestRedirectOfDistributedDestinations(t *testing.T) {
	n := newAssignedNode("127.0.0.1:99")
	n.distributed, n.missing = true, map[int]bool{9: true}
	n.registry.SetDestinations(map[int]bool{7: true}, true)
	n.set(6, true) // just assigned
	for destination, want := range map[string]int{"7": 202, "8": 307, "9": 404, "6": 503} {
		w := n.ask("/c", "m"+destination, destination)
		if w.Code != want || want == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("a message for destination %s: %d, want %d", destination, w.Code, want)
		}
	}
	if len(n.accepted) != 1 {
		t.Errorf("accepted %q", n.accepted)
	}
	n.onRecord["early"] = &store.DuplicateError{}
	if w := n.ask("/c", "early", "9"); w.Code != http.StatusAccepted {
		t.Errorf("an id on record of a destination that is gone: %d", w.Code)
	}
}

// A message is redirected twice at most, and then turned away with a time to come back.
func TestNoMoreRedirects(t *testing.T) {
	n := newAssignedNode("127.0.0.1:99")
	for target, want := range map[string]int{
		"/c?redirects=0": 307, "/c?redirects=1": 307, "/c?redirects=2": 503, "/c?redirects=255": 503,
		"/c?redirects=-1": 400, "/c?redirects=x": 400, "/c?redirects=1&redirects=0": 400, "/c?redirects=256": 400, "/c?redirects=%zz": 400,
	} {
		w := n.ask(target, "m", "8")
		if w.Code != want {
			t.Errorf("%s: %d, want %d", target, w.Code, want)
		}
		if want == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", target)
		}
	}
	if w := n.ask("/c?redirects=9", "m", "7"); w.Code != http.StatusAccepted {
		t.Errorf("a redirected message that comes to its owner: %d", w.Code)
	}
}

// Without an owner that is known there is a time to come back.
func TestNoOwner(t *testing.T) {
	n := newAssignedNode("")
	if w := n.ask("/c", "m", "8"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}

// An id that was accepted here, or may have been, keeps its usual answer after the destination has moved:
// sent to the new owner it might run twice.
func TestKnownIDIsNotRedirected(t *testing.T) {
	n := newAssignedNode("127.0.0.1:99")
	n.set(7, false)
	n.onRecord["delivered"] = &store.DuplicateError{Response: &message.FinalResponse{Kind: message.Delivered}}
	n.onRecord["failed"] = &store.DuplicateError{Response: &message.FinalResponse{Kind: message.Failed}}
	n.onRecord["open"] = &store.DuplicateError{}
	n.onRecord["unclear"] = store.ErrUnavailable
	n.registry.Reserve("reserved", 7, 0, 0, time.Second)
	for id, want := range map[string]int{"in-progress": 202, "delivered": 200, "failed": 410, "open": 202, "unclear": 504, "reserved": 503, "new": 307} {
		if id == "in-progress" {
			n.registry.Adopt(id, 7, 0, 0)
		}
		if w := n.ask("/c", id, "7"); w.Code != want {
			t.Errorf("%s: %d, want %d", id, w.Code, want)
		}
	}
}

// A destination that moves between the first look and the reservation is not accepted for any more.
func TestMovesWhileReserved(t *testing.T) {
	n := newAssignedNode("127.0.0.1:99")
	lost := &losing{owners: n.owners}
	n.ownership = lost
	if w := n.ask("/c", "m", "7"); w.Code != http.StatusTemporaryRedirect {
		t.Errorf("%d, want a redirect", w.Code)
	}
	if n.registry.Count() != 0 || len(n.accepted) != 0 {
		t.Errorf("%d in flight, accepted %q", n.registry.Count(), n.accepted)
	}
}

// losing accepts at the first look only.
type losing struct {
	*owners
	looks int
}

func (l *losing) Accepts(int) bool {
	l.looks++
	return l.looks == 1
}

func TestValidOwner(t *testing.T) {
	for address, want := range map[string]bool{
		"127.0.0.1:80": true, "node-1.example:8080": true, "[::1]:80": true, "": false, "host": false,
		":80": false, "h:http": false, "h:99999": false, "u@h:80": false, "h/x:80": false, "h:80\r\nX: y": false, "h?x:80": false,
	} {
		if ValidOwner(address) != want {
			t.Errorf("%q: %v, want %v", address, !want, want)
		}
	}
}

// The count of redirects comes from clients.
func FuzzRedirects(f *testing.F) {
	for _, seed := range []string{"", "redirects=1", "redirects=1&x=%41", "redirects=;", "redirects=999999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, query string) {
		n, err := redirectsSoFar(&url.URL{RawQuery: query})
		if err == nil && (n < 0 || n > 255) {
			t.Errorf("%q: %d", query, n)
		}
	})
}
