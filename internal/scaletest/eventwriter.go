package scaletest

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// eventWriter writes events as lines. It is safe for concurrent use.
type eventWriter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newEventWriter(out io.Writer) *eventWriter { return &eventWriter{encoder: json.NewEncoder(out)} }

// write writes an event, with the present time where it has none. An error means that the reader has ended, and then
// so does the input of this process.
func (w *eventWriter) write(e event) {
	if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.encoder.Encode(e)
}
