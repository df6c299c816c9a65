package http1

import (
	"container/list"
	"slices"
	"sync"
	"time"
	"wingmount/internal/egress"
)

// minIdlePerEndpoint is the smallest value for pool.maxIdlePerEndpoint.
const minIdlePerEndpoint = 8

// pool caches the idle connections to all endpoints. It is safe for concurrent use.
type pool struct {
	maxIdle, maxIdlePerEndpoint int

	mu         sync.Mutex
	byEndpoint map[*egress.Endpoint][]*connection // sorted, longest idle first
	all        list.List                          // of *connection, sorted, longest idle first
}

// get removes and returns the most recently used valid connection to an endpoint, or nil if there
// is none. A connection is valid if it is reusable, has the address addr and became idle after
// idleAfter. get closes the invalid connections that it finds first.
func (p *pool) get(e *egress.Endpoint, addr string, idleAfter time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for idle := p.byEndpoint[e]; len(idle) > 0; idle = p.byEndpoint[e] {
		c := idle[len(idle)-1]
		p.remove(c)
		if c.addr == addr && c.idleSince.After(idleAfter) && c.isReusable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put adds an idle connection. If the endpoint then exceeds its limit, put closes the endpoint's
// longest idle connection. Otherwise, if the pool exceeds its limit, put closes the longest idle
// connection of all endpoints.
func (p *pool) put(c *connection) {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byEndpoint == nil {
		p.byEndpoint = map[*egress.Endpoint][]*connection{}
	}
	c.idleSince = time.Now()
	c.element = p.all.PushBack(c)
	idle := append(p.byEndpoint[c.endpoint], c)
	p.byEndpoint[c.endpoint] = idle
	switch {
	case len(idle) > p.maxIdlePerEndpoint:
		p.discard(idle[0])
	case p.all.Len() > p.maxIdle:
		p.discard(p.all.Front().Value.(*connection))
	}
}

// closeOldest closes the longest idle connection, if there is one.
func (p *pool) closeOldest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if oldest := p.all.Front(); oldest != nil {
		p.discard(oldest.Value.(*connection))
	}
}

// closeIdleSince closes the idle connections that became idle at or before the given time or are
// not reusable. If endpoint is not nil, it also closes all idle connections to that endpoint.
func (p *pool) closeIdleSince(before time.Time, endpoint *egress.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for element := p.all.Front(); element != nil; {
		c := element.Value.(*connection)
		element = element.Next()
		if c.endpoint == endpoint || !c.idleSince.After(before) || !c.isReusable() {
			p.discard(c)
		}
	}
}

// discard removes and closes an idle connection. The caller must hold mu.
func (p *pool) discard(c *connection) {
	p.remove(c)
	_ = c.Close()
}

// remove removes an idle connection. The caller must hold mu. The search starts at the end because
// get removes the most recently used connection.
func (p *pool) remove(c *connection) {
	p.all.Remove(c.element)
	idle := p.byEndpoint[c.endpoint]
	i := len(idle) - 1
	for idle[i] != c {
		i--
	}
	if idle = slices.Delete(idle, i, i+1); len(idle) == 0 {
		delete(p.byEndpoint, c.endpoint)
		return
	}
	p.byEndpoint[c.endpoint] = idle
}
