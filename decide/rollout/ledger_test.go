package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// noRecovered means that no key of an earlier process is in use.
var noRecovered [KindCount]time.Duration

// newClaim returns a claim of kind 0.
func newClaim(hash KeyHash, retention time.Duration) Claim {
	return Claim{KeyHash: hash, Retention: retention}
}

// expectAdmit calls Admit with claims of a retention of 12 s and checks the verdict and the wait.
func expectAdmit(t *testing.T, l *Ledger, now time.Duration, id string, current, previous KeyHash, want Verdict, wantWait time.Duration) {
	t.Helper()
	if got, wait := l.Admit(now, id, newClaim(current, 12*second), newClaim(previous, 12*second)); got != want || wait != wantWait {
		t.Errorf("Admit %s at %v: got verdict %d with wait %v, want %d with %v", id, now, got, wait, want, wantWait)
	}
}

// A message whose key changes waits for older messages with its previous key, and for that key's retention after them.
// Otherwise it could overtake them, or the partner could receive a duplicate under a different key.
func TestAdmitChangedKeyWaitsForOlderMessagesAndRetention(t *testing.T) {
	l := New(10, noRecovered)
	expectAdmit(t, l, 1*second, "a", 1, 0, Admitted, 0)
	expectAdmit(t, l, 1*second, "a", 1, 0, Duplicate, 0)
	if !l.Begin(2*second, 0) {
		t.Fatal("got no rollout begun, want one")
	}
	expectAdmit(t, l, 3*second, "same", 1, 1, Admitted, 0)
	expectAdmit(t, l, 3*second, "other", 2, 5, Admitted, 0)
	expectAdmit(t, l, 3*second, "b", 2, 1, Conflict, second)
	if l.Begin(3*second, 0) {
		t.Error("got a second rollout begun while the first is in progress")
	}
	l.Complete(4*second, "a")
	l.Complete(4*second, "same") // admitted under the current rules, so no message waits for it
	expectAdmit(t, l, 6*second, "b", 2, 1, Conflict, 10*second)
	expectAdmit(t, l, 16*second, "b", 2, 1, Admitted, 0)
	if l.InProgress(16*second) || !l.Begin(16*second, 0) {
		t.Error("got the rollout still in progress, want it completed and another one begun")
	}
}

// Hashes of an earlier process and evicted hashes are not in the ledger, but may be in use until their retention ends.
// Treating them as free would break the guarantees of their keys.
func TestAdmitRecoveredOrEvictedHashMayConflict(t *testing.T) {
	l := New(2, [KindCount]time.Duration{12 * second})
	l.Begin(0, 0)
	expectAdmit(t, l, 2*second, "a", 2, 1, MayConflict, 10*second)
	expectAdmit(t, l, 2*second, "same", 1, 1, Admitted, 0)
	l.Release(2*second, "same")
	if got, _ := l.Admit(2*second, "short", newClaim(2, 0), newClaim(1, second)); got != Admitted {
		t.Errorf("got verdict %d for a hash with a retention of 1 s, 2 s after the start, want %d", got, Admitted)
	}
	l.Release(2*second, "short")
	expectAdmit(t, l, 12*second, "a", 2, 1, Admitted, 0)
	expectAdmit(t, l, 12*second, "b", 3, 0, Admitted, 0)
	expectAdmit(t, l, 12*second, "c", 4, 0, Full, second)
	l.Complete(13*second, "a")
	l.Complete(14*second, "b")
	expectAdmit(t, l, 14*second, "c", 4, 0, Admitted, 0) // there is no capacity for a third hash, so the first is evicted
	if messages, keys := l.Size(); messages != 1 || keys != 2 {
		t.Errorf("got %d messages and %d keys in the ledger, want 1 and 2", messages, keys)
	}
	l.Begin(15*second, 0)
	expectAdmit(t, l, 15*second, "d", 9, 8, MayConflict, 10*second)
	expectAdmit(t, l, 15*second, "e", 9, 3, Conflict, 11*second)
}

// The key of a message that may have been accepted stays in use until the message's deadline plus its retention, or, if
// the message is adopted, until it completes plus its retention.
func TestReleaseUncertainKeepsKeyInUse(t *testing.T) {
	l := New(10, noRecovered)
	expectAdmit(t, l, 0, "a", 1, 0, Admitted, 0)
	l.ReleaseUncertain(0, "a", 5*second)
	l.Begin(second, 0)
	expectAdmit(t, l, second, "b", 2, 1, Conflict, 16*second)
	l.Adopt(2*second, "a", newClaim(1, 12*second))
	expectAdmit(t, l, 18*second, "b", 2, 1, Conflict, second)
	l.Complete(20*second, "a")
	expectAdmit(t, l, 31*second, "b", 2, 1, Conflict, second)
	expectAdmit(t, l, 32*second, "b", 2, 1, Admitted, 0)
}

// A hash that is evicted during a rollout may be in use until its retention ends. Releasing a message that was not
// accepted does not shorten the use of its key by earlier messages.
func TestEvictionOrReleaseKeepsEarlierUseOfKey(t *testing.T) {
	l := New(2, noRecovered)
	expectAdmit(t, l, 0, "a", 1, 0, Admitted, 0)
	expectAdmit(t, l, 0, "b", 2, 0, Admitted, 0)
	l.Begin(0, 0)
	l.Complete(0, "a")
	expectAdmit(t, l, 0, "c", 3, 0, Admitted, 0)
	l.Release(0, "c")
	expectAdmit(t, l, 2*second, "d", 3, 1, MayConflict, 10*second)
	l = New(2, noRecovered)
	expectAdmit(t, l, 0, "a", 1, 0, Admitted, 0)
	l.Complete(0, "a")
	expectAdmit(t, l, second, "b", 1, 0, Admitted, 0)
	l.Release(second, "b")
	l.Begin(second, 0)
	expectAdmit(t, l, 2*second, "c", 3, 1, Conflict, 10*second)
}

