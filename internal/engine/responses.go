package engine

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/store"
)

const (
	// maxResponseBatch is the maximum number of final responses in one write.
	maxResponseBatch = 256
	// maxWriteOrderWait is how long a batch of final responses waits for the previous batch. Without this bound, a
	// store that is not writable would delay each batch by the store's full timeout.
	maxWriteOrderWait = 20 * time.Millisecond
)

// Failure points for crashes before and after the write of a final response.
var (
	beforePersisted = failpoint.New("engine/before-end")
	afterPersisted  = failpoint.New("engine/after-end")
)

// responseWriter persists final responses and then passes them to the notifier. It keeps the order of the module's
// decisions unless a write takes longer than maxWriteOrderWait. The queue is bounded by the number of messages in flight,
// because each message has one final response.
//
// The method add is safe for concurrent use and never waits for the store. The writes run in goroutines, which have
// ended when the function returned by start returns.
type responseWriter struct {
	ctx      context.Context // bounds the writes
	store    store.Store
	notifier Notifier
	log      *slog.Logger

	mu     sync.Mutex
	queue  []store.Completion
	closed bool
	queued sync.Cond // signals that the queue has grown or closed is set

	writing sync.WaitGroup // counts the batches that are being written
}

func newResponseWriter(ctx context.Context, s store.Store, n Notifier, log *slog.Logger) *responseWriter {
	w := &responseWriter{ctx: ctx, store: s, notifier: n, log: log}
	w.queued.L = &w.mu
	return w
}

// add queues a final response.
func (w *responseWriter) add(e store.Completion) {
	w.mu.Lock()
	w.queue = append(w.queue, e)
	w.mu.Unlock()
	w.queued.Signal()
}

// start starts writing in the background. The function returned by start stops it: it waits until all queued responses
// are persisted, or the context of the writes is canceled.
func (w *responseWriter) start() (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for batch := w.next(); batch != nil; batch = w.next() {
			w.writeInOrder(batch)
		}
		w.writing.Wait()
	}()
	return func() {
		w.mu.Lock()
		w.closed = true
		w.mu.Unlock()
		w.queued.Signal()
		<-done
	}
}

// next waits for queued responses and returns a batch of them. It returns nil if the queue is closed and empty.
func (w *responseWriter) next() []store.Completion {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 {
		if w.closed {
			return nil
		}
		w.queued.Wait()
	}
	n := min(len(w.queue), maxResponseBatch)
	batch := slices.Clone(w.queue[:n])
	rest := copy(w.queue, w.queue[n:])
	clear(w.queue[rest:])
	w.queue = w.queue[:rest]
	return batch
}

// writeInOrder starts the write of a batch. It returns when the batch is written, or after maxWriteOrderWait.
func (w *responseWriter) writeInOrder(batch []store.Completion) {
	written := make(chan struct{})
	w.writing.Go(func() {
		defer close(written)
		w.write(batch)
	})
	wait := time.NewTimer(maxWriteOrderWait)
	defer wait.Stop()
	select {
	case <-written:
	case <-wait.C:
	}
}

// leftToNextOwner reports whether final responses whose write returned err are left to the next owner of their
// messages. That is the case if the node is fenced, or if the write to a shared store failed: the next owner reads the
// messages from the shared store and decides on their responses.
func leftToNextOwner(s store.Store, err error) bool {
	_, shared := s.(store.Shared)
	return errors.Is(err, store.ErrFenced) || shared && err != nil
}

// write persists a batch and passes it to the notifier.
func (w *responseWriter) write(batch []store.Completion) {
	_ = beforePersisted.At() // an injected error is ignored, because the module's decision is final
	// The write has no deadline of its own: the module's decisions are written however long the store is not writable.
	err := w.store.Complete(w.ctx, batch...)
	if errors.Is(err, store.ErrFenced) {
		w.log.Warn("store: node is fenced, final responses left to the next owner of the messages", "responses", len(batch))
		return
	}
	if leftToNextOwner(w.store, err) || err != nil && w.ctx.Err() != nil {
		w.log.Error("store: writing final responses failed, left to the next owner of the messages", "responses", len(batch), "err", err)
		return
	}
	if err != nil {
		// The responses are announced anyway, because clients wait for them. They are announced again after a restart.
		w.log.Error("store: writing final responses failed, announcing them anyway", "responses", len(batch), "err", err)
	}
	_ = afterPersisted.At()
	for _, e := range batch {
		// If a delivery was persisted in the meantime, the message keeps that response, and the engine announces it. The
		// store has already announced an implied response.
		if response := e.Message.FinalResponse; response != nil && !response.Implied {
			w.notifier.Add(e.Message)
		}
	}
}
