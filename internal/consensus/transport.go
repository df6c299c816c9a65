package consensus

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
	"wingmount/internal/store/frame"
)

// Limits of messages between members.
const (
	// maxQueuedMessages bounds the queue to one member. Further messages are dropped; the raft library resends them.
	maxQueuedMessages = 256
	// maxBatchBytes is the request size at which no more messages are added. The last message may exceed it.
	maxBatchBytes = 2 << 20
	// MaxBodyBytes is the maximum size of a request. The largest requests carry a snapshot.
	MaxBodyBytes = 512 << 20
	// Timeouts of a request without a snapshot, of a request with one, and of connecting.
	sendTimeout     = 2 * time.Second
	snapshotTimeout = time.Minute
	dialTimeout     = time.Second
	// unreachablePause is the time for which messages to a member are dropped after a failed request to it.
	unreachablePause = 100 * time.Millisecond
)

// MessagesPath is the HTTP path at which a member receives messages by POST. The body contains one frame (package
// frame) per message.
const MessagesPath = "/v1/quorum/messages"

// Reporter receives delivery reports for messages. [Node] implements it.
type Reporter interface {
	Unreachable(id uint64)
	SnapshotSent(id uint64, delivered bool)
}

// Transport sends messages to other members over HTTP. It implements [Sender]. Its methods may be called from any
// goroutine.
type Transport struct {
	client  *http.Client
	origin  string
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	sending sync.WaitGroup

	mu       sync.Mutex
	reporter Reporter
	peers    map[uint64]*peer
	closed   bool
}

// peer is another member with its queue of outgoing messages.
type peer struct {
	id       uint64
	address  string
	messages chan Message
	stop     context.CancelFunc
}

// NewTransport returns a transport without members. The [Node] that uses it as its sender closes it. Origin identifies
// the log that this member began with; it is empty if unknown: see [ServeMessages]. If tripper is nil, the Transport
// creates its own http.Transport.
func NewTransport(origin string, tripper http.RoundTripper, log *slog.Logger) *Transport {
	if tripper == nil {
		tripper = &http.Transport{
			DisableCompression:  true,
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		client: &http.Client{Transport: tripper},
		origin: origin, log: log, ctx: ctx, cancel: cancel, peers: map[uint64]*peer{},
	}
}

// originHeader is the HTTP header that carries the origin of the sender's log.
const originHeader = "X-Quorum-Origin"

// Origin returns an identifier of the log that the members begin with, or an empty one without initial members. Members
// with different initial members or a different initial state have different logs and must not accept each other's
// messages.
func Origin(initialMembers []uint64, initialState []byte) string {
	if len(initialMembers) == 0 {
		return ""
	}
	sum := sha256.New()
	sum.Write(fmt.Appendln(nil, initialMembers))
	sum.Write(initialState)
	return hex.EncodeToString(sum.Sum(nil)[:originDigestBytes])
}

// originDigestBytes is the length to which the digest of an origin is truncated.
const originDigestBytes = 12

// SetReporter sets the receiver of delivery reports.
func (t *Transport) SetReporter(reporter Reporter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reporter = reporter
}

// SetMembers sets the addresses (HOST:PORT) of all members to send to, by id. It drops the queues of members that are
// removed or have a new address.
func (t *Transport) SetMembers(addresses map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	for id, p := range t.peers {
		if addresses[id] != p.address {
			p.stop()
			delete(t.peers, id)
		}
	}
	for id, address := range addresses {
		if t.peers[id] != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		p := &peer{id: id, address: address, messages: make(chan Message, maxQueuedMessages), stop: stop}
		t.peers[id] = p
		t.sending.Go(func() { t.sendLoop(ctx, p) })
	}
}

// Send implements [Sender].
func (t *Transport) Send(m Message) {
	t.mu.Lock()
	p := t.peers[m.To]
	t.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.messages <- m:
	default: // the queue is full; the raft library resends the message
	}
}

// Close implements [Sender].
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.sending.Wait()
	t.client.CloseIdleConnections()
}

// sendLoop sends queued messages to a member until the context ends.
func (t *Transport) sendLoop(ctx context.Context, p *peer) {
	for {
		var batch []Message
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages:
			batch = nextBatch(m, p.messages)
		}
		if err := t.post(ctx, p, batch); err != nil {
			t.pauseAfterFailure(ctx, p, batch, err)
			continue
		}
		t.reportDelivery(p, batch, true)
	}
}

// nextBatch returns a message and those queued after it, until their size reaches maxBatchBytes.
func nextBatch(first Message, queue <-chan Message) []Message {
	batch, size := []Message{first}, len(first.Text)
	for size < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += len(m.Text)
		default:
			return batch
		}
	}
	return batch
}

// pauseAfterFailure reports that a batch was not delivered, and then drops further messages for unreachablePause.
func (t *Transport) pauseAfterFailure(ctx context.Context, p *peer, batch []Message, err error) {
	if ctx.Err() != nil {
		return
	}
	t.log.Debug("quorum: sending messages to member failed", "member", p.id, "address", p.address, "err", err)
	t.reportDelivery(p, batch, false)
	timer := time.NewTimer(unreachablePause)
	defer timer.Stop()
	for {
		select {
		case m := <-p.messages:
			t.reportDelivery(p, []Message{m}, false)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportDelivery reports to the Reporter whether a batch was delivered.
func (t *Transport) reportDelivery(p *peer, batch []Message, delivered bool) {
	t.mu.Lock()
	reporter := t.reporter
	t.mu.Unlock()
	if reporter == nil {
		return
	}
	if !delivered {
		reporter.Unreachable(p.id)
	}
	for _, m := range batch {
		if m.Snapshot {
			reporter.SnapshotSent(p.id, delivered)
		}
	}
}

// errNotAccepted reports that a member answered a request with a status other than 204.
var errNotAccepted = errors.New("member did not accept the messages")

// post sends messages to a member in one request.
func (t *Transport) post(ctx context.Context, p *peer, batch []Message) error {
	timeout := sendTimeout
	var body []byte
	for _, m := range batch {
		body = frame.Append(body, m.Text)
		if m.Snapshot {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+MessagesPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(originHeader, t.origin)
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is read from it
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%w: %s", errNotAccepted, response.Status)
	}
	return nil
}

// Receiver receives encoded messages. [Node] implements it.
type Receiver interface{ Receive(text []byte) error }

// ServeMessages passes the messages of a request to a receiver. It responds with 409 if the sender's log has a
// different origin, 400 if the body is malformed, and 503 if the receiver rejects a message.
func ServeMessages(w http.ResponseWriter, r *http.Request, origin string, receiver Receiver) {
	if other := r.Header.Get(originHeader); other != "" && origin != "" && other != origin {
		http.Error(w, "this member began with another log", http.StatusConflict)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for len(text) > 0 {
		payload, rest, err := frame.Next(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := receiver.Receive(payload); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		text = rest
	}
	w.WriteHeader(http.StatusNoContent)
}