// A rollout completes when no key of an affected kind is in use by an older message. Keys of other kinds do not delay
// it, but are still in use in the next rollout.
func TestRolloutWaitsOnlyForAffectedKinds(t *testing.T) {
	l := New(10, [KindCount]time.Duration{1: 20 * second})
	l.Admit(0, "a", Claim{1, 12 * second, 1}, Claim{})
	l.Admit(0, "b", Claim{2, second, 2}, Claim{})
	if !l.Begin(0, 2) || !l.InProgress(0) {
		t.Error("got no rollout in progress, want one")
	}
	l.Complete(0, "b")
	if l.InProgress(second) {
		t.Error("got the rollout waiting for a hash of a kind that it does not affect")
	}
	l.Complete(2*second, "a")
	l.Begin(2*second, 1)
	if got, wait := l.Admit(3*second, "c", Claim{3, 0, 1}, Claim{1, 12 * second, 1}); got != Conflict || wait != 11*second {
		t.Errorf("got verdict %d with wait %v, want %d with 11s", got, wait, Conflict)
	}
	if unfinished, until := l.Remaining(); unfinished != 0 || until != 20*second || !l.InProgress(19*second) || l.InProgress(20*second) {
		t.Errorf("got %d unfinished messages and keys in use until %v, want 0 and the rollout in progress until 20s", unfinished, until)
	}
}

// oracle is a simple model of the ledger that records every admitted message and evicts none.
type oracle struct {
	messages   []*oracleMessage
	generation int
}

type oracleMessage struct {
	id         string
	hash       KeyHash
	retention  time.Duration
	usedUntil  time.Duration // of the hash, once the message is no longer unfinished
	generation int
	unfinished bool
}

// usesHash reports whether the message is of an earlier generation and uses its hash.
func (o *oracle) usesHash(m *oracleMessage, now time.Duration) bool {
	return m.generation < o.generation && (m.unfinished || m.usedUntil > now)
}

func (o *oracle) inUse(hash KeyHash, now time.Duration) bool {
	for _, m := range o.messages {
		if m.hash == hash && o.usesHash(m, now) {
			return true
		}
	}
	return false
}

func (o *oracle) inProgress(now time.Duration) bool {
	for _, m := range o.messages {
		if m.hash != 0 && o.usesHash(m, now) {
			return true
		}
	}
	return false
}

func (o *oracle) findUnfinished(id string) *oracleMessage {
	for _, m := range o.messages {
		if m.unfinished && m.id == id {
			return m
		}
	}
	return nil
}

// The ledger never admits a message whose previous hash is in use. With capacity for all keys it also rejects no other
// message, and a rollout completes as soon as no older hash is in use.
func TestLedgerMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int{2, 4, 1000}).Draw(t, "capacity")
		l, o, now := New(capacity, noRecovered), &oracle{}, time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * second
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id"))
			hash := KeyHash(rapid.IntRange(0, 4).Draw(t, "hash"))
			retention := time.Duration(rapid.IntRange(0, 5).Draw(t, "retention")) * second
			switch op := rapid.SampledFrom([]string{"admit", "admit", "admit", "complete", "release", "release uncertain", "begin"}).Draw(t, "op"); op {
			case "admit":
				previous := KeyHash(rapid.IntRange(0, 4).Draw(t, "previous"))
				got, wait := l.Admit(now, id, newClaim(hash, retention), newClaim(previous, retention))
				inUse := previous != 0 && previous != hash && o.inProgress(now) && o.inUse(previous, now)
				switch {
				case o.findUnfinished(id) != nil:
					if got != Duplicate {
						t.Fatalf("step %d: got verdict %d for an id in the ledger, want %d", i, got, Duplicate)
					}
				case inUse && got == Admitted:
					t.Fatalf("step %d: got a message admitted whose previous hash %d is in use", i, previous)
				case !inUse && got != Admitted && capacity == 1000:
					t.Fatalf("step %d: got verdict %d while the previous hash %d is free, want %d", i, got, previous, Admitted)
				case got == Conflict || got == MayConflict || got == Full:
					if wait <= 0 {
						t.Fatalf("step %d: got verdict %d with a wait of %v, want a positive one", i, got, wait)
					}
				case got == Admitted:
					o.messages = append(o.messages, &oracleMessage{id: id, hash: hash, retention: retention, generation: o.generation, unfinished: true})
				}
			case "begin":
				inProgress := o.inProgress(now)
				if began := l.Begin(now, 0); began && inProgress || !began && !inProgress && capacity == 1000 {
					t.Fatalf("step %d: got a rollout begun %t while one is in progress %t", i, began, inProgress)
				} else if began {
					o.generation++
				}
			default:
				m := o.findUnfinished(id)
				switch op {
				case "complete":
					l.Complete(now, id)
				case "release":
					l.Release(now, id)
				case "release uncertain":
					l.ReleaseUncertain(now, id, now+2*second)
				}
				if m != nil {
					m.unfinished = false
					switch op {
					case "complete":
						m.usedUntil = now + m.retention
					case "release uncertain":
						m.usedUntil = now + 2*second + m.retention
					}
				}
			}
			if messages, keys := l.Size(); messages > capacity || keys > capacity {
				t.Fatalf("step %d: got %d messages and %d keys, want at most the capacity of %d", i, messages, keys, capacity)
			}
		}
		for _, m := range o.messages {
			if m.unfinished {
				l.Complete(now, m.id)
			}
		}
		if l.InProgress(now + 1000*second) {
			t.Fatal("got the rollout in progress 1000 s after the last message completed")
		}
	})
}
