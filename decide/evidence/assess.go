package evidence

import "time"

// Weight thresholds of an assessment.
const (
	// minCountedWeight is the minimum weight of a peer whose reports count.
	minCountedWeight = 1.0 / 8
	// quorumWeight times the quorum size is the minimum total weight of the peers that report failures. quorumWeight is
	// below initialWeight, so that a quorum of three suffices even if one of its peers was recently wrong. A single peer
	// of this weight is enough to show that an endpoint has recovered.
	quorumWeight = 3.0 / 8
	// downToUpRatio is the factor by which the total weight of peers that report failures must exceed that of peers
	// that report successes.
	downToUpRatio = 2
)

// Limits of the quorum size.
const (
	minQuorum = 2
	// maxQuorum limits the quorum because a node in a large cluster receives reports from only some tens of peers
	// within MaxAge.
	maxQuorum = 16
	// quorumDivisor makes the quorum more than a quarter of the other members.
	quorumDivisor = 4
)

// Quorum returns how many peers must report failures of an endpoint in a cluster of the given number of members, this
// node included. It is more than a quarter of the others, at least 2 and at most 16.
func Quorum(members int) int { return min(maxQuorum, max(minQuorum, (members-1)/quorumDivisor+1)) }

// Assessment is the evaluator's judgment of an endpoint.
type Assessment struct {
	Suspected     bool
	Share         float64       // Settings.Share if suspected, else 1; decide/gossip does not use it
	ProbeInterval time.Duration // maximum interval between probes; set only if suspected
	// Down is the total weight of the peers that reported failures after the last success, and Up that of the peers
	// that reported successes.
	Down, Up float64
	Peers    int // number of peers included in Down
}

// Assess assesses an endpoint. The endpoint is suspected if a quorum of peers in this availability zone reported
// failures after the last reported success, their total weight is sufficient both by itself and against the peers
// that reported successes, and this node's last call was not a recent success. With fewer reports, or after a success
// of this node, Share stays 1.
func (v *Evaluator) Assess(now time.Duration, id Endpoint) Assessment {
	assessment := Assessment{Share: 1}
	e := v.endpoints[id]
	if e == nil {
		return assessment
	}
	succeeded := v.lastSuccess(now, e)
	for _, r := range e.reports {
		if !v.isRelevant(now, r) {
			continue
		}
		weight := v.reputationAt(now, r.Peer).weight
		switch {
		case weight < minCountedWeight:
		case !r.down():
			assessment.Up += weight
		case r.To >= succeeded:
			assessment.Down += weight
			assessment.Peers++
		}
	}
	quorum := Quorum(len(v.members) + 1)
	sufficientWeight := assessment.Down >= float64(quorum)*quorumWeight && assessment.Down > downToUpRatio*assessment.Up
	if !v.succeededRecently(now, e) && assessment.Peers >= quorum && sufficientWeight {
		assessment.Suspected, assessment.Share, assessment.ProbeInterval = true, v.settings.Share, v.settings.ProbeInterval
	}
	return assessment
}

// isRelevant reports whether a report is from this node's availability zone and no older than MaxAge.
func (v *Evaluator) isRelevant(now time.Duration, r *storedReport) bool {
	return r.Zone == v.settings.Zone && now-r.To <= v.settings.MaxAge
}

// succeededRecently reports whether this node's last call succeeded and ended within OwnSuccessTime.
func (v *Evaluator) succeededRecently(now time.Duration, e *endpoint) bool {
	return e.succeeded.observed && now-e.succeeded.at <= v.settings.OwnSuccessTime && e.lastCallSucceeded()
}

// lastCallSucceeded reports whether this node's last call succeeded. Its result is valid only if at least one call
// has succeeded.
func (e *endpoint) lastCallSucceeded() bool {
	return !e.failed.observed || e.succeeded.at >= e.failed.at
}

// Recovered reports whether an endpoint has recovered: a peer of at least quorumWeight reported a success that is
// later than this node's last failure and the last failure that peers reported. It returns false if this node's own
// last call succeeded after an earlier failure. Package decide/gossip uses it only for endpoints that it suspects or
// to which this node's calls fail. A single peer is enough because only a call at the rate of slow start follows, and
// that call reduces the weight of a peer that reported falsely.
func (v *Evaluator) Recovered(now time.Duration, id Endpoint) bool {
	e := v.endpoints[id]
	if e == nil || e.succeeded.observed && e.failed.observed && e.succeeded.at >= e.failed.at {
		return false
	}
	succeeded, failed := v.lastSuccess(now, e), time.Duration(0)
	for _, r := range e.reports {
		if v.isRelevant(now, r) && r.down() && v.reputationAt(now, r.Peer).weight >= minCountedWeight {
			failed = max(failed, r.To)
		}
	}
	if e.failed.observed {
		failed = max(failed, e.failed.at)
	}
	return failed > 0 && succeeded > failed
}

// lastSuccess returns the time of the last success that a peer of at least quorumWeight reported, or 0 if there is no
// recent report. Failures before that time are outdated.
func (v *Evaluator) lastSuccess(now time.Duration, e *endpoint) (at time.Duration) {
	for _, r := range e.reports {
		if v.isRelevant(now, r) && !r.down() && v.reputationAt(now, r.Peer).weight >= quorumWeight {
			at = max(at, r.To)
		}
	}
	return at
}
