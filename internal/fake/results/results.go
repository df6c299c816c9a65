// Package results is a fake receiver of result notifications: it accepts JSON lines on loopback and keeps each
// notification with the time at which it arrived.
//
// The methods of a [Receiver] may be called by several goroutines.
//
// Start reading at [New] and [Receiver.For].
package results

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// headerTimeout is how long a sender may take for the header of a request.
const headerTimeout = 5 * time.Second

// Notification is one result as it was notified.
type Notification struct {
	ID        string    `json:"id"`
	Outcome   string    `json:"outcome"`
	RetryInMs int64     `json:"retry_in_ms"` // 0 without a time to retry
	At        time.Time `json:"-"`           // when it arrived
}

// Receiver accepts notifications.
type Receiver struct {
	server  *http.Server
	address string
	running sync.WaitGroup

	mu            sync.Mutex
	failing       bool
	notifications map[string][]Notification // by id
}

// New starts a receiver.
func New() (*Receiver, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for results: %w", err)
	}
	r := &Receiver{notifications: map[string][]Notification{}, address: listener.Addr().String()}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
	r.running.Go(func() { _ = r.server.Serve(listener) }) // ends with Close
	return r, nil
}

// URL returns where notifications are sent.
func (r *Receiver) URL() string { return "http://" + r.address + "/answers" }

// Close closes the receiver and its connections.
func (r *Receiver) Close() error {
	err := r.server.Close()
	r.running.Wait()
	return err
}

// SetFailing makes the receiver answer 500 and drop what it gets, or ends that.
func (r *Receiver) SetFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

// ServeHTTP accepts all notifications of a request, or none.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	batch, err := decode(request.Body, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, n := range batch {
		r.notifications[n.ID] = append(r.notifications[n.ID], n)
	}
	w.WriteHeader(http.StatusNoContent)
}

// decode reads the notifications of a request that arrived at a time.
func decode(body io.Reader, at time.Time) ([]Notification, error) {
	var batch []Notification
	decoder := json.NewDecoder(body)
	for {
		var n Notification
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			return batch, nil
		}
		if err != nil || n.ID == "" {
			return nil, errors.New("a notification that can't be read")
		}
		n.At = at
		batch = append(batch, n)
	}
}

// For returns the notifications of a message, in the order in which they arrived.
func (r *Receiver) For(id string) []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notifications[id])
}
