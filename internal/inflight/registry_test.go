package inflight

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// completions returns an observation of a final response for each message.
func completions(ids ...string) (all []admission.Observation) {
	for _, id := range ids {
		all = append(all, admission.Observation{Kind: admission.MessageCompleted, MessageID: id})
	}
	return all
}

// wantVerdict requests a reservation and returns its retry delay. It checks the verdict, and that only rejections have
// a retry delay.
func wantVerdict(t *testing.T, r *Registry, id string, want Verdict) time.Duration {
	t.Helper()
	got, retry := r.Reserve(id, 7, 0, 0, time.Minute)
	if got != want || (retry > 0) != (want >= NoCapacity) {
		t.Fatalf("%s: got verdict %d, retry after %v, want %d", id, got, retry, want)
	}
	return retry
}

// A message ID has at most one reservation, from its request to its final response. A registry rejects requests beyond
// its maximum.
func TestReserveKnownIDOrNoCapacityIsRejected(t *testing.T) {
	r := New(Config{Max: 2})
	wantVerdict(t, r, "a", Reserved)
	wantVerdict(t, r, "a", Duplicate)
	r.Accept("a")
	wantVerdict(t, r, "a", InProgress)
	wantVerdict(t, r, "b", Reserved)
	wantVerdict(t, r, "c", NoCapacity)
	r.Release("a") // accepted, so it stays in flight
	r.Release("b")
	wantVerdict(t, r, "c", Reserved)
	r.Adopt("adopted", 7, 0, 0) // beyond the maximum, since it is persisted
	if r.Count() != 3 {
		t.Errorf("got %d messages in flight, want 3", r.Count())
	}
	r.Observe(completions("a", "adopted", "unknown"))
	wantVerdict(t, r, "a", Reserved)
	r.Close(true)
	wantVerdict(t, r, "d", ShuttingDown)
	if got, want := r.Counts(), (Counts{Reserved: 4, InProgress: 1, Duplicate: 1, NoCapacity: 1, ShuttingDown: 1}); got != want {
		t.Errorf("counts: got %v, want %v", got, want)
	}
}

// Guards against a node that is killed for its memory: messages in flight hold no more bytes than the maximum, however few they
// are. Persisted messages are adopted in any case.
func TestReserveBeyondMaxBytesIsRejected(t *testing.T) {
	const body = 64 << 10
	r := New(Config{MaxBytes: 3 * (body + messageOverheadBytes)})
	reserve := func(id string, bytes int) Verdict {
		verdict, _ := r.Reserve(id, 7, 0, bytes, time.Minute)
		return verdict
	}
	for _, id := range []string{"a", "b", "c"} {
		if got := reserve(id, body); got != Reserved {
			t.Fatalf("%s: got verdict %d, want Reserved", id, got)
		}
	}
	if got := reserve("d", 0); got != NoCapacity {
		t.Errorf("beyond the maximum: got verdict %d, want NoCapacity", got)
	}
	r.Adopt("adopted", 7, 0, body)
	r.Release("a")
	if got := reserve("e", body); got != NoCapacity {
		t.Errorf("beside an adopted message: got verdict %d, want NoCapacity", got)
	}
	r.Observe(completions("adopted"))
	if got := reserve("e", body); got != Reserved {
		t.Errorf("after the end of a message: got verdict %d, want Reserved", got)
	}
}

// Destination numbers have 32 bits. A number out of that range does not match another destination by truncation.
func TestHasDestinationOutOfRangeIsUnknown(t *testing.T) {
	r := New(Config{})
	r.SetDestinations(map[int]bool{0: true, 169_999: true, math.MaxUint32: true, 5: false}, true)
	for number, want := range map[int]bool{0: true, 169_999: true, math.MaxUint32: true, 5: false, 6: false, -1: false, math.MaxUint32 + 1: false} {
		if exists, certain := r.HasDestination(number); exists != want || !certain {
			t.Errorf("destination %d: got %v, certain %v; want %v, true", number, exists, certain, want)
		}
	}
}

// The engine never waits for the registry's lock. The next caller that locks applies the updates that the engine queued
// while the lock was held.
func TestUpdatesWhileLockedAreAppliedByNextCaller(t *testing.T) {
	r := New(Config{Max: 1})
	wantVerdict(t, r, "a", Reserved)
	r.mu.Lock()
	done := make(chan struct{})
	go func() {
		r.Observe(completions("a"))
		r.SetDestinations(map[int]bool{7: true}, true)
		r.SetDestinations(map[int]bool{8: true}, true) // replaces the previous set
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(testkit.EventuallyTimeout):
		t.Fatal("Observe and SetDestinations block while the lock is held")
	}
	r.mu.Unlock()
	if exists, certain := r.HasDestination(7); exists || !certain {
		t.Error("got an outdated set of destinations, want the latest")
	}
	wantVerdict(t, r, "b", Reserved)
}

