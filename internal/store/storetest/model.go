package storetest

import (
	"fmt"
	"slices"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

// model is what a store has to contain: messages by id, and the order in which they were accepted.
type model struct {
	order []string
	byID  map[string]*modelMessage
}

// modelMessage is what the model has of one message.
type modelMessage struct {
	message  message.Message
	notified bool // it is not pending any more
}

// inProgress reports whether a message has no final response.
func (m *modelMessage) inProgress() bool { return m.message.FinalResponse == nil }

// completed reports whether a message has a final response.
func (m *modelMessage) completed() bool { return !m.inProgress() }

func newModel() *model { return &model{byID: map[string]*modelMessage{}} }

func (m *model) clone() *model {
	c := &model{order: slices.Clone(m.order), byID: map[string]*modelMessage{}}
	for id, original := range m.byID {
		copied := *original
		c.byID[id] = &copied
	}
	return c
}

// accept adds a message behind all others.
func (m *model) accept(accepted *message.Message) {
	if m.byID[accepted.ID] != nil { // it was notified, and the store does not retain responses
		m.order = slices.DeleteFunc(m.order, func(id string) bool { return id == accepted.ID })
	}
	m.order = append(m.order, accepted.ID)
	m.byID[accepted.ID] = &modelMessage{message: *accepted}
}

// pending returns the messages that are not notified, in the order in which they were accepted.
func (m *model) pending() []*modelMessage {
	var pending []*modelMessage
	for _, id := range m.order {
		if candidate := m.byID[id]; !candidate.notified {
			pending = append(pending, candidate)
		}
	}
	return pending
}

// difference describes how what a store has recovered differs from the model, and returns "" if it does not.
func (m *model) difference(recovered store.Recovered) string {
	want := m.pending()
	if len(recovered.Pending) != len(want) {
		return fmt.Sprintf("got %d pending messages, want %d", len(recovered.Pending), len(want))
	}
	for i, w := range want {
		compare := inProgressDifference
		if w.completed() {
			compare = completedDifference
		}
		if d := compare(recovered.Pending[i], w.message); d != "" {
			return fmt.Sprintf("pending message %d: %s", i, d)
		}
	}
	return ""
}

// completedDifference compares a message with a final response: only its notification is pending, for which a store
// may leave out the other fields.
func completedDifference(got *message.Message, want message.Message) string {
	if got.ID != want.ID || got.Seq != want.Seq || got.FinalResponse == nil || *got.FinalResponse != *want.FinalResponse {
		return fmt.Sprintf("got %s, number %d, response %+v; want %s, %d, %+v", got.ID, got.Seq, got.FinalResponse, want.ID, want.Seq, want.FinalResponse)
	}
	return ""
}

// inProgressDifference compares a message without a final response.
func inProgressDifference(got *message.Message, want message.Message) string {
	want.History.RecordInterruption()
	if got.ID != want.ID || got.Key != want.Key || got.Destination != want.Destination || got.Class != want.Class ||
		string(got.Body) != string(want.Body) || got.Seq != want.Seq || !got.Deadline.Equal(want.Deadline) {
		return fmt.Sprintf("got %s, number %d, %d bytes; want %s, %d, %d", got.ID, got.Seq, len(got.Body), want.ID, want.Seq, len(want.Body))
	}
	if d := historyDifference(got.History, want.History); d != "" {
		return fmt.Sprintf("%s: %s", want.ID, d)
	}
	if got.FinalResponse != nil {
		return fmt.Sprintf("%s: got response %+v, want none", want.ID, got.FinalResponse)
	}
	return ""
}

// historyDifference compares the attempts of a message. When and where it ran counts only if it may have run.
func historyDifference(got, want message.History) string {
	if want.MayHaveRun && !got.RanAt.Equal(want.RanAt) {
		return fmt.Sprintf("got that it ran at %v, want %v", got.RanAt, want.RanAt)
	}
	if !want.MayHaveRun {
		got.RanZone, want.RanZone = 0, 0
	}
	got.RanAt, want.RanAt = time.Time{}, time.Time{} // equal times may differ in their locations
	if got != want {
		return fmt.Sprintf("got history %+v, want %+v", got, want)
	}
	return ""
}
