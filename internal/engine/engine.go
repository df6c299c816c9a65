// Package engine runs the decision module (package policy): it passes events to the module in the order of their arrival,
// and executes the actions that the module decides on.
//
// # Concurrency
//
// The goroutine of [Engine.Run] owns the module and all state of an [Engine]. It never waits for a disk or a network:
// calls run in goroutines of the carrier, and final responses are persisted and announced in goroutines of a
// responseWriter. Other goroutines only post events, see [Engine.Post], [Engine.SetAssignment] and
// [Engine.SetLeaseValid].
//
// # Rounds
//
// The engine works in rounds. In a round it handles all queued events (events.go), steps the module once, and executes
// the module's actions (step.go). A tick (policy.Settings.Tick) is the minimum time between two steps: events that arrive
// within a tick are handled together. While the engine is draining it starts no calls, and rounds omit the step.
//
// Start reading at [Engine.Run].
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/message"
	"wingmount/policy"
)

const (
	// clockStart is the module's time when the engine is created. It is not 0, because the module uses 0 for "never".
	clockStart = time.Hour
	// eventCapacity is the capacity of the event queue. Post blocks while the queue is full.
	eventCapacity = 4096
	// evictInterval is the interval between evictions of unused endpoints, destinations and connections.
	evictInterval = time.Second
)

// Debug log messages that "wingmount fleet" reads.
const (
	logAccepted    = "taken"
	logCall        = "call"
	logOutcome     = "outcome"
	logCompleted   = "ended"
	logPeerMessage = "note"
)

// Engine runs the decision module, a [policy.Sender]. Create one with [New], and call [Engine.SetDependencies] before
// [Engine.Run].
type Engine struct {
	deps           Dependencies
	sender         *policy.Sender
	settings       policy.Settings
	responseMargin time.Duration // see Config
	origin         time.Time     // the wall clock time at which the module's time was clockStart
	debug          bool          // debug logging is enabled: one line for each message and each call

	events   chan Event
	done     chan struct{} // closed when Run has returned
	quiesced chan struct{} // closed when draining is set
	draining bool          // Run starts no calls

	messages map[policy.MessageID]*message.Message // messages without a final response
	endpointTable
	quotas assignedQuotas
	// uniqueAddresses: see Config.
	uniqueAddresses bool
	responses       *responseWriter // persists and announces the module's final responses

	// The following slices are filled in a round, and reset by its end.

	batch        []policy.Event          // input of the module's next step
	actions      []policy.Action         // output of the module's step
	observations []admission.Observation // not yet reported to Admission
}

// New returns an engine without dependencies.
func New(c Config) *Engine {
	return &Engine{
		sender:          policy.New(c.Settings, c.Seed),
		settings:        c.Settings,
		responseMargin:  c.ResponseMargin,
		origin:          time.Now(),
		events:          make(chan Event, eventCapacity),
		done:            make(chan struct{}),
		quiesced:        make(chan struct{}),
		messages:        map[policy.MessageID]*message.Message{},
		endpointTable:   newEndpointTable(c.Kinds, c.Zones),
		quotas:          newAssignedQuotas(c.Assigned),
		uniqueAddresses: c.UniqueAddresses,
	}
}

// SetDependencies sets the dependencies of an engine. It must be called before Run. The dependencies are created after the
// engine because they post events to it.
func (e *Engine) SetDependencies(d Dependencies) {
	e.deps = d
	if e.debug = d.Log.Enabled(context.Background(), slog.LevelDebug); e.debug {
		e.deps.Log.Debug("settings", "settings", fmt.Sprintf("%+v", e.settings))
	}
	if e.deps.WriteContext == nil {
		e.deps.WriteContext = context.Background()
	}
	e.responses = newResponseWriter(e.deps.WriteContext, d.Store, d.Notifier, d.Log)
}

// now returns the module's time.
func (e *Engine) now() policy.Time { return clockStart + time.Since(e.origin) }

// moduleTime converts a wall clock time to the module's time. It returns the current time for a time in the future.
func (e *Engine) moduleTime(t time.Time) policy.Time { return min(e.now(), e.now()-time.Since(t)) }

// Post queues an event for the next round. It blocks while the queue is full, and drops the event once Run has returned.
func (e *Engine) Post(event Event) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Quiesced returns a channel that is closed when the engine has stopped starting calls, see [Engine.Run].
func (e *Engine) Quiesced() <-chan struct{} { return e.quiesced }

// Run works in rounds until the context is canceled. Once drain is closed, Run starts no calls, but still handles the
// outcomes of earlier calls. When Run returns, the final responses that the module decided on have been persisted, or
// the WriteContext has been canceled.
func (e *Engine) Run(ctx context.Context, drain <-chan struct{}) {
	defer e.responses.start()()
	defer close(e.done)
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	evictions := time.NewTicker(evictInterval)
	defer evictions.Stop()
	var lastRound time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-drain:
			e.draining, drain = true, nil
			close(e.quiesced)
			continue
		case now := <-evictions.C:
			e.deps.Carrier.EvictIdle(now)
			e.evict(now)
			continue
		case event := <-e.events:
			e.handle(event)
		case <-wakeUp.C:
			e.batch = append(e.batch, policy.Woken{})
		}
		if rest := e.settings.Tick - time.Since(lastRound); rest > 0 {
			time.Sleep(rest)
		}
		e.deps.Admission.RoundBegan()
		e.handleQueued()
		lastRound = time.Now()
		wakeAt := e.finishRound(ctx)
		e.deps.Admission.RoundEnded()
		if wakeAt > 0 {
			wakeUp.Reset(wakeAt - e.now())
		}
	}
}

// handle handles one event.
func (e *Engine) handle(event Event) { event.apply(e) }

// handleQueued handles all events that are queued.
func (e *Engine) handleQueued() {
	for {
		select {
		case event := <-e.events:
			e.handle(event)
		default:
			return
		}
	}
}

// finishRound steps the module, unless the engine is draining. It returns the time of the module's next wake-up on the
// module's clock, or 0 for none.
func (e *Engine) finishRound(ctx context.Context) (wakeAt policy.Time) {
	if e.draining {
		e.batch = e.batch[:0]
		e.reportObservations()
		e.quotas.notifyWaiting()
		return 0
	}
	return e.step(ctx)
}
