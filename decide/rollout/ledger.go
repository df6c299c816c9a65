// Package rollout decides which messages must wait while a new rule set is rolled out and messages that were admitted
// under the previous one are unfinished. It does no I/O, reads no clock and starts no goroutines.
//
// A message whose class gives guarantees about messages with the same key has a [KeyHash]. During a rollout, a new
// message whose hash differs from the one that the previous rules give it is admitted only if no message of an earlier
// generation uses that previous hash. A [Ledger] records the hashes in use. It guarantees that a hash in use is never
// treated as free, and that every hash eventually becomes free.
//
// A Ledger is not safe for concurrent use. Start reading at [Ledger.Admit].
package rollout

import (
	"time"
	"wingmount/internal/container"
)

// Verdict is a ledger's decision on a message.
type Verdict int

// The verdicts.
const (
	Admitted    Verdict = iota // the message may be accepted, and was added to the ledger
	Duplicate                  // its id is already in the ledger: the message is being accepted, or is unfinished
	Conflict                   // a message of an earlier generation uses its previous hash
	MayConflict                // such a message may exist: its hash was evicted, or was used in an earlier process or at another node
	Full                       // the ledger is at its limit of messages; independent of a rollout
)

// retryInterval is how long a client should wait if it is unknown when the message can be admitted.
const retryInterval = time.Second

// Ledger records the keys in use. Times are offsets from a fixed origin and must not decrease.
type Ledger struct {
	limit      int
	generation generation
	entries    map[string]entry
	keys       map[KeyHash]*keyState
	expiring   container.Heap[*keyState] // keys without an unfinished message, by when they become free

	rollout rolloutState

	// recovered is the time until which hashes of an earlier process may be in use, by kind.
	recovered [KindCount]time.Duration
	// evictedUntil is the time until which any evicted hash may be in use.
	evictedUntil time.Duration
}

// rolloutState is the state of the rollout in progress.
type rolloutState struct {
	inProgress bool
	affected   [KindCount]bool // kinds of keys that the rules change
	unfinished int             // messages of earlier generations with keys of these kinds
	// usedUntil is when the last such key without an unfinished message becomes free.
	usedUntil time.Duration
	// evictedUntil is the time until which any evicted hash of an earlier generation may be in use.
	evictedUntil time.Duration
	// foreign is set while any hash that the rules change may be in use by messages of other nodes.
	foreign bool
}

// New returns a ledger for at most limit messages and limit keys. At the limit of messages Admit returns Full, while
// Adopt exceeds it. recovered is the time until which hashes of an earlier process, whose messages completed before
// time 0, may be in use, by kind.
func New(limit int, recovered [KindCount]time.Duration) *Ledger {
	return &Ledger{limit: max(1, limit), entries: map[string]entry{}, keys: map[KeyHash]*keyState{}, recovered: recovered}
}

// expire deletes the keys that have become free.
func (l *Ledger) expire(now time.Duration) {
	l.expiring.PopUntil(int64(now), func(key *keyState) { l.deleteKey(key) })
}

func (l *Ledger) deleteKey(key *keyState) {
	l.expiring.Remove(&key.expiry)
	delete(l.keys, key.hash)
}

// getOrCreateKey returns the state of a key, which it creates if the key is not in the ledger. At the limit it evicts
// the key without an unfinished message that becomes free first. Until that time, any hash that is not in the ledger
// may be in use. There is always capacity for keys with unfinished messages, since messages have the same limit.
func (l *Ledger) getOrCreateKey(hash KeyHash, kind Kind) *keyState {
	if key := l.keys[hash]; key != nil {
		return key
	}
	for len(l.keys) >= l.limit {
		first, until := l.expiring.Min()
		if first == nil {
			break
		}
		l.evictedUntil = max(l.evictedUntil, time.Duration(until))
		if l.rollout.inProgress {
			l.rollout.evictedUntil = max(l.rollout.evictedUntil, first.Value.usedUntil[olderGeneration])
		}
		l.deleteKey(first.Value)
	}
	key := &keyState{hash: hash, kind: kind}
	key.expiry.Value = key
	l.keys[hash] = key
	return key
}

// Admit decides whether a message may be accepted. The active rules give it the claim current, the previous rules the
// claim previous, which is ignored outside a rollout. An admitted message stays in the ledger until [Ledger.Complete],
// [Ledger.Release] or [Ledger.ReleaseUncertain] is called.
//
// Admit also returns the minimum time that the client should wait, which is 0 with Admitted and Duplicate.
func (l *Ledger) Admit(now time.Duration, id string, current, previous Claim) (Verdict, time.Duration) {
	l.expire(now)
	if _, known := l.entries[id]; known {
		return Duplicate, 0
	}
	if len(l.entries) >= l.limit {
		return Full, retryInterval
	}
	if l.InProgress(now) && previous.KeyHash != 0 && previous.KeyHash != current.KeyHash {
		if verdict, wait := l.checkPrevious(now, previous); verdict != Admitted {
			return verdict, wait
		}
	}
	l.add(id, entry{current, l.generation})
	return Admitted, 0
}

// checkPrevious decides whether the hash that the previous rules give a message is free.
func (l *Ledger) checkPrevious(now time.Duration, previous Claim) (Verdict, time.Duration) {
	if key := l.keys[previous.KeyHash]; key != nil && key.inUse(olderGeneration, now) {
		if key.unfinished[olderGeneration] > 0 {
			return Conflict, retryInterval
		}
		return Conflict, key.usedUntil[olderGeneration] - now
	}
	if until := max(l.rollout.evictedUntil, min(l.recovered[previous.Kind], previous.Retention)); until > now {
		return MayConflict, until - now
	}
	if l.rollout.foreign {
		return MayConflict, retryInterval
	}
	return Admitted, 0
}

