// Package evidence weighs peers' reports on partners' endpoints against the results of this node's own calls. It does
// no I/O, reads no clock, draws no random numbers and starts no goroutines.
//
// It guarantees, whatever peers send:
//   - fewer peers than a quorum, see [Quorum], never lower the rate at which this node sends to an endpoint; a single
//     peer can only start the slow start of an endpoint that is suspected or to which this node's calls fail;
//   - no number of peers changes that rate while this node's last call succeeded and ended within
//     [Settings].OwnSuccessTime;
//   - a suspicion changes nothing by itself: package decide/gossip returns it as an effect, and its caller applies the
//     effect. Package policy opens the endpoint's circuit, unless a call succeeded just before, and then sends only
//     probes;
//   - memory is bounded by [Settings].
//
// An [Evaluator] is not safe for concurrent use. Start reading at [Evaluator.Assess], which contains the rule.
// reputation.go contains the weights of peers. The design is described in docs/design/gossip.md.
package evidence

import (
	"errors"
	"time"
)

// Peer identifies another node. The caller must have authenticated it.
type Peer uint32

// Endpoint identifies an endpoint. All nodes use the same number for it.
type Endpoint uint64

// Report is a peer's summary of its recent calls to an endpoint.
type Report struct {
	Peer     Peer
	Endpoint Endpoint
	Zone     int           // availability zone of the peer
	From, To time.Duration // interval in which the calls ended, by this node's clock
	Calls    int           // calls that ended in the interval; above 0
	Failed   int           // number of these calls that failed
}

// down reports whether more than half of the calls failed.
func (r Report) down() bool { return 2*r.Failed > r.Calls }

// Settings are the limits and durations of an evaluator. Durations must be positive.
type Settings struct {
	Zone             int           // availability zone of this node
	MaxAge           time.Duration // reports on calls that ended longer ago are ignored
	MaxClockSkew     time.Duration // maximum difference between clocks
	OwnSuccessTime   time.Duration // how long a successful call of this node overrides all peers
	EvaluationWindow time.Duration // how long after a report a call of this node may still confirm or refute it
	WeightHalfTime   time.Duration // time in which a weight below the initial weight regains half of the difference
	Share            float64       // Assessment.Share if suspected, above 0 and below 1; decide/gossip does not use it
	ProbeInterval    time.Duration // maximum interval between probes to a suspected endpoint
	MaxEndpoints     int           // maximum number of endpoints with stored reports
	MaxPeers         int           // maximum number of members; weights of twice as many peers are stored
	MaxReports       int           // maximum number of reports, the newest per peer and endpoint; members have equal parts
}

// Defaults returns the settings of a node in an availability zone.
func Defaults(zone int) Settings {
	return Settings{
		Zone: zone, MaxAge: 10 * time.Second, MaxClockSkew: time.Second, OwnSuccessTime: 2 * time.Second, EvaluationWindow: 2 * time.Second,
		WeightHalfTime: 10 * time.Minute, Share: 0.125, ProbeInterval: time.Second, MaxEndpoints: 8192, MaxPeers: 1024, MaxReports: 1 << 16,
	}
}

// Errors of [Evaluator.Receive]. A rejected report changes nothing.
var (
	ErrNotMember       = errors.New("report from a peer that is not a member")
	ErrInvalid         = errors.New("invalid report")
	ErrStale           = errors.New("report is older than the maximum age")
	ErrFuture          = errors.New("report time is in the future")
	ErrRepeated        = errors.New("report is not newer than the stored report of the peer")
	ErrFull            = errors.New("report quota of the peer is exhausted")
	ErrUnknownEndpoint = errors.New("report on an unknown endpoint")
)

// storedReport is the latest report of a peer on an endpoint.
type storedReport struct {
	Report
	// since is the To of the first of the peer's latest consecutive reports that agree and have not been evaluated.
	since     time.Duration
	evaluated bool // a call of this node has confirmed or refuted it
}

// endpoint is the state of an endpoint.
type endpoint struct {
	reports   map[Peer]*storedReport
	succeeded observation // this node's last successful call
	failed    observation // this node's last failed call
}

// observation is the time of an observed event; observed is false if there was none.
type observation struct {
	at       time.Duration
	observed bool
}

