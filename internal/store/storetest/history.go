package storetest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"

	"pgregory.net/rapid"
)

// historyRun is one random history of a store beside the model.
type historyRun struct {
	Suite
	root    string
	crashes int // the store continues after each crash in a folder of its own
	store   store.Store
	models  possibleModels
	known   map[string]*message.Message // the messages that the opened store works on, by id
	start   time.Time
	ticks   int
}

// testHistory runs a random history against the model, with clean ends and crashes.
func (s Suite) testHistory(t *rapid.T) {
	root, err := os.MkdirTemp("", "storetest")
	must(t, err)
	defer func() { _ = os.RemoveAll(root) }()
	h := &historyRun{Suite: s, root: root, models: possibleModels{current: newModel(), spills: s.Spills}, known: map[string]*message.Message{}}
	must(t, os.Mkdir(h.dir(), 0o700))
	h.store, _, err = s.Open(h.dir())
	must(t, err)
	defer func() {
		if h.store != nil {
			_ = h.store.Close()
		}
	}()
	h.start = time.Now().Add(-time.Second).Truncate(time.Microsecond)
	t.Repeat(map[string]func(*rapid.T){
		"accept":         h.accept,
		"attempt":        h.attempt,
		"outcome":        h.outcome,
		"complete":       h.complete,
		"complete again": h.completeAgain,
		"notified":       h.markNotified,
		"close":          h.close,
		"crash":          h.crash,
		"":               func(*rapid.T) {},
	})
}

// dir returns the folder of the store since the last crash.
func (h *historyRun) dir() string { return filepath.Join(h.root, fmt.Sprint(h.crashes)) }

// tick returns a time that is later than all before it.
func (h *historyRun) tick() time.Time {
	h.ticks++
	return h.start.Add(time.Duration(h.ticks) * time.Microsecond)
}

