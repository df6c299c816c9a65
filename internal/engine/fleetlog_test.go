package engine

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
	"wingmount/internal/directory"
	"wingmount/internal/fleetlog"
	"wingmount/internal/message"
	"wingmount/policy"
)

// discardMessenger discards messages to peers.
type discardMessenger struct{}

func (discardMessenger) Send(policy.NotifyPeers) {}

// "wingmount fleet" must recognize the engine's debug lines. Guards against a changed message, field or outcome number in
// the engine's log that the fleet log does not parse.
func TestFleetLogCountsDebugLines(t *testing.T) {
	var log bytes.Buffer
	e, _ := newEngine(testSettings)
	dependencies := e.deps
	dependencies.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	dependencies.PeerMessages = discardMessenger{}
	e.SetDependencies(dependencies)
	e.handle(EndpointsChanged{List: directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	for i := range 2 {
		e.handle(MessageAccepted{Message: &message.Message{Seq: policy.MessageID(i + 1), ID: fmt.Sprint("m", i), Destination: 7, Deadline: time.Now().Add(20 * time.Second)}})
	}
	e.step(t.Context())
	outcomes := []policy.Outcome{
		policy.Delivered, policy.Failed, policy.RateLimited, policy.TimedOut, policy.Unreachable, policy.Reset, policy.Cancelled, policy.NotSent,
	}
	for _, outcome := range outcomes {
		e.handle(CompletedAttempt{Attempt: policy.AttemptCompleted{Endpoint: endpointID("s1"), Outcome: outcome}})
	}
	e.notifyPeers(policy.NotifyPeers{})
	e.complete(1, message.Failed, 0)

	counts := fleetlog.New(time.Hour)
	if err := counts.Read(&log); err != nil {
		t.Fatal(err)
	}
	total := counts.Cell(fleetlog.Key{Destination: 7})
	if total.Accepted != 2 || total.Calls != 1 || total.Sent != 2 || total.Undelivered != 1 {
		t.Errorf("got %d accepted, %d calls, %d sent, %d undelivered, want 2, 1, 2, 1", total.Accepted, total.Calls, total.Sent, total.Undelivered)
	}
	atEndpoint := counts.Cell(fleetlog.Key{Destination: 7, Endpoint: "s1"})
	if atEndpoint.Calls != 1 {
		t.Errorf("got %d calls to the endpoint, want 1", atEndpoint.Calls)
	}
	for _, outcome := range outcomes {
		if total.Outcomes[outcome] != 1 || atEndpoint.Outcomes[outcome] != 1 {
			t.Errorf("outcome %d: got %d in total, %d at the endpoint, want 1 and 1", outcome, total.Outcomes[outcome], atEndpoint.Outcomes[outcome])
		}
	}
	var table strings.Builder
	if err := counts.Write(&table, false); err != nil || !strings.Contains(table.String(), "1 logs, 1 notes told") {
		t.Errorf("got error %v and table\n%s\nwant a table with 1 message to peers", err, table.String())
	}
}
