// Package rig runs real node processes against stand-ins on loopback, hands messages in as
// clients do, and counts every message at both ends.
//
// Nodes are processes of their own, so that they can be killed at a named failure point.
package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wingmount/internal/config"
	"wingmount/internal/gossip"
	"wingmount/internal/loopback"
	"wingmount/internal/standin/answers"
	"wingmount/internal/standin/forger"
	"wingmount/internal/standin/partner"
	"wingmount/internal/standin/pgserver"
)

const (
	// clientPatience is how long a client waits for the answer to a hand-in.
	clientPatience = 400 * time.Millisecond
	// clientPause is between two tries of a client.
	clientPause = 100 * time.Millisecond
	// lateSlack is how long after a message's time its answer may come, and restartSlack how
	// long after a node is ready again.
	lateSlack    = 350 * time.Millisecond
	restartSlack = 1500 * time.Millisecond
	// takeoverSlack is how long after a lease has run out others may take to find that.
	takeoverSlack = time.Second
	defaultMB     = 64
	gossipCluster = "rig"
)

// Classes of the rig's nodes, by what a repeat does.
const (
	Keyed      = "keyed"
	Idempotent = "idempotent"
	Unsafe     = "unsafe"
	// InLine is ordered, and there only with [Config.Rules].
	InLine = "in-line"
)

// Destination is one partner system of the rig.
type Destination struct {
	Number  int
	Name    string
	System  *partner.System
	Rate    float64
	entries []string
}

// Config is what a rig is told.
type Config struct {
	Dir          string        // for the store, the file and the logs
	Command      []string      // starts a node; 'run --config FILE [--fail POINTS]' is appended
	Env          []string      // beyond this process's
	Store        string        // "sqlite", "journal" or "postgres", for which a stand-in is started
	Deadline     time.Duration // of all classes
	Destinations int
	Takes        time.Duration        // for a call
	MaxMB        int                  // of the store, 64 where it is 0
	Body         int                  // bytes of a message
	Slack        time.Duration        // how late an answer may come, 350 ms where it is 0
	Keep         time.Duration        // of answers, the default where it is 0
	Nodes        int                  // 1 where it is 0; more share one PostgreSQL
	Lease        time.Duration        // of nodes on PostgreSQL, the default where it is 0
	Held, Slots  int                  // of each node, 400 and 32 where they are 0
	Rate         float64              // listed for each destination, calls a second; none where it is 0
	Record       string               // where nodes record their decisions; nowhere where it is empty
	NoAdmission  bool                 // only the hold bounds what is taken on
	Rules        string               // for keys and classes; none where it is empty
	Modes        map[int]partner.Mode // of destinations from the start, sound where none is said
	Gossip       bool                 // nodes share what they see of partners
	Partners     string               // lines of [partners] in the nodes' files
	Systems      int                  // partner systems that the destinations share in turn; one each where it is 0
	Sockets      int                  // limits.sockets of the nodes, the default where it is 0
	Assignment   *Assignment          // of destinations to nodes; none where it is nil
}

// Rig is one installation: its nodes, its partners, and who is told answers.
type Rig struct {
	Destinations []*Destination
	Answers      *answers.Sink
	Postgres     *pgserver.Server // nil with other stores
	cfg          Config
	nodes        []place
	ports        loopback.Ports
	client       *http.Client
	systems      []*partner.System // of the destinations, each once
	control      *control          // nil without Config.Assignment

	mu       sync.Mutex
	messages map[string]*Message
	order    []string
	next     int    // the node that the next message is handed to first
	downs    []down // when a node was not there
	Kills    int
	refusals []time.Duration // how long clients waited that were turned away
}

// place is where a node is found. Gossip is its address for peers, and public its key, where there are any.
type place struct{ name, listen, file, gossip, public string }

// key is where the node's private key is, and state where it keeps what it knows of its peers.
func (p place) key() string   { return p.file + ".key" }
func (p place) state() string { return p.file + ".gossip" }

