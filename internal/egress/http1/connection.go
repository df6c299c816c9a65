package http1

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
	"wingmount/internal/egress"
)

const (
	// maxResponseBytes limits the bytes read of one response, including its headers.
	maxResponseBytes = 64 << 10
	// maxInterimResponses limits the 1xx responses before the final response.
	maxInterimResponses = 8
	// responseTimeout limits the time from the first byte of a response to its last byte.
	responseTimeout = 500 * time.Millisecond
	// remainderTimeout limits the time for the rest of a response if its status line already
	// determined the outcome.
	remainderTimeout = 100 * time.Millisecond
)

// errUnsent means that not all bytes of a call were written, so the call never ran.
var errUnsent = errors.New("call was not completely written")

// errNotPermitted means that no byte of a call was written, because it may no longer be sent.
var errNotPermitted = errors.New("call may no longer be sent")

// connection is a connection to an endpoint. It carries one call at a time. Bytes read from it are
// the response to that call or copies of earlier responses, see identity.go.
type connection struct {
	net.Conn
	endpoint  *egress.Endpoint
	addr      string
	idleSince time.Time
	reused    bool             // whether it carried an earlier call
	earlier   []responseDigest // of the responses to earlier calls
	copies    int              // number of copies of earlier responses that were ignored
	element   *list.Element    // its element in pool.all while idle
	readErr   error            // of the last read
	readable  int64            // bytes that may still be read of the current response
	reader    *bufio.Reader
}

func newConnection(conn net.Conn, e *egress.Endpoint, addr string) *connection {
	c := &connection{Conn: conn, endpoint: e, addr: addr}
	c.reader = bufio.NewReader(limitedReader{c})
	return c
}

// limitedReader reads at most connection.readable bytes from a connection, and decreases readable
// by the bytes read. It sets connection.readErr.
type limitedReader struct{ c *connection }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.readable <= 0 {
		return 0, fmt.Errorf("%w: response exceeds %d bytes", errInvalidResponse, maxResponseBytes)
	}
	n, err := r.c.Read(p[:min(int64(len(p)), r.c.readable)])
	r.c.readable -= int64(n)
	r.c.readErr = err
	return n, err
}

// send writes all bytes of a call until the time by, or without a limit if by is zero. It calls checkPermitted right before
// the first byte, because the process may have been paused since the last check. Errors of checkPermitted are wrapped in
// errNotPermitted, all others in errUnsent.
func (c *connection) send(req *http.Request, by time.Time, checkPermitted func() error) error {
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return fmt.Errorf("%w: %w", errUnsent, err)
	}
	if err := c.SetWriteDeadline(by); err != nil {
		return fmt.Errorf("%w: %w", errUnsent, err)
	}
	if err := checkPermitted(); err != nil {
		return fmt.Errorf("%w: %w", errNotPermitted, err)
	}
	if n, err := c.Write(b.Bytes()); n < b.Len() {
		return fmt.Errorf("%w: wrote %d of %d bytes: %w", errUnsent, n, b.Len(), err)
	}
	return nil
}

// receive reads the response to a request, and ignores copies of earlier responses. On the first response of a connection it
// calls onStatus as soon as the status line is read. onStatus reports whether this status determines the outcome, regardless
// of the rest of the response.
func (c *connection) receive(req *http.Request, onStatus func(status int) bool) (response, error) {
	if len(c.earlier) > 0 {
		onStatus = func(int) bool { return false } // not known yet to which request the response belongs
	}
	for {
		r, err := c.receiveAny(req, onStatus)
		if err != nil || !c.isCopy(r) {
			return r, err
		}
		if c.copies++; c.copies > maxIgnoredCopies {
			return response{}, fmt.Errorf("%w: %d copies of earlier responses", errInvalidResponse, c.copies)
		}
	}
}