// pick draws a message that is not notified and meets a condition, and returns nil if there is none.
func (h *historyRun) pick(t *rapid.T, label string, condition func(*modelMessage) bool) *modelMessage {
	var ids []string
	for _, candidate := range h.models.current.pending() {
		if condition(candidate) {
			ids = append(ids, candidate.message.ID)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return h.models.current.byID[rapid.SampledFrom(ids).Draw(t, label)]
}

// reopen opens the store again and checks what it recovers: the expected model, or if that is nil, one of those that
// a crash may leave.
func (h *historyRun) reopen(t *rapid.T, expected *model) {
	opened, recovered, err := h.Open(h.dir())
	h.store = nil
	must(t, err)
	h.store = opened
	if expected == nil {
		expected = h.findModel(t, recovered)
	} else if difference := expected.difference(recovered); difference != "" {
		t.Fatalf("after a clean end: %s", difference)
	}
	h.models.current, h.models.older = expected.clone(), nil
	for _, m := range h.models.current.byID {
		m.message.History.RecordInterruption()
	}
	clear(h.known)
	for _, m := range recovered.Pending {
		h.known[m.ID] = m
	}
}

// findModel returns the latest of the models that a crash may leave which is what the store has recovered. It ends
// the test if there is none.
func (h *historyRun) findModel(t *rapid.T, recovered store.Recovered) *model {
	var differences []string
	for _, candidate := range slices.Backward(h.models.all()) {
		difference := candidate.difference(recovered)
		if difference == "" {
			return candidate
		}
		differences = append(differences, difference)
	}
	t.Fatalf("after a crash: got none of the possible contents: %q", differences)
	return nil
}

// undelivered generates final responses other than delivered.
var undelivered = rapid.Custom(func(t *rapid.T) message.FinalResponse {
	if rapid.Bool().Draw(t, "rejected") {
		return message.FinalResponse{Kind: message.Rejected, RetryAfter: time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond}
	}
	return message.FinalResponse{Kind: message.Failed}
})

// accept submits a message under an id that may be known.
func (h *historyRun) accept(t *rapid.T) {
	id := fmt.Sprint("m", rapid.IntRange(0, 30).Draw(t, "id"))
	m := NewMessage(id, rapid.IntRange(0, 3000).Draw(t, "size"))
	err := h.store.Accept(ctx, m)
	if earlier := h.models.current.byID[id]; earlier != nil && (!earlier.notified || h.RetainsResponses) {
		checkDuplicate(t, err, earlier)
		return
	}
	must(t, err)
	h.known[id] = m
	h.models.apply(true, func(model *model) { model.accept(m) })
}

// checkDuplicate checks that an error names the final response of the message that has the id, if there is one.
func checkDuplicate(t *rapid.T, err error, earlier *modelMessage) {
	t.Helper()
	want := earlier.message.FinalResponse
	var duplicate *store.DuplicateError
	if !errors.As(err, &duplicate) || (duplicate.Response == nil) != (want == nil) || duplicate.Response != nil && *duplicate.Response != *want {
		t.Fatalf("%s again: got %v, want a duplicate with response %+v", earlier.message.ID, err, want)
	}
}

// attempt records an attempt at a message that has none outstanding.
func (h *historyRun) attempt(t *rapid.T) {
	m := h.pick(t, "attempt", func(m *modelMessage) bool { return m.inProgress() && !m.message.History.Outstanding })
	if m == nil {
		return
	}
	id := m.message.ID
	at, zone := h.tick(), rapid.IntRange(0, 1).Draw(t, "zone")
	must(t, h.store.RecordAttempt(ctx, newAttempt(at, zone, h.known[id])))
	history := m.message.History
	history.RecordAttempt(zone, at)
	// The record of an attempt makes the outcomes of earlier attempts of its message durable, also where the store spills.
	h.models.apply(true, func(model *model) { model.byID[id].message.History = history })
}

// outcome records the outcome of an outstanding attempt.
func (h *historyRun) outcome(t *rapid.T) {
	m := h.pick(t, "outcome", func(m *modelMessage) bool { return m.inProgress() && m.message.History.Outstanding })
	if m == nil {
		return
	}
	id := m.message.ID
	outcome := policy.Outcome(rapid.IntRange(int(policy.Delivered), int(policy.NotSent)).Draw(t, "outcome"))
	withdrawn := outcome == policy.NotSent && rapid.Bool().Draw(t, "withdrawn")
	must(t, h.store.RecordOutcome(ctx, store.Outcome{Message: h.known[id], Outcome: outcome, Endpoint: "e1", At: h.tick(), CompletesUndelivered: withdrawn}))
	h.models.apply(outcome == policy.Delivered, func(model *model) {
		changed := model.byID[id]
		changed.message.History.RecordOutcome(outcome)
		switch {
		case withdrawn: // its client is not notified, and a duplicate gets the response of a failure
			changed.notified = true
			changed.message.FinalResponse = &message.FinalResponse{Kind: message.Failed}
		case outcome == policy.Delivered:
			changed.message.FinalResponse = &message.FinalResponse{Kind: message.Delivered}
			changed.notified = !h.NotifiesDelivered
		}
	})
}

// complete records a final response.
func (h *historyRun) complete(t *rapid.T) {
	m := h.pick(t, "complete", (*modelMessage).inProgress)
	if m == nil {
		return
	}
	id := m.message.ID
	response := undelivered.Draw(t, "response")
	must(t, h.store.Complete(ctx, store.Completion{Message: h.known[id], Response: response}))
	h.models.apply(true, func(model *model) { model.byID[id].message.FinalResponse = &response })
}

// completeAgain records a second final response, which changes nothing.
func (h *historyRun) completeAgain(t *rapid.T) {
	if m := h.pick(t, "complete again", (*modelMessage).completed); m != nil {
		must(t, h.store.Complete(ctx, store.Completion{Message: h.known[m.message.ID], Response: undelivered.Draw(t, "response")}))
	}
}

// markNotified records that the result of a message was notified.
func (h *historyRun) markNotified(t *rapid.T) {
	m := h.pick(t, "notified", (*modelMessage).completed)
	if m == nil {
		return
	}
	id := m.message.ID
	must(t, h.store.MarkNotified(ctx, h.known[id]))
	h.models.apply(false, func(model *model) { model.byID[id].notified = true })
}

// close closes the store and opens it again.
func (h *historyRun) close(t *rapid.T) {
	must(t, h.store.Close())
	h.reopen(t, h.models.current)
}

// crash opens the store from an image of its files, as a killed process leaves them.
func (h *historyRun) crash(t *rapid.T) {
	live := h.dir()
	h.crashes++
	must(t, Image(live, h.dir()))
	must(t, h.store.Close()) // what it writes after the image does not count
	h.reopen(t, nil)
}
