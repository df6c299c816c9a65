package storetest

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// GoldenNames are the names that the node of the golden history uses.
var GoldenNames = store.Names{Classes: []string{"order", "alarm"}, Zones: []string{"north", "south"}}

// GoldenStart is the time at which the golden history is written: that of the clock in a bubble of testing/synctest.
var GoldenStart = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// goldenDeadline is later than any clock that reads golden files: no message in them expires.
var goldenDeadline = time.Date(2100, time.January, 1, 0, 0, 0, 123_456_000, time.UTC)

// goldenMessage returns a message whose fields all differ from their zero values.
func goldenMessage(id string, n int) *message.Message {
	return &message.Message{
		ID: id, Key: "key-" + id, Class: n % 2, Destination: 7 + n, Body: fmt.Appendf(nil, "body of %s\r\n\x00\xff", id),
		Deadline: goldenDeadline.Add(time.Duration(n) * time.Second),
	}
}

// WriteGoldenHistory writes a fixed history into a new store: a message in each state that a store distinguishes. It has
// to run in a bubble of testing/synctest, so that the store's own clock is fixed too.
func WriteGoldenHistory(t *testing.T, s store.Store) {
	t.Helper()
	ids := []string{"new", "retried", "in-progress", "rejected", "failed", "delivered", "notified", "wide"}
	messages := map[string]*message.Message{}
	for n, id := range ids {
		messages[id] = goldenMessage(id, n)
	}
	messages["wide"].Destination, messages["wide"].Key, messages["wide"].Body = math.MaxUint32, "", []byte{}
	for _, id := range ids {
		must(t, s.Accept(ctx, messages[id]))
	}
	at := func(milliseconds int) time.Time {
		return GoldenStart.Add(time.Duration(milliseconds)*time.Millisecond + time.Microsecond)
	}
	attempt := func(endpoint string, zone, ms int, ids ...string) {
		t.Helper()
		a := store.Attempt{Endpoint: endpoint, Zone: zone, At: at(ms), Until: at(ms + 2500)}
		for _, id := range ids {
			a.Messages = append(a.Messages, messages[id])
		}
		must(t, s.RecordAttempt(ctx, a))
	}
	outcome := func(id string, o policy.Outcome, endpoint string, ms int) {
		t.Helper()
		must(t, s.RecordOutcome(ctx, store.Outcome{Message: messages[id], Outcome: o, Endpoint: endpoint, At: at(ms)}))
	}
	attempt("e1", 1, 100, "retried", "failed")
	outcome("retried", policy.TimedOut, "e1", 200)
	outcome("failed", policy.Failed, "e1", 300)
	attempt("e2", 0, 400, "retried")
	outcome("retried", policy.RateLimited, "e2", 500)
	attempt("e2", 1, 600, "in-progress")
	attempt("e1", 0, 700, "delivered")
	outcome("delivered", policy.Delivered, "e1", 800)
	attempt("e3", 1, 900, "notified")
	outcome("notified", policy.Reset, "e3", 1000)
	must(t, s.Complete(ctx,
		store.Completion{Message: messages["rejected"], Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: 1500 * time.Millisecond}},
		store.Completion{Message: messages["failed"], Response: message.FinalResponse{Kind: message.Failed}},
		store.Completion{Message: messages["notified"], Response: message.FinalResponse{Kind: message.Failed}}))
	must(t, s.MarkNotified(ctx, messages["notified"]))
	must(t, s.Complete(ctx)) // so that all calls before it are durable
}

// CheckGoldenIDs checks that a store with the golden history knows each id of it, with the recorded final response.
func CheckGoldenIDs(t *testing.T, s store.Store) {
	t.Helper()
	responses := map[string]*message.FinalResponse{
		"new": nil, "retried": nil, "in-progress": nil, "wide": nil,
		"rejected":  {Kind: message.Rejected, RetryAfter: 1500 * time.Millisecond},
		"failed":    {Kind: message.Failed},
		"delivered": {Kind: message.Delivered},
		"notified":  {Kind: message.Failed},
	}
	for id, want := range responses {
		var duplicate *store.DuplicateError
		if err := s.Accept(ctx, goldenMessage(id, 0)); !errors.As(err, &duplicate) {
			t.Errorf("%s: got %v, want a duplicate", id, err)
			continue
		}
		// Some stores keep only the id of a message whose response is pending.
		if got := duplicate.Response; got != nil && (want == nil || *got != *want) || got == nil && id == "notified" {
			t.Errorf("%s: got final response %+v, want %+v", id, got, want)
		}
	}
}