// receiveAny reads the next response on the connection, whatever request it belongs to.
func (c *connection) receiveAny(req *http.Request, onStatus func(status int) bool) (response, error) {
	c.readable = maxResponseBytes
	for range maxInterimResponses {
		status, err := c.awaitStatus()
		if err != nil {
			return response{}, err
		}
		if status >= http.StatusOK {
			if onStatus(status) {
				if err := c.SetReadDeadline(time.Now().Add(remainderTimeout)); err != nil {
					return response{}, err
				}
			}
			return c.readResponse(req, status)
		}
		interim, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return response{}, classifyReadError(err)
		}
		_ = interim.Body.Close() // a 1xx response has no body
		if status == http.StatusSwitchingProtocols {
			break
		}
	}
	return response{}, fmt.Errorf("%w: no final response after 1xx", errInvalidResponse)
}

// awaitStatus waits for the first byte of a response without a time limit, until the connection is
// closed, and then up to responseTimeout for the status line. It returns the status code.
func (c *connection) awaitStatus() (int, error) {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return 0, err
	}
	status, err := c.peekStatus()
	if err != nil {
		return 0, classifyReadError(err)
	}
	return status, nil
}

// peekStatus returns the status code without consuming the status line.
func (c *connection) peekStatus() (int, error) {
	for n := 1; ; {
		_, err := c.reader.Peek(n)
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
		if i := bytes.IndexByte(buffered, '\n'); i >= 0 {
			return parseStatus(bytes.TrimSuffix(buffered[:i], []byte("\r")))
		}
		if err != nil {
			return 0, err
		}
		n = len(buffered) + 1
	}
}

// parseStatus returns the status code of a status line such as 'HTTP/1.1 200 OK'.
func parseStatus(line []byte) (int, error) {
	const minimal = "HTTP/1.x 200"
	digit := func(i int) bool { return line[i] >= '0' && line[i] <= '9' }
	if len(line) < len(minimal) || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !digit(7) || line[8] != ' ' ||
		!digit(9) || line[9] == '0' || !digit(10) || !digit(11) || len(line) > len(minimal) && line[len(minimal)] != ' ' {
		return 0, fmt.Errorf("%w: invalid status line %.40q", errInvalidResponse, line)
	}
	return int(line[9]-'0')*100 + int(line[10]-'0')*10 + int(line[11]-'0'), nil
}

// readResponse reads a response whose status line was peeked. On an error it returns the fields that
// were read before the error.
func (c *connection) readResponse(req *http.Request, status int) (response, error) {
	r := response{status: status}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return r, classifyReadError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.header, r.digest.head = resp.Header, digestHead(resp)
	if resp.ContentLength > maxResponseBytes {
		return r, fmt.Errorf("%w: Content-Length is %d, want at most %d", errInvalidResponse, resp.ContentLength, maxResponseBytes)
	}
	if r.body, err = io.ReadAll(resp.Body); err != nil {
		return r, classifyReadError(err)
	}
	r.digest.complete = digestResponse(r.digest.head, r.body)
	surplus, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	r.reusable = !resp.Close && len(surplus) == 0 && c.copies == 0
	// Bytes after a response other than 200 may belong to a body longer than its Content-Length. Such a
	// response does not prove that the call did not run, so it counts as invalid. A second copy of the
	// response is harmless, and so are any bytes after a response with status 200.
	if status != http.StatusOK && len(surplus) > 0 && !bytes.HasPrefix(surplus, []byte("HTTP/1.")) {
		return r, fmt.Errorf("%w: %d surplus bytes after the response", errInvalidResponse, len(surplus))
	}
	return r, nil
}

// classifyReadError returns errors of a broken connection unchanged. It wraps all other errors in
// errInvalidResponse: the response can't be parsed, or it stopped before its end while the
// connection stayed open.
func classifyReadError(err error) error {
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.Is(err, errInvalidResponse):
		return err
	case errors.As(err, &netErr) && netErr.Timeout():
		return fmt.Errorf("%w: timed out before its end", errInvalidResponse)
	case errors.As(err, &opErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidResponse, err)
}

// isReusable reports whether the connection is open and no bytes were received on it since the
// last response. Any such bytes would be read as the response to the next call.
func (c *connection) isReusable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
