package httpingress

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// defaultClientMemory is the memory for requests that are being received if no limit is configured, in bytes.
	defaultClientMemory = 64 << 20
	// minClientMemory is the least memory for these requests, in bytes: some of the longest.
	minClientMemory = 1 << 20
	// smallRequestBytes is the length up to which a request may use all of this memory. Longer ones may use
	// largeRequestShare of it, so that small ones, which most are, need not wait for them.
	smallRequestBytes = 4 << 10
	largeRequestShare = 0.75
	// evictionAge is how long a request may take before it can be evicted in favour of others. A client that sends its
	// request at once needs much less.
	evictionAge = 100 * time.Millisecond
	// silentConnBytes and idleConnBytes are what a connection needs before its first request, and between two: a goroutine,
	// and for the latter also the buffers of net/http.
	silentConnBytes = 4 << 10
	idleConnBytes   = 20 << 10
	// idleConnShare is the share of the memory for connections without a request.
	idleConnShare = 0.5
)

var (
	// errNoMemory ends a request for which there is no memory, or that was evicted because others need it.
	errNoMemory = errors.New("no memory for the request")
	// errTooManyFields ends a request whose header has more than maxHeaderFields fields.
	errTooManyFields = errors.New("too many fields in the header")
)

// requestMemory bounds the bytes of the requests that are being received, over all connections. If there is not enough for
// a request, the one that has been received for longest is evicted: a client that sends slowly, or not to the end, gives
// way to others. It is safe for concurrent use.
type requestMemory struct {
	limit int64

	mu       sync.Mutex
	changed  *sync.Cond // broadcast when memory is released, a request is evicted, or a request is old enough to be
	used     int64
	requests *list.List // of *requestBytes with memory, the oldest request first
}

// requestBytes is the memory of one connection's request. memory.mu guards its fields, except for memory and evict, which do
// not change.
type requestBytes struct {
	memory   *requestMemory
	evict    func() // wakes the reader
	element  *list.Element
	began    time.Time
	reserved int64
	evicted  bool
	closed   bool // the connection is closed
}

func newRequestMemory(limit int64) *requestMemory {
	if limit <= 0 {
		limit = defaultClientMemory
	}
	m := &requestMemory{limit: max(limit, minClientMemory), requests: list.New()}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// reserve gives a request memory for so many bytes in all, if it has less. It waits until there is enough, for
// requestTimeout at most, and returns errNoMemory after that or if the request is evicted.
func (b *requestBytes) reserve(length int64) error {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if length > smallRequestBytes {
		limit = int64(largeRequestShare * float64(limit))
	}
	until := time.Now().Add(requestTimeout)
	for m.used-b.reserved+length > limit && !b.evicted && !b.closed {
		now := time.Now()
		if !now.Before(until) {
			return errNoMemory
		}
		wait := m.evictOldest(now, b)
		wake := time.AfterFunc(min(wait, until.Sub(now)), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.changed.Broadcast()
		})
		m.changed.Wait()
		wake.Stop()
	}
	if b.evicted || b.closed {
		return errNoMemory
	}
	if b.element == nil {
		b.began = time.Now()
		b.element = m.requests.PushBack(b)
	}
	m.used += max(0, length-b.reserved)
	b.reserved = max(b.reserved, length)
	return nil
}

// evictOldest evicts the oldest request but one, if it is old enough. It returns how long to wait for more memory before the
// next try. The caller has locked mu.
func (m *requestMemory) evictOldest(now time.Time, except *requestBytes) time.Duration {
	for e := m.requests.Front(); e != nil; e = e.Next() {
		oldest := e.Value.(*requestBytes)
		if oldest == except || oldest.evicted {
			continue
		}
		if age := now.Sub(oldest.began); age < evictionAge {
			return evictionAge - age
		}
		oldest.evicted = true
		oldest.evict()
		m.changed.Broadcast() // it may wait for memory itself
		break
	}
	return evictionAge
}

// evictOne evicts the oldest request if it is old enough, so that its connection closes. It reports whether a request was
// evicted whose connection has not closed yet.
func (m *requestMemory) evictOne() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evictOldest(time.Now(), nil)
	oldest := m.requests.Front()
	return oldest != nil && oldest.Value.(*requestBytes).evicted
}

// release returns memory of a request down to the given number of bytes. At 0 the request has ended.
func (b *requestBytes) release(keep int64) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.releaseLocked(keep)
}

func (b *requestBytes) releaseLocked(keep int64) {
	m := b.memory
	if b.element == nil || b.reserved < keep {
		return
	}
	m.used -= b.reserved - keep
	b.reserved = keep
	if keep == 0 {
		m.requests.Remove(b.element)
		b.element, b.evicted = nil, false
	}
	m.changed.Broadcast()
}

// close releases all memory, when the connection closes. No more can be reserved.
func (b *requestBytes) close() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.releaseLocked(0)
	b.closed = true
}

// isEvicted reports whether the request was evicted.
func (b *requestBytes) isEvicted() bool {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	return b.evicted
}
