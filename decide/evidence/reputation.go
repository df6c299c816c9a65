package evidence

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Weights of peers. A confirmed report adds a step to the weight, and a refuted one halves it.
const (
	initialWeight        = 0.5
	maxWeight            = 1.0
	minWeight            = 1.0 / 64
	confirmedStep        = 1.0 / 16
	refutedFactor        = 0.5
	reputationsPerMember = 2 // maximum number of stored weights, as a multiple of MaxPeers
)

// reputation is the weight of a peer and the number of its confirmed and refuted reports. [PeerReputation] is the
// exported form, which is shown to operators as trust.
type reputation struct {
	weight       float64
	at           time.Duration // when the weight was last updated
	right, wrong int
	reports      int // number of stored reports
}

// evaluate updates the weight of a peer whose report a call of this node confirmed or refuted.
func (p *reputation) evaluate(confirmed bool) {
	if confirmed {
		p.weight = min(maxWeight, p.weight+confirmedStep)
		p.right++
		return
	}
	p.weight = max(minWeight, p.weight*refutedFactor)
	p.wrong++
}

// reputationAt returns the reputation of a peer with its weight updated to now. A weight below the initial weight
// regains half of the difference per WeightHalfTime.
func (v *Evaluator) reputationAt(now time.Duration, id Peer) *reputation {
	p := v.peers[id]
	if p == nil {
		p = &reputation{weight: initialWeight, at: now}
		v.peers[id] = p
	}
	if p.weight < initialWeight && now > p.at {
		missing := (initialWeight - p.weight) * math.Exp2(-float64(now-p.at)/float64(v.settings.WeightHalfTime))
		p.weight = initialWeight - missing
	}
	p.at = max(p.at, now)
	return p
}

// SetMembers replaces the set of other members. Only the first MaxPeers are used. Weights are retained after a peer
// leaves, so that a peer cannot regain trust by rejoining. If there are too many weights, those closest to the
// initial weight are deleted.
func (v *Evaluator) SetMembers(now time.Duration, others []Peer) {
	v.members = map[Peer]bool{}
	for _, p := range others {
		if len(v.members) < v.settings.MaxPeers {
			v.members[p] = true
		}
	}
	for _, e := range v.endpoints {
		maps.DeleteFunc(e.reports, func(p Peer, _ *storedReport) bool { return !v.members[p] })
	}
	for id, p := range v.peers {
		if !v.members[id] {
			p.reports = 0
		}
	}
	v.deleteReputations(now)
}

// deleteReputations deletes reputations of peers that have left until at most maxReputations remain.
func (v *Evaluator) deleteReputations(now time.Duration) {
	left := slices.DeleteFunc(slices.Sorted(maps.Keys(v.peers)), func(p Peer) bool { return v.members[p] })
	for _, p := range left {
		v.reputationAt(now, p)
	}
	slices.SortStableFunc(left, func(a, b Peer) int {
		return cmp.Compare(math.Abs(v.peers[a].weight-initialWeight), math.Abs(v.peers[b].weight-initialWeight))
	})
	for _, p := range left {
		if len(v.peers) <= v.maxReputations() {
			break
		}
		delete(v.peers, p)
	}
}

func (v *Evaluator) maxReputations() int { return reputationsPerMember * v.settings.MaxPeers }

// PeerReputation is the reputation of a peer, as shown to operators and saved.
type PeerReputation struct {
	Peer         Peer
	Member       bool
	Weight       float64
	Right, Wrong int
}

// Reputations returns the reputations of all members and of other peers with a stored reputation, ordered by peer.
func (v *Evaluator) Reputations(now time.Duration) []PeerReputation {
	all := []PeerReputation{}
	for p := range v.members {
		v.reputationAt(now, p)
	}
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.reputationAt(now, id)
		all = append(all, PeerReputation{id, v.members[id], p.weight, p.right, p.wrong})
	}
	return all
}

// Restore restores reputations that an earlier process saved, of members and other peers. It skips invalid ones.
// Reports are not saved because they would be too old after a restart.
func (v *Evaluator) Restore(now time.Duration, all []PeerReputation) {
	for _, s := range all {
		if s.Weight >= minWeight && s.Weight <= maxWeight && s.Right >= 0 && s.Wrong >= 0 && len(v.peers) < v.maxReputations() {
			v.peers[s.Peer] = &reputation{weight: s.Weight, at: now, right: s.Right, wrong: s.Wrong}
		}
	}
}
