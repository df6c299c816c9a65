package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
	// maxAnswer bounds what is read of an answer.
	maxAnswer = 64 << 10
	// drainAnswer is how long the rest of an answer is read for, so that the
	// connection can be used again.
	drainAnswer = 100 * time.Millisecond
	waitHeader  = "X-Backoff-Ms"
	// maxIdle bounds the kept connections to one endpoint, and so those to all.
	maxIdle = 8
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
	addr   string // owned by the loop
	dest   int
	kind   int
	zone   int
	leaves *gate // that it drains or is gone
	waits  *gate // of its route, or of its destination where routes share a limit
	pool   pool
}

// connection is one connection to an endpoint. It carries one call at a time.
type connection struct {
	*http.ClientConn
	wire  *tracked
	addr  string
	since time.Time // when it became idle
}

// tracked tells whether any byte of a call went out.
type tracked struct {
	net.Conn
	wrote atomic.Bool
}

// Write counts a write that failed with nothing taken as never made.
func (t *tracked) Write(b []byte) (int, error) {
	before := t.wrote.Swap(true)
	n, err := t.Conn.Write(b)
	if err != nil && n == 0 && !before {
		t.wrote.Store(false)
	}
	return n, err
}

// pool keeps the idle connections to one endpoint.
type pool struct {
	mu   sync.Mutex
	idle []*connection // the longest idle first
}

// get returns the connection that was used last and is still good, or nil.
func (p *pool) get(addr string, oldest time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Err() == nil && c.addr == addr && c.since.After(oldest) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		_ = p.idle[0].Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
}

// closeIdle closes the connections that are idle since before a time.
func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.idle[:0]
	for _, c := range p.idle {
		if c.Err() == nil && c.since.After(before) {
			keep = append(keep, c)
		} else {
			_ = c.Close()
		}
	}
	clear(p.idle[len(keep):])
	p.idle = keep
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
	transport *http.Transport
	journal   *journal
	log       *slog.Logger
	connect   time.Duration
	idle      time.Duration
	tell      func(policy.Event)
	running   sync.WaitGroup
}

type trackKey struct{}

func newCaller(c Config, j *journal, log *slog.Logger, tell func(policy.Event)) *caller {
	connect := c.Settings.ConnectTimeout
	if connect <= 0 {
		connect = time.Second
	}
	dialer := net.Dialer{Timeout: connect, KeepAlive: -1}
	return &caller{journal: j, log: log, connect: connect, tell: tell,
		// An endpoint closes an idle connection some time before the settings' limit
		// at the latest; a request on its way then would end as a reset.
		idle: c.IdleClose * 4 / 5,
		transport: &http.Transport{
			DisableCompression: true, MaxResponseHeaderBytes: maxAnswer,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				t := &tracked{Conn: conn}
				if out, ok := ctx.Value(trackKey{}).(**tracked); ok {
					*out = t
				}
				return t, nil
			}}}
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
	conn, err := c.connection(ctx, k)
	if err != nil {
		c.log.Debug("call: no connection", "endpoint", k.endpoint.name, "err", err)
		c.endAll(k, policy.Unreachable, 0, false)
		return
	}
	now := time.Now()
	// Between the module's decision and now the connection was made. What was told
	// in the meantime binds this call too, and it has not been sent.
	if !k.endpoint.leaves.open(now) || !k.endpoint.waits.open(now) {
		k.endpoint.pool.put(conn)
		c.endAll(k, policy.Moot, 0, false)
		return
	}
	for _, p := range k.parts {
		if err := c.journal.attempt(p.message, k.endpoint.name, k.endpoint.zone, now); err != nil {
			c.log.Warn("call: not sent", "id", p.message.id, "err", err)
			k.endpoint.pool.put(conn)
			c.endAll(k, policy.Moot, 0, false)
			return
		}
	}
	for _, p := range k.parts {
		if p.timeout < k.limit {
			t := time.AfterFunc(p.timeout-time.Since(k.started), func() { c.end(k, p, policy.TimedOut, 0, false) })
			defer t.Stop()
		}
	}
	conn.wire.wrote.Store(false)
	req, err := k.request(ctx)
	if err != nil {
		k.endpoint.pool.put(conn)
		c.log.Error("call: no request", "err", err)
		c.endAll(k, policy.Moot, 0, false)
		return
	}
	// A ClientConn never sends a request again by itself, unlike a Transport.
	resp, err := conn.RoundTrip(req)
	if err != nil {
		// Closed before the outcome is told: the slot and the endpoint must be free
		// of this call when the next one goes out.
		_ = conn.Close()
		switch {
		case !conn.wire.wrote.Load():
			c.endAll(k, policy.Unreachable, 0, false)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			c.endAll(k, policy.TimedOut, 0, false)
		default:
			c.log.Debug("call: broken", "endpoint", k.endpoint.name, "err", err)
			c.endAll(k, policy.Reset, 0, false)
		}
		return
	}
	c.answered(ctx, k, conn, resp)
}

