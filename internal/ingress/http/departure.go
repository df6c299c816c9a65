package httpingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// departureProbeTimeout is how long the node waits for the sign that a client which has closed its sending side still
	// reads. Without it the client counts as gone.
	departureProbeTimeout = 100 * time.Millisecond
	// departureProbeInterval is between two looks for that sign.
	departureProbeInterval = time.Millisecond
)

// answerPrefix is how each answer to a request of HTTP/1.1 begins.
const answerPrefix = "HTTP/1.1 "

// errUnexpectedAnswer ends a connection on which an answer would not continue after answerPrefix.
var errUnexpectedAnswer = errors.New("the answer does not begin as expected")

// clientHasLeft reports whether the client of a request has closed its connection. It gets no answer then, and may submit the
// message elsewhere, so the message must not be accepted any more.
//
// A client that has only closed its sending side looks the same at first. It gets the first bytes of its answer, which its
// system acknowledges; that of a client that has left resets the connection.
func (c *clientConn) clientHasLeft(r *http.Request) bool {
	state, _ := c.tcpState()
	if state != unix.BPF_TCP_CLOSE_WAIT || !r.ProtoAtLeast(1, 1) {
		return state == unix.BPF_TCP_CLOSE
	}
	if _, err := io.WriteString(c.Conn, answerPrefix); err != nil {
		return true
	}
	c.prefixSent = true
	for until := time.Now().Add(departureProbeTimeout); time.Now().Before(until); time.Sleep(departureProbeInterval) {
		switch state, unacknowledged := c.tcpState(); {
		case state != unix.BPF_TCP_CLOSE_WAIT:
			return true
		case unacknowledged == 0:
			return false
		}
	}
	return true
}

// Write implements [net.Conn]. It leaves out the begin of an answer that clientHasLeft has sent.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.prefixSent {
		return c.Conn.Write(b)
	}
	c.prefixSent = false
	rest, found := bytes.CutPrefix(b, []byte(answerPrefix))
	if !found {
		return 0, errUnexpectedAnswer
	}
	n, err := c.Conn.Write(rest)
	return n + len(b) - len(rest), err
}

// tcpState returns the state of the connection (tcp(7)), and how many segments the client has not acknowledged. A connection
// whose state can't be read, or that is not TCP, counts as established.
func (c *clientConn) tcpState() (state uint8, unacknowledged uint32) {
	state = unix.BPF_TCP_ESTABLISHED
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return state, 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return state, 0
	}
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection, whose answer can't be sent anyway
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state, unacknowledged = info.State, info.Unacked
		}
	})
	return state, unacknowledged
}
