package httpingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
)

// gate blocks the goroutines that pass a failure point, from the time at which it is closed.
type gate struct {
	mu      sync.Mutex
	closed  bool
	arrived chan struct{} // one for each blocked goroutine
	open    chan struct{}
}

// newGate arms a point with a gate that is open.
func newGate(t *testing.T, point string) *gate {
	t.Helper()
	g := &gate{arrived: make(chan struct{}, 64), open: make(chan struct{})}
	disarm, err := failpoint.Set(point, func() error {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed {
			g.arrived <- struct{}{}
			<-g.open
		}
		return nil
	})
	testkit.Must(t, err)
	t.Cleanup(disarm)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// wait waits until a goroutine is blocked.
func (g *gate) wait(t *testing.T) {
	t.Helper()
	select {
	case <-g.arrived:
	case <-time.After(testTimeout):
		t.Fatal("no goroutine passed the failure point")
	}
}

func (g *gate) release() {
	g.mu.Lock()
	g.closed = false
	g.mu.Unlock()
	close(g.open)
}

// endingLimit is how many clients the server has at once.
const endingLimit = 4

// newEndingServer serves a handler over loopback, and returns the function that stops it.
func newEndingServer(t *testing.T) (in *Handler, l *Listener, stop func(context.Context) error) {
	t.Helper()
	var accepted []*message.Message
	in = newIntakeOf(t, 100, &accepted)
	in.accept = func(*message.Message) {}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	testkit.Must(t, err)
	l = NewListener(raw, endingLimit, 0)
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
	return in, l, server.Stop
}

func sendNote(t *testing.T, c net.Conn, id string) {
	t.Helper()
	_, err := io.WriteString(c, rawNote(id, noteLength)+"body")
	testkit.Must(t, err)
}

// reply is a response without its body.
type reply struct {
	Status     string
	StatusCode int
	Close      bool
}

// readReply reads one response.
func readReply(t *testing.T, r *bufio.Reader, what string) reply {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", what, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return reply{resp.Status, resp.StatusCode, resp.Close}
}

// eventually waits until a condition of a listener is true.
func eventually(t *testing.T, l *Listener, what string, condition func() bool) {
	t.Helper()
	testkit.EventuallyWithin(t, testTimeout, what, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return condition()
	})
}

// rests returns a client of a listener for four whose connection rests after an answer.
func rests(t *testing.T, l *Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := dialClient(t, l)
	r := bufio.NewReader(c)
	sendNote(t, c, "first")
	if resp := readReply(t, r, "the first request"); resp.StatusCode != http.StatusAccepted || resp.Close {
		t.Fatalf("the first request was answered %s, the last of its connection: %v", resp.Status, resp.Close)
	}
	eventually(t, l, "one connection rests", func() bool { return l.count == 1 && l.idle.Len() == 1 })
	return c, r
}

// busy takes the other three places by requests that are half sent.
func busy(t *testing.T, l *Listener) {
	t.Helper()
	for range 3 {
		_, err := io.WriteString(dialClient(t, l), "POST /note HTT")
		testkit.Must(t, err)
	}
	eventually(t, l, "three requests are open", func() bool { return l.count == 4 && l.silent.Len() == 0 })
}

// latecomer sends a request on a new connection and waits until the idle one is retired.
func latecomer(t *testing.T, l *Listener) *bufio.Reader {
	t.Helper()
	c := dialClient(t, l)
	sendNote(t, c, "latecomer")
	eventually(t, l, "the idle connection is retired", func() bool { return l.idle.Len() == 0 })
	return bufio.NewReader(c)
}

// wantAccepted checks that a request was accepted, with a response that closes its connection or not.
func wantAccepted(t *testing.T, r *bufio.Reader, what string) {
	t.Helper()
	if resp := readReply(t, r, what); resp.StatusCode != http.StatusAccepted {
		t.Errorf("%s: answered %s", what, resp.Status)
	}
}

// A request that has been read at the moment at which its connection is retired is answered, and
// the new connection gets its place then.
func TestRequestReadAtTheEvictionIsAnswered(t *testing.T) {
	read := newGate(t, "front/http/after-read")
	_, l, _ := newEndingServer(t)
	c, r := rests(t, l)
	busy(t, l)
	read.close()
	sendNote(t, c, "second")
	read.wait(t) // it has been read, and the listener does not know
	late := latecomer(t, l)
	read.release()
	wantAccepted(t, r, "the request read at the eviction")
	wantAccepted(t, late, "who came last")
}

// A second request that came in one segment with the first is in the server's buffer when the connection
// seems idle, and no read shows it. It is answered, though the place is needed.
func TestRequestInTheBufferIsAnswered(t *testing.T) {
	rest := newGate(t, "front/http/at-rest")
	_, l, _ := newEndingServer(t)
	rest.close()
	c := dialClient(t, l)
	r := bufio.NewReader(c)
	_, err := io.WriteString(c, rawNote("one", noteLength)+"body"+rawNote("two", noteLength)+"body")
	testkit.Must(t, err)
	wantAccepted(t, r, "the first of two")
	rest.wait(t)
	busy(t, l)
	late := latecomer(t, l)
	rest.release()
	wantAccepted(t, r, "the second of two")
	wantAccepted(t, late, "who came last")
}

