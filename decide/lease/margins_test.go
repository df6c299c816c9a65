package lease

import (
	"errors"
	"testing"
	"time"
	"wingmount/decide/placement"
)

// The tests of this file check the behavior just before each deadline and at it. Expected times are literals, so that they
// do not come from the code under test.

// renewAt has a holder renew at a time that both clocks show, over a network without delay.
func renewAt(t *testing.T, g *Grantor, h *Holder, at time.Duration) {
	t.Helper()
	request := h.Renew(at)
	session, err := g.Receive(at, request)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := g.Answer(at, session, request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Receive(at, reply); err != nil {
		t.Fatal(err)
	}
}

// grantedQuota returns the sum of the quotas of a destination that a grantor has granted to a node's sessions.
func grantedQuota(g *Grantor, destination placement.DestinationID, node placement.NodeID) float64 {
	quota := 0.0
	for _, status := range g.Grants(destination) {
		if status.Node == node {
			quota += status.Assignment.Quota
		}
	}
	return quota
}

// A new grantor must not grant quota before the longest lease of earlier incarnations has ended by the slowest clock.
// Otherwise holders of both incarnations use it at the same time.
func TestRestartedGrantorWaitsForEarlierLeases(t *testing.T) {
	const start = 5 * time.Second
	for _, test := range []struct {
		name   string
		config Config
		want   time.Duration // from the start
	}{
		{"the duration only", Config{Duration: 9 * time.Second, MaxDrift: 0.1}, 10 * time.Second},
		{"rounded up", Config{Duration: 10 * time.Second, MaxDrift: 0.1}, 11_111_111_112 * time.Nanosecond},
		{"slack", Config{Duration: 9 * time.Second, MaxDrift: 0.1, Slack: time.Second}, 11 * time.Second},
		{"window", Config{Duration: 9 * time.Second, MaxDrift: 0.1, Window: 2 * time.Second}, 12 * time.Second},
		{
			"longer leases of earlier incarnations",
			Config{Duration: 9 * time.Second, EarlierDuration: 18 * time.Second, MaxDrift: 0.1, Slack: time.Second, Window: 2 * time.Second},
			23 * time.Second,
		},
		{
			"shorter leases of earlier incarnations",
			Config{Duration: 9 * time.Second, EarlierDuration: 5 * time.Second, MaxDrift: 0.1, Slack: time.Second, Window: 2 * time.Second},
			13 * time.Second,
		},
		{"the default drift", Config{Duration: 99 * time.Second}, 100 * time.Second},
		{"an out-of-range drift", Config{Duration: 99 * time.Second, MaxDrift: 1}, 100 * time.Second},
		{"the default duration", Config{MaxDrift: 0.1}, 200 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGrantor(start, 2, test.config)
			want := start + test.want
			if got := g.GraceEnd(); got != want {
				t.Errorf("end of the grace period: got %v, want %v", got, want)
			}
			if next, ok := g.NextDeadline(); !ok || next != want {
				t.Errorf("next deadline: got %v, want %v", next, want)
			}
			g.SetOwners(start, 0, []placement.NodeID{"a"})
			renewAt(t, g, NewHolder(HolderConfig{Node: "a", Process: 1}), want-1)
			if quota := grantedQuota(g, 0, "a"); quota != 0 {
				t.Errorf("just before %v: got quota %v, want 0", want, quota)
			}
			g.Advance(want)
			if quota := grantedQuota(g, 0, "a"); quota != 1 {
				t.Errorf("at %v: got quota %v, want 1", want, quota)
			}
		})
	}
}