// Adopt adds a message that was accepted earlier, by this process or another one. During a rollout the message is
// assigned to the previous generation. Adopt has no effect if the message is already in the ledger.
func (l *Ledger) Adopt(now time.Duration, id string, claim Claim) {
	l.expire(now)
	if _, known := l.entries[id]; known {
		return
	}
	g := l.generation
	if l.rollout.inProgress && g > 0 {
		g--
	}
	l.add(id, entry{claim, g})
}

func (l *Ledger) add(id string, e entry) {
	l.entries[id] = e
	if e.KeyHash == 0 {
		return
	}
	key, a := l.getOrCreateKey(e.KeyHash, e.Kind), l.age(e)
	key.unfinished[a]++
	if a == olderGeneration && l.rollout.affected[key.kind] {
		l.rollout.unfinished++
	}
	l.expiring.Remove(&key.expiry)
}

// age returns whether a message belongs to an older generation or to the current one.
func (l *Ledger) age(e entry) age {
	if e.generation < l.generation {
		return olderGeneration
	}
	return currentGeneration
}

// Complete removes a message that has completed. Its key stays in use for the Retention of its claim.
func (l *Ledger) Complete(now time.Duration, id string) {
	if e, ok := l.entries[id]; ok {
		l.remove(now, id, now+e.Retention)
	}
}

// Release removes a message that was not accepted. It ends the message's use of its key at once.
func (l *Ledger) Release(now time.Duration, id string) { l.remove(now, id, 0) }

// ReleaseUncertain removes a message that may have been accepted. Its key stays in use until the message's deadline,
// and for the Retention of its claim after that. If the message was accepted, [Ledger.Adopt] adds it to the ledger
// again.
func (l *Ledger) ReleaseUncertain(now time.Duration, id string, deadline time.Duration) {
	if e, ok := l.entries[id]; ok {
		l.remove(now, id, deadline+e.Retention)
	}
}

// remove removes a message, which keeps its key in use until the given time.
func (l *Ledger) remove(now time.Duration, id string, until time.Duration) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	delete(l.entries, id)
	if e.KeyHash == 0 {
		return
	}
	key, a := l.keys[e.KeyHash], l.age(e)
	key.unfinished[a]--
	key.usedUntil[a] = max(key.usedUntil[a], until)
	if a == olderGeneration && l.rollout.affected[key.kind] {
		l.rollout.unfinished--
		l.rollout.usedUntil = max(l.rollout.usedUntil, until)
	}
	if key.unfinished[olderGeneration]+key.unfinished[currentGeneration] > 0 {
		return
	}
	if last := max(key.usedUntil[olderGeneration], key.usedUntil[currentGeneration]); last > now {
		l.expiring.Set(&key.expiry, int64(last))
		return
	}
	l.deleteKey(key)
}

// Begin starts a rollout: all messages and keys in the ledger become part of an earlier generation. kinds are the kinds
// of the keys that the rules change: the caller may give [Ledger.Admit] a previous claim that differs from the current
// one only if its kind is one of these. Begin returns false and changes nothing if a rollout is in progress.
func (l *Ledger) Begin(now time.Duration, kinds ...Kind) bool {
	l.expire(now)
	if l.InProgress(now) {
		return false
	}
	l.generation++
	l.rollout = rolloutState{inProgress: true, evictedUntil: l.evictedUntil}
	for _, kind := range kinds {
		l.rollout.affected[kind] = true
	}
	for _, key := range l.keys {
		key.markAllOlder()
		if l.rollout.affected[key.kind] {
			l.rollout.unfinished += key.unfinished[olderGeneration]
			l.rollout.usedUntil = max(l.rollout.usedUntil, key.usedUntil[olderGeneration])
		}
	}
	return true
}

// InProgress reports whether a rollout is in progress: a key of an affected kind is, or may be, in use by a message of
// an earlier generation, or by a message of another node.
func (l *Ledger) InProgress(now time.Duration) bool {
	l.rollout.inProgress = l.rollout.inProgress && (l.rollout.foreign || !l.Drained(now))
	return l.rollout.inProgress
}

// Drained reports whether no key of an affected kind can be in use by a message of this ledger of an earlier generation.
func (l *Ledger) Drained(now time.Duration) bool {
	return l.rollout.unfinished == 0 && l.lastKeyFreeAt() <= now
}

// SetForeign sets whether keys that the rollout changes may be in use by messages of other nodes. The rollout in progress
// continues at least until it is reset; a new one begins without it.
func (l *Ledger) SetForeign(inUse bool) { l.rollout.foreign = inUse }

// lastKeyFreeAt returns the time by which all keys that the rollout affects are free, except for those of unfinished
// messages.
func (l *Ledger) lastKeyFreeAt() time.Duration {
	last := max(l.rollout.usedUntil, l.rollout.evictedUntil)
	for kind, until := range l.recovered {
		if l.rollout.affected[kind] {
			last = max(last, until)
		}
	}
	return last
}

// Remaining returns the number of unfinished messages of earlier generations whose keys the rollout affects, and the
// time by which all other keys that it affects are free.
func (l *Ledger) Remaining() (unfinished int, until time.Duration) {
	return l.rollout.unfinished, l.lastKeyFreeAt()
}

// Size returns the number of messages and of keys in the ledger.
func (l *Ledger) Size() (messages, keys int) { return len(l.entries), len(l.keys) }
