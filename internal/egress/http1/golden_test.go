package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// variableHeaders matches the headers that differ between calls: the remaining time and the address.
var variableHeaders = regexp.MustCompile(`(?m)^(X-Timeout-Ms|Host): .*?\r$`)

// goldenMessage returns a message with the fields that a request contains.
func goldenMessage(id, key, body string, window time.Duration) *message.Message {
	return &message.Message{ID: id, Key: key, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte(body), KeyWindow: window}
}

// The protocol fixes the bytes of a request: method, path, headers and their order, and body.
func TestGoldenRequestBytes(t *testing.T) {
	for name, c := range map[string]struct {
		withholdOrderingKeys bool
		messages             []*message.Message
	}{
		"single":             {messages: []*message.Message{goldenMessage("id-1", "key-1", "a body\r\n\x00\xff", time.Second)}},
		"single_without_key": {messages: []*message.Message{goldenMessage("id-1", "", "", 0)}},
		"single_kept_key":    {true, []*message.Message{goldenMessage("id-1", "key-1", "body", 0)}},
		"single_sent_key":    {true, []*message.Message{goldenMessage("id-1", "key-1", "body", time.Second)}},
		"bundle": {messages: []*message.Message{
			goldenMessage("id-1", "key-1", "first", time.Second), goldenMessage("id-2", "", "", 0), goldenMessage("id-3", "key-3", "third\r\n", time.Second),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan []byte, 1)
			addr := rawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				var raw bytes.Buffer
				if readRequest(bufio.NewReader(io.TeeReader(conn, &raw))) == nil {
					sent <- raw.Bytes()
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
			})
			f := newCallFixture(t, addr)
			f.carrier.withholdOrderingKeys = c.withholdOrderingKeys
			for _, m := range c.messages {
				testkit.Must(t, f.store.Accept(context.Background(), m))
			}
			f.call(testTimeout, c.messages...)
			for range c.messages {
				f.next()
			}
			got := variableHeaders.ReplaceAll(<-sent, []byte("$1: changing\r"))
			testkit.Golden(t, "golden/"+name+".request", got)
			req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(testkit.ReadGolden(t, "golden/"+name+".request"))))
			testkit.Must(t, err)
			if req.Method != http.MethodPost || req.Header.Get("X-Timeout-Ms") == "" {
				t.Errorf("got %s with headers %v, want a POST with a timeout header", req.Method, req.Header)
			}
		})
	}
}

// The protocol fixes the outcome for each response.
func TestGoldenResponseOutcomes(t *testing.T) {
	const retryAfter = 250 * time.Millisecond
	for _, c := range []struct {
		name, response string
		parts          int
		want           []policy.AttemptCompleted // in the order of the messages
	}{
		{"200", "200 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.Delivered, Final: true}}},
		{"429 with a Retry-After", "429 X\r\nX-Backoff-Ms: 250\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited, RetryAfter: retryAfter}}},
		{"503", "503 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.RateLimited}}},
		{"503 of a full egress", "503 X\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent}}},
		{"410", "410 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent, Final: true}}},
		{"504", "504 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.NotSent}}},
		{"500", "500 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.Failed}}},
		{"another status", "404 X\r\nContent-Length: 0\r\n\r\n", 1, []policy.AttemptCompleted{{Outcome: policy.Failed}}},
		{"429 of a batch", "429 X\r\nX-Backoff-Ms: 250\r\nContent-Length: 0\r\n\r\n", 2, []policy.AttemptCompleted{{Outcome: policy.RateLimited, RetryAfter: retryAfter}, {Outcome: policy.RateLimited, RetryAfter: retryAfter}}},
		{"200 of a batch", batchResponse("id1 done", "id2 failed", "id3 busy", "id4 void", "id5 used_up"), 5, []policy.AttemptCompleted{
			{Outcome: policy.Delivered, Final: true}, {Outcome: policy.Failed}, {Outcome: policy.RateLimited}, {Outcome: policy.NotSent, Final: true}, {Outcome: policy.NotSent},
		}},
		{"a batch with an unknown word", batchResponse("id1 done", "id2 great"), 2, []policy.AttemptCompleted{{Outcome: policy.Failed}, {Outcome: policy.Failed}}},
		{"a batch with a missing line", batchResponse("id1 done"), 2, []policy.AttemptCompleted{{Outcome: policy.Failed}, {Outcome: policy.Failed}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := rawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if readRequest(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.response)
				}
			})
			f := newCallFixture(t, addr)
			messages := f.start(testTimeout, c.parts)
			got := map[policy.MessageID]policy.AttemptCompleted{}
			for range messages {
				e := f.next()
				got[e.Message] = e
			}
			for i, m := range messages {
				want := c.want[i]
				want.Message, want.Endpoint, want.Duration = m.Seq, f.endpoint.ID, got[m.Seq].Duration
				if got[m.Seq] != want {
					t.Errorf("%s: got %+v, want %+v", m.ID, got[m.Seq], want)
				}
			}
		})
	}
}

// batchResponse returns the response to a batch with the given result lines.
func batchResponse(lines ...string) string {
	body := ""
	for _, l := range lines {
		body += l + "\r\n"
	}
	return fmt.Sprintf("200 X\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
