package leadership

import (
	"math"
	"slices"
	"time"
	"wingmount/decide/lease"
)

// Config configures an Elector. It is the same at all members, except for NodeLease.
type Config struct {
	// LeaderLease is how long a leader may grant leases after it sent its candidacy, a renewal, or a request that all
	// other members voted for. A changed value applies from the next election on: see Term.LeaderLease.
	LeaderLease time.Duration
	// MaxDrift bounds the drift between clocks: while one member's clock advances by t, another's advances by at least
	// (1-MaxDrift)*t.
	MaxDrift float64
	// Slack is added to each wait for the end of another member's lease: the time from when a leader reads its clock
	// until it has finished the operation that it checked its lease for.
	Slack time.Duration
	// NodeLease is the duration of the leases that this member grants to nodes.
	NodeLease time.Duration
}

// Defaults of the fields of Config.
const (
	DefaultLeaderLease = 2 * time.Minute
	DefaultMaxDrift    = 0.01
	DefaultSlack       = 250 * time.Millisecond
)

// ClockReading is a member's time, as durations since any fixed origins. No single clock is correct on a machine that is
// suspended or whose clock is set, so there are two. A leader's lease is measured by the clock that may be ahead, and a
// wait by the clock that may be behind.
type ClockReading struct {
	// Latest advances by at least the elapsed time, except for drift.
	Latest time.Duration
	// Earliest advances by at most the elapsed time, except for drift.
	Earliest time.Duration
}

// A leader proposes a renewal when 1/renewalsPerLease of its lease has passed. It requests votes only when
// 1/voteWindowsPerLease of the lease remains, because until then the quorum may still renew it. A proposal or a request
// without effect is repeated after 1/retriesPerLease of the lease.
const (
	renewalsPerLease    = 3
	voteWindowsPerLease = 3
	retriesPerLease     = 20
)

// maxInFlight bounds the number of proposals whose sending time is stored. Older proposals do not extend the lease.
const maxInFlight = 16

// sentProposal is a candidacy or a renewal that was sent and may be committed.
type sentProposal struct {
	nonce Nonce
	sent  time.Duration // by Latest
}

// voteRound is a request for votes.
type voteRound struct {
	nonce    Nonce // 0 means that no round is in progress
	sent     time.Duration
	revision Revision
	missing  []MemberID // members that have not voted
}

// Elector runs elections for one process of a member: it proposes candidacies in the member's region, renews its
// leadership, and votes for another leader. It is not safe for concurrent use. If ClockReading.Latest goes back, the
// leader's lease ends.
type Elector struct {
	config   Config
	member   MemberID
	region   string
	process  ProcessID
	lastSeen time.Duration // previous reading of Latest
	faults   faults

	// State of the log, as applied.
	state       *State
	joined      bool
	term        Term          // of the region
	termApplied time.Duration // when the current revision was applied, by Earliest

	// Proposals of this process.
	inFlight          []sentProposal
	lastProposal      time.Duration // by Latest
	lastNonce         Nonce
	candidacyInFlight bool
	candidacyRevision Revision // the revision that the candidacy in flight follows
	resigned          bool     // Resign was called: the process makes no further proposals

	// State as leader.
	leaseExpiry          time.Duration // by Latest
	votes                voteRound     // the latest round
	earlierLeasesExpired bool

	// State as voter.
	noCandidacyBefore time.Duration // by Earliest
}

// NewElector returns an elector that begins now. An earlier process of the member may have voted, so the elector does not
// propose a candidacy against another leader until the promise of such a vote has ended.
func NewElector(now ClockReading, member Member, process ProcessID, config Config) *Elector {
	e := &Elector{config: config, member: member.ID, region: member.Region, process: process, lastSeen: now.Latest}
	e.noCandidacyBefore = now.Earliest + e.expiryWait(config.LeaderLease)
	e.lastProposal = now.Latest - config.LeaderLease
	return e
}

