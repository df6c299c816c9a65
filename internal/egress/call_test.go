package egress

import (
	"testing"
	"time"
	"wingmount/internal/message"
)

// The limit of a call is the shortest timeout of its messages. It is never extended beyond the call's deadline.
func TestCallLimitIsShortestOfItsMessages(t *testing.T) {
	call := newCall()
	call.Parts, call.Limit = nil, 0
	for _, left := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
		call.Add(&message.Message{ID: left.String(), Deadline: call.DecidedAt.Add(left)}, left-100*time.Millisecond)
	}
	if call.Limit != 900*time.Millisecond {
		t.Errorf("got a limit of %v, want 900 ms", call.Limit)
	}
	if call.LimitedByDeadline() {
		t.Error("got LimitedByDeadline true for a limit 0.1 s before the deadline, want false")
	}
	call.extend(time.Hour)
	if !call.LimitedByDeadline() {
		t.Error("got LimitedByDeadline false after an extension to the deadline, want true")
	}
	if call.Limit != time.Second-deadlineMargin {
		t.Errorf("got a limit of %v after an extension, want 1 s minus 10 ms", call.Limit)
	}
}