// connection takes an idle connection or makes one.
func (c *caller) connection(ctx context.Context, k *call) (*connection, error) {
	if conn := k.endpoint.pool.get(k.addr, time.Now().Add(-c.idle)); conn != nil {
		return conn, nil
	}
	var wire *tracked
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, trackKey{}, &wire), c.connect)
	defer cancel()
	cc, err := c.transport.NewClientConn(ctx, "http", k.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", k.addr, err)
	}
	return &connection{ClientConn: cc, wire: wire, addr: k.addr}, nil
}

// request writes the call.
func (k *call) request(ctx context.Context) (*http.Request, error) {
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.addr+path, bytes.NewReader(body))
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

// answered takes in an answer.
func (c *caller) answered(ctx context.Context, k *call, conn *connection, resp *http.Response) {
	wait := toldWait(resp.Header)
	if wait > 0 {
		// Not a moment longer than the module counts: a send that it decides on
		// when the wait is over would be stopped here, and use up an attempt.
		k.endpoint.waits.wait(time.Now().Add(wait))
	}
	bundle := len(k.parts) > 1 && resp.StatusCode == http.StatusOK
	if !bundle {
		outcome, over := c.single(k, resp)
		c.endAll(k, outcome, wait, over)
		ctx2, cancel := context.WithTimeout(ctx, drainAnswer)
		defer cancel()
		stop := context.AfterFunc(ctx2, func() { _ = conn.Close() })
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		if !stop() {
			return
		}
		c.release(k, conn, resp, err)
		return
	}
	ends, err := readEnds(io.LimitReader(resp.Body, maxAnswer))
	c.release(k, conn, resp, err)
	lost := policy.Failed // an answer that leaves a message out: it may have run
	if err != nil {
		lost = policy.Reset
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			lost = policy.TimedOut
		}
		c.log.Warn("call: unreadable answer", "endpoint", k.endpoint.name, "err", err)
	}
	for _, p := range k.parts {
		switch ends[p.message.id] {
		case "done":
			c.end(k, p, policy.Delivered, wait, false)
		case "failed":
			c.end(k, p, policy.Failed, wait, false)
		case "busy":
			c.end(k, p, policy.Full, wait, false)
		case "void":
			c.end(k, p, policy.Moot, wait, true)
		case "used_up":
			c.end(k, p, policy.Moot, wait, false)
		default:
			c.end(k, p, lost, wait, false)
		}
	}
}

// release puts a connection back whose answer was read to its end.
func (c *caller) release(k *call, conn *connection, resp *http.Response, err error) {
	_ = resp.Body.Close()
	if err != nil || resp.Close || conn.Err() != nil {
		_ = conn.Close()
		return
	}
	k.endpoint.pool.put(conn)
}

// single tells what a status means, and whether the message is over.
func (c *caller) single(k *call, resp *http.Response) (outcome policy.Outcome, over bool) {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.Delivered, false
	case http.StatusTooManyRequests:
		return policy.Full, false
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Egress-Full") == "1" {
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
	c.log.Warn("call: unknown answer", "endpoint", k.endpoint.name, "status", resp.Status)
	return policy.Failed, false
}

func toldWait(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(waitHeader), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// readEnds reads the ends of a bundle's messages.
func readEnds(r io.Reader) (map[string]string, error) {
	ends := map[string]string{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		id, end, ok := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if ok {
			ends[id] = end
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the ends: %w", err)
	}
	return ends, nil
}

func (c *caller) endAll(k *call, outcome policy.Outcome, wait time.Duration, over bool) {
	for _, p := range k.parts {
		c.end(k, p, outcome, wait, over)
	}
}

// end journals and tells the outcome of one message, once.
func (c *caller) end(k *call, p *part, outcome policy.Outcome, wait time.Duration, over bool) {
	k.mu.Lock()
	first := !p.over
	p.over = true
	k.mu.Unlock()
	if !first {
		return
	}
	var err error
	switch {
	case outcome == policy.Delivered:
		err = c.journal.closed(p.message, k.endpoint.name, time.Now())
	case over:
		err = c.journal.closed(p.message, "", time.Now())
	default:
		err = c.journal.outcome(p.message, outcome, k.endpoint.name, time.Now())
	}
	if err != nil {
		// The attempt alone is on record then: after a restart it may have run.
		c.log.Error("journal: outcome", "id", p.message.id, "err", err)
	}
	c.tell(policy.Ended{Message: p.message.seq, Attempt: p.attempt, Endpoint: k.endpoint.id, Outcome: outcome,
		Wait: wait, Final: over || outcome == policy.Delivered, Took: time.Since(k.started)})
}

// neverRan tells which outcomes prove that an attempt has not run.
func neverRan(o policy.Outcome) bool {
	return o == policy.Full || o == policy.Unreachable || o == policy.Moot
}
