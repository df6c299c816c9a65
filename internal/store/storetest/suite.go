// Package storetest is the conformance suite that every store runs: the contract of internal/store, compared with a
// model that is simple rather than fast, through crashes between any two calls and at every failure point. It also
// writes and reads the golden files of the stores.
//
// A suite runs in the goroutine of its test, except for the calls of testConcurrent and the hooks at failure points, which
// run in goroutines of the store. Start reading at [Run].
package storetest

import (
	"context"
	"flag"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"

	"pgregory.net/rapid"
)

// Suite is the store under test, and what it promises beyond the contract.
type Suite struct {
	// Open opens the store in a folder, or a new one.
	Open func(dir string) (store.Store, store.Recovered, error)
	// Failpoints is the prefix of the store's failure points. The suite crashes at each pass of each of them.
	Failpoints string
	// FailpointsElsewhere are failure points that no call of the suite passes, and that another test covers.
	FailpointsElsewhere []string
	// RetainsResponses is set if ids are known after the result notification of their message.
	RetainsResponses bool
	// Spills is set if a durable call does not make the ordered calls before it durable, except that an attempt does so for
	// the earlier attempts of its message.
	Spills bool
	// NotifiesDelivered is set if a delivered message is pending until its result was notified.
	NotifiesDelivered bool
	// Histories is the number of random histories, 0 for rapid's default.
	Histories int
	// FailpointMessages and FailpointBodyBytes are the number of messages of the history that crashes at failure
	// points, and the length of their bodies. It has to be long enough to pass all points. 0 for 12 and 500.
	FailpointMessages, FailpointBodyBytes int
	// HasCapacity is set if the store rejects messages as full after a few thousand messages of 64 KiB.
	HasCapacity bool
}

const (
	defaultFailpointMessages  = 12
	defaultFailpointBodyBytes = 500
)

var ctx = context.Background()

// Run runs the suite.
func Run(t *testing.T, s Suite) {
	t.Helper()
	t.Run("contract", s.testContract)
	t.Run("histories", func(t *testing.T) {
		if checks := flag.Lookup("rapid.checks"); s.Histories > 0 && checks.Value.String() == checks.DefValue {
			must(t, flag.Set("rapid.checks", fmt.Sprint(s.Histories)))
			defer func() { must(t, flag.Set("rapid.checks", checks.DefValue)) }()
		}
		rapid.Check(t, s.testHistory)
	})
	t.Run("points", s.testFailpoints)
	t.Run("concurrent", s.testConcurrent)
	t.Run("clock", s.testClock)
	t.Run("interrupted attempt", s.testInterruptedAttempt)
	if s.HasCapacity {
		t.Run("full", s.testFull)
	}
}

// RunNames checks that a store keeps the numbers of names over restarts with other names. Open opens the store in a
// folder for a node that uses names.
func RunNames(t *testing.T, open func(dir string, names store.Names) (store.Store, store.Recovered, error)) {
	t.Helper()
	dir := t.TempDir()
	for _, c := range []struct{ uses, want store.Names }{
		{store.Names{Classes: []string{"a", "b"}, Zones: []string{"x", "y"}}, store.Names{Classes: []string{"a", "b"}, Zones: []string{"x", "y"}}},
		{store.Names{Classes: []string{"b", "c"}, Zones: []string{"y", "x"}}, store.Names{Classes: []string{"a", "b", "c"}, Zones: []string{"x", "y"}}},
		{store.Names{Classes: []string{"c", "a"}, Zones: []string{"z", "y"}}, store.Names{Classes: []string{"a", "b", "c"}, Zones: []string{"x", "y", "z"}}},
	} {
		s, recovered, err := open(dir, c.uses)
		must(t, err)
		if !reflect.DeepEqual(recovered.Names, c.want) {
			t.Errorf("a node that uses %v: got names %v, want %v", c.uses, recovered.Names, c.want)
		}
		must(t, s.Close())
	}
}

// failer is what tests and rapid's checks have in common.
type failer interface {
	Helper()
	Fatalf(string, ...any)
}

// must ends the test if there is an error.
func must(t failer, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%v", err)
	}
}

// open opens the store in a folder.
func (s Suite) open(t *testing.T, dir string) (store.Store, store.Recovered) {
	t.Helper()
	opened, recovered, err := s.Open(dir)
	must(t, err)
	return opened, recovered
}

// WideDestination is the highest number of a destination outside the platform. Each store must keep it.
const WideDestination = math.MaxUint32

// NewMessage returns a message as ingress submits it. An id of odd length gets the destination [WideDestination], so that
// messages with a small number and with the greatest one are mixed in each test that draws or counts ids.
func NewMessage(id string, bodyBytes int) *message.Message {
	destination := 7
	if len(id)%2 == 1 {
		destination = WideDestination
	}
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte(i * 7)
	}
	return &message.Message{
		ID: id, Key: "k-" + id, Class: 1, Destination: destination, Body: body,
		Deadline: time.Now().Add(20 * time.Second).Truncate(time.Microsecond),
	}
}

// newAttempt returns an attempt at messages by a call to the endpoint e1.
func newAttempt(at time.Time, zone int, messages ...*message.Message) store.Attempt {
	return store.Attempt{Endpoint: "e1", Zone: zone, At: at, Messages: messages}
}
