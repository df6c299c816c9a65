package httpingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
)

// newServerWithMemory serves a handler on connections whose requests have the least memory.
func newServerWithMemory(t *testing.T, in *Handler, connections int) *Listener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Must(t, err)
	l := NewListener(raw, connections, 1)
	in.accept = func(*message.Message) {}
	server := NewServer(l, in, testkit.QuietLog())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve() }) // ends with the test
	t.Cleanup(func() {
		_ = server.Close()
		serving.Wait()
	})
	return l
}

// longest returns a request with the longest body.
func longest(id string) string {
	return rawNote(id, fmt.Sprintf("Content-Length: %d\r\n", message.MaxBodyLength)) + strings.Repeat("x", message.MaxBodyLength)
}

// answerTo sends a request on a new connection and returns the status of its answer.
func answerTo(t *testing.T, l net.Listener, request string) int {
	t.Helper()
	c := dialClient(t, l)
	go func() { _, _ = io.WriteString(c, request) }() // may be cut off
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a node that is killed for its memory: requests that never end hold no more bytes than their limit, however many
// clients send them, and a client that sends its request at once is answered in time, with a short body or the longest.
func TestUnfinishedRequestsHoldLimitedMemory(t *testing.T) {
	const clients = 64
	var accepted []*message.Message
	l := newServerWithMemory(t, newIntake(t, &accepted), 2*clients)
	var sending sync.WaitGroup
	for i := range clients {
		c := dialClient(t, l)
		text := longest(fmt.Sprint("bad-", i))
		sending.Go(func() { _, _ = io.WriteString(c, text[:len(text)-1]) }) // may be cut off
	}
	stop := make(chan struct{})
	var peak int64
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			l.memory.mu.Lock()
			peak = max(peak, l.memory.used)
			l.memory.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	eventually(t, l, "the memory is in use", func() bool {
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		return l.memory.used > l.memory.limit/2
	})
	for id, request := range map[string]string{"short": rawNote("short", noteLength) + "body", "long": longest("long")} {
		start := time.Now()
		if status := answerTo(t, l, request); status != http.StatusAccepted {
			t.Errorf("%s: got status %d, want 202", id, status)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("%s: answered after %v", id, took)
		}
	}
	close(stop)
	watching.Wait()
	sending.Wait()
	if peak > l.memory.limit || peak < l.memory.limit/2 {
		t.Errorf("got a peak of %d bytes, want %d at most, and half of it at least", peak, l.memory.limit)
	}
	eventually(t, l, "all memory is released", func() bool {
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		return l.memory.used == 0 && l.memory.requests.Len() == 0
	})
}

// Guards against a header that takes many times its bytes once it is parsed. One with as many fields as allowed is accepted.
func TestHeaderWithTooManyFieldsIsRejected(t *testing.T) {
	var accepted []*message.Message
	l := newServerWithMemory(t, newIntake(t, &accepted), clientLimit)
	fields := strings.Count(rawNote("a", noteLength), "\r\n") - 2 // less the request line and the empty line
	for extra, want := range map[int]int{maxHeaderFields - fields: http.StatusAccepted, maxHeaderFields - fields + 1: http.StatusRequestHeaderFieldsTooLarge} {
		request := rawNote(fmt.Sprint("m", extra), strings.Repeat("a:\r\n", extra)+noteLength) + "body"
		if got := answerTo(t, l, request); got != want {
			t.Errorf("%d fields: got status %d, want %d", fields+extra, got, want)
		}
	}
}

// A client that waits for 100 Continue before it sends its body gets it, and then its answer.
func TestClientThatExpectsContinueIsAnswered(t *testing.T) {
	var accepted []*message.Message
	l := newServerWithMemory(t, newIntake(t, &accepted), clientLimit)
	c := dialClient(t, l)
	r := bufio.NewReader(c)
	for _, id := range []string{"one", "two"} {
		_, err := io.WriteString(c, rawNote(id, "Expect: 100-continue\r\n"+noteLength))
		testkit.Must(t, err)
		if resp := readReply(t, r, id); resp.StatusCode != http.StatusContinue {
			t.Fatalf("%s: got status %d, want 100", id, resp.StatusCode)
		}
		_, err = io.WriteString(c, "body")
		testkit.Must(t, err)
		wantAccepted(t, r, id)
	}
}

// Guards against clients that get around the limits: a request whose length is not known is the last one of its connection, and one
// with its length twice has a known length.
func TestRequestOfUnknownLengthClosesItsConnection(t *testing.T) {
	var accepted []*message.Message
	l := newServerWithMemory(t, newIntake(t, &accepted), clientLimit)
	const check = "GET /healthz HTTP/1.1\r\nHost: x\r\n"
	for name, test := range map[string]struct {
		request   string
		wantClose bool
	}{
		"plain":       {check + "\r\n", false},
		"same length": {check + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", false},
		"chunked":     {check + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"long":        {check + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), true},
	} {
		c := dialClient(t, l)
		go func() { _, _ = io.WriteString(c, test.request) }() // may be cut off
		if resp := readReply(t, bufio.NewReader(c), name); resp.StatusCode != http.StatusOK || resp.Close != test.wantClose {
			t.Errorf("%s: got status %d, the last of its connection %t, want 200, %t", name, resp.StatusCode, resp.Close, test.wantClose)
		}
	}
}

// Guards against clients that hold a connection: the time for a first request counts from the connection, and that for a later one
// from its first byte, also if that came together with the request before it.
func TestSlowRequestsEndInTime(t *testing.T) {
	const begin, beginLater = "POST /note HTT", 1800 * time.Millisecond
	for name, test := range map[string]struct {
		first string
		wait  time.Duration
		then  string
		want  time.Duration // from the connection to its end
	}{
		"late begin":         {"", beginLater, begin, requestTimeout},
		"late body":          {"", beginLater, rawNote("a", noteLength) + "b", requestTimeout},
		"begin of a second":  {rawNote("a", noteLength) + "body" + begin, 0, "", headerTimeout},
		"second, later":      {rawNote("a", noteLength) + "body", beginLater, begin, beginLater + headerTimeout},
		"bytes of a second":  {rawNote("a", noteLength) + "body" + begin[:1], beginLater / 2, begin[1:], headerTimeout},
		"body of the second": {rawNote("a", noteLength) + "body", 0, rawNote("b", noteLength) + "b", requestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var accepted []*message.Message
			l := newServerWithMemory(t, newIntake(t, &accepted), clientLimit)
			start := time.Now()
			c := dialClient(t, l)
			_, err := io.WriteString(c, test.first)
			testkit.Must(t, err)
			time.Sleep(test.wait)
			_, err = io.WriteString(c, test.then)
			testkit.Must(t, err)
			_, _ = io.Copy(io.Discard, c)
			const slowMachine = 800 * time.Millisecond
			if took := time.Since(start); took > test.want+slowMachine {
				t.Errorf("got the end of the connection after %v, want %v", took, test.want)
			}
		})
	}
}

// Requests are found in whatever pieces they arrive, also several in one piece.
func TestRequestsInPiecesAreAnswered(t *testing.T) {
	const requests = 8
	text := ""
	for i := range requests {
		text += rawNote(fmt.Sprint("m", i), noteLength) + "body"
	}
	for _, piece := range []int{1, 7, 100, 511, 512, 513, len(text)} {
		t.Run(fmt.Sprint(piece), func(t *testing.T) {
			var accepted []*message.Message
			l := newServerWithMemory(t, newIntakeOf(t, 100, &accepted), clientLimit)
			c := dialClient(t, l)
			go func() {
				for rest := text; len(rest) > 0; {
					n := min(piece, len(rest))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			r := bufio.NewReader(c)
			for i := range requests {
				wantAccepted(t, r, fmt.Sprint("m", i))
			}
		})
	}
}

// Guards against messages that are sent on although their client has gone: of the requests that are in the buffer when a client
// closes its connection without having read its answers, none is accepted any more.
func TestRequestsOfClientThatHasLeftAreNotAccepted(t *testing.T) {
	const requests = 40
	answer := newGate(t, "front/http/before-answer")
	answer.close()
	in, l, _ := newEndingServer(t)
	c := dialClient(t, l)
	text := ""
	for i := range requests {
		text += rawNote(fmt.Sprint("m", i), noteLength) + "body"
	}
	_, err := io.WriteString(c, text)
	testkit.Must(t, err)
	answer.wait(t) // the first is accepted, and has no answer yet
	testkit.Must(t, c.Close())
	answer.release()
	eventually(t, l, "the connection ends", func() bool { return l.count == 0 })
	if got := in.registry.Count(); got != 1 {
		t.Errorf("got %d of %d requests accepted, want the first one only", got, requests)
	}
}

// The same for a request that the node has not looked at when its client closes the connection: the client may submit it elsewhere
// at once. A client that has closed only its sending side gets its answer.
func TestRequestReadAfterItsClientLeftIsNotAccepted(t *testing.T) {
	for name, test := range map[string]struct {
		leave func(c *net.TCPConn) error
		want  int // messages accepted
	}{
		"closed":          {(*net.TCPConn).Close, 0},
		"closed to write": {(*net.TCPConn).CloseWrite, 1},
	} {
		t.Run(name, func(t *testing.T) {
			read := newGate(t, "front/http/after-read")
			read.close()
			in, l, _ := newEndingServer(t)
			c := dialClient(t, l)
			sendNote(t, c, "m")
			read.wait(t)
			testkit.Must(t, test.leave(c.(*net.TCPConn)))
			read.release()
			if test.want > 0 {
				wantAccepted(t, bufio.NewReader(c), "the message of a client that reads")
			}
			eventually(t, l, "the connection ends", func() bool { return l.count == 0 })
			if got := in.registry.Count(); got != test.want {
				t.Errorf("got %d messages accepted, want %d", got, test.want)
			}
		})
	}
}
