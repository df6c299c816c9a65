package node

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
)

const (
	// noticeTimeout is short: a notice must land 300 ms after the deadline at the
	// latest, and one that is sent twice does no harm.
	noticeTimeout = 150 * time.Millisecond
	noticePause   = 20 * time.Millisecond
	noticeBatch   = 64
)

// notice is the end of a message that was not delivered, in the platform's form.
type notice struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMs int64  `json:"retry_in_ms,omitempty"`
}

const (
	givenUp    = "given_up"
	handedBack = "handed_back"
)

func newNotice(id string, back bool, wait time.Duration) *notice {
	if back {
		return &notice{Message: id, Outcome: handedBack, RetryInMs: wait.Milliseconds()}
	}
	return &notice{Message: id, Outcome: givenUp}
}

// HandedBack tells whether the client may come again.
func (n *notice) HandedBack() bool { return n.Outcome == handedBack }

// finals tells the platform of messages that ended undelivered, again and again
// until it has answered: only then is nothing owed any more.
type finals struct {
	client  *http.Client
	journal *journal
	log     *slog.Logger

	mu    sync.Mutex
	url   string
	queue []*message
	more  chan struct{} // holds a token while the queue may hold messages
}

func newFinals(discovery string, j *journal, log *slog.Logger) *finals {
	return &finals{url: finalsURL(discovery), journal: j, log: log,
		more:   make(chan struct{}, 1),
		client: &http.Client{Timeout: noticeTimeout, Transport: &http.Transport{DisableCompression: true}}}
}

func finalsURL(addr string) string { return "http://" + addr + "/v2/finals" }

// move sends the notices to another address from now on, those that no address has
// answered yet among them.
func (f *finals) move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.url = finalsURL(addr)
}

func (f *finals) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.url
}

// add queues the notice of a message. It never waits.
func (f *finals) add(m *message) {
	f.mu.Lock()
	f.queue = append(f.queue, m)
	f.mu.Unlock()
	select {
	case f.more <- struct{}{}:
	default:
	}
}

func (f *finals) take() []*message {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queue
	f.queue = nil
	return q
}

// run sends what is queued until the context ends. What is left then is owed
// still, and the journal has it.
func (f *finals) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	var pending []*message
	for {
		pending = append(pending, f.take()...)
		if len(pending) == 0 {
			select {
			case <-f.more:
				continue
			case <-ctx.Done():
				return
			}
		}
		batch := pending[:min(len(pending), noticeBatch)]
		status, err := f.post(ctx, batch)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// One line that the platform can't read must not hold the others back.
			batch = batch[:1]
			status, err = f.post(ctx, batch)
		}
		if err == nil && status == http.StatusNoContent {
			for _, m := range batch {
				if err := f.journal.closed(m, "", time.Now()); err != nil {
					f.log.Error("journal: notice answered", "id", m.id, "err", err)
				}
			}
			pending = append(pending[:0], pending[len(batch):]...)
			continue
		}
		f.log.Warn("finals: not answered", "notices", len(batch), "status", status, "err", err)
		if status == http.StatusBadRequest { // to the end of the line
			pending = append(append(pending[:0:0], pending[1:]...), pending[0])
		}
		select {
		case <-time.After(noticePause):
		case <-ctx.Done():
			return
		}
	}
}

func (f *finals) post(ctx context.Context, batch []*message) (int, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, m := range batch {
		if err := enc.Encode(m.notice); err != nil {
			return 0, fmt.Errorf("writing a notice: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.address(), &body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)) // for reuse of the connection only
	return resp.StatusCode, nil
}
