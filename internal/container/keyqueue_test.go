package container

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Queues by key have the same first values as one slice that is searched from its front. Guards against a queue that is
// kept without values and without a cooldown.
func TestKeyQueuesMatchSlice(t *testing.T) {
	type entry struct {
		key   uint64
		queue *KeyQueue[*entry]
	}
	rapid.Check(t, func(t *rapid.T) {
		var queues KeyQueues[*entry]
		var all []*entry
		cooldowns := map[uint64]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0 || len(all) == 0:
				e := &entry{key: rapid.Uint64Range(0, 4).Draw(t, "key")}
				e.queue = queues.Add(e.key, e)
				all = append(all, e)
			case step == 1:
				e := rapid.SampledFrom(all).Draw(t, "cools down")
				until := now + time.Duration(rapid.IntRange(0, 5).Draw(t, "until"))
				e.queue.CoolDown(until)
				cooldowns[e.key] = max(cooldowns[e.key], until)
			default:
				e := rapid.SampledFrom(all).Draw(t, "removed")
				queues.Remove(e.queue, e, now)
				all = slices.DeleteFunc(all, func(o *entry) bool { return o == e })
			}
			now++
			queues.Expire(now)
			keys := map[uint64]bool{}
			for _, e := range all {
				if first := !keys[e.key]; e.queue.IsFirst(e) != first || e.queue.CoolingDown(now) != (now < cooldowns[e.key]) {
					t.Fatalf("at %v: got first %v, cooling down %v, want first %v, cooldown until %v", now, e.queue.IsFirst(e), e.queue.CoolingDown(now), first, cooldowns[e.key])
				}
				keys[e.key] = true
			}
			for key, until := range cooldowns {
				if now < until {
					keys[key] = true
				}
			}
			if queues.Len() != len(keys) {
				t.Fatalf("got %d queues, want %d", queues.Len(), len(keys))
			}
		}
	})
}

// Values without a key have a nil queue, and do not wait for each other.
func TestNilKeyQueueNeverBlocks(t *testing.T) {
	var queues KeyQueues[int]
	var noKey *KeyQueue[int]
	noKey.CoolDown(time.Hour)
	queues.Remove(noKey, 1, 0)
	if !noKey.IsFirst(1) || noKey.CoolingDown(0) || queues.Len() != 0 {
		t.Errorf("got first %v, cooling down %v, %d queues, want true, false, 0", noKey.IsFirst(1), noKey.CoolingDown(0), queues.Len())
	}
}
