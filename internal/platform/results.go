package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

const (
	// notifyTimeout is short: a notification must arrive 300 ms after the deadline at the latest, and a repeated one
	// does no harm.
	notifyTimeout    = 150 * time.Millisecond
	notifyRetryDelay = 20 * time.Millisecond
	// maxUnreadableDelay is the longest delay while the receiver can read none of the pending notifications. The delay
	// doubles up to it.
	maxUnreadableDelay = time.Second
	// maxNotifyBatch is how many notifications a request has at most.
	maxNotifyBatch = 64
	// maxResponseBytes is how much of a response is read, which lets its connection be reused.
	maxResponseBytes = 64 << 10
)

// Failure points where a crash matters: around a notification.
var (
	beforeNotified = failpoint.New("platform/before-telling")
	afterNotified  = failpoint.New("platform/after-telling")
)

// result is the platform's form of the result of a message that was not delivered.
type result struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMs int64  `json:"retry_in_ms,omitempty"`
}

// The platform's words for outcomes.
const (
	outcomeFailed   = "given_up"
	outcomeRejected = "handed_back"
)

func encodeResult(m *message.Message) ([]byte, error) {
	r := result{Message: m.ID, Outcome: outcomeFailed}
	if m.FinalResponse.Kind == message.Rejected {
		r.Outcome, r.RetryInMs = outcomeRejected, m.FinalResponse.RetryAfter.Milliseconds()
	}
	return json.Marshal(r)
}

// Encode returns the result of a completed message as one line of JSON, without the line's end.
type Encode func(m *message.Message) ([]byte, error)

// ResultNotifier notifies a receiver of the results of messages, again and again until it confirms, and records in the
// store that it has. A request has one JSON object in a line for each message.
type ResultNotifier struct {
	encode Encode
	client *http.Client
	store  store.Store
	log    *slog.Logger

	mu     sync.Mutex
	url    string
	queue  []*message.Message
	queued chan struct{} // has a token while the queue may have messages
}

// NewResultNotifier returns a notifier of the platform, at the address of its directory.
func NewResultNotifier(discovery string, s store.Store, log *slog.Logger) *ResultNotifier {
	return NewURLNotifier(resultsURL(discovery), encodeResult, s, log)
}

// NewURLNotifier returns a notifier that posts to a URL what encode makes of each message.
func NewURLNotifier(url string, encode Encode, s store.Store, log *slog.Logger) *ResultNotifier {
	return &ResultNotifier{
		url: url, encode: encode, store: s, log: log,
		queued: make(chan struct{}, 1),
		client: &http.Client{Timeout: notifyTimeout, Transport: newTransport()},
	}
}

func resultsURL(addr string) string { return "http://" + addr + "/v2/finals" }

// SetAddress sends notifications of the platform to another address from now on, unconfirmed ones too.
func (n *ResultNotifier) SetAddress(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = resultsURL(addr)
}

func (n *ResultNotifier) currentURL() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url
}

// Add queues the notification of a message with a final response. It never waits. The queue is bounded by what the
// store has: a process adds each message once.
func (n *ResultNotifier) Add(m *message.Message) {
	n.mu.Lock()
	n.queue = append(n.queue, m)
	n.mu.Unlock()
	select {
	case n.queued <- struct{}{}:
	default:
	}
}

func (n *ResultNotifier) dequeue() []*message.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queue
	n.queue = nil
	return queue
}

// Run sends notifications until the context ends. The store keeps those that are unconfirmed then.
func (n *ResultNotifier) Run(ctx context.Context) {
	defer n.client.CloseIdleConnections()
	var pending pendingResults
	for {
		pending.add(n.dequeue())
		if len(pending.messages) == 0 {
			select {
			case <-n.queued:
				continue
			case <-ctx.Done():
				return
			}
		}
		batch, status, err := n.send(ctx, pending.batch())
		if err == nil && status/100 == 2 {
			n.recordNotified(ctx, batch)
			pending.confirm(len(batch))
			continue
		}
		n.log.Warn("results: notification not confirmed", "messages", len(batch), "status", status, "err", err)
		delay, unreadable := notifyRetryDelay, false
		if status == http.StatusBadRequest {
			delay, unreadable = pending.postponeFirst()
		}
		if !n.waitToRetry(ctx, delay, unreadable) {
			return
		}
	}
}

// send posts a batch. If the receiver cannot read a message of it, send posts the first one by itself, so that it does
// not block the others. It returns what was posted last, and the response's status.
func (n *ResultNotifier) send(ctx context.Context, batch []*message.Message) (sent []*message.Message, status int, err error) {
	_ = beforeNotified.At() // the error is ignored: the notification is due
	status, err = n.post(ctx, batch)
	if status == http.StatusBadRequest && len(batch) > 1 {
		batch = batch[:1]
		status, err = n.post(ctx, batch)
	}
	return batch, status, err
}

// recordNotified records confirmed notifications, also when the node is stopping.
func (n *ResultNotifier) recordNotified(ctx context.Context, batch []*message.Message) {
	_ = afterNotified.At()
	if err := n.store.MarkNotified(context.WithoutCancel(ctx), batch...); err != nil {
		n.log.Error("store: recording confirmed notifications", "err", err)
	}
}

// waitToRetry waits for a delay. If all pending notifications are unreadable, a new one ends the wait. It reports false
// if the context has ended.
func (n *ResultNotifier) waitToRetry(ctx context.Context, delay time.Duration, unreadable bool) bool {
	var queued chan struct{}
	if unreadable {
		queued = n.queued
	}
	select {
	case <-time.After(delay):
	case <-queued:
	case <-ctx.Done():
		return false
	}
	return true
}

// post posts a batch and returns the response's status.
func (n *ResultNotifier) post(ctx context.Context, batch []*message.Message) (int, error) {
	var body bytes.Buffer
	for _, m := range batch {
		line, err := n.encode(m)
		if err != nil {
			return 0, fmt.Errorf("encoding a result: %w", err)
		}
		body.Write(line)
		body.WriteByte('\n')
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.currentURL(), &body)
	if err != nil {
		return 0, fmt.Errorf("posting results: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("posting results: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // only the status matters
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, nil
}

// pendingResults are the messages whose notifications are not confirmed, in the order of their next attempts.
type pendingResults struct {
	messages []*message.Message
	// unreadable is the number of attempts in a row that the receiver could not read, since the last message was added
	// or confirmed.
	unreadable int
}

func (p *pendingResults) add(messages []*message.Message) {
	if len(messages) > 0 {
		p.messages, p.unreadable = append(p.messages, messages...), 0
	}
}

// batch returns the messages of the next request.
func (p *pendingResults) batch() []*message.Message {
	return p.messages[:min(len(p.messages), maxNotifyBatch)]
}

// confirm removes the first messages.
func (p *pendingResults) confirm(count int) {
	p.messages, p.unreadable = append(p.messages[:0], p.messages[count:]...), 0
}

// postponeFirst moves the first message, which the receiver could not read, behind the others. It returns the delay
// before the next request, and whether all pending messages are unreadable, in which case the delay grows.
func (p *pendingResults) postponeFirst() (delay time.Duration, allUnreadable bool) {
	p.messages = append(append(p.messages[:0:0], p.messages[1:]...), p.messages[0])
	p.unreadable++
	extra := p.unreadable - len(p.messages)
	if extra <= 0 {
		return notifyRetryDelay, false
	}
	return min(notifyRetryDelay<<min(extra, 10), maxUnreadableDelay), true
}
