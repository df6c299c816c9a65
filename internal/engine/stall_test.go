package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/directory"
	"wingmount/internal/egress"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// stallingRecorder is a StepLog that counts rejected and failed messages. If stall is set, it blocks the engine's next
// step until release is closed.
type stallingRecorder struct {
	stall      atomic.Bool
	release    chan struct{}
	entered    chan struct{} // closed when the step blocks
	rejections atomic.Int64  // number of Reject and Fail actions
}

func (s *stallingRecorder) Step(_ policy.Time, _ []policy.Event, actions []policy.Action) {
	for _, a := range actions {
		switch a.(type) {
		case policy.Reject, policy.Fail:
			s.rejections.Add(1)
		}
	}
	if s.stall.CompareAndSwap(true, false) {
		close(s.entered)
		<-s.release
	}
}

// deliveringCarrier delivers each message immediately.
type deliveringCarrier struct {
	fakes
	engine    *Engine
	delivered atomic.Int64
}

func (c *deliveringCarrier) Start(_ context.Context, call *egress.Call) {
	go func() {
		for _, p := range call.Parts {
			c.engine.Post(CompletedAttempt{Attempt: policy.AttemptCompleted{Message: p.Message.Seq, Attempt: p.Attempt, Endpoint: call.Endpoint.ID, Outcome: policy.Delivered, Final: true, Duration: time.Millisecond}})
			c.delivered.Add(1)
		}
	}()
}

// While the engine is stalled, new messages are rejected at ingress with a retry delay. When the engine continues, it
// delivers all accepted messages, and new messages are accepted again. Guards against accepting messages that a stalled
// engine can only reject or fail later.
func TestStalledEngineRejectsBeforeAcceptance(t *testing.T) {
	e, f := newEngine(testSettings)
	registry := inflight.New(inflight.Config{Max: 1000, Admission: admission.New(admission.Settings{Weights: []float64{1}})})
	recorder := &stallingRecorder{release: make(chan struct{}), entered: make(chan struct{})}
	calls := &deliveringCarrier{engine: e}
	dependencies := e.deps
	dependencies.Admission, dependencies.StepLog, dependencies.Carrier, dependencies.Notifier = registry, recorder, calls, f
	e.SetDependencies(dependencies)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx, nil); close(done) }()
	defer func() { cancel(); <-done }()
	e.Post(EndpointsChanged{List: directory.List{Complete: true, Live: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	accepted := 0
	submit := func(i int) (inflight.Verdict, time.Duration) {
		id := fmt.Sprint("m", i)
		verdict, retry := registry.Reserve(id, 7, 0, 0, 10*time.Second)
		if verdict == inflight.Reserved {
			accepted++
			registry.Accept(id)
			e.Post(MessageAccepted{Message: &message.Message{Seq: policy.MessageID(i + 1), ID: id, Key: id, Destination: 7, Deadline: time.Now().Add(10 * time.Second)}})
		}
		return verdict, retry
	}
	eventually := func(description string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(testkit.EventuallyTimeout); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting until %s", description)
			}
		}
	}
	next := 0
	for ; next < 20; next++ {
		if v, _ := submit(next); v != inflight.Reserved {
			t.Fatalf("before the stall: got verdict %d, want Reserved", v)
		}
	}
	eventually("all messages are delivered", func() bool { return registry.Count() == 0 })
	recorder.stall.Store(true)
	submit(next)
	<-recorder.entered
	eventually("a message is rejected", func() bool {
		next++
		verdict, retry := submit(next)
		if verdict == inflight.Saturated && retry < 100*time.Millisecond {
			t.Errorf("retry after: got %v, want 100ms or more", retry)
		}
		time.Sleep(20 * time.Millisecond)
		return verdict == inflight.Saturated
	})
	close(recorder.release)
	eventually("all accepted messages are delivered", func() bool { return registry.Count() == 0 })
	if n := recorder.rejections.Load(); n > 0 || int(calls.delivered.Load()) != accepted {
		t.Errorf("%d messages accepted: got %d delivered, %d rejected or failed, want all delivered", accepted, calls.delivered.Load(), n)
	}
	eventually("a message is accepted again", func() bool {
		next++
		verdict, _ := submit(next)
		return verdict == inflight.Reserved
	})
}
