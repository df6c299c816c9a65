package leadership

// Proposal is an entry that an elector proposes for the log. Exactly one field is set.
type Proposal struct {
	Join      *Join
	Candidacy *Candidacy
	Renewal   *Renewal
}

// Propose returns the proposal to send now, or false if there is none. The elector considers the returned proposal as in
// flight from now on.
func (e *Elector) Propose(now ClockReading) (Proposal, bool) {
	e.observeClock(now)
	if e.state == nil || e.resigned || now.Latest < e.lastProposal+e.config.LeaderLease/retriesPerLease {
		return Proposal{}, false
	}
	switch {
	case !e.joined:
		return e.proposeJoin(now)
	case e.Elected():
		return e.proposeRenewal(now)
	default:
		return e.proposeCandidacy(now)
	}
}

// proposeJoin proposes that this process joins. It returns false if the log does not contain its member.
func (e *Elector) proposeJoin(now ClockReading) (Proposal, bool) {
	m, known := e.state.Members[e.member]
	if !known {
		return Proposal{}, false
	}
	e.lastProposal = now.Latest
	return Proposal{Join: &Join{Member: e.member, Process: e.process, Previous: m.Process}}, true
}

// proposeRenewal proposes a renewal of this leader's lease if one is due.
func (e *Elector) proposeRenewal(now ClockReading) (Proposal, bool) {
	if !e.renewalDue(now) {
		return Proposal{}, false
	}
	return Proposal{Renewal: &Renewal{
		Member:               e.member,
		Process:              e.process,
		Nonce:                e.recordProposal(now),
		Previous:             e.term.Revision,
		MembersVersion:       e.state.MembersVersion,
		EarlierLeasesExpired: e.earlierLeasesExpired,
		NodeLease:            e.config.NodeLease,
	}}, true
}

// renewalDue reports whether a leader has to renew its lease: it has no lease, 1/renewalsPerLease of the lease has
// passed, or an earlier proposal is in flight without effect and has to be repeated.
func (e *Elector) renewalDue(now ClockReading) bool {
	renewAt := e.leaseExpiry - e.term.LeaderLease + e.term.LeaderLease/renewalsPerLease
	return e.leaseExpiry <= 0 || now.Latest >= renewAt || len(e.inFlight) > 0
}

// proposeCandidacy proposes that this member leads the region, if no other process may lead it now.
func (e *Elector) proposeCandidacy(now ClockReading) (Proposal, bool) {
	if !e.mayProposeCandidacy(now) {
		return Proposal{}, false
	}
	e.candidacyInFlight, e.candidacyRevision = true, e.term.Revision
	return Proposal{Candidacy: &Candidacy{
		Member:         e.member,
		Process:        e.process,
		Nonce:          e.recordProposal(now),
		Previous:       e.term.Revision,
		LeaderLease:    e.config.LeaderLease,
		NodeLease:      e.config.NodeLease,
		MembersVersion: e.state.MembersVersion,
	}}, true
}

// mayProposeCandidacy reports whether no other process may lead the region now: the region has no leader, its leader is
// an earlier process of this member, or the leader's lease has expired by any clock and no vote of this member delays its
// candidacy.
func (e *Elector) mayProposeCandidacy(now ClockReading) bool {
	if e.term.Leader == 0 || e.term.Leader == e.member || e.faults.skipCandidacyWait {
		return true
	}
	if now.Earliest < e.noCandidacyBefore && !e.faults.ignoreVotePromise {
		return false
	}
	return now.Earliest >= e.termApplied+e.expiryWait(e.term.LeaderLease)
}

// recordProposal records a proposal that is about to be sent, and returns its nonce.
func (e *Elector) recordProposal(now ClockReading) Nonce {
	e.lastNonce++
	e.lastProposal = now.Latest
	e.inFlight = append(e.inFlight, sentProposal{nonce: e.lastNonce, sent: now.Latest})
	if len(e.inFlight) > maxInFlight {
		e.inFlight = e.inFlight[1:]
	}
	return e.lastNonce
}