// Nodes have to reclaim their assignments while leases of earlier incarnations may be valid. Otherwise the new grantor
// reserves nothing for the quotas that they still use.
func TestReclaimRequiredDuringGracePeriod(t *testing.T) {
	for _, test := range []struct {
		name    string
		early   time.Duration // time of the request before the end of the grace period
		session SessionID
		want    error
	}{
		{"just before the end of the grace period", 1, 1<<counterBits + 1, ErrReclaimRequired},
		{"at the end of the grace period", 0, 1<<counterBits + 1, nil},
		{"no earlier session", 1, 0, nil},
		{"a session of the same incarnation", 1, 2<<counterBits + 9, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGrantor(0, 2, Config{Duration: 9 * time.Second, MaxDrift: 0.1})
			_, err := g.Receive(10*time.Second-test.early, Request{Node: "a", Process: 1, Sequence: 1, Session: test.session})
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// A grantor must ignore reclaims of its own grants: it has their reservations already, or has ended them.
func TestReclaimOfSameIncarnationIsIgnored(t *testing.T) {
	for _, test := range []struct {
		name  string
		epoch Epoch
		want  float64
	}{
		{"the highest epoch of the previous incarnation", 2<<counterBits - 1, 0.5},
		{"the lowest epoch of the same incarnation", 2 << counterBits, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGrantor(0, 2, Config{Duration: 9 * time.Second})
			_, err := g.Receive(0, Request{
				Node: "a", Process: 1, Sequence: 1, Session: 1<<counterBits + 1,
				Reclaiming: true, Reclaims: []Assignment{{Destination: 4, Epoch: test.epoch, Quota: 0.5, Accepting: true}},
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := grantedQuota(g, 4, "a"); got != test.want {
				t.Errorf("reclaimed quota: got %v, want %v", got, test.want)
			}
		})
	}
}

// A grantor must not end a session before the holder's lease has expired by the slowest clock. It waits from its latest
// answer.
func TestSessionExpiresWaitAfterLatestAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		config  Config
		advance time.Duration // the grantor's clock before the answer
		want    time.Duration
	}{
		{"the duration only", Config{Duration: 9 * time.Second, MaxDrift: 0.1}, 0, 15 * time.Second},
		{"rounded up", Config{Duration: 10 * time.Second, MaxDrift: 0.1}, 0, 16_111_111_112 * time.Nanosecond},
		{"slack", Config{Duration: 9 * time.Second, MaxDrift: 0.1, Slack: time.Second}, 0, 16 * time.Second},
		{"a clock that went back", Config{Duration: 9 * time.Second, MaxDrift: 0.1, Slack: time.Second}, 8 * time.Second, 19 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.config.NoEarlierLeases = true
			g := NewGrantor(0, 1, test.config)
			g.SetOwners(0, 0, []placement.NodeID{"a"})
			request := Request{Node: "a", Process: 1, Sequence: 1}
			session, err := g.Receive(3*time.Second, request)
			if err != nil {
				t.Fatal(err)
			}
			g.Advance(test.advance)
			if _, err := g.Answer(5*time.Second, session, request); err != nil {
				t.Fatal(err)
			}
			if got := g.Grants(0)[0].Expiry; got != test.want {
				t.Errorf("expiry: got %v, want %v", got, test.want)
			}
			if next, ok := g.NextDeadline(); !ok || next != test.want {
				t.Errorf("next deadline: got %v, want %v", next, test.want)
			}
			if disconnected := g.Advance(test.want - 1); len(disconnected) != 0 || !g.HasSession("a") {
				t.Errorf("just before %v: got no session, want one", test.want)
			}
			if disconnected := g.Advance(test.want); len(disconnected) != 1 || g.HasSession("a") {
				t.Errorf("at %v: got a session, want none", test.want)
			}
			if _, err := g.Answer(test.want, session, request); !errors.Is(err, ErrNoSession) {
				t.Errorf("answer after the expiry: got %v, want %v", err, ErrNoSession)
			}
		})
	}
}

// A session must expire also if its first request is never answered; otherwise it is never removed.
func TestSessionWithoutAnswerExpires(t *testing.T) {
	g := NewGrantor(0, 1, Config{Duration: 9 * time.Second, MaxDrift: 0.1, Slack: time.Second, NoEarlierLeases: true})
	if _, err := g.Receive(3*time.Second, Request{Node: "a", Process: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if g.Advance(14*time.Second - 1); !g.HasSession("a") {
		t.Error("just before 14 s: got no session, want one")
	}
	if g.Advance(14 * time.Second); g.HasSession("a") {
		t.Error("at 14 s: got a session, want none")
	}
}

// A holder that closed its session must not get a lease by a later reply: the grantor has granted its quota to others.
func TestClosedHolderHasNoLease(t *testing.T) {
	h := NewHolder(HolderConfig{Node: "a", Process: 1})
	h.Renew(0)
	if _, err := h.Receive(0, replyWithQuota(9*time.Second, 5)); err != nil {
		t.Fatal(err)
	}
	h.Renew(1)
	h.Close(1)
	if h.Valid(1) || h.Quota(1, 0) != 0 {
		t.Error("after Close: got a valid lease, want none")
	}
	reply := replyWithQuota(9*time.Second, 5)
	reply.Sequence = 2
	if _, err := h.Receive(2, reply); !errors.Is(err, ErrUnexpectedReply) {
		t.Errorf("reply after Close: got %v, want %v", err, ErrUnexpectedReply)
	}
}

// Quota that a node no longer uses is granted to another node only a window later, for each way in which the node can lose
// it. Otherwise the calls of both nodes in one window exceed the limit.
func TestReleasedQuotaWaitsForWindow(t *testing.T) {
	const window = 2 * time.Second
	for _, test := range []struct {
		name    string
		owners  []placement.NodeID
		release func(t *testing.T, g *Grantor, a, b *Holder)
		at      time.Duration // time of the release
		want    float64       // quota of the other node, a window later
	}{
		{"a lowered quota is confirmed", []placement.NodeID{"a", "b"}, func(t *testing.T, g *Grantor, a, _ *Holder) {
			t.Helper()
			renewAt(t, g, a, 11*time.Second)
		}, 11 * time.Second, 0.5},
		{"a release", []placement.NodeID{"b"}, func(t *testing.T, g *Grantor, a, _ *Holder) {
			t.Helper()
			if !a.Release(0) {
				t.Fatal("got no release, want one")
			}
			renewAt(t, g, a, 11*time.Second)
		}, 11 * time.Second, 1},
		{"a process that closes its session", []placement.NodeID{"b"}, func(t *testing.T, g *Grantor, a, _ *Holder) {
			t.Helper()
			if _, err := g.Receive(11*time.Second, a.Close(11*time.Second)); err != nil {
				t.Fatal(err)
			}
		}, 11 * time.Second, 1},
		{"a process that is replaced", []placement.NodeID{"b"}, func(t *testing.T, g *Grantor, _, _ *Holder) {
			t.Helper()
			renewAt(t, g, NewHolder(HolderConfig{Node: "a", Process: 2, Replaces: 1}), 11*time.Second)
		}, 11 * time.Second, 1},
		{"a lease that expires", []placement.NodeID{"b"}, func(t *testing.T, g *Grantor, _, b *Holder) {
			t.Helper()
			renewAt(t, g, b, 110*time.Second)
			g.Advance(111 * time.Second)
		}, 111 * time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGrantor(0, 1, Config{Duration: 90 * time.Second, MaxDrift: 0.1, Slack: time.Second, Window: window, NoEarlierLeases: true})
			a, b := NewHolder(HolderConfig{Node: "a", Process: 1}), NewHolder(HolderConfig{Node: "b", Process: 1})
			g.SetOwners(0, 0, []placement.NodeID{"a"})
			renewAt(t, g, a, 0)
			renewAt(t, g, a, 1)
			renewAt(t, g, b, 1)
			g.SetOwners(10*time.Second, 0, test.owners)
			renewAt(t, g, a, 10*time.Second)
			renewAt(t, g, b, 10*time.Second)
			renewAt(t, g, b, 11*time.Second-1)
			if quota := grantedQuota(g, 0, "b"); quota != 0 {
				t.Fatalf("before the release: got quota %v, want 0", quota)
			}
			test.release(t, g, a, b)
			if next, ok := g.NextDeadline(); !ok || next != test.at+window {
				t.Errorf("next deadline: got %v, want %v", next, test.at+window)
			}
			g.Advance(test.at + window - 1)
			if quota := grantedQuota(g, 0, "b"); quota != 0 {
				t.Errorf("just before the end of the window: got quota %v, want 0", quota)
			}
			g.Advance(test.at + window)
			if quota := grantedQuota(g, 0, "b"); quota != test.want {
				t.Errorf("at the end of the window: got quota %v, want %v", quota, test.want)
			}
		})
	}
}

// Once a request names a newer incarnation, the grantor must answer no request, not even one that it received before.
func TestSupersededGrantorAnswersNoEarlierRequest(t *testing.T) {
	for _, test := range []struct {
		name        string
		incarnation Incarnation
		want        error
	}{
		{"the same incarnation", 2, nil},
		{"a newer incarnation", 3, ErrSuperseded},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewGrantor(0, 2, Config{Duration: 9 * time.Second, NoEarlierLeases: true})
			request := Request{Node: "a", Process: 1, Sequence: 1}
			session, err := g.Receive(0, request)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := g.Receive(0, Request{Node: "b", Process: 1, Sequence: 1, Incarnation: test.incarnation}); !errors.Is(err, test.want) {
				t.Errorf("Receive of the request that names incarnation %d: got %v, want %v", test.incarnation, err, test.want)
			}
			if _, err := g.Answer(0, session, request); !errors.Is(err, test.want) {
				t.Errorf("Answer to the earlier request: got %v, want %v", err, test.want)
			}
			if _, err := g.Receive(0, Request{Node: "a", Process: 1, Sequence: 2}); !errors.Is(err, test.want) {
				t.Errorf("Receive of a later request: got %v, want %v", err, test.want)
			}
		})
	}
}

