package http1

import (
	"io"
	"strings"
	"testing"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
)

// The protocol fixes the body of a batch.
func TestNewRequestBatchBodyFollowsProtocol(t *testing.T) {
	a, b := newMessage("a", 0), newMessage("b", 0)
	a.Body, a.Key, b.Body = []byte("hello"), "", []byte("x\r\ny")
	call := &egress.Call{Addr: "127.0.0.1:1", Limit: time.Second, DecidedAt: time.Now(), Parts: []*egress.Part{{Message: a}, {Message: b}}}
	req, err := (&Carrier{}).newRequest(call)
	testkit.Must(t, err)
	body, err := io.ReadAll(req.Body)
	testkit.Must(t, err)
	if want := "a - 5\r\nhello\r\nb k-b 4\r\nx\r\ny\r\n"; string(body) != want || req.URL.Path != "/events/bundle" {
		t.Errorf("got %s with %q, want /events/bundle with %q", req.URL.Path, body, want)
	}
}

// With WithholdOrderingKeys a key is sent only for a message whose class is idempotent, both in a
// single call and in a batch.
func TestWithholdOrderingKeysSendsOnlyIdempotencyKeys(t *testing.T) {
	keyed, ordered := newMessage("a", 0), newMessage("b", 0)
	keyed.KeyWindow, ordered.KeyWindow = time.Second, 0
	for _, withhold := range []bool{false, true} {
		c := New(Config{WithholdOrderingKeys: withhold}, nil, testkit.QuietLog())
		sent := func(ms ...*message.Message) string {
			call := &egress.Call{Addr: "127.0.0.1:1", Limit: time.Second, DecidedAt: time.Now()}
			for _, m := range ms {
				call.Parts = append(call.Parts, &egress.Part{Message: m})
			}
			req, err := c.newRequest(call)
			testkit.Must(t, err)
			body, err := io.ReadAll(req.Body)
			testkit.Must(t, err)
			return req.Header.Get("Idempotency-Key") + string(body)
		}
		want := map[bool]string{false: "k-b", true: ""}[withhold]
		if got := sent(ordered); got != want+string(ordered.Body) {
			t.Errorf("single message with an ordering key, withhold %t: got key and body %q", withhold, got)
		}
		if got := sent(keyed); !strings.HasPrefix(got, "k-a") {
			t.Errorf("single message with an idempotency key, withhold %t: got key and body %q", withhold, got)
		}
		if got := sent(keyed, ordered); strings.Contains(got, "b k-b ") == withhold || strings.Contains(got, "b - ") != withhold || !strings.Contains(got, "a k-a ") {
			t.Errorf("batch with both kinds of key, withhold %t: got body %q", withhold, got)
		}
	}
}