// rules is where the node's rules are.
func (p place) rules() string { return p.file + ".rules" }

// SetRules puts other rules into the file of the first node, which reads them on SIGHUP or at its start.
func (r *Rig) SetRules(text string) error {
	return os.WriteFile(r.nodes[0].rules(), []byte(text), 0o600)
}

// down is a time during which a node was dead or paused; to is zero while it is.
type down struct {
	node     int
	from, to time.Time
}

// Message is one message as its client sees it.
type Message struct {
	ID, Class string
	Dest      int
	Born      time.Time
	Deadline  time.Time
	Taken     bool // acknowledged
	TakenAt   time.Time
	Known     bool // its client heard, resending it, that it is on record
	Refused   bool // turned away, and not on record as far as its client knows

	Key, Body string // of its client; those that the rig gives where Body is empty
	// Repeats says that it may be dropped as the repeat of another by its partner.
	Repeats bool
}

// New builds a rig; nothing runs yet but the stand-ins.
func New(c Config) (*Rig, error) {
	if c.MaxMB == 0 {
		c.MaxMB = defaultMB
	}
	if c.Slack == 0 {
		c.Slack = lateSlack
	}
	if c.Held == 0 {
		c.Held = 400
	}
	if c.Slots == 0 {
		c.Slots = 32
	}
	sink, err := answers.New()
	if err != nil {
		return nil, err
	}
	r := &Rig{cfg: c, Answers: sink, messages: map[string]*Message{},
		client: &http.Client{Timeout: clientPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 64},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	if c.Store == "postgres" {
		if r.Postgres, err = pgserver.New(pgserver.Config{Path: filepath.Join(c.Dir, "pg.db"), User: "wing", Password: "mount"}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	if err := r.newDestinations(); err != nil {
		return nil, errors.Join(err, r.Close())
	}
	for i := range max(1, c.Nodes) {
		p := place{name: fmt.Sprint("rig-", i+1), file: filepath.Join(c.Dir, fmt.Sprint("gateway-", i+1, ".toml"))}
		var err error
		if p.listen, err = r.ports.Next(); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		if c.Rules != "" {
			if err := os.WriteFile(p.rules(), []byte(c.Rules), 0o600); err != nil {
				return nil, errors.Join(err, r.Close())
			}
		}
		if c.Gossip {
			if err := p.prepareGossip(&r.ports); err != nil {
				return nil, errors.Join(err, r.Close())
			}
		}
		r.nodes = append(r.nodes, p)
	}
	if c.Assignment != nil {
		if err := r.newControl(); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	for i, p := range r.nodes {
		if err := os.WriteFile(p.file, []byte(r.text(i)), 0o600); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// prepareGossip makes a node's key and finds it an address.
func (p *place) prepareGossip(ports *loopback.Ports) (err error) {
	if p.public, err = config.NewGossipKey(p.key()); err != nil {
		return err
	}
	p.gossip, err = ports.Next()
	return err
}

// Flood sends a node forged datagrams in the name of another, and tells how many.
func (r *Rig) Flood(ctx context.Context, node, as, rate int, over time.Duration) (int, error) {
	return forger.Flood(ctx, forger.Victim{Address: r.nodes[node].gossip, Name: r.nodes[node].name, Cluster: gossipCluster, Peer: r.nodes[as].name, Key: r.nodes[as].public}, rate, over)
}

// Peers is what a node, counted from 0, last wrote of its peers, and of what it suspects.
func (r *Rig) Peers(node int) (gossip.Status, error) { return gossip.ReadStatus(r.nodes[node].state()) }

// File is the configuration of a node, counted from 0.
func (r *Rig) File(node int) string { return r.nodes[node].file }

// Listen is where a node, counted from 0, listens for clients.
func (r *Rig) Listen(node int) string { return r.nodes[node].listen }

// StorePath is where the first node's store lies.
func (r *Rig) StorePath() string { return r.storePath(0) }

// storePath: nodes that share no database have a store each.
func (r *Rig) storePath(node int) string {
	if node == 0 || r.Postgres != nil {
		return filepath.Join(r.cfg.Dir, "store")
	}
	return filepath.Join(r.cfg.Dir, fmt.Sprint("store-", node+1))
}

// sharing is how many nodes share the rate of each destination as far as a node's file says.
func (r *Rig) sharing() int {
	if r.control != nil {
		return 1
	}
	return max(1, r.cfg.Nodes)
}

func (r *Rig) text(node int) string {
	var b strings.Builder
	p := r.nodes[node]
	fmt.Fprintf(&b, "name = %q\nlisten = %q\n[store]\nkind = %q\n", p.name, p.listen, r.cfg.Store)
	if r.cfg.Keep > 0 {
		fmt.Fprintf(&b, "keep = %q\n", r.cfg.Keep)
	}
	if r.Postgres != nil {
		fmt.Fprintf(&b, "url = %q\n", r.Postgres.URL())
		if r.cfg.Lease > 0 {
			fmt.Fprintf(&b, "lease = %q\n", r.cfg.Lease)
		}
	}
	fmt.Fprintf(&b, "path = %q\ndurability = \"process\"\nmax_mb = %d\n[answers]\nurl = %q\n[limits]\nheld = %d\nslots = %d\nnodes = %d\nadmission = %t\n%s",
		r.storePath(node), r.cfg.MaxMB, r.Answers.URL(), r.cfg.Held, r.cfg.Slots, r.sharing(), !r.cfg.NoAdmission, r.socketsLine())
	for _, class := range []string{Keyed, Idempotent, Unsafe} {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nrepeat = %q\nwanted = %q\ndeadline = %q\nlate_worth = 0.5\n", class, class, min(time.Second, r.cfg.Deadline), r.cfg.Deadline)
		if class == Keyed {
			b.WriteString("window = \"12s\"\n")
		}
	}
	if r.cfg.Rules != "" {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nrepeat = \"idempotent\"\nordered = true\nrest = \"500ms\"\nwanted = %q\ndeadline = %q\nlate_worth = 0.5\n[rules]\nfile = %q\n",
			InLine, min(time.Second, r.cfg.Deadline), r.cfg.Deadline, p.rules())
	}
	if r.cfg.Partners != "" {
		fmt.Fprintf(&b, "[partners]\n%s\n", r.cfg.Partners)
	}
	if r.control != nil {
		b.WriteString(r.assignmentText(node))
	}
	if r.cfg.Gossip {
		fmt.Fprintf(&b, "[gossip]\nlisten = %q\ncluster = %q\nbuilding = \"ops-building\"\nkey = %q\nstate = %q\n", p.gossip, gossipCluster, p.key(), p.state())
		for _, q := range r.nodes {
			fmt.Fprintf(&b, "[[gossip.peer]]\nname = %q\naddress = %q\nkeys = [%q]\n", q.name, q.gossip, q.public)
		}
	}
	for _, d := range r.Destinations {
		fmt.Fprintf(&b, "[[destination]]\nnumber = %d\nname = %q\nrate = %.1f\n%s", d.Number, d.Name, d.Rate, strings.Join(d.entries, ""))
	}
	return b.String()
}

// Close ends the stand-ins.
func (r *Rig) Close() error {
	r.client.CloseIdleConnections()
	errs := []error{r.Answers.Close(), r.ports.Close()}
	if r.Postgres != nil {
		errs = append(errs, r.Postgres.Close())
	}
	if r.control != nil {
		errs = append(errs, r.control.close())
	}
	for _, s := range r.systems {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// ErrEnded says that a node ended before it was ready.
var ErrEnded = errors.New("the node ended before it was ready")

// Process is one life of a node.
type Process struct {
	rig   *Rig
	node  int
	cmd   *exec.Cmd
	log   bytes.Buffer
	ended chan struct{}
	err   error
}

// Start starts the first node, see StartNode.
func (r *Rig) Start(ctx context.Context, points string) (*Process, error) {
	return r.StartNode(ctx, 0, points)
}

// StartNode starts a node, counted from 0, with failure points armed, and waits until it is
// ready. A node that ends before it is ready is returned with an error.
func (r *Rig) StartNode(ctx context.Context, node int, points string) (*Process, error) {
	args := append(append([]string(nil), r.cfg.Command[1:]...), "run", "--config", r.nodes[node].file)
	if r.cfg.Record != "" {
		args = append(args, "--record", r.cfg.Record)
	}
	if points != "" {
		args = append(args, "--fail", points)
	}
	p := &Process{rig: r, node: node, cmd: exec.Command(r.cfg.Command[0], args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), r.cfg.Env...)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a node: %w", err)
	}
	began := time.Now()
	go func() {
		p.err = p.cmd.Wait()
		r.gone(node)
		close(p.ended)
	}()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.nodes[node].listen+"/healthz", nil)
		if err != nil {
			return p, err
		}
		resp, err := r.client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
			return p, fmt.Errorf("the node is not ready after %v: %w: %s", time.Since(began), ctx.Err(), p.Log())
		case <-p.ended:
			return p, fmt.Errorf("%w: %w", ErrEnded, p.err)
		case <-time.After(2 * time.Millisecond):
		}
	}
	r.back(node)
	return p, nil
}

// gone notes that a node is not there from now on, back that it is again.
func (r *Rig) gone(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs = append(r.downs, down{node: node, from: time.Now()})
}

func (r *Rig) back(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.downs {
		if d := &r.downs[i]; d.node == node && d.to.IsZero() {
			d.to = time.Now()
		}
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Log is what the process wrote, once it has ended.
func (p *Process) Log() string {
	select {
	case <-p.ended:
		return p.log.String()
	default:
		return "(it runs)"
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Paused waits until the process is stopped, by SIGSTOP or at a failure point, and counts it as
// gone from then on. Continue lets it go on.
func (p *Process) Paused(ctx context.Context) error {
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return fmt.Errorf("waiting for a node to be paused: %w", err)
		}
		// The state follows the name, which is in brackets (proc(5)).
		if _, rest, _ := strings.Cut(string(stat), ") "); strings.HasPrefix(rest, "T") {
			p.rig.gone(p.node)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for a node to be paused: %w", ctx.Err())
		case <-p.ended:
			return fmt.Errorf("waiting for a node to be paused: it ended: %w", p.err)
		case <-time.After(time.Millisecond):
		}
	}
}

// Continue lets a paused process go on.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Err is how the process ended, once it has.
func (p *Process) Err() error {
	<-p.ended
	return p.err
}

// Kill ends the process as a crash does, and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

// Hand hands a message in as a client does: it waits 400 ms for the answer, and resends the
// same id when none came, at the next node where several share a database, until the message's time
// is up.
func (r *Rig) Hand(ctx context.Context, id, class string, dest int) error {
	return r.HandThis(ctx, Message{ID: id, Class: class, Dest: dest})
}

// HandThis is [Rig.Hand] for a message with a key and a body of its own.
func (r *Rig) HandThis(ctx context.Context, given Message) error {
	m, id := &given, given.ID
	m.Born = time.Now()
	m.Deadline = m.Born.Add(r.cfg.Deadline)
	r.mu.Lock()
	r.messages[id] = m
	r.order = append(r.order, id)
	node := r.first(m.Dest)
	r.mu.Unlock()
	target, redirects := "/"+m.Class, 0
	unsure := false // an earlier try may have been taken: a refusal then tells of the later one alone
	for {
		left := time.Until(m.Deadline)
		if left <= 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		asked := time.Now()
		status, location, err := r.post(ctx, node, target, m, left)
		if status == http.StatusTemporaryRedirect {
			// The node has not accepted it, and can't have before.
			unsure = false
			if owner, path, ok := r.redirect(location); ok && redirects < maxRedirects {
				r.learn(m.Dest, owner, true)
				node, target = owner, path
				redirects++
				continue
			}
			status = http.StatusServiceUnavailable
		}
		target, redirects = "/"+m.Class, 0
		if r.control != nil && !unsure && notDialled(err) {
			r.learn(m.Dest, node, false)
			node, err = r.nextInRegion(node), nil
			status = 0
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if err != nil || status == http.StatusGatewayTimeout { // not known yet: asked again by the same id
			unsure = true
		} else if status != 0 && (!unsure || !refused) {
			r.mu.Lock()
			defer r.mu.Unlock()
			switch {
			case status == http.StatusAccepted:
				m.Taken = true
			case status == http.StatusOK || status == http.StatusGone || status == statusRecorded:
				m.Known = true
			case refused:
				m.Refused = true
				r.learn(m.Dest, node, false)
				r.refusals = append(r.refusals, time.Since(asked))
			default:
				return fmt.Errorf("handing in %s: answered %d", id, status)
			}
			return nil
		}
		if r.Postgres != nil { // only nodes that share a database know each other's messages
			node = (node + 1) % len(r.nodes)
		}
		select {
		case <-ctx.Done():
		case <-time.After(clientPause):
		}
	}
}

// statusRecorded stands for a refusal that is the message's recorded answer.
const statusRecorded = -1

// post hands a message in once. It returns the status, and where a redirect leads.
func (r *Rig) post(ctx context.Context, node int, target string, m *Message, left time.Duration) (status int, location string, err error) {
	key, body := m.Key, m.Body
	if body == "" {
		body = "body of " + m.ID + strings.Repeat(".", r.cfg.Body)
		if m.Class == Keyed {
			key = "key-" + m.ID
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.nodes[node].listen+target, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Request-ID", m.ID)
	req.Header.Set("X-Priority-Class", m.Class)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set("X-Route-To", "dest="+strconv.Itoa(m.Dest))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // for reuse only
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Final") != "" {
		return statusRecorded, "", nil
	}
	return resp.StatusCode, resp.Header.Get("Location"), nil
}

// Settle waits until every message that was taken has its answer, or its time and the slack
// are over.
func (r *Rig) Settle(ctx context.Context) {
	for ctx.Err() == nil {
		open, last := 0, time.Time{}
		r.mu.Lock()
		for _, m := range r.messages {
			if (m.Taken || m.Known) && len(r.Answers.Of(m.ID)) == 0 {
				open++
				if due := r.due(m); due.After(last) {
					last = due
				}
			}
		}
		r.mu.Unlock()
		if open == 0 || time.Now().After(last.Add(time.Second)) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// due is when the answer to a message must be there.
func (r *Rig) due(m *Message) time.Time {
	due := m.Deadline.Add(r.cfg.Slack)
	for _, d := range r.downs {
		if d.from.After(due) {
			continue
		}
		to := d.to
		if to.IsZero() {
			to = time.Now()
		}
		if taken := d.from.Add(r.cfg.Lease + takeoverSlack); len(r.nodes) > 1 && r.cfg.Lease > 0 && taken.Before(to) {
			to = taken
		}
		if to = to.Add(restartSlack); to.After(due) {
			due = to
		}
	}
	return due
}

// Tally is what became of the messages, counted at both ends.
type Tally struct {
	Handed        int `json:"handed"`
	Taken         int `json:"taken"`
	TurnedAway    int `json:"turned_away"` // by the node, before it took them
	Delivered     int `json:"delivered"`
	Refused       int `json:"refused"`
	Failed        int `json:"failed"`
	Unanswered    int `json:"unanswered"`
	AnsweredTwice int `json:"answered_twice"` // told two different answers
	ToldAgain     int `json:"told_again"`     // told the same answer more than once: harmless
	RanTwice      int `json:"ran_twice"`      // effects beyond what keys drop, where repeats matter
	RefusedRan    int `json:"refused_ran"`    // refused, though it had an effect that repeats
	Lost          int `json:"lost"`           // told as delivered, and without effect
	TwoOut        int `json:"two_out"`        // calls out at once for one message
	Late          int `json:"late"`
	EarlyCalls    int `json:"early_calls"` // calls during a told wait
	Kills         int `json:"kills"`
	// RefusalP99 is within how many milliseconds 99 of 100 clients that were turned away
	// heard so.
	RefusalP99 float64 `json:"refusal_p99_ms"`
}

// Broken lists the promises that were broken.
func (t Tally) Broken() []string {
	var b []string
	for _, c := range []struct {
		name string
		n    int
	}{{"unanswered", t.Unanswered}, {"answered twice", t.AnsweredTwice}, {"ran twice", t.RanTwice}, {"refused and ran", t.RefusedRan},
		{"lost", t.Lost}, {"two out", t.TwoOut}, {"late", t.Late}, {"calls during a told wait", t.EarlyCalls}} {
		if c.n > 0 {
			b = append(b, fmt.Sprintf("%d %s", c.n, c.name))
		}
	}
	return b
}

// Message is a copy of what a client knows of the message that it handed in last under an id.
func (r *Rig) Message(id string) Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.messages[id]
}

// Tally counts.
func (r *Rig) Tally() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Tally{Kills: r.Kills}
	if n := len(r.refusals); n > 0 {
		sorted := slices.Sorted(slices.Values(r.refusals))
		t.RefusalP99 = float64(sorted[(n*99-1)/100].Microseconds()) / 1000
	}
	ledgers := r.ledgers()
	for _, l := range ledgers {
		t.TwoOut += l.TwoOut
		t.EarlyCalls += l.Early
	}
	for _, id := range r.order {
		m := r.messages[id]
		t.Handed++
		told := r.Answers.Of(id)
		effects := r.ledger(ledgers, m.Dest).Effects[id]
		if m.Class != Idempotent && effects > 1 {
			t.RanTwice++
		}
		switch {
		case m.Taken || m.Known:
			t.Taken++
			if len(told) == 0 {
				t.Unanswered++
				continue
			}
		case m.Refused && len(told) == 0:
			t.TurnedAway++
			if effects > 0 && m.Class != Idempotent {
				t.RefusedRan++
			}
			continue
		case len(told) == 0:
			continue // its client never heard anything, and it was not taken
		}
		if len(told) > 1 {
			t.ToldAgain++
		}
		for _, a := range told[1:] {
			if a.Outcome != told[0].Outcome {
				t.AnsweredTwice++
				break
			}
		}
		if told[0].At.After(r.due(m)) {
			t.Late++
		}
		switch told[0].Outcome {
		case "delivered":
			t.Delivered++
			if effects == 0 && !m.Repeats {
				t.Lost++
			}
		case "refused":
			t.Refused++
			if effects > 0 && m.Class != Idempotent {
				t.RefusedRan++
			}
		default:
			t.Failed++
		}
	}
	return t
}

// CountKill counts a crash that the rig has seen.
func (r *Rig) CountKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Kills++
}

// Plus is the count of two rigs together.
func (t Tally) Plus(o Tally) Tally {
	return Tally{Handed: t.Handed + o.Handed, Taken: t.Taken + o.Taken, TurnedAway: t.TurnedAway + o.TurnedAway, Delivered: t.Delivered + o.Delivered,
		Refused: t.Refused + o.Refused, Failed: t.Failed + o.Failed, Unanswered: t.Unanswered + o.Unanswered, AnsweredTwice: t.AnsweredTwice + o.AnsweredTwice,
		ToldAgain: t.ToldAgain + o.ToldAgain, RanTwice: t.RanTwice + o.RanTwice, RefusedRan: t.RefusedRan + o.RefusedRan, Lost: t.Lost + o.Lost,
		TwoOut: t.TwoOut + o.TwoOut, Late: t.Late + o.Late, EarlyCalls: t.EarlyCalls + o.EarlyCalls, Kills: t.Kills + o.Kills,
		RefusalP99: max(t.RefusalP99, o.RefusalP99)}
}
