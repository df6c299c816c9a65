package http1

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// Guards against a message that is lost, or runs twice, because the second copy of an earlier response is read as the response
// to its own call: what an outcome proves agrees with what the endpoint ran.
func TestLateCopyOfResponseProvesNothing(t *testing.T) {
	for name, constant := range map[string]bool{"responses that differ": false, "equal responses": true} {
		t.Run(name, func(t *testing.T) {
			system := partner.New(time.Minute, 0)
			system.ConstantResponses = constant
			system.SetMode(partner.RepeatsResponses)
			addr, err := system.Listen("north")
			testkit.Must(t, err)
			t.Cleanup(func() { testkit.Must(t, system.Close()) })
			f := newCallFixture(t, addr)
			const calls = 12
			for range calls {
				m := f.start(5*time.Second, 1)[0]
				e := f.next()
				f.carrier.running.Wait()
				ran := system.Ledger().Effects[m.ID] > 0
				if e.Outcome == policy.Delivered && !ran || e.Outcome == policy.RateLimited && ran {
					t.Errorf("%s: got outcome %v, but the endpoint ran it: %t", m.ID, e.Outcome, ran)
				}
			}
			f.carrier.pool.closeIdleSince(time.Now(), nil)
			if copies := system.Copies(); !constant && copies == 0 {
				t.Error("no response was sent a second time, want at least one")
			}
		})
	}
}

// The outcome of a call that gets a copy of an earlier response first is that of its own response, and without one it may have run.
func TestOutcomeAfterCopyOfEarlierResponse(t *testing.T) {
	const rejection = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	batch := func(ids ...int) string {
		body := ""
		for _, id := range ids {
			body += fmt.Sprintf("id%d done\r\n", id)
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, c := range map[string]struct {
		messages int    // of each call but the first
		earlier  string // response to the second call, the first on its connection
		copied   string // what comes of it a second time
		own      string
		want     policy.Outcome
	}{
		"own rejection":                   {1, deliveredResponse(2), deliveredResponse(2), rejection, policy.RateLimited},
		"own delivery":                    {1, deliveredResponse(2), deliveredResponse(2), deliveredResponse(3), policy.Delivered},
		"no response of its own":          {1, deliveredResponse(2), deliveredResponse(2), "", policy.Reset},
		"incomplete copy":                 {1, deliveredResponse(2), deliveredResponse(2)[:30], "", policy.Failed},
		"copy without its body":           {1, deliveredResponse(2), deliveredResponse(2)[:len(deliveredResponse(2))-2], "", policy.Reset},
		"own delivery without its body":   {1, deliveredResponse(2), "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n0", policy.Delivered},
		"own delivery with invalid head":  {1, deliveredResponse(2), "", "HTTP/1.1 200 OK\r\n:\r\n\r\n", policy.Delivered},
		"two copies, then own rejection":  {1, deliveredResponse(2), deliveredResponse(2) + deliveredResponse(2), rejection, policy.RateLimited},
		"batch, own results":              {2, batch(2, 3), batch(2, 3), batch(4, 5), policy.Delivered},
		"batch, own rejection":            {2, batch(2, 3), batch(2, 3), rejection, policy.RateLimited},
		"batch, no results of its own":    {2, batch(2, 3), batch(2, 3), "", policy.Reset},
		"rejection that was no copy":      {1, deliveredResponse(2), "", rejection, policy.RateLimited},
		"more copies than can be ignored": {1, deliveredResponse(2), repeated(deliveredResponse(2), maxIgnoredCopies+1), rejection, policy.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			addr := rawServer(t, func(n int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				if readRequest(r) != nil {
					return
				}
				if n == 1 {
					_, _ = fmt.Fprint(conn, deliveredResponse(1))
					return
				}
				_, _ = fmt.Fprint(conn, c.earlier)
				if readRequest(r) == nil {
					_, _ = fmt.Fprint(conn, c.copied, c.own)
				}
			})
			f := newCallFixture(t, addr)
			f.learnBodies()
			f.start(testTimeout, c.messages)
			for range c.messages {
				if e := f.next(); e.Outcome != policy.Delivered {
					t.Fatalf("first call on the connection: got %v, want it delivered", e.Outcome)
				}
			}
			f.carrier.running.Wait()
			f.start(testTimeout, c.messages)
			for range c.messages {
				if e := f.next(); e.Outcome != c.want {
					t.Errorf("got %v, want %v", e.Outcome, c.want)
				}
			}
		})
	}
}

func repeated(text string, n int) (all string) {
	for range n {
		all += text
	}
	return all
}

// A connection is used again only after a response of which a copy would be recognized.
func TestConnectionIsReusedOnlyAfterRecognizableResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response func(n int64) string
		want     int // connections for four calls
	}{
		"bodies that differ":            {deliveredResponse, 2},
		"equal bodies":                  {func(int64) string { return deliveredResponse(0) }, 4},
		"no bodies":                     {func(int64) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }, 4},
		"rejections":                    {func(int64) string { return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n" }, 4},
		"two equal bodies, then others": {func(n int64) string { return deliveredResponse(max(2, n)) }, 4},
	} {
		t.Run(name, func(t *testing.T) {
			calls, conns := make(chan int64, 1), make(chan int, 8)
			calls <- 0
			addr := rawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				conns <- 1
				for r := bufio.NewReader(conn); readRequest(r) == nil; {
					n := <-calls + 1
					_, _ = fmt.Fprint(conn, c.response(n))
					calls <- n
				}
			})
			f := newCallFixture(t, addr)
			for range 4 {
				f.start(testTimeout, 1)
				f.next()
				f.carrier.running.Wait()
			}
			f.carrier.pool.closeIdleSince(time.Now(), nil)
			if n := len(conns); n != c.want {
				t.Errorf("connections for 4 calls: got %d, want %d", n, c.want)
			}
		})
	}
}

// The first response of an endpoint keeps its connection if the bodies of other endpoints have differed, until two were equal.
func TestFirstBodyIsEvaluatedByThoseOfOtherEndpoints(t *testing.T) {
	f := newCallFixture(t, "")
	steps := []struct {
		endpoint int
		body     string
		want     bool
	}{
		{0, "a", false}, // nothing is known
		{0, "b", true},
		{1, "c", true}, // as at endpoint 0
		{1, "d", true},
		{2, "e", true},
		{2, "e", false}, // equal
		{2, "f", false},
		{3, "g", false}, // as at endpoint 2
		{3, "h", true},
		{0, "i", true},
	}
	endpoints := make([]egress.Endpoint, 4)
	for i, s := range steps {
		if got := f.carrier.bodiesDiffer(&endpoints[s.endpoint], []byte(s.body)); got != s.want {
			t.Errorf("step %d, endpoint %d, body %s: got %t, want %t", i, s.endpoint, s.body, got, s.want)
		}
	}
}
