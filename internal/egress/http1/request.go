package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"wingmount/internal/egress"
	"wingmount/internal/message"
)

// Paths and headers of a request, fixed by the protocol.
const (
	singlePath           = "/events"
	batchPath            = "/events/bundle"
	timeoutHeader        = "X-Timeout-Ms"
	requestIDHeader      = "X-Request-ID"
	idempotencyKeyHeader = "Idempotency-Key"
	noKey                = "-" // sent in a batch for a message without a key
)

// newRequest returns the HTTP request for a call.
func (c *Carrier) newRequest(call *egress.Call) (*http.Request, error) {
	path, body := singlePath, call.Parts[0].Message.Body
	batch := len(call.Parts) > 1
	if batch {
		path, body = batchPath, c.batchBody(call.Parts)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+call.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "") // omits the header
	remaining := call.Limit - time.Since(call.DecidedAt)
	req.Header.Set(timeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if batch {
		return req, nil
	}
	m := call.Parts[0].Message
	req.Header.Set(requestIDHeader, m.ID)
	if key := c.key(m); key != "" {
		req.Header.Set(idempotencyKeyHeader, key)
	}
	return req, nil
}

// batchBody returns the body of a batch. For each message it contains a line with the message's ID,
// key and body length in bytes, followed by the message's body.
func (c *Carrier) batchBody(parts []*egress.Part) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		key := c.key(p.Message)
		if key == "" {
			key = noKey
		}
		fmt.Fprintf(&b, "%s %s %d\r\n", p.Message.ID, key, len(p.Message.Body))
		b.Write(p.Message.Body)
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// key returns the key to send with a message, or "" if no key is to be sent. See
// [Config.WithholdOrderingKeys].
func (c *Carrier) key(m *message.Message) string {
	if c.withholdOrderingKeys && m.KeyWindow == 0 {
		return ""
	}
	return m.Key
}
