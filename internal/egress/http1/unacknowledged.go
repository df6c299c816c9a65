package http1

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel sends bytes again that the endpoint's machine has not acknowledged, also after the connection was closed. A call
// may arrive that way long after it was written, and even after the key of its message has expired.

// hasUnacknowledged reports whether the endpoint's machine has not acknowledged all bytes that were written. It returns false
// where the kernel does not tell.
func (c *connection) hasUnacknowledged() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var bytes int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && ioctlErr == nil && bytes > 0
}

// abandon closes the connection and drops bytes that are not acknowledged, so that they do not arrive later.
func (c *connection) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.hasUnacknowledged() {
		_ = tcp.SetLinger(0) // Close resets the connection
	}
	_ = c.Close()
}

// abandonAfter abandons the connection when the context ends. The caller must call stop when the call has ended. It returns
// false if the context has ended, and only once the connection is abandoned: its reader notices the close a moment before the
// kernel has dropped the bytes, and the outcome of the call must not be reported meanwhile.
func (c *connection) abandonAfter(ctx context.Context) (stop func() bool) {
	abandoned := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(abandoned)
		c.abandon()
	})
	return stopOrAwait(cancel, abandoned)
}

// abandonUnacknowledgedAt abandons the connection at a time, if bytes are not acknowledged then. A zero time is never. The
// caller must call stop as with abandonAfter.
func (c *connection) abandonUnacknowledgedAt(at time.Time) (stop func() bool) {
	if at.IsZero() {
		return func() bool { return true }
	}
	abandoned := make(chan struct{})
	timer := time.AfterFunc(time.Until(at), func() {
		defer close(abandoned)
		if c.hasUnacknowledged() {
			c.abandon()
		}
	})
	return stopOrAwait(timer.Stop, abandoned)
}

// stopOrAwait returns a function that cancels a callback, or awaits its end if it has begun. It reports whether the callback
// was canceled.
func stopOrAwait(cancel func() bool, ended <-chan struct{}) func() bool {
	return func() bool {
		if cancel() {
			return true
		}
		<-ended
		return false
	}
}
