package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bodyLimit is how much a body holds at most, by the protocol.
const bodyLimit = 64 << 10

// partner is a stand-in of a partner system with endpoints in several buildings. A building drops repeats of a key for
// the window, counted from the first run there.
type partner struct {
	r       *run
	window  time.Duration
	wide    bool // repeats are dropped by all endpoints, and not by building
	number  atomicCounter
	tooLong atomicCounter // calls with a body over bodyLimit

	mu   sync.Mutex
	seen map[string]time.Time // building and key: when it first ran there
	runs map[string][]effect  // by id: what ran, repeats that were dropped left out
}

// effect is one run of a message at the partner.
type effect struct {
	endpoint, building string
	at                 time.Time
}

type atomicCounter struct {
	sync.Mutex
	n int
}

func (c *atomicCounter) next() int {
	c.Lock()
	defer c.Unlock()
	c.n++
	return c.n
}

func (c *atomicCounter) value() int {
	c.Lock()
	defer c.Unlock()
	return c.n
}

func newPartner(r *run, window time.Duration) *partner {
	return &partner{r: r, window: window, seen: map[string]time.Time{}, runs: map[string][]effect{}}
}

// behaviour says how an endpoint takes a call now: refuse is a status with which it turns the call away unseen, 0 if it
// runs it; backoff is a wait that it tells with 429; took is how long the call takes.
type behaviour func(ids []string) (refuse int, backoff, took time.Duration)

// noAnswer, as the time that a call takes, leaves it without an answer until its caller gives it up. silent, as the status
// with which a call is turned away, does so before anything runs.
const (
	noAnswer = time.Duration(-1)
	silent   = -1
)

// call is one message of a call.
type call struct {
	id, key string
	body    []byte
}

// run notes that a message begins at a building, and reports whether that is a first run there.
func (p *partner) run(endpoint, building string, c call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	group := building
	if p.wide {
		group = ""
	}
	if c.key != "" {
		at, known := p.seen[group+" "+c.key]
		if known && now.Sub(at) < p.window {
			return false
		}
		p.seen[group+" "+c.key] = now
	}
	p.runs[c.id] = append(p.runs[c.id], effect{endpoint, building, now})
	return true
}

// effects returns what ran of a message.
func (p *partner) effects(id string) []effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]effect(nil), p.runs[id]...)
}

// endpoint starts an endpoint of a building. It returns its address.
func (p *partner) endpoint(name, building string, b behaviour) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { p.serve(w, req, name, building, b) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *partner) serve(w http.ResponseWriter, req *http.Request, name, building string, b behaviour) {
	body, err := io.ReadAll(io.LimitReader(req.Body, 8<<20))
	if err != nil {
		return
	}
	if len(body) > bodyLimit {
		p.tooLong.next()
		p.r.logf("%s: %s with a body of %d bytes, over 64 KiB: 413, nothing has run", name, req.URL.Path, len(body))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	calls := []call{{req.Header.Get("X-Request-ID"), req.Header.Get("Idempotency-Key"), body}}
	batch := req.URL.Path == "/events/bundle"
	if batch {
		if calls, err = parseBundle(body); err != nil {
			p.r.logf("%s: a bundle that can't be read: %v", name, err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	ids := make([]string, len(calls))
	for i, c := range calls {
		ids[i] = c.id
	}
	refuse, backoff, took := b(ids)
	if refuse == silent {
		p.r.notef("%s: call of %v gets no answer, and nothing runs", name, ids)
		<-req.Context().Done()
		return
	}
	if refuse != 0 {
		p.r.notef("%s: call of %v is turned away with %d, wait %v", name, ids, refuse, backoff)
		if backoff > 0 {
			w.Header().Set("X-Backoff-Ms", strconv.FormatInt(backoff.Milliseconds(), 10))
		}
		w.WriteHeader(refuse)
		return
	}
	for _, c := range calls {
		first := p.run(name, building, c)
		p.r.notef("%s: %s runs (%d bytes, key %q); a repeat that is dropped: %v", name, c.id, len(c.body), c.key, !first)
	}
	if took == noAnswer {
		<-req.Context().Done()
		return
	}
	time.Sleep(took)
	if !batch {
		_, _ = fmt.Fprintf(w, "%s %d\n", ids[0], p.number.next())
		return
	}
	for _, id := range ids {
		_, _ = fmt.Fprintf(w, "%s done\r\n", id)
	}
}

// parseBundle reads the body of a batch.
func parseBundle(body []byte) ([]call, error) {
	var calls []call
	reader := bufio.NewReader(bytes.NewReader(body))
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return calls, nil
		}
		fields := strings.Fields(line)
		if err != nil || len(fields) != 3 {
			return nil, fmt.Errorf("line %.80q: %v", line, err)
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil {
			return nil, err
		}
		text := make([]byte, n+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		key := fields[1]
		if key == "-" {
			key = ""
		}
		calls = append(calls, call{fields[0], key, text[:n]})
	}
}
