package leadership

import "slices"

// VoteRequest is a leader's request that a member lets it continue without the quorum.
type VoteRequest struct {
	Region   string    `json:"region"`
	Leader   MemberID  `json:"holder"`
	Process  ProcessID `json:"process"`
	Revision Revision  `json:"stamp"`
	Nonce    Nonce     `json:"nonce"`
}

// RequestVotes begins a round of votes. It returns the request and the members to send it to. It returns false if this
// process is not the leader, if more than 1/voteWindowsPerLease of its lease remains, or if a round began less than
// 1/retriesPerLease of the lease ago. Without other members in the region the round succeeds at once, so the leader can
// extend its lease indefinitely without the quorum.
func (e *Elector) RequestVotes(now ClockReading) (VoteRequest, []MemberID, bool) {
	e.observeClock(now)
	if !e.Elected() || e.resigned || now.Latest < e.leaseExpiry-e.term.LeaderLease/voteWindowsPerLease {
		return VoteRequest{}, nil, false
	}
	if e.votes.nonce != 0 && now.Latest < e.votes.sent+e.term.LeaderLease/retriesPerLease {
		return VoteRequest{}, nil, false
	}
	e.lastNonce++
	voters := e.otherMembers()
	e.votes = voteRound{
		nonce:    e.lastNonce,
		sent:     now.Latest,
		revision: e.term.Revision,
		missing:  slices.Clone(voters),
	}
	request := VoteRequest{
		Region:   e.region,
		Leader:   e.member,
		Process:  e.process,
		Revision: e.term.Revision,
		Nonce:    e.lastNonce,
	}
	e.completeVotes()
	return request, voters, true
}

// otherMembers returns the other members of the region, ordered by ID.
func (e *Elector) otherMembers() []MemberID {
	var others []MemberID
	for id, m := range e.state.Members {
		if m.Region == e.region && id != e.member {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	return others
}

// Vote reports whether this member votes for a leader to continue. With its vote it promises not to propose a candidacy
// until the lease that the vote extends has expired by any clock. It does not vote while its own candidacy may take
// effect.
func (e *Elector) Vote(now ClockReading, request VoteRequest) bool {
	e.observeClock(now)
	if !e.joined || request.Region != e.region || request.Leader == e.member {
		return false
	}
	if e.term.Revision != request.Revision || e.term.Leader != request.Leader || e.term.Process != request.Process {
		return false
	}
	if e.candidacyInFlight && !e.faults.voteDuringCandidacy {
		return false
	}
	e.noCandidacyBefore = max(e.noCandidacyBefore, now.Earliest+e.expiryWait(e.term.LeaderLease))
	return true
}

// RecordVote records a member's vote for the request with a nonce.
func (e *Elector) RecordVote(now ClockReading, nonce Nonce, from MemberID) {
	e.observeClock(now)
	if nonce != e.votes.nonce || e.votes.nonce == 0 {
		return
	}
	e.votes.missing = slices.DeleteFunc(e.votes.missing, func(id MemberID) bool { return id == from })
	e.completeVotes()
}

// completeVotes extends the leader's lease to LeaderLease after the request was sent, once all members have voted and if
// the region's revision has not changed since the request.
func (e *Elector) completeVotes() {
	if e.resigned || len(e.votes.missing) > 0 || e.votes.nonce == 0 || !e.Elected() || e.votes.revision != e.term.Revision {
		return
	}
	e.leaseExpiry = max(e.leaseExpiry, e.votes.sent+e.term.LeaderLease)
	e.votes = voteRound{}
}