// expiryWait returns how long this member waits, by its own clock, until a leader's lease of the given duration has
// expired by the leader's clock: the duration measured by the slowest clock within MaxDrift, rounded up, plus Slack.
func (e *Elector) expiryWait(duration time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(duration)/(1-e.config.MaxDrift))) + e.config.Slack
}

// observeClock records the time. If the clock has gone back, it ends the leader's lease and drops the proposals and vote
// requests in flight, whose sending times are no longer meaningful. Waits start again. The clock of internal/control
// never goes back; this is for other callers.
func (e *Elector) observeClock(now ClockReading) {
	if now.Latest < e.lastSeen {
		e.leaseExpiry, e.inFlight, e.votes = 0, nil, voteRound{}
		e.termApplied = now.Earliest
		e.noCandidacyBefore = now.Earliest + e.expiryWait(max(e.config.LeaderLease, e.term.LeaderLease))
		e.lastProposal = now.Latest - e.config.LeaderLease
	}
	e.lastSeen = now.Latest
}

// Apply sets the state after entries were applied. effect is the nonce of this process's candidacy or renewal that took
// effect with them, or 0 for none.
func (e *Elector) Apply(now ClockReading, state *State, effect Nonce) {
	e.observeClock(now)
	e.state = state
	e.joined = state.Members[e.member].Process == e.process
	term := state.Regions[e.region]
	if term.Revision != e.term.Revision {
		e.termApplied = now.Earliest
	}
	e.term = term
	if effect != 0 && e.Elected() && !e.resigned {
		e.extendLease(now, effect)
	}
	if e.candidacyInFlight && term.Revision != e.candidacyRevision {
		e.candidacyInFlight = false
	}
	if !e.Elected() {
		e.leaseExpiry, e.votes, e.earlierLeasesExpired = 0, voteRound{}, false
	}
}

// extendLease extends the leader's lease to LeaderLease after the proposal with a nonce was sent.
func (e *Elector) extendLease(now ClockReading, effect Nonce) {
	at := slices.IndexFunc(e.inFlight, func(p sentProposal) bool { return p.nonce == effect })
	if at < 0 {
		return
	}
	sent := e.inFlight[at].sent
	if e.faults.countLeaseFromApply {
		sent = now.Latest
	}
	e.leaseExpiry = max(e.leaseExpiry, sent+e.term.LeaderLease)
	e.inFlight = nil // the other proposals follow an earlier revision and are void
}

// Elected reports whether this process is the region's leader in the log, also if its lease has expired.
func (e *Elector) Elected() bool {
	return e.term.Leader == e.member && e.term.Process == e.process
}

// Leading returns the incarnation under which this process grants leases, and whether it may grant them now.
func (e *Elector) Leading(now ClockReading) (lease.Incarnation, bool) {
	e.observeClock(now)
	return e.term.Incarnation, e.Elected() && now.Latest < e.leaseExpiry
}

// Term returns the region's term as of the applied entries.
func (e *Elector) Term() Term { return e.term }

// Joined reports whether this process has joined. Before that it neither proposes candidacies nor votes.
func (e *Elector) Joined() bool { return e.joined }

// LeaseExpiry returns when the leader's lease expires, by ClockReading.Latest, or 0 if this process is not the leader.
func (e *Elector) LeaseExpiry() time.Duration { return e.leaseExpiry }

// MarkEarlierLeasesExpired records that no lease granted by an earlier leader is valid. The next renewal reports this.
func (e *Elector) MarkEarlierLeasesExpired() { e.earlierLeasesExpired = true }

// Resign ends this process's leadership permanently, and returns the resignation to propose. It returns false if this
// process is not the leader.
func (e *Elector) Resign(now ClockReading) (Resignation, bool) {
	e.observeClock(now)
	e.resigned = true
	if !e.Elected() {
		return Resignation{}, false
	}
	e.leaseExpiry = 0
	return Resignation{Member: e.member, Process: e.process, Previous: e.term.Revision}, true
}
