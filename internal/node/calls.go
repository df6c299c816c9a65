package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wingmount/policy"
)

const (
	waitHeader = "X-Backoff-Ms"
	// maxUnsent is over how many connections one attempt is tried, while each breaks
	// before the call is written whole.
	maxUnsent = 3
	// maxWait is the longest told wait that is believed: no destination stays shut
	// for so long, and one bad figure must not close it for days.
	maxWait = 5 * time.Minute
)

// gate says from when, or until when, nothing may be sent. The module keeps both
// rules; the gate is for a call that it sent before it was told and that is
// dialling still: what counts is when its bytes go out.
type gate struct {
	closedFrom  atomic.Int64 // Unix nanoseconds, 0 for never
	closedUntil atomic.Int64
}

func (g *gate) open(now time.Time) bool {
	from := g.closedFrom.Load()
	return (from == 0 || now.UnixNano() < from) && now.UnixNano() >= g.closedUntil.Load()
}

func (g *gate) wait(until time.Time) {
	for {
		old := g.closedUntil.Load()
		if old >= until.UnixNano() || g.closedUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// endpoint is one address of a destination.
type endpoint struct {
	id     policy.EndpointID
	name   string
	addr   string // owned by the loop, like out and gone
	out    int    // sends without an outcome
	gone   bool   // discovery has it no more
	dest   int
	kind   int
	zone   int
	leaves *gate // that it drains or is gone
	waits  *gate // of its route, or of its destination where routes share a limit
}

// part is one message of a call.
type part struct {
	message *message
	attempt int
	timeout time.Duration
	over    bool // its outcome has been told; guarded by the call
}

// call is one call to an endpoint: one message, or several in a bundle.
type call struct {
	endpoint *endpoint
	addr     string
	bundle   bool // its kind takes bundles
	started  time.Time
	limit    time.Duration

	mu    sync.Mutex
	parts []*part
}

// caller makes calls. Each runs in a goroutine of its own.
type caller struct {
	dialer  net.Dialer
	pool    pool
	journal *journal
	log     *slog.Logger
	idle    time.Duration
	tell    func(policy.Event)
	running sync.WaitGroup
	spoilt  atomic.Int64 // answers since this was last told
}

func newCaller(c Config, j *journal, log *slog.Logger, tell func(policy.Event)) *caller {
	connect := c.Settings.ConnectTimeout
	if connect <= 0 {
		connect = time.Second
	}
	return &caller{journal: j, log: log, tell: tell,
		dialer: net.Dialer{Timeout: connect, KeepAlive: -1},
		pool:   pool{limit: idleSockets(c.Sockets, c.Settings.Slots)},
		// An endpoint closes an idle connection some time before the settings' limit
		// at the latest; a request on its way then would end as a reset.
		idle: c.IdleClose * 4 / 5}
}

// start makes a call in the background.
func (c *caller) start(ctx context.Context, k *call) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.run(ctx, k)
	}()
}

