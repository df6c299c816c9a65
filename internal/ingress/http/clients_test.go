package httpingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/directory"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
)

// clientLimit is how many clients the server has at once.
const clientLimit = 8

// newClientServer serves a handler over loopback.
func newClientServer(t *testing.T, in *Handler) *Listener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Must(t, err)
	l := NewListener(raw, clientLimit, 0)
	in.accept = func(*message.Message) {}
	server := NewServer(l, in, testkit.QuietLog())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve() // ends with the test
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l
}

func dialClient(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	testkit.Must(t, err)
	testkit.Must(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// rawNote is a request as it goes over the wire, with further lines in its head.
func rawNote(id, more string) string {
	return "POST /note HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: note\r\n" +
		"X-Timeout-Ms: 5000\r\nX-Route-To: dest=7\r\nIdempotency-Key: k\r\n" + more + "\r\n"
}

const noteLength = "Content-Length: 4\r\n"

func askNote(t *testing.T, c net.Conn, id string) int {
	t.Helper()
	_, err := io.WriteString(c, rawNote(id, noteLength)+"body")
	testkit.Must(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", id, err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Clients that connect by hundreds and say nothing, and clients that keep their
// connections for good, must not shut the others out, and must not pile up.
func TestSilentAndIdleClientsGiveWay(t *testing.T) {
	var accepted []*message.Message
	in := newIntakeOf(t, 100, &accepted)
	l := newClientServer(t, in)
	for i := range 24 {
		dialClient(t, l)
		if i%2 == 0 {
			if got := askNote(t, dialClient(t, l), fmt.Sprint("m", i)); got != http.StatusAccepted {
				t.Fatalf("client %d was answered %d", i, got)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count > 8 || l.silent.Len()+l.idle.Len() > l.count {
		t.Errorf("%d connections are held (%d silent, %d idle), want 8 at most", l.count, l.silent.Len(), l.idle.Len())
	}
}

// A connection that sends nothing, half a head or half a body is closed within 3 s,
// and leaves nothing behind.
func TestUnfinishedRequestsEndInTime(t *testing.T) {
	var accepted []*message.Message
	l := newClientServer(t, newIntake(t, &accepted))
	start := time.Now()
	var conns []net.Conn
	for _, text := range []string{"", "POST /note HTT", rawNote("a", noteLength) + "b"} {
		c := dialClient(t, l)
		_, err := io.WriteString(c, text)
		testkit.Must(t, err)
		conns = append(conns, c)
	}
	for i, c := range conns {
		_, err := io.Copy(io.Discard, c)
		var ne net.Error
		if errors.As(err, &ne) {
			t.Fatalf("connection %d was not ended", i)
		}
	}
	// The deadlines end them within 3 s; the rest is room for a slow machine.
	if took := time.Since(start); took > 4500*time.Millisecond {
		t.Errorf("the last was ended after %v", took)
	}
	eventually(t, l, "no connection is counted", func() bool { return l.count == 0 })
}

// After a request that makes no sense the connection ends: what lies behind it, or
// inside its body, is not a request.
func TestNothingIsReadBehindABadRequest(t *testing.T) {
	hidden := rawNote("hidden", noteLength) + "body"
	for name, text := range map[string]string{
		"both lengths":     rawNote("a", "Transfer-Encoding: chunked\r\n"+noteLength) + "0\r\n\r\n",
		"chunked":          rawNote("a", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 chunked": strings.Replace(rawNote("a", "Transfer-Encoding: chunked\r\n"+noteLength)+"body", "1.1", "1.0", 1),
		"lengths apart":    rawNote("a", noteLength+"Content-Length: 5\r\n") + "body",
		"negative length":  rawNote("a", "Content-Length: -4\r\n"),
		"huge length":      rawNote("a", "Content-Length: 99999999999999999999\r\n"),
		"long body":        rawNote("a", "Content-Length: 60000000\r\n"),
		"no length":        rawNote("a", ""),
		"two ids":          rawNote("a", "X-Request-ID: b\r\n"+noteLength) + "body",
		"no such class":    strings.Replace(rawNote("a", noteLength)+"body", "/note", "/other", 1),
		"no number":        strings.Replace(rawNote("a", noteLength)+"body", "5000", "soon", 1),
		"no head":          "\x00\x01\x02\r\n\r\n",
		"endless head":     "POST /note HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10),
	} {
		t.Run(name, func(t *testing.T) {
			var accepted []*message.Message
			in := newIntake(t, &accepted)
			l := newClientServer(t, in)
			c := dialClient(t, l)
			go func() { _, _ = io.WriteString(c, text+hidden) }() // may be cut off
			all, err := io.ReadAll(c)
			var ne net.Error
			if errors.As(err, &ne) {
				t.Fatal("neither an error nor a close came")
			}
			if n := bytes.Count(all, []byte("HTTP/1.1 ")); n > 1 || bytes.Contains(all, []byte("HTTP/1.1 2")) {
				t.Errorf("answered %q, want one error or a close", all)
			}
			if n := in.registry.Count(); n != 0 {
				t.Errorf("%d messages were taken", n)
			}
		})
	}
}

// The answer to a body that is too long reaches a client that reads only when it
// has sent all of it.
func TestLongBodyHearsItsAnswer(t *testing.T) {
	var accepted []*message.Message
	c := dialClient(t, newClientServer(t, newIntake(t, &accepted)))
	const size = 16 << 20
	_, err := io.WriteString(c, rawNote("a", fmt.Sprintf("Content-Length: %d\r\n", size)))
	testkit.Must(t, err)
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatalf("sending was cut off: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	testkit.Must(t, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %s", resp.Status)
	}
}

// A plain refusal leaves a good connection open for the next try.
func TestRefusalKeepsTheConnection(t *testing.T) {
	var accepted []*message.Message
	in := newIntakeOf(t, 1, &accepted)
	in.registry.Adopt("another", 7, 0, 0)
	c := dialClient(t, newClientServer(t, in))
	if got := askNote(t, c, "a"); got != http.StatusServiceUnavailable {
		t.Fatalf("answered %d by a node without capacity", got)
	}
	in.registry.Observe([]admission.Observation{{Kind: admission.MessageCompleted, MessageID: "another"}})
	if got := askNote(t, c, "b"); got != http.StatusAccepted {
		t.Errorf("answered %d on the same connection", got)
	}
}

// Messages with destinations and times that the settings and discovery don't know are not accepted;
// before the first list of discovery the client gets a Retry-After.
func TestUnknownDestinations(t *testing.T) {
	var accepted []*message.Message
	in := newIntakeOf(t, 10, &accepted)
	l := newClientServer(t, in)
	ask := func(id, from, to string) int {
		t.Helper()
		c := dialClient(t, l)
		_, err := io.WriteString(c, strings.Replace(rawNote(id, noteLength)+"body", from, to, 1))
		testkit.Must(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		testkit.Must(t, err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for name, c := range map[string]struct {
		from, to string
		known    bool
		want     int
	}{
		"known":           {"", "", true, http.StatusAccepted},
		"unknown":         {"dest=7", "dest=8", true, http.StatusNotFound},
		"not told":        {"dest=7", "dest=8", false, http.StatusServiceUnavailable},
		"known of old":    {"", "", false, http.StatusAccepted},
		"a day":           {"5000", "86400000", true, http.StatusBadRequest},
		"negative number": {"dest=7", "dest=-7", true, http.StatusBadRequest},
		"beyond the form": {"dest=7", "dest=65536", true, http.StatusBadRequest},
	} {
		in.registry.SetDestinations(map[int]bool{7: true}, c.known)
		if got := ask(strings.ReplaceAll(name, " ", "-"), c.from, c.to); got != c.want {
			t.Errorf("%s: answered %d, want %d", name, got, c.want)
		}
	}
	if n := in.registry.Count(); n != 2 {
		t.Errorf("%d messages are held, want the two good ones", n)
	}
}

// Where the ingress accepts 32 bits, a number beyond 65,535 is one of a destination; an error names the highest.
func TestWideDestinations(t *testing.T) {
	for text, c := range map[string]struct {
		highest uint64
		want    int
		err     string
	}{
		"dest=65535":                {directory.MaxPlatformDestination, 65535, ""},
		"dest=65536":                {directory.MaxPlatformDestination, 0, "dest=65536 is not between 0 and 65535"},
		"dest=169999":               {math.MaxUint32, 169999, ""},
		"dest=4294967295":           {math.MaxUint32, math.MaxUint32, ""},
		"dest=4294967296":           {math.MaxUint32, 0, "dest=4294967296 is not between 0 and 4294967295"},
		"dest=99999999999999999999": {math.MaxUint32, 0, "dest=99999999999999999999 is not between 0 and 4294967295"},
		"dest=-1":                   {math.MaxUint32, 0, "dest=-1 is not between 0 and 4294967295"},
	} {
		got, err := destination(text, c.highest)
		if got != c.want || (err == nil) != (c.err == "") || err != nil && err.Error() != c.err {
			t.Errorf("%s of %d: %d, %v; want %d, %q", text, c.highest, got, err, c.want, c.err)
		}
	}
}

// A node that knows of no endpoint is not ready; one that knows an old list is.
func TestReadyWhenEndpointsAreKnown(t *testing.T) {
	var accepted []*message.Message
	in := newIntake(t, &accepted)
	l := newClientServer(t, in)
	for _, c := range []struct {
		dests map[int]bool
		known bool
		want  int
	}{{nil, false, 503}, {map[int]bool{7: true}, false, 200}, {nil, true, 200}} {
		in.registry.SetDestinations(c.dests, c.known)
		resp, err := http.Get("http://" + l.Addr().String() + "/healthz")
		testkit.Must(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("destinations %v, known %v: answered %s, want %d", c.dests, c.known, resp.Status, c.want)
		}
	}
}

// Once half of the places for connections are in use a response closes its own connection, in words
// that the client reads: one that is closed unsaid counts as open with whoever stands between.
func TestCrowdedAnswersEndTheirConnections(t *testing.T) {
	var accepted []*message.Message
	in := newIntakeOf(t, 100, &accepted)
	l := newClientServer(t, in)
	// ask reports whether the connection is closed after the response.
	ask := func(c net.Conn, id string) (closes bool) {
		t.Helper()
		_, err := io.WriteString(c, rawNote(id, noteLength)+"body")
		testkit.Must(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		testkit.Must(t, err)
		testkit.Must(t, resp.Body.Close())
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s was answered %d", id, resp.StatusCode)
		}
		return resp.Close
	}
	for i := range 4 {
		if ask(dialClient(t, l), fmt.Sprint("kept", i)) {
			t.Errorf("connection %d of 8 was not kept", i+1)
		}
	}
	for i := range 8 {
		c := dialClient(t, l)
		if !ask(c, fmt.Sprint("ended", i)) {
			t.Fatalf("connection %d beyond half was kept", i+1)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("a connection that was said to end has not: %v", err)
		}
	}
}
