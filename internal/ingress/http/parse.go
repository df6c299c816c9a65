package httpingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"wingmount/internal/message"
	"wingmount/policy"
)

// single reports whether none of the headers is repeated.
func single(h http.Header, names ...string) bool {
	for _, n := range names {
		if len(h.Values(n)) > 1 {
			return false
		}
	}
	return true
}

// parse validates a request and returns its message, or a badRequestError.
func (h *Handler) parse(r *http.Request) (*message.Message, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := h.classes[name]
	if !ok {
		return nil, badRequestError{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodPost {
		return nil, badRequestError{http.StatusMethodNotAllowed, "POST only"}
	}
	bad := func(format string, args ...any) error {
		return badRequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, badRequestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"}
	}
	// The length would be given twice, and another request could be smuggled in the body.
	if len(r.TransferEncoding) > 0 {
		return nil, bad("Transfer-Encoding is not taken")
	}
	if !single(r.Header, "X-Priority-Class", "X-Request-ID", "X-Timeout-Ms", "X-Route-To", "Idempotency-Key") {
		return nil, bad("a header is repeated")
	}
	if r.Header.Get("X-Priority-Class") != name {
		return nil, bad("X-Priority-Class must name the class of the path")
	}
	k := h.settings[class]
	m := &message.Message{ID: r.Header.Get("X-Request-ID"), Key: r.Header.Get("Idempotency-Key"), Class: class}
	if !validWord(m.ID) {
		return nil, bad("X-Request-ID is missing or malformed")
	}
	if k.Repeat == policy.Deduplicated && m.Key == "" && h.rules == nil || m.Key != "" && !validWord(m.Key) {
		return nil, bad("Idempotency-Key is missing or malformed")
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > (k.Deadline+TimeoutSlack).Milliseconds() {
		return nil, bad("X-Timeout-Ms is missing or malformed")
	}
	m.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	if m.Destination, err = destination(r.Header.Get("X-Route-To"), h.maxDestination); err != nil {
		return nil, bad("X-Route-To: %v", err)
	}
	if r.ContentLength < 0 || r.Header.Get("Content-Length") == "" {
		return nil, bad("Content-Length is missing")
	}
	if r.ContentLength > message.MaxBodyLength {
		return nil, badRequestError{http.StatusRequestEntityTooLarge, "over 64 KiB"}
	}
	m.Body = make([]byte, r.ContentLength) // the connection has received it, or has reserved memory for it
	if _, err = io.ReadFull(r.Body, m.Body); err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	return m, nil
}

// validWord reports whether an id or key fits a header and a line of a batch.
func validWord(s string) bool {
	return s != "" && len(s) <= message.MaxIDLength && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// destination parses 'dest=7', possibly among other fields, up to the highest number of a destination.
func destination(s string, highest uint64) (int, error) {
	for _, field := range strings.FieldsFunc(s, func(c rune) bool { return c == ',' || c == ';' || c == ' ' }) {
		if v, ok := strings.CutPrefix(field, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 64)
			if err != nil || n > highest {
				return 0, fmt.Errorf("dest=%.20s is not between 0 and %d", v, highest)
			}
			return int(n), nil
		}
	}
	return 0, errors.New("dest is missing")
}
