package group

import (
	"context"
	"fmt"
	"wingmount/internal/store"
)

// findRequest is a caller's lookup of one message id.
type findRequest struct {
	id   string
	done chan error // buffered, so that the writer does not block
}

// Find implements [store.Finder] if the backend is a [BatchFinder]. The writer looks ids up between two transactions, when
// no Accept record is claimed but undecided.
func (q *Queue) Find(ctx context.Context, id string) error {
	f := findRequest{id: id, done: make(chan error, 1)}
	if err := q.enqueueFind(f); err != nil {
		return err
	}
	select {
	case err := <-f.done:
		return err
	case <-q.writerDone:
		return errClosed
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

// enqueueFind queues an id to look up.
func (q *Queue) enqueueFind(f findRequest) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.closedOrFenced(); err != nil {
		return err
	}
	if len(q.finds) >= maxPendingFinds {
		return fmt.Errorf("%w: more than %d pending id lookups", store.ErrUnavailable, maxPendingFinds)
	}
	q.finds = append(q.finds, f)
	q.wakeWriter()
	return nil
}

// answerFinds looks up all queued ids and sends the results to their callers. Only the writer calls it.
func (q *Queue) answerFinds() {
	q.mu.Lock()
	finds := q.finds
	q.finds = nil
	q.mu.Unlock()
	if len(finds) == 0 {
		return
	}
	ids := make([]string, len(finds))
	for i, f := range finds {
		ids[i] = f.id
	}
	results, err := q.findInBackend(ids)
	for i, f := range finds {
		if err != nil {
			f.done <- q.classifyError(err)
			continue
		}
		f.done <- results[i]
	}
}

// findInBackend looks up ids in the database.
func (q *Queue) findInBackend(ids []string) ([]error, error) {
	finder, ok := q.backend.(BatchFinder)
	if !ok {
		return nil, fmt.Errorf("%w: the store does not support id lookups", store.ErrUnavailable)
	}
	return finder.Find(ids)
}
