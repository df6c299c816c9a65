package partner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// lateRejectionDelay is how long a rejected call of RepeatsResponses waits for its own response, after the copy of the earlier one.
const lateRejectionDelay = 80 * time.Millisecond

// responseBody returns the body of the response to a call that ran. Unless ConstantResponses is set, no two are equal.
func (s *System) responseBody() string {
	if s.ConstantResponses {
		return ""
	}
	return fmt.Sprintf("%016x", s.responses.Add(1))
}

// serveRepeating serves the first call of a connection, which has run, and all later calls on it in mode RepeatsResponses.
// Each second call is rejected; once it has come completely, the response to the call before is sent a second time.
func (s *System) serveRepeating(w http.ResponseWriter, zone string) {
	conn, stream, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	for {
		body := s.responseBody()
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if err := s.rejectAfterCopy(conn, stream.Reader, zone, response); err != nil {
			return
		}
		if err := s.readCall(conn, stream.Reader, zone, RepeatsResponses, func() error { return nil }); err != nil {
			return
		}
	}
}

// rejectAfterCopy reads a call, sends the response to the call before it a second time, and rejects it after a while.
func (s *System) rejectAfterCopy(conn net.Conn, r *bufio.Reader, zone, earlierResponse string) error {
	return s.readCall(conn, r, zone, Unavailable, func() error {
		s.copies.Add(1)
		if _, err := io.WriteString(conn, earlierResponse); err != nil {
			return err
		}
		time.Sleep(lateRejectionDelay)
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err
	})
}

// readCall reads a call, counts it as one of a mode, and lets a function respond to it.
func (s *System) readCall(conn net.Conn, r *bufio.Reader, zone string, mode Mode, respond func() error) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	c := newCall(request, zone, conn.LocalAddr().String())
	s.begin(c, mode)
	defer s.end(c)
	return respond()
}

// Copies returns the number of responses that were sent a second time.
func (s *System) Copies() int64 { return s.copies.Load() }

// track registers a connection that Close must close. It returns false if the system is closed.
func (s *System) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.hijacked == nil {
		s.hijacked = map[net.Conn]bool{}
	}
	s.hijacked[conn] = true
	s.running.Add(1)
	return true
}

func (s *System) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hijacked, conn)
	s.running.Done()
}

// closeHijacked closes the connections that the HTTP servers don't know.
func (s *System) closeHijacked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.hijacked {
		_ = conn.Close()
	}
}
