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
	down     bool // answers 503 and keeps nothing
	requests int
	outcomes map[string][]string // by id
}

func newReceiver(r *run, line time.Duration) (*receiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &receiver{r: r, address: l.Addr().String(), line: line, outcomes: map[string][]string{}}
	server := &http.Server{Handler: v}
	go func() { _ = server.Serve(l) }()
	return v, nil
}

func (v *receiver) setDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

func (v *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	v.mu.Lock()
	v.requests++
	down := v.down
	v.mu.Unlock()
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

func (v *receiver) count() (ids, requests int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.outcomes), v.requests
}
