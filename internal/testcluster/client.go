package testcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Message is one message as its client sees it.
type Message struct {
	ID, Class   string
	Destination int // its number
	// Key and Body are of the client's choice. Without a Body both have defaults.
	Key, Body string
	// Duplicate is set if the partner may drop the message as a duplicate of another one.
	Duplicate bool

	SubmittedAt   time.Time
	Deadline      time.Time
	Accepted      bool // 202
	AcceptedAt    time.Time
	KnownAccepted bool // the client learnt, when it sent the message again, that it was accepted before
	Rejected      bool // 429 or 503, and not accepted as far as the client knows

	submissions []clientAttempt // by SubmitMessage
}

// clientAttempt is one attempt of a client to submit a message.
type clientAttempt struct {
	node     int // counted from 0
	started  time.Time
	duration time.Duration
	status   int // of the response, 0 without one
	err      error
}

// Message returns a copy of the message that was submitted last under an id. It panics if there is none.
func (c *Cluster) Message(id string) Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.messages[id]
}

// addMessage adds a message that is about to be submitted. The caller must lock c.mu.
func (c *Cluster) addMessage(m *Message) {
	c.messages[m.ID] = m
	c.submitted = append(c.submitted, m.ID)
}

// Submit submits a message as a client does: it waits 400 ms for a response. Without one it sends the message again
// under the same id, to the next node if the nodes share a database, until the message's deadline. It returns when
// the client knows whether the message was accepted, or gives up.
func (c *Cluster) Submit(ctx context.Context, id, class string, destination int) error {
	return c.SubmitMessage(ctx, Message{ID: id, Class: class, Destination: destination})
}

// SubmitMessage is [Cluster.Submit] for a message with its own key and body.
func (c *Cluster) SubmitMessage(ctx context.Context, m Message) error {
	m.SubmittedAt = time.Now()
	m.Deadline = m.SubmittedAt.Add(c.config.Deadline)
	c.mu.Lock()
	c.addMessage(&m)
	node := c.entryNode(m.Destination)
	c.mu.Unlock()
	s := &submission{cluster: c, message: &m, node: node, target: "/" + m.Class}
	return s.run(ctx)
}

// submission is the attempts of one client to submit one message.
type submission struct {
	cluster   *Cluster
	message   *Message
	node      int    // that the next attempt goes to
	target    string // of the next attempt
	redirects int    // that were followed since the last other response
	// uncertain is set if an earlier attempt may have been accepted: a rejection then concerns only the later one.
	uncertain bool
}

// clientResponse is what a client needs of a node's response.
type clientResponse struct {
	status   int
	location string // of a redirect
	recorded bool   // the rejection is the message's recorded final response
}

// isRejection reports whether a node rejected a request, which it may accept later.
func (r clientResponse) isRejection() bool { return !r.recorded && isRejectionStatus(r.status) }

func isRejectionStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// nextStep is what a client does after an attempt.
type nextStep int

// The steps after an attempt that was not redirected. A message is uncertain if a node may have accepted it and the
// client can't know. A redirect makes it certain; one that is not followed counts as a rejection.
//
//	attempt                                  certain before    uncertain before
//	no connection, with control machines     leaveNode         retryUncertain
//	no connection, without them              retryUncertain    retryUncertain
//	no response, or 504                      retryUncertain    retryUncertain
//	a rejection that is not on record        done              retryUncertain
//	any other response                       done              done
const (
	done           nextStep = iota // the response is the client's result
	leaveNode                      // to another node of the region
	retryUncertain                 // once more, uncertain from then on
)

// run makes attempts until the client knows the outcome or gives up.
func (s *submission) run(ctx context.Context) error {
	for {
		remaining := time.Until(s.message.Deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		started := time.Now()
		response, err := s.post(ctx, remaining)
		s.noteAttempt(clientAttempt{node: s.node, started: started, duration: time.Since(started), status: response.status, err: err})
		if response.status == http.StatusTemporaryRedirect {
			s.uncertain = false // the node has not accepted it, and can't have before
			if s.follow(response.location) {
				continue
			}
			response = clientResponse{status: http.StatusServiceUnavailable}
		}
		s.target, s.redirects = "/"+s.message.Class, 0
		switch s.classify(response, err) {
		case done:
			return s.record(response, started)
		case leaveNode:
			s.leaveNode()
		case retryUncertain:
			s.uncertain = true
		}
		if s.cluster.Postgres != nil { // only nodes that share a database know each other's messages
			s.node = (s.node + 1) % len(s.cluster.nodes)
		}
		wait(ctx, clientRetryInterval)
	}
}

// noteAttempt notes an attempt for [Cluster.DescribeRepeats].
func (s *submission) noteAttempt(attempt clientAttempt) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.message.submissions = append(s.message.submissions, attempt)
}

// classify returns the step after an attempt by its response or error.
func (s *submission) classify(response clientResponse, err error) nextStep {
	switch {
	case isDialError(err) && s.cluster.control != nil && !s.uncertain:
		return leaveNode
	case err != nil || response.status == http.StatusGatewayTimeout:
		return retryUncertain
	case response.isRejection() && s.uncertain:
		return retryUncertain
	default:
		return done
	}
}

// follow prepares an attempt at the target of a redirect. It reports false for a redirect that is not followed.
func (s *submission) follow(location string) bool {
	to, ok := s.cluster.resolveRedirect(location)
	if !ok || s.redirects >= maxRedirects {
		return false
	}
	s.cluster.learnOwner(s.message.Destination, to.node)
	s.node, s.target = to.node, to.target
	s.redirects++
	return true
}

// leaveNode prepares an attempt at another node after one that can't be reached.
func (s *submission) leaveNode() {
	s.cluster.dropOwner(s.message.Destination, s.node)
	s.node = s.cluster.nextInRegion(s.node)
}

// record records the last response to a message. The attempt that got it began at started.
func (s *submission) record(response clientResponse, started time.Time) error {
	c, m := s.cluster, s.message
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case response.status == http.StatusAccepted:
		m.Accepted = true
	case response.recorded, response.status == http.StatusOK, response.status == http.StatusGone:
		m.KnownAccepted = true
	case response.isRejection():
		m.Rejected = true
		c.dropOwner(m.Destination, s.node)
		c.rejectionTimes = append(c.rejectionTimes, time.Since(started))
	default:
		return fmt.Errorf("submitting %s: status %d", m.ID, response.status)
	}
	return nil
}

// post makes one attempt.
func (s *submission) post(ctx context.Context, remaining time.Duration) (clientResponse, error) {
	request, err := s.newRequest(ctx, remaining)
	if err != nil {
		return clientResponse{}, err
	}
	response, err := s.cluster.client.Do(request)
	if err != nil {
		return clientResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // only so that the connection can be used again
	return clientResponse{
		status: response.StatusCode, location: response.Header.Get("Location"),
		recorded: response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Final") != "",
	}, nil
}

// newRequest returns the request of one attempt.
func (s *submission) newRequest(ctx context.Context, remaining time.Duration) (*http.Request, error) {
	m := s.message
	key, body := m.Key, m.Body
	if body == "" {
		body = "body of " + m.ID + strings.Repeat(".", s.cluster.config.BodySize)
		if m.Class == Keyed {
			key = "key-" + m.ID
		}
	}
	target := "http://" + s.cluster.nodes[s.node].address + s.target
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-ID", m.ID)
	request.Header.Set("X-Priority-Class", m.Class)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	request.Header.Set("X-Route-To", "dest="+strconv.Itoa(m.Destination))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}