func (c *caller) run(ctx context.Context, k *call) {
	ctx, cancel := context.WithDeadline(ctx, k.started.Add(k.limit))
	defer cancel()
	var (
		conn *connection
		a    answer
		ends map[string]itemEnd
		err  error
	)
	for try := range maxUnsent {
		if conn, err = c.connection(ctx, k, try > 0); err != nil {
			c.log.Debug("call: no connection", "endpoint", k.endpoint.name, "err", err)
			c.endAll(k, policy.Unreachable, 0, false)
			return
		}
		// What was told since the module's decision binds this call too: nothing of
		// it has been sent.
		if !c.ready(k, try == 0) {
			c.pool.put(conn)
			c.endAll(k, policy.Moot, 0, false)
			return
		}
		if try == 0 {
			defer c.endEarly(k)()
		}
		req, e := k.request()
		if e != nil {
			c.pool.put(conn)
			c.log.Error("call: no request", "err", e)
			c.endAll(k, policy.Moot, 0, false)
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		a, ends, err = c.exchange(k, conn, req)
		// Given up or closed before the outcome is told: the slot and the endpoint
		// must be free of this call when the next one goes out.
		if open := stop(); open && err == nil && a.keep {
			c.pool.put(conn)
		} else {
			_ = conn.Close()
		}
		// A connection that broke before the last byte went out has carried no call:
		// the same attempt goes on over another.
		if !errors.Is(err, errUnsent) || ctx.Err() != nil {
			break
		}
	}
	wait := toldWait(a)
	if wait > 0 {
		// Not a moment longer than the module counts: a send that it decides on
		// when the wait is over would be stopped here, and use up an attempt.
		k.endpoint.waits.wait(time.Now().Add(wait))
	}
	switch {
	case err != nil:
	case ends == nil:
		outcome, over := c.single(k, a)
		c.endAll(k, outcome, wait, over)
		return
	default:
		for _, p := range k.parts {
			e := ends[p.message.id]
			c.end(k, p, e.outcome, wait, e.over)
		}
		return
	}
	outcome, stale := policy.Reset, false
	switch {
	case errors.Is(err, errUnsent):
		outcome = policy.Unreachable
	case errors.Is(err, errSpoilt):
		outcome = policy.Failed
		c.spoilt.Add(1)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome = policy.TimedOut
	default:
		stale = conn.kept && a.status == 0
	}
	c.log.Debug("call: no answer", "endpoint", k.endpoint.name, "err", err)
	for _, p := range k.parts {
		c.finish(k, p, policy.Ended{Outcome: outcome, Wait: wait, Stale: stale})
	}
}

// ready tells whether a call may be sent now, and journals its attempts if it is the
// first try.
func (c *caller) ready(k *call, first bool) bool {
	now := time.Now()
	if !k.endpoint.leaves.open(now) || !k.endpoint.waits.open(now) {
		return false
	}
	if !first {
		return true
	}
	for _, p := range k.parts {
		if err := c.journal.attempt(p.message, k.endpoint.name, k.endpoint.zone, now); err != nil {
			c.log.Warn("call: not sent", "id", p.message.id, "err", err)
			return false
		}
	}
	return true
}

// endEarly times out the messages of a bundle whose time is shorter than the call's.
// It returns how to stop that.
func (c *caller) endEarly(k *call) (stop func()) {
	var timers []*time.Timer
	for _, p := range k.parts {
		if p.timeout < k.limit {
			timers = append(timers, time.AfterFunc(p.timeout-time.Since(k.started),
				func() { c.end(k, p, policy.TimedOut, 0, false) }))
		}
	}
	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}

// exchange sends a call and reads its answer, and the ends of its messages where it
// tells each one's. One message is delivered with the first line of the answer,
// whatever comes behind it.
func (c *caller) exchange(k *call, conn *connection, req *http.Request) (a answer, ends map[string]itemEnd, err error) {
	if err = conn.send(req); err != nil {
		return a, nil, err
	}
	a, err = conn.receive(req, func(status int) bool {
		if len(k.parts) > 1 || status != http.StatusOK {
			return false
		}
		c.end(k, k.parts[0], policy.Delivered, 0, false)
		return true
	})
	if err == nil && len(k.parts) > 1 && a.status == http.StatusOK {
		ends, err = readEnds(a.body, k.parts)
	}
	return a, ends, err
}

// connection takes an idle connection, unless a fresh one is asked for, or makes one.
func (c *caller) connection(ctx context.Context, k *call, fresh bool) (*connection, error) {
	if !fresh {
		if conn := c.pool.get(k.endpoint, k.addr, time.Now().Add(-c.idle)); conn != nil {
			return conn, nil
		}
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return newConnection(conn, k.endpoint, k.addr), nil
}

// request writes the call.
func (k *call) request() (*http.Request, error) {
	path, body := "/events", k.parts[0].message.body
	if len(k.parts) > 1 {
		path = "/events/bundle"
		var b bytes.Buffer
		for _, p := range k.parts {
			key := p.message.key
			if key == "" {
				key = "-"
			}
			fmt.Fprintf(&b, "%s %s %d\r\n", p.message.id, key, len(p.message.body))
			b.Write(p.message.body)
			b.WriteString("\r\n")
		}
		body = b.Bytes()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+k.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "") // leaves it out
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, (k.limit-time.Since(k.started)).Milliseconds()), 10))
	if len(k.parts) == 1 {
		req.Header.Set("X-Request-ID", k.parts[0].message.id)
		if key := k.parts[0].message.key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	return req, nil
}

