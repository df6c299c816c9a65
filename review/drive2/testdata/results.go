package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// receiver is a stand-in of the receiver of final responses. It commits each line before it answers 204.
type receiver struct {
	r       *run
	address string
	line    time.Duration // how long a line takes to commit

	mu       sync.Mutex
	down     bool   // answers 503 and keeps nothing
	away     string // if set, answers 302 with this Location and keeps nothing
	requests int
	outcomes map[string][]string // by id
	retries  map[string]time.Duration
}

func newReceiver(r *run, line time.Duration) (*receiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &receiver{r: r, address: l.Addr().String(), line: line, outcomes: map[string][]string{}, retries: map[string]time.Duration{}}
	server := &http.Server{Handler: v}
	go func() { _ = server.Serve(l) }()
	return v, nil
}

func (v *receiver) setDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

func (v *receiver) setAway(location string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = location
}

func (v *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		v.r.notef("receiver: %s %s is answered 200, a page that says maintenance", req.Method, req.URL.Path)
		_, _ = io.WriteString(w, "maintenance, come again later\n")
		return
	}
	v.mu.Lock()
	v.requests++
	down, away := v.down, v.away
	v.mu.Unlock()
	if away != "" {
		body, _ := io.ReadAll(req.Body)
		v.r.notef("receiver: POST %s is answered 302 and not kept: %.120q", req.URL.Path, body)
		w.Header().Set("Location", away)
		w.WriteHeader(http.StatusFound)
		return
	}
	if down {
		_, _ = io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	decoder := json.NewDecoder(req.Body)
	lines, began := 0, time.Now()
	for {
		var n struct {
			ID      string `json:"id"`
			Outcome string `json:"outcome"`
			Retry   int64  `json:"retry_in_ms"`
		}
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(v.line)
		v.mu.Lock()
		v.outcomes[n.ID] = append(v.outcomes[n.ID], n.Outcome)
		v.retries[n.ID] = time.Duration(n.Retry) * time.Millisecond
		v.mu.Unlock()
		lines++
	}
	w.WriteHeader(http.StatusNoContent)
	v.r.notef("receiver: a request with %d lines is answered 204 after %v", lines, time.Since(began).Round(time.Millisecond))
}

// of returns the outcomes that arrived for an id.
func (v *receiver) of(id string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.outcomes[id]...)
}

// retryIn returns after what time the client of a refused message may come again.
func (v *receiver) retryIn(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retries[id]
}

func (v *receiver) count() (ids, requests int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.outcomes), v.requests
}