// The admission controller counts each message once, regardless of how the message was reserved, adopted or released.
func TestAdmissionControllerCountsEachMessageOnce(t *testing.T) {
	c := admission.New(admission.Settings{Weights: []float64{1}, Capacity: 100})
	r := New(Config{Max: 100, Admission: c})
	wantVerdict(t, r, "a", Reserved)
	r.Adopt("a", 7, 0, 0)
	r.Adopt("b", 7, 0, 0)
	wantVerdict(t, r, "c", Reserved)
	r.Release("c")
	r.Release("c")
	r.Observe([]admission.Observation{{Kind: admission.CallStarted, Destination: 7}, {Kind: admission.CallCompleted, Destination: 7, Outcome: policy.Delivered}})
	r.Observe(completions("a", "a", "c"))
	if r.Count() != 1 || c.InFlight() != 1 {
		t.Errorf("got %d messages in flight, %d counted by the controller, want 1 and 1", r.Count(), c.InFlight())
	}
	r.Observe([]admission.Observation{{Kind: admission.CallCompleted, Destination: 7, Outcome: policy.RateLimited, RetryAfter: time.Minute}})
	if v, retry := r.Reserve("d", 7, 0, 0, 20*time.Second); v != TooLate || retry < 20*time.Second {
		t.Errorf("destination with a Retry-After of 1m: got verdict %d, retry after %v, want TooLate, 20s or more", v, retry)
	}
	wantVerdict(t, r, "b", InProgress)
}

// Ingress servers and the engine use a registry concurrently. Guards against lost reservations, and against reservations
// beyond the maximum.
func TestConcurrentUseKeepsReservations(t *testing.T) {
	const clients, requests, capacity = 16, 300, 50
	c := admission.New(admission.Settings{Weights: []float64{1}})
	r := New(Config{Max: capacity, Admission: c})
	var ingress, engine sync.WaitGroup
	completed := make(chan string, clients*requests)
	engine.Go(func() {
		for id := range completed {
			r.Observe(completions(id))
		}
	})
	for i := range clients {
		ingress.Go(func() {
			for k := range requests {
				id := fmt.Sprint(i%4, "-", k) // the same messages from 4 clients each
				switch v, _ := r.Reserve(id, 7, 0, 0, time.Minute); v {
				case Reserved:
					if n := r.Count(); n > capacity {
						t.Errorf("got %d messages in flight, want at most %d", n, capacity)
					}
					r.Accept(id)
					completed <- id
				case InProgress, Duplicate, NoCapacity:
				default:
					t.Errorf("got verdict %d, want Reserved, InProgress, Duplicate or NoCapacity", v)
				}
			}
		})
	}
	ingress.Wait()
	close(completed)
	engine.Wait()
	if r.Count() != 0 || c.InFlight() != 0 {
		t.Errorf("got %d messages in flight, %d counted by the controller, want 0 and 0", r.Count(), c.InFlight())
	}
}

// A message counts as unfinished once, only for its own destination, from its reservation to its final response.
func TestUnfinishedCountsFromReservationToCompletion(t *testing.T) {
	r := New(Config{})
	wantUnfinished := func(when string, want int) {
		t.Helper()
		if got := r.Unfinished(7); got != want {
			t.Errorf("%s: got %d unfinished, want %d", when, got, want)
		}
	}
	wantUnfinished("without messages", 0)
	r.Reserve("a", 7, 0, 0, time.Second)
	r.Reserve("a", 7, 0, 0, time.Second)
	r.Reserve("b", 7, 0, 0, time.Second)
	r.Reserve("c", 8, 0, 0, time.Second)
	wantUnfinished("with two reservations", 2)
	if accepted, reserved := r.Lookup("a"); accepted || !reserved {
		t.Errorf("Lookup of a reserved message: got accepted %v, reserved %v, want false, true", accepted, reserved)
	}
	r.Release("b")
	wantUnfinished("after the release of one", 1)
	r.Accept("a")
	r.Adopt("a", 7, 0, 0)
	r.Release("a")
	wantUnfinished("with one accepted", 1)
	if accepted, reserved := r.Lookup("a"); !accepted || reserved {
		t.Errorf("Lookup of an accepted message: got accepted %v, reserved %v, want true, false", accepted, reserved)
	}
	r.Adopt("d", 7, 0, 0)
	wantUnfinished("with one accepted and one adopted", 2)
	r.Observe([]admission.Observation{{Kind: admission.MessageCompleted, MessageID: "a"}, {Kind: admission.MessageCompleted, MessageID: "d"}, {Kind: admission.MessageCompleted, MessageID: "d"}})
	wantUnfinished("after all completions", 0)
	if accepted, reserved := r.Lookup("a"); accepted || reserved {
		t.Errorf("Lookup of a completed message: got accepted %v, reserved %v, want false, false", accepted, reserved)
	}
}
