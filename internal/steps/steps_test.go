package steps

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memoryFile is a file in memory.
type memoryFile struct {
	bytes.Buffer
	closed bool
	block  chan struct{} // writes wait until it is closed; nil for no wait
}

func (s *memoryFile) Write(p []byte) (int, error) {
	if s.block != nil {
		<-s.block
	}
	return s.Buffer.Write(p)
}

func (s *memoryFile) Close() error { s.closed = true; return nil }

var settings = policy.Settings{
	Senders: 1, Slots: 4, MaxInFlight: 40, MaxAttempts: 3, Tick: 5 * time.Millisecond, DrainGrace: time.Second,
	OverloadWindow: time.Second, Kinds: []policy.Kind{{MaxBatch: 1}},
	Classes: []policy.Class{{SoftDeadline: time.Second, Deadline: 3 * time.Second, Value: 1, LateValue: 0.5}},
}

// dayDestinations are the destinations of a day: one needs more than 16 bits, and the last has no endpoint.
var dayDestinations = []int{1, 169_999, 3}

// daySeed is the seed of the sender and of its calls.
const daySeed = 7

// recordSteps runs a sender for n steps, with random outcomes of its calls, and records it.
func recordSteps(r *Recorder, n int) {
	s, rng := policy.New(settings, daySeed), rand.New(rand.NewPCG(daySeed, 1))
	now := time.Hour
	events := []policy.Event{policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{
		{Endpoint: 1, Destination: 1, State: policy.Ready}, {Endpoint: 2, Destination: dayDestinations[1], State: policy.Ready},
	}}}
	var id policy.MessageID
	var outstanding []policy.Send
	attempts := map[policy.MessageID]int{}
	for range n {
		for range rng.IntN(4) {
			id++
			events = append(events, policy.Arrived{Message: id, Destination: dayDestinations[rng.IntN(3)], GiveUpAt: now + 3*time.Second})
		}
		for len(outstanding) > 0 && rng.IntN(3) > 0 {
			o := policy.Outcome(rng.IntN(3))
			events = append(events, policy.AttemptCompleted{
				Message: outstanding[0].Message, Attempt: attempts[outstanding[0].Message], Endpoint: outstanding[0].Endpoint, Outcome: o,
				Final: o == policy.Delivered, Duration: 20 * time.Millisecond,
			})
			attempts[outstanding[0].Message]++
			outstanding = outstanding[1:]
		}
		events = append(events, policy.Woken{})
		actions := s.Step(now, events, nil)
		r.Step(now, events, actions)
		for _, a := range actions {
			if a, ok := a.(policy.Send); ok {
				outstanding = append(outstanding, a)
			}
		}
		clear(events)
		events = events[:0]
		now += 20 * time.Millisecond
	}
}

// A replay decides as recorded, step by step, and finds different decisions.
func TestReplay(t *testing.T) {
	const n = 900 // fewer than maxQueuedSteps, so that the writer need not keep up
	var f memoryFile
	r := newRecorder(&f, 1<<20, settings, 7, testkit.QuietLog())
	recordSteps(r, n)
	testkit.Must(t, r.Close())
	if !f.closed {
		t.Error("got an open file, want it closed")
	}
	report := NewReport()
	testkit.Must(t, Replay(bytes.NewReader(f.Bytes()), report.Add))
	if report.Steps != n || report.Differing != 0 {
		t.Fatalf("got %d steps, %d differing: %+v, now %+v", report.Steps, report.Differing, report.FirstDiffering, report.Decided)
	}
	undelivered := 0
	for _, d := range report.Destinations {
		undelivered += d.Undelivered[NoEndpoint] + d.Undelivered[DestinationFailing] + d.Undelivered[NoCallSlot] + d.Undelivered[AttemptsExhausted] + d.Undelivered[NoCapacity]
	}
	if d := report.Destinations[3]; d.Delivered != 0 || d.Undelivered[NoEndpoint]+d.Undelivered[NoCapacity] == 0 {
		t.Errorf("a destination without endpoints: got %+v", d)
	}
	if d := report.Destinations[1]; d.Delivered == 0 || undelivered == 0 {
		t.Errorf("got %+v, %d undelivered; want some delivered and some not", d, undelivered)
	}
	var table strings.Builder
	testkit.Must(t, report.Write(&table))
	if !strings.Contains(table.String(), "900 steps, 0 decided otherwise") || strings.Count(table.String(), "\n") != 5 {
		t.Errorf("got\n%s", table.String())
	}

	// Another seed decides differently, as another build may.
	f.Reset()
	r = newRecorder(&f, 1<<20, settings, 8, testkit.QuietLog())
	recordSteps(r, n)
	testkit.Must(t, r.Close())
	report = NewReport()
	testkit.Must(t, Replay(&f, report.Add))
	if report.Differing == 0 || report.FirstDiffering == nil || sameActions(report.FirstDiffering.Actions, report.Decided) {
		t.Error("got no differing step with another seed")
	}
}

