package httpingress

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"
	"wingmount/internal/message"
)

// A connection receives each request completely before the server reads a byte of it. So what a client makes the node hold
// is the bytes that it has sent, bounded over all clients by requestMemory: a parsed header, buffers of the server and
// its goroutine exist only for requests that can be answered at once.

const (
	// maxHeaderFields bounds the fields of a header. A parsed field takes many times the memory of its bytes.
	maxHeaderFields = 128
	// receiveBytes is the first capacity of the buffer of a request.
	receiveBytes = 512
	// maxReceivedHeader is more than the server accepts as a header.
	maxReceivedHeader = maxHeaderBytes + 5<<10
	// pipelineBurst is how many requests a client may send at once without waiting for their answers. After that it gets
	// pipelineRate requests a second, in groups of pipelinePause, so that one connection can't occupy the node.
	pipelineBurst = 128
	pipelineRate  = 500
	pipelinePause = 20 * time.Millisecond
)

// Answers to requests that the server never sees.
const (
	tooManyFieldsAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemoryAnswer      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// receiver is the part of a connection that receives requests. Only the goroutine that reads the connection uses it.
type receiver struct {
	memory requestBytes

	buffer    []byte // received, from the begin of the request on; it may have a part of the next one
	delivered int    // how much of it the server has read
	end       int    // of the request, 0 until it is complete
	header    header
	unbounded bool  // everything else goes directly to the server, which closes the connection with its answer
	body      int64 // bytes of the body that go directly to the server, as the client waits for 100 Continue
	err       error // to return once the buffer is delivered

	pipelined int       // requests that had arrived before the previous one was answered, less those that were due
	pacedAt   time.Time // when pipelined was last reduced
}

// header is what was found of a header so far.
type header struct {
	scanned   int // bytes
	line      int // begin of the line in progress
	lines     int
	length    int64 // announced length of the body
	hasLength bool  // it has been announced
	unbounded bool  // the length of the body is not valid, or not known
	expects   bool  // the client waits for 100 Continue before it sends the body
	complete  bool
}

// Read implements [net.Conn]. It returns bytes of a request once the request is complete.
func (c *clientConn) Read(b []byte) (int, error) {
	r := &c.receiver
	if r.needsRequest() {
		if len(b) == 1 {
			return c.readAhead(b)
		}
		c.receive(time.Time{})
	}
	switch {
	case r.delivered < r.end:
		n := copy(b, r.buffer[r.delivered:r.end])
		if r.delivered += n; r.delivered == r.end {
			c.requestDelivered()
		}
		return n, nil
	case r.err != nil:
		return 0, r.err
	case r.unbounded:
		return c.readSocket(b)
	default:
		n, err := c.readSocket(b[:min(int64(len(b)), r.body)])
		r.body -= int64(n)
		return n, err
	}
}

// needsRequest reports whether the server has read all that the buffer has for it, and what follows is a new request.
func (r *receiver) needsRequest() bool {
	return r.delivered >= r.end && !r.unbounded && r.body == 0 && r.err == nil
}

// readAhead reads the first byte of the next request. The server does that while it answers, to detect a client that has
// gone.
func (c *clientConn) readAhead(b []byte) (int, error) {
	r := &c.receiver
	if len(r.buffer) == 0 {
		n, err := c.readSocket(b)
		if n == 0 {
			return 0, err
		}
		if err := r.grow(); err != nil {
			return 0, err
		}
		r.buffer = append(r.buffer, b[0])
	}
	b[0] = r.buffer[0]
	r.delivered = 1
	c.setAhead(true, len(r.buffer) > 1)
	return 1, nil
}

// requestDelivered removes a request that the server has read from the buffer.
func (c *clientConn) requestDelivered() {
	r := &c.receiver
	next := r.buffer[r.end:]
	r.buffer, r.delivered, r.end, r.header = append([]byte(nil), next...), 0, 0, header{}
	if r.body == 0 && !r.unbounded {
		r.memory.release(int64(cap(r.buffer)))
	}
	c.setAhead(len(r.buffer) > 0, len(r.buffer) > 0)
}

// receive reads a request. Afterwards its end is set, or err. The time for it counts from began or, if that is zero, from its
// first byte.
func (c *clientConn) receive(began time.Time) {
	r := &c.receiver
	if len(r.buffer) > 0 {
		c.pace()
		began = time.Now()
		r.err = c.requestBegan(began)
	} else {
		r.memory.release(0)
	}
	for r.end == 0 && r.err == nil {
		headerComplete := r.header.complete
		r.scan()
		if r.end > 0 || r.err != nil {
			break
		}
		if r.header.complete && !headerComplete {
			r.err = c.SetReadDeadline(began.Add(requestTimeout))
		}
		if r.err == nil {
			r.err = r.grow()
		}
		if r.err == nil {
			began = c.receiveMore(began)
		}
	}
	c.finishReceive()
}

// receiveMore reads what has arrived of a request into the buffer, or sets err. It returns when the request began, which is
// zero before its first byte.
func (c *clientConn) receiveMore(began time.Time) time.Time {
	r := &c.receiver
	first := len(r.buffer) == 0
	n, err := c.readSocket(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer, r.err = r.buffer[:len(r.buffer)+n], err
	if !first || n == 0 || err != nil {
		return began
	}
	if began.IsZero() {
		began = time.Now()
	}
	r.err = c.requestBegan(began)
	return began
}

// requestBegan limits the time for the header, and counts the buffer as memory of the request.
func (c *clientConn) requestBegan(at time.Time) error {
	if err := c.SetReadDeadline(at.Add(headerTimeout)); err != nil {
		return err
	}
	return c.receiver.memory.reserve(int64(cap(c.receiver.buffer)))
}

// finishReceive decides what the server reads of a request that could not be received: the part that is there, or nothing
// if the client has its answer already.
func (c *clientConn) finishReceive() {
	r := &c.receiver
	if r.memory.isEvicted() && r.end == 0 {
		r.err = errNoMemory
	}
	var answer string
	switch {
	case r.err == nil:
		return
	case errors.Is(r.err, errNoMemory):
		answer = noMemoryAnswer
	case errors.Is(r.err, errTooManyFields):
		answer = tooManyFieldsAnswer
	default:
		r.end = len(r.buffer)
		return
	}
	if c.SetWriteDeadline(time.Now().Add(persistTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, answer) // a client that does not read it sees the close
	}
	r.buffer, r.delivered, r.end, r.err = nil, 0, 0, io.EOF
	r.memory.release(0)
}

// grow makes room in the buffer for more of the request. The first buffer belongs to the connection until something arrives.
func (r *receiver) grow() error {
	if len(r.buffer) < cap(r.buffer) {
		return nil
	}
	capacity := max(receiveBytes, 2*cap(r.buffer))
	if len(r.buffer) > 0 {
		if err := r.memory.reserve(int64(capacity)); err != nil {
			return err
		}
	}
	r.buffer = append(make([]byte, 0, capacity), r.buffer...)
	return nil
}

// scan looks at what was received since its last call, and sets end if the request is complete.
func (r *receiver) scan() {
	h := &r.header
	for !h.complete {
		length := bytes.IndexByte(r.buffer[h.scanned:], '\n')
		if length < 0 {
			if len(r.buffer) > maxReceivedHeader { // the server rejects it
				r.passOn()
			}
			h.scanned = len(r.buffer)
			return
		}
		h.scanned += length + 1
		line := bytes.TrimSuffix(r.buffer[h.line:h.scanned-1], []byte{'\r'})
		h.line = h.scanned
		if h.add(line); h.lines > maxHeaderFields+1 {
			r.err = errTooManyFields
			return
		}
	}
	switch end := h.scanned + int(h.length); {
	case h.unbounded:
		r.passOn()
	case h.expects:
		r.body, r.end = max(0, int64(end-len(r.buffer))), min(end, len(r.buffer))
		if r.body > 0 {
			r.err = r.memory.reserve(int64(end))
		}
	case len(r.buffer) >= end:
		r.end = end
	}
}

// passOn lets the server read all that is there and all that follows. Until the connection closes it counts as one in the server.
func (r *receiver) passOn() {
	r.unbounded, r.end = true, len(r.buffer)
	if err := r.memory.reserve(idleConnBytes); err != nil {
		r.err, r.end = err, 0
	}
}

// add adds a line of the header. An empty line completes it.
func (h *header) add(line []byte) {
	if len(line) == 0 {
		h.complete = true
		return
	}
	h.lines++
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(value), 10, 63)
		differs := h.hasLength && int64(length) != h.length
		h.length, h.hasLength = int64(length), true
		h.unbounded = h.unbounded || err != nil || differs || length > message.MaxBodyLength
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.unbounded = true
	case bytes.EqualFold(name, []byte("Expect")):
		h.expects = true
	}
}

// pace delays the next request of a client that sends requests without waiting for the answers, and has sent more than
// pipelineBurst of them.
func (c *clientConn) pace() {
	r := &c.receiver
	const perPause = int(pipelineRate * pipelinePause / time.Second)
	now := time.Now()
	if due := int(now.Sub(r.pacedAt) / pipelinePause); due > 0 {
		r.pipelined = max(0, r.pipelined-min(due, pipelineBurst)*perPause)
		r.pacedAt = now
	}
	if r.pipelined++; r.pipelined > pipelineBurst {
		time.Sleep(pipelinePause)
	}
}
