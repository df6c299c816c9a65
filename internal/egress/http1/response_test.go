package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
	"wingmount/policy"
)

// Each response determines the outcomes of its call. A call with an unknown status may have run, so it fails.
func TestResponseDeterminesOutcomes(t *testing.T) {
	const retryAfterLine = "X-Backoff-Ms: 250\r\n"
	for name, c := range map[string]struct {
		response string
		parts    int
		want     []policy.AttemptCompleted
	}{
		"delivered":                       {"200 OK\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.Delivered, Final: true}}},
		"500":                             {"500 X\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.Failed}}},
		"429 with Retry-After":            {"429 X\r\n" + retryAfterLine + "Content-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited, RetryAfter: 250 * time.Millisecond}}},
		"429 with invalid Retry-After":    {"429 X\r\nX-Backoff-Ms: soon\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited}}},
		"503":                             {"503 X\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited}}},
		"503 of a full egress":            {"503 X\r\nX-Egress-Full: 1\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent}}},
		"504":                             {"504 X\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent}}},
		"410":                             {"410 X\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent, Final: true}}},
		"unknown status":                  {"418 X\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.Failed}}},
		"batch 503":                       {"503 X\r\nContent-Length: 0", 2, []policy.AttemptCompleted{{Outcome: policy.RateLimited}, {Outcome: policy.RateLimited}}},
		"batch with all results":          {"200 OK\r\n" + retryAfterLine + "Content-Length: 55\r\n\r\nid1 done\r\nid2 failed\r\nid3 busy\r\nid4 void\r\nid5 used_up\r\n", 5, []policy.AttemptCompleted{{Outcome: policy.Delivered, Final: true, RetryAfter: 250 * time.Millisecond}, {Outcome: policy.Failed, RetryAfter: 250 * time.Millisecond}, {Outcome: policy.RateLimited, RetryAfter: 250 * time.Millisecond}, {Outcome: policy.NotSent, Final: true, RetryAfter: 250 * time.Millisecond}, {Outcome: policy.NotSent, RetryAfter: 250 * time.Millisecond}}},
		"batch truncated":                 {"200 OK\r\nContent-Length: 61\r\n\r\nid1 done\r\nid2 do", 2, []policy.AttemptCompleted{{Outcome: policy.Reset}, {Outcome: policy.Reset}}},
		"429 with Retry-After of 24 days": {"429 X\r\nX-Backoff-Ms: 2073600000\r\nContent-Length: 0", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited}}},
		"interim responses":               {"100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited}}},
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if readRequest(bufio.NewReader(conn)) == nil {
					response := "HTTP/1.1 " + c.response
					if !strings.Contains(response, "\r\n\r\n") {
						response += "\r\n\r\n"
					}
					_, _ = fmt.Fprint(conn, response)
				}
			})
			f := newCallFixture(t, addr)
			messages := f.start(5*time.Second, c.parts)
			for i, m := range messages {
				got := f.next()
				want := c.want[i]
				want.Message, want.Endpoint, want.Duration = m.Seq, 1, got.Duration
				if got != want {
					t.Errorf("message %d: got %+v, want %+v", i, got, want)
				}
			}
		})
	}
}

// A call with an invalid response may have run: it counts as neither rejected nor delivered. The
// exception is a single message with a status line of 200, which is delivered regardless of the
// rest. The connection is closed.
func TestInvalidResponseMayHaveRunAndClosesConnection(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		parts    int
		want     policy.Outcome
	}{
		"no status line":                      {"what?\r\n\r\n", 1, policy.Failed},
		"binary":                              {"\x00\xff\x13\n", 1, policy.Failed},
		"status of two digits":                {"HTTP/1.1 20 OK\r\n\r\n", 1, policy.Failed},
		"unfinished status line":              {"HTTP/1.1 200 O", 1, policy.Failed},
		"header without colon":                {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", 1, policy.Delivered},
		"unfinished headers":                  {"HTTP/1.1 200 OK\r\nX: y\r\n", 1, policy.Delivered},
		"header over the limit":               {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseBytes), 1, policy.Delivered},
		"body of 3 GB":                        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", maxResponseBytes), 1, policy.Delivered},
		"negative length":                     {"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", 1, policy.Delivered},
		"rejection with header without colon": {"HTTP/1.1 503 X\r\nno colon\r\n\r\n", 1, policy.Failed},
		"rejection with unfinished body":      {"HTTP/1.1 429 X\r\nContent-Length: 9\r\n\r\nhello", 1, policy.Failed},
		"rejection with surplus bytes":        {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\nhello", 1, policy.Failed},
		"rejection sent twice":                {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 1, policy.RateLimited},
		"410 with body of 3 GB":               {"HTTP/1.1 410 X\r\nContent-Length: 3000000000\r\n\r\n", 1, policy.Failed},
		"interim responses over the limit":    {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), 1, policy.Failed},
		"results with a missing ID":           {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nid1 done\r\n", 2, policy.Failed},
		"results with a truncated word":       {"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\nid1 done\r\nid2 don\r\n", 2, policy.Failed},
		"results with an unknown ID":          {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nid1 done\r\nid2 done\r\nid9 done\r\n", 2, policy.Failed},
		"results with a repeated ID":          {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nid1 done\r\nid2 done\r\nid1 busy\r\n", 2, policy.Failed},
		"results with an unfinished body":     {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nid1 done\r\nid2 done\r\n", 2, policy.Failed},
		"results with header without colon":   {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", 2, policy.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := rawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				defer close(closed)
				r := bufio.NewReader(conn)
				if readRequest(r) == nil {
					_, _ = io.WriteString(conn, c.response) // may fail if the carrier closes the connection first
					_, _ = io.Copy(io.Discard, r)           // until the carrier closes the connection
				}
			})
			f := newCallFixture(t, addr)
			for _, m := range f.start(testTimeout, c.parts) {
				if got := f.next(); got.Outcome != c.want {
					t.Errorf("got outcome %v, want %v", got.Outcome, c.want)
				} else if got.Outcome == policy.Failed && !m.History.MayHaveRun {
					t.Error("got a message that never ran, want one that may have run")
				}
			}
			f.carrier.running.Wait()
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("got an open connection, want it closed")
			}
		})
	}
}

// The Retry-After gate must open no later than the policy module expects. If it opened later, it would
// stop calls, and they would use up attempts.
func TestRetryAfterGateOpensNoLaterThanPolicy(t *testing.T) {
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(bufio.NewReader(conn)) == nil {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 429 X\r\nX-Backoff-Ms: 60000\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := newCallFixture(t, addr)
	before := time.Now()
	f.start(5*time.Second, 1)
	e := f.next()
	gateEnd := time.Now().Add(e.RetryAfter)
	if e.RetryAfter != time.Minute || !f.endpoint.RetryAfterGate.IsOpen(gateEnd) || f.endpoint.RetryAfterGate.IsOpen(before.Add(e.RetryAfter)) {
		t.Errorf("got a Retry-After of %v and a gate that is open at its end: %v, want 1m0s and true", e.RetryAfter, f.endpoint.RetryAfterGate.IsOpen(gateEnd))
	}
}