// replyWithQuota returns a reply to the first request of a holder. It assigns the full limit of destination 0.
func replyWithQuota(duration time.Duration, incarnation Incarnation) Reply {
	return Reply{
		Incarnation: incarnation, Session: SessionID(incarnation)<<counterBits + 1, Sequence: 1, Duration: duration,
		Version: 1, Complete: true,
		Assignments: []Assignment{{Epoch: Epoch(incarnation)<<counterBits + 1, Quota: 1, Accepting: true}},
	}
}

// A holder must reject lease durations and incarnations out of bounds: an endless lease, for instance, outlasts the
// grantor's wait.
func TestHolderRejectsReplyOutOfBounds(t *testing.T) {
	for _, test := range []struct {
		name  string
		reply Reply
		want  error
	}{
		{"the shortest lease", replyWithQuota(1, 5), nil},
		{"a lease of duration 0", replyWithQuota(0, 5), ErrMalformed},
		{"the longest lease", replyWithQuota(time.Hour, 5), nil},
		{"over the longest lease", replyWithQuota(time.Hour+1, 5), ErrMalformed},
		{"an older incarnation", replyWithQuota(time.Second, 4), ErrStaleIncarnation},
		{"a newer incarnation", replyWithQuota(time.Second, 6), nil},
		{"the highest incarnation", replyWithQuota(time.Second, MaxIncarnation), nil},
		{"over the highest incarnation", replyWithQuota(time.Second, MaxIncarnation+1), ErrMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := NewHolder(HolderConfig{Node: "a", Process: 1, Incarnation: 5})
			h.Renew(7 * time.Second)
			if _, err := h.Receive(7*time.Second, test.reply); !errors.Is(err, test.want) {
				t.Errorf("Receive: got %v, want %v", err, test.want)
			}
		})
	}
}