// A request that comes on an idle connection at the moment at which it is retired, and that nobody
// has read, is found by the last read and answered.
func TestRequestUnreadAtTheEvictionIsAnswered(t *testing.T) {
	rest := newGate(t, "front/http/at-rest")
	_, l, _ := newEndingServer(t)
	rest.close()
	c := dialClient(t, l)
	r := bufio.NewReader(c)
	sendNote(t, c, "first")
	wantAccepted(t, r, "the first")
	rest.wait(t)
	busy(t, l)
	sendNote(t, c, "second") // on loopback what was written is there
	late := latecomer(t, l)
	rest.release()
	wantAccepted(t, r, "the request unread at the eviction")
	wantAccepted(t, late, "who came last")
}

// While it responds, the server reads a byte ahead. If that has come, the next request has begun, and the connection
// is not idle, though nothing more is read until the response is sent.
func TestByteReadAheadKeepsTheConnection(t *testing.T) {
	answer := newGate(t, "front/http/before-answer")
	_, l, _ := newEndingServer(t)
	answer.close()
	c := dialClient(t, l)
	r := bufio.NewReader(c)
	sendNote(t, c, "first")
	answer.wait(t)
	next := rawNote("second", noteLength) + "body"
	_, err := io.WriteString(c, next[:1])
	testkit.Must(t, err)
	eventually(t, l, "a byte has been read ahead", func() bool {
		for c := range l.all {
			return c.ahead
		}
		return false
	})
	answer.release()
	wantAccepted(t, r, "the first")
	busy(t, l)
	late := dialClient(t, l) // finds no place: all have a request open
	if _, err := late.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("who came last: %v", err)
	}
	_, err = io.WriteString(c, next[1:])
	testkit.Must(t, err)
	wantAccepted(t, r, "the request of which a byte was read ahead")
}

// stopping stops a server and returns its error, once it has ended.
func stopping(stop func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		done <- stop(ctx)
	}()
	return done
}

// A request that was read when the stop began is answered: it is rejected, and its connection closes after that.
func TestRequestReadAtTheStopIsAnswered(t *testing.T) {
	for name, first := range map[string]bool{"resting": true, "new": false} {
		t.Run(name, func(t *testing.T) {
			read := newGate(t, "front/http/after-read")
			in, l, stop := newEndingServer(t)
			c := dialClient(t, l)
			r := bufio.NewReader(c)
			if first {
				sendNote(t, c, "first")
				wantAccepted(t, r, "the first")
			}
			eventually(t, l, "it rests", func() bool { return l.count == 1 && l.idle.Len()+l.silent.Len() == 1 })
			read.close()
			sendNote(t, c, "second")
			read.wait(t)
			in.registry.Close(true)
			stopped := stopping(stop)
			eventually(t, l, "the stop has begun", func() bool { return l.stopping })
			read.release()
			if resp := readReply(t, r, "the request read at the stop"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("answered %s, the last of its connection: %v", resp.Status, resp.Close)
			}
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection goes on: %v", err)
			}
			testkit.Must(t, <-stopped)
			if n := in.registry.Count(); first && n != 1 || !first && n != 0 {
				t.Errorf("got %d messages in flight, want %t for one", n, first)
			}
		})
	}
}

// A stop closes idle connections, gracefully and at once, and waits for those with a request in progress.
func TestStopEndsWhatRests(t *testing.T) {
	_, l, stop := newEndingServer(t)
	c, r := rests(t, l)
	silent := dialClient(t, l)
	open := dialClient(t, l)
	_, err := io.WriteString(open, rawNote("half", noteLength)+"bo")
	testkit.Must(t, err)
	eventually(t, l, "all are known", func() bool { return l.count == 3 && l.silent.Len() == 1 })
	stopped := stopping(stop)
	for what, end := range map[string]io.Reader{"resting": r, "silent": silent} {
		if n, err := end.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%s: read %d bytes, %v; want the end", what, n, err)
		}
	}
	_ = c
	_, err = io.WriteString(open, "dy")
	testkit.Must(t, err)
	if resp := readReply(t, bufio.NewReader(open), "the request that was open"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("the request that was open was answered %s, the last of its connection: %v", resp.Status, resp.Close)
	}
	testkit.Must(t, <-stopped)
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("it listens still")
	}
}

// A stop that runs out of time closes the remaining connections, and returns an error.
func TestStopIsBounded(t *testing.T) {
	_, l, stop := newEndingServer(t)
	c := dialClient(t, l)
	_, err := io.WriteString(c, "POST /note HTT")
	testkit.Must(t, err)
	eventually(t, l, "a request is open", func() bool { return l.count == 1 && l.silent.Len() == 0 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := stop(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	if _, err := io.Copy(io.Discard, c); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection goes on: %v", err)
	}
}