// single tells what a status means, and whether the message is over.
func (c *caller) single(k *call, a answer) (outcome policy.Outcome, over bool) {
	switch a.status {
	case http.StatusOK:
		return policy.Delivered, false
	case http.StatusTooManyRequests:
		return policy.Full, false
	case http.StatusServiceUnavailable:
		if a.header.Get("X-Egress-Full") == "1" {
			return policy.Moot, false
		}
		return policy.Full, false
	case http.StatusGone:
		return policy.Moot, true
	case http.StatusGatewayTimeout:
		return policy.Moot, false
	case http.StatusInternalServerError:
		return policy.Failed, false
	}
	c.log.Debug("call: unknown answer", "endpoint", k.endpoint.name, "status", a.status)
	return policy.Failed, false
}

// toldWait reads the wait that an answer tells, 0 where it tells none or nonsense.
func toldWait(a answer) time.Duration {
	ms, err := strconv.ParseInt(a.header.Get(waitHeader), 10, 64)
	if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// itemEnd is how one message of a bundle ended.
type itemEnd struct {
	outcome policy.Outcome
	over    bool
}

func readEnd(word string) (itemEnd, bool) {
	switch word {
	case "done":
		return itemEnd{policy.Delivered, false}, true
	case "failed":
		return itemEnd{policy.Failed, false}, true
	case "busy":
		return itemEnd{policy.Full, false}, true
	case "void":
		return itemEnd{policy.Moot, true}, true
	case "used_up":
		return itemEnd{policy.Moot, false}, true
	}
	return itemEnd{}, false
}

// readEnds reads the ends of a bundle's messages. It is all or nothing: a list that
// is cut off, or says more than it should, tells nothing of any of them.
func readEnds(body []byte, parts []*part) (map[string]itemEnd, error) {
	ends := map[string]itemEnd{}
	for line := range strings.Lines(string(body)) {
		id, word, _ := strings.Cut(strings.TrimSpace(line), " ")
		end, ok := readEnd(word)
		if _, twice := ends[id]; !ok || twice {
			return nil, fmt.Errorf("%w: line %.80q", errSpoilt, line)
		}
		ends[id] = end
	}
	for _, p := range parts {
		if _, ok := ends[p.message.id]; !ok || len(ends) != len(parts) {
			return nil, fmt.Errorf("%w: %d lines for %d messages", errSpoilt, len(ends), len(parts))
		}
	}
	return ends, nil
}

func (c *caller) endAll(k *call, outcome policy.Outcome, wait time.Duration, over bool) {
	for _, p := range k.parts {
		c.end(k, p, outcome, wait, over)
	}
}

func (c *caller) end(k *call, p *part, outcome policy.Outcome, wait time.Duration, over bool) {
	c.finish(k, p, policy.Ended{Outcome: outcome, Wait: wait, Final: over || outcome == policy.Delivered})
}

// finish journals and tells the outcome of one message, once.
func (c *caller) finish(k *call, p *part, e policy.Ended) {
	k.mu.Lock()
	first := !p.over
	p.over = true
	k.mu.Unlock()
	if !first {
		return
	}
	var err error
	switch {
	case e.Outcome == policy.Delivered:
		err = c.journal.closed(p.message, k.endpoint.name, time.Now())
	case e.Final:
		err = c.journal.closed(p.message, "", time.Now())
	default:
		err = c.journal.outcome(p.message, e.Outcome, k.endpoint.name, time.Now())
	}
	if err != nil {
		// The attempt alone is on record then: after a restart it may have run.
		c.log.Error("journal: outcome", "id", p.message.id, "err", err)
	}
	e.Message, e.Attempt, e.Endpoint, e.Took = p.message.seq, p.attempt, k.endpoint.id, time.Since(k.started)
	c.tell(e)
}

// neverRan tells which outcomes prove that an attempt has not run.
func neverRan(o policy.Outcome) bool {
	return o == policy.Full || o == policy.Unreachable || o == policy.Moot
}
