package testcluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// loadClient is one client of a load, with one connection to the first node. It writes requests by itself, so that it
// costs the machine of a measurement little.
type loadClient struct {
	cluster    *Cluster
	connection net.Conn // nil while there is none
	reader     *bufio.Reader
	request    []byte // buffer
	body       string
}

func newLoadClient(c *Cluster) *loadClient {
	return &loadClient{cluster: c, body: strings.Repeat(".", max(1, c.config.BodySize))}
}

// retryDecision is whether and when a client sends a message again.
type retryDecision struct {
	retry     bool
	after     time.Duration
	uncertain bool // an attempt may have been accepted
}

// uncertainDecision is the one after an attempt that may have been accepted.
var uncertainDecision = retryDecision{retry: true, after: clientRetryInterval, uncertain: true}

// submit makes one attempt, records its response, and decides about another one.
func (c *loadClient) submit(attempt loadAttempt, policy RetryPolicy) (retryDecision, error) {
	m := attempt.message
	started := time.Now()
	status, header, err := c.post(m)
	if err != nil {
		c.close()
		return uncertainDecision, nil
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	switch {
	case status == http.StatusAccepted:
		m.Accepted, m.AcceptedAt = true, time.Now()
	case status == http.StatusOK || status == http.StatusGone || isRejectionStatus(status) && header.Get("X-Final") != "":
		m.KnownAccepted = true
	case status == http.StatusGatewayTimeout:
		return uncertainDecision, nil
	case isRejectionStatus(status):
		if !attempt.uncertain {
			c.cluster.rejectionTimes = append(c.cluster.rejectionTimes, time.Since(started))
		}
		return attempt.recordRejection(header, policy)
	default:
		return retryDecision{}, fmt.Errorf("submitting %s: status %d", m.ID, status)
	}
	return retryDecision{}, nil
}

// recordRejection records that an attempt was rejected, and decides about another one. The caller must lock the
// cluster.
func (a loadAttempt) recordRejection(header http.Header, policy RetryPolicy) (retryDecision, error) {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return retryDecision{}, fmt.Errorf("%s was rejected without a time to return: %w", a.message.ID, err)
	}
	a.message.Rejected = !a.uncertain
	switch {
	case a.uncertain:
		return uncertainDecision, nil
	case policy == HonorRetryAfter:
		return retryDecision{retry: true, after: time.Duration(seconds * float64(time.Second))}, nil
	case policy == RetryAtOnce && a.earlier < maxImmediateRetries:
		return retryDecision{retry: true}, nil
	}
	return retryDecision{}, nil
}

// post sends one request over the client's connection, and returns the response's status and header.
func (c *loadClient) post(m *Message) (int, http.Header, error) {
	if err := c.connect(); err != nil {
		return 0, nil, err
	}
	if err := c.connection.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return 0, nil, err
	}
	c.writeRequest(m)
	if _, err := c.connection.Write(c.request); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return 0, nil, err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, response.Header, nil
}

// connect opens the connection if there is none.
func (c *loadClient) connect() error {
	if c.connection != nil {
		return nil
	}
	connection, err := net.DialTimeout("tcp", c.cluster.nodes[0].address, clientTimeout)
	if err != nil {
		return err
	}
	c.connection, c.reader = connection, bufio.NewReader(connection)
	return nil
}

// close closes the connection if there is one.
func (c *loadClient) close() {
	if c.connection == nil {
		return
	}
	_ = c.connection.Close() // nothing more is read from it
	c.connection = nil
}

// writeRequest writes the request of a message into the buffer.
func (c *loadClient) writeRequest(m *Message) {
	remaining := max(1, time.Until(m.Deadline).Milliseconds())
	b := c.request[:0]
	b = fmt.Appendf(b, "POST /%s HTTP/1.1\r\nHost: node\r\n", m.Class)
	b = fmt.Appendf(b, "X-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n", m.ID, m.Class, remaining)
	b = fmt.Appendf(b, "X-Route-To: dest=%d\r\nContent-Length: %d\r\n", m.Destination, len(c.body))
	if m.Class == Keyed {
		b = fmt.Appendf(b, "Idempotency-Key: key-%s\r\n", m.ID)
	}
	b = append(b, "\r\n"...)
	c.request = append(b, c.body...)
}