// A holder must not use its quota from the end of the lease on, however late the reply arrived, or after its clock has
// gone back.
func TestHolderLeaseExpiresDurationAfterSending(t *testing.T) {
	const sent, duration = 7 * time.Second, 9 * time.Second
	for _, test := range []struct {
		name     string
		received time.Duration
		readings []time.Duration // the times at which the holder reads its clock
		want     float64         // the holder's quota at the last of them
	}{
		{"at the sending", sent, []time.Duration{sent}, 1},
		{"just before the end", sent, []time.Duration{sent + duration - 1}, 1},
		{"at the end", sent, []time.Duration{sent + duration}, 0},
		{"received late, just before the end", sent + duration - 1, []time.Duration{sent + duration - 1}, 1},
		{"received late, at the end", sent + duration - 1, []time.Duration{sent + duration}, 0},
		{"received after the end", sent + duration, []time.Duration{sent + duration}, 0},
		{"the same time again", sent, []time.Duration{sent + 1, sent + 1}, 1},
		{"a clock that went back", sent, []time.Duration{sent + 1, sent}, 0},
		{"a clock that went back and then forward", sent, []time.Duration{sent + 1, sent, sent + 2}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := NewHolder(HolderConfig{Node: "a", Process: 1})
			h.Renew(sent)
			if _, err := h.Receive(test.received, replyWithQuota(duration, 5)); err != nil {
				t.Fatal(err)
			}
			quota := 0.0
			for _, now := range test.readings {
				quota = h.Quota(now, 0)
			}
			if quota != test.want {
				t.Errorf("got quota %v, want %v", quota, test.want)
			}
		})
	}
}

// If the clock goes back between a request and its reply, the sending time is no longer meaningful. A lease that counts
// from it could outlast the grantor's wait.
func TestHolderClockGoingBackDropsRequest(t *testing.T) {
	h := NewHolder(HolderConfig{Node: "a", Process: 1})
	h.Renew(7 * time.Second)
	if _, err := h.Receive(7*time.Second-1, replyWithQuota(time.Second, 5)); !errors.Is(err, ErrUnexpectedReply) {
		t.Errorf("reply after the step back: got %v, want %v", err, ErrUnexpectedReply)
	}
}
