package http1

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// Guards against a keyed message that runs a second time, because its call was written in time and the kernel sends it again
// until the endpoint's machine takes it, after the key's window or after the call was given up.
func TestUnacknowledgedCallDoesNotArriveLater(t *testing.T) {
	for name, c := range map[string]struct{ window, limit time.Duration }{
		"after the window":    {700 * time.Millisecond, testTimeout},
		"after the call":      {testTimeout, 700 * time.Millisecond},
		"after both together": {700 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			const bodyBytes = 128 << 10 // more than the endpoint's buffer takes, less than the node's
			over, arrived := make(chan struct{}), make(chan error, 1)
			listen := net.ListenConfig{Control: socketBuffer(syscall.SO_RCVBUF, 4<<10)}
			l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
			testkit.Must(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					arrived <- err
					return
				}
				defer func() { _ = conn.Close() }()
				<-over
				arrived <- readRequest(bufio.NewReader(conn))
			}()
			f := newCallFixture(t, l.Addr().String())
			f.carrier.recorder.Store = discardingStore{}
			f.carrier.dialer.Control = socketBuffer(syscall.SO_SNDBUF, 4<<20)
			m := newMessage("large", bodyBytes)
			m.KeyWindow = c.window
			m.History.RecordAttempt(0, time.Now())
			m.History.RecordOutcome(policy.TimedOut)
			f.call(c.limit, m)
			if e := f.next(); e.Outcome != policy.Reset && e.Outcome != policy.TimedOut {
				t.Errorf("got %v, want a call that may have run", e.Outcome)
			}
			close(over)
			if err := <-arrived; err == nil {
				t.Error("the call arrived completely after it had to be over")
			}
		})
	}
}

// socketBuffer sets the size of a buffer of a socket before it is used.
func socketBuffer(option, bytes int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, bytes) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
