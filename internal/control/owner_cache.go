package control

import (
	"sync"
	"time"
	"wingmount/decide/placement"
)

// ownerCache caches owners that were looked up. When it is full, a new entry evicts an expired entry if the search
// finds one, or else an arbitrary entry.
type ownerCache struct {
	ttl        time.Duration
	maxEntries int

	mu      sync.Mutex
	entries map[placement.DestinationID]cachedOwners
}

type cachedOwners struct {
	owners  []Owner
	expires time.Time
}

// maxEvictionSearches is the maximum number of entries that evict searches for an expired one.
const maxEvictionSearches = 8

func newOwnerCache(ttl time.Duration, maxEntries int) *ownerCache {
	return &ownerCache{ttl: ttl, maxEntries: maxEntries, entries: map[placement.DestinationID]cachedOwners{}}
}

// get returns the owners of a destination unless they have expired.
func (c *ownerCache) get(destination placement.DestinationID, now time.Time) ([]Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.entries[destination]
	if !ok || !now.Before(found.expires) {
		delete(c.entries, destination)
		return nil, false
	}
	return found.owners, true
}

// put stores the owners of a destination.
func (c *ownerCache) put(destination placement.DestinationID, owners []Owner, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.entries[destination]; !known && len(c.entries) >= c.maxEntries {
		c.evict(now)
	}
	c.entries[destination] = cachedOwners{owners: owners, expires: now.Add(c.ttl)}
}

// evict removes the first expired entry that it finds, or else the last entry it searched.
func (c *ownerCache) evict(now time.Time) {
	searched := 0
	for destination, entry := range c.entries {
		searched++
		if searched == maxEvictionSearches || !now.Before(entry.expires) || searched == len(c.entries) {
			delete(c.entries, destination)
			return
		}
	}
}
