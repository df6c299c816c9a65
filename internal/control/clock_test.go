package control

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Steps of the wall clock in either direction must never make the clock advance less than the monotonic clock.
func TestClockAdvancesAtLeastAsMuchAsMonotonicTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(35, 1))
	var current clockValues
	c := newClock(func() clockValues { return current })
	before := c.now()
	for range 10000 {
		elapsed := time.Duration(rng.Int64N(int64(time.Second)))
		current.monotonic += elapsed
		current.wall += elapsed
		if rng.IntN(10) == 0 {
			current.wall += time.Duration(rng.Int64N(int64(2*time.Hour))) - time.Hour
		}
		now := c.now()
		if now-before < elapsed {
			t.Fatalf("clock advanced by %v within %v", now-before, elapsed)
		}
		before = now
	}
}

func TestClockIncludesSuspendedTime(t *testing.T) {
	var current clockValues
	c := newClock(func() clockValues { return current })
	first := c.now()
	current.monotonic, current.wall = time.Second, 11*time.Second
	if now := c.now(); now-first != 11*time.Second {
		t.Fatalf("after 11s that include a suspension of 10s: got %v", now-first)
	}
	current.wall -= time.Hour
	if now := c.now(); now-first != 11*time.Second {
		t.Fatalf("after a backward step: got %v, want 11s", now-first)
	}
	current.monotonic += time.Second
	current.wall += time.Minute
	if now := c.now(); now-first != 71*time.Second {
		t.Fatalf("after another suspension: got %v, want 71s", now-first)
	}
}

// Jitter between readings of the two clocks must not accumulate as elapsed time, which would shorten leases.
func TestClockIgnoresJitterWithinTolerance(t *testing.T) {
	var current clockValues
	c := newClock(func() clockValues { return current })
	first := c.now()
	for i := range 1000 {
		current.monotonic += time.Millisecond
		current.wall = current.monotonic + time.Duration(i%2)*stepTolerance/2
		c.now()
	}
	if passed := c.now() - first; passed != time.Second {
		t.Fatalf("got %v, want 1s", passed)
	}
}