// Evaluator assesses endpoints for one node.
type Evaluator struct {
	settings  Settings
	members   map[Peer]bool
	peers     map[Peer]*reputation
	endpoints map[Endpoint]*endpoint
}

// New returns an evaluator without members and endpoints.
func New(s Settings) *Evaluator {
	return &Evaluator{settings: s, members: map[Peer]bool{}, peers: map[Peer]*reputation{}, endpoints: map[Endpoint]*endpoint{}}
}

// SetEndpoints replaces the set of endpoints. Only the first MaxEndpoints are used. Reports on others are rejected.
func (v *Evaluator) SetEndpoints(ids []Endpoint) {
	previous := v.endpoints
	v.endpoints = map[Endpoint]*endpoint{}
	for _, id := range ids {
		if len(v.endpoints) == v.settings.MaxEndpoints {
			break
		}
		if v.endpoints[id] = previous[id]; previous[id] == nil {
			v.endpoints[id] = &endpoint{reports: map[Peer]*storedReport{}}
		}
		delete(previous, id)
	}
	for _, removed := range previous {
		for id := range removed.reports {
			v.peers[id].reports--
		}
	}
}

// Receive stores a report of a peer. If it returns an error, the report is rejected and nothing changes.
func (v *Evaluator) Receive(now time.Duration, r Report) error {
	switch {
	case !v.members[r.Peer]:
		return ErrNotMember
	case r.Calls <= 0 || r.Failed < 0 || r.Failed > r.Calls || r.From > r.To || r.To-r.From > v.settings.MaxAge:
		return ErrInvalid
	case now-r.To > v.settings.MaxAge:
		return ErrStale
	case r.To-now > v.settings.MaxClockSkew:
		return ErrFuture
	}
	e := v.endpoints[r.Endpoint]
	if e == nil {
		return ErrUnknownEndpoint
	}
	previous := e.reports[r.Peer]
	switch {
	case previous != nil && previous.To >= r.To:
		return ErrRepeated
	case previous == nil && !v.hasQuota(now, r.Peer):
		return ErrFull
	case previous == nil:
		v.peers[r.Peer].reports++
	}
	next := &storedReport{Report: r, since: r.To}
	// Repeated reports are evaluated by the time of the first one. Otherwise a peer that reports continuously would
	// never have a report that precedes a call of this node.
	if previous != nil && !previous.evaluated && previous.down() == r.down() && previous.Zone == r.Zone {
		next.since = previous.since
	}
	e.reports[r.Peer] = next
	return nil
}

// hasQuota reports whether another report of a peer may be stored. All members have the same quota, so that a member
// that reports on every endpoint does not reduce the quotas of the others. hasQuota deletes expired reports of the
// peer if the quota is exhausted.
func (v *Evaluator) hasQuota(now time.Duration, id Peer) bool {
	quota := max(1, v.settings.MaxReports/max(1, len(v.members)))
	p := v.reputationAt(now, id)
	if p.reports < quota {
		return true
	}
	for _, e := range v.endpoints {
		if r := e.reports[id]; r != nil && now-r.To > v.settings.MaxAge {
			delete(e.reports, id)
			p.reports--
		}
	}
	return p.reports < quota
}

// ObserveCall records the outcome of a call of this node. It uses the outcome to evaluate the reports of peers in
// this availability zone on calls that ended shortly before this call began.
func (v *Evaluator) ObserveCall(now time.Duration, id Endpoint, began time.Duration, succeeded bool) {
	e := v.endpoints[id]
	if e == nil {
		return
	}
	if succeeded {
		e.succeeded = observation{now, true}
	} else {
		e.failed = observation{now, true}
	}
	for _, r := range e.reports {
		if r.evaluated || r.Zone != v.settings.Zone || r.since > began || began-r.To > v.settings.EvaluationWindow {
			continue
		}
		r.evaluated = true
		v.reputationAt(now, r.Peer).evaluate(r.down() != succeeded)
	}
}

// Size returns the number of stored endpoints, reports and peer weights.
func (v *Evaluator) Size() (endpoints, reports, weights int) {
	for _, e := range v.endpoints {
		reports += len(e.reports)
	}
	return len(v.endpoints), reports, len(v.peers)
}