// A recording that is cut off anywhere is replayed up to there, and so is one that is full.
func TestCutOff(t *testing.T) {
	var f memoryFile
	r := newRecorder(&f, 1<<20, settings, 7, testkit.QuietLog())
	recordSteps(r, 15)
	testkit.Must(t, r.Close())
	complete, last := f.Bytes(), 0
	for n := range complete {
		report := NewReport()
		err := Replay(bytes.NewReader(complete[:n]), report.Add)
		if err != nil && last > 0 || report.Differing > 0 || report.Steps < last {
			t.Fatalf("cut off at %d of %d: got %d steps, %d differing, %v", n, len(complete), report.Steps, report.Differing, err)
		}
		last = report.Steps
	}
	if last < 14 {
		t.Errorf("got %d steps in all but the last byte, want 14 at least", last)
	}
	var small memoryFile
	r = newRecorder(&small, 8000, settings, 7, testkit.QuietLog())
	recordSteps(r, 900)
	testkit.Must(t, r.Close())
	report := NewReport()
	testkit.Must(t, Replay(&small, report.Add))
	if small.Len() > 8000 || report.Steps == 0 || report.Steps == 900 || report.Differing > 0 {
		t.Errorf("got a full recording of %d bytes with %d steps", small.Len(), report.Steps)
	}
}

// A recorder does not wait for a writer that hangs: the recording ends, without a gap.
func TestWriterThatHangs(t *testing.T) {
	f := memoryFile{block: make(chan struct{})}
	r := newRecorder(&f, 1<<20, settings, 7, testkit.QuietLog())
	recordSteps(r, 3*maxQueuedSteps)
	if !r.stopped {
		t.Error("got a recorder that continues after a gap")
	}
	close(f.block)
	testkit.Must(t, r.Close())
	report := NewReport()
	testkit.Must(t, Replay(&f.Buffer, report.Add))
	if report.Steps < maxQueuedSteps || report.Steps == 3*maxQueuedSteps || report.Differing > 0 {
		t.Errorf("got %d steps, %d differing; want a part of them, and none", report.Steps, report.Differing)
	}
}

// Every event and action of the module is read as it was written.
func TestForms(t *testing.T) {
	events := []policy.Event{
		policy.EndpointUpdate{Complete: true, Entries: []policy.Entry{{Endpoint: 1, Zone: 2, Rate: 0.5}}},
		policy.SubscriptionFailed{},
		policy.Arrived{Message: 1, Key: 9, Past: policy.PriorAttempts{MayHaveRun: true}},
		policy.Arrived{},
		policy.AttemptCompleted{Message: 3, StaleConnection: true},
		policy.AttemptCompleted{},
		policy.Withdrawn{Message: 4},
		policy.Withdrawn{},
		policy.PeerMessage{Tag: 1, Event: policy.PeerRateLimited},
		policy.HealthRestored{Endpoint: 3, CallTimes: []policy.Time{4}},
		policy.Woken{},
	}
	actions := []policy.Action{
		policy.Send{Message: 1, Timeout: 4},
		policy.Send{},
		policy.Reject{Message: 1},
		policy.Fail{Message: 2},
		policy.Subscribe{},
		policy.CloseIdle{Endpoint: 4},
		policy.NotifyPeers{Event: policy.PeerRecovered},
		policy.Wake{At: 9},
		policy.Wake{},
	}
	named := map[string]bool{}
	for _, e := range events {
		named["event "+reflect.TypeOf(e).Name()] = true
	}
	for _, a := range actions {
		named["action "+reflect.TypeOf(a).Name()] = true
	}
	api, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "..", "policy", "events.go"), nil, 0)
	testkit.Must(t, err)
	for _, d := range api.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Recv != nil && (f.Name.Name == "event" || f.Name.Name == "action") {
			if name := fmt.Sprint(f.Name.Name, " ", f.Recv.List[0].Type); !named[name] {
				t.Errorf("got no %s in this test", name)
			}
		}
	}
	var f memoryFile
	r := newRecorder(&f, 1<<20, settings, 7, testkit.QuietLog())
	r.Step(5, events, actions)
	testkit.Must(t, r.Close())
	done := errors.New("seen")
	if err := Replay(&f, func(s Step, _ []policy.Action) error {
		if s.Now != 5 || !reflect.DeepEqual(s.Events, events) || !reflect.DeepEqual(s.Actions, actions) {
			t.Errorf("got %+v, want every event and action as they were", s)
		}
		return done
	}); !errors.Is(err, done) {
		t.Error(err)
	}
}

// Any input is replayed or rejected, without a panic.
func FuzzReplay(f *testing.F) {
	var good memoryFile
	r := newRecorder(&good, 1<<20, settings, 7, testkit.QuietLog())
	recordSteps(r, 3)
	testkit.Must(f, r.Close())
	f.Add(good.Bytes())
	f.Add([]byte("no recording"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_ = Replay(bytes.NewReader(b), func(Step, []policy.Action) error { return errors.New("enough") })
	})
}
