package lease

import "time"

// Answer renews a session and returns the reply to a request that Receive accepted. It returns ErrSuperseded if a node
// has named a newer incarnation, ErrNoSession if the session has ended, and ErrStaleRequest if a later request of the
// process was received.
func (g *Grantor) Answer(now time.Duration, id SessionID, request Request) (Reply, error) {
	g.advance(now)
	if g.supersededBy > 0 {
		return Reply{}, ErrSuperseded
	}
	s := g.sessions[id]
	if s == nil {
		return Reply{}, ErrNoSession
	}
	if s.sequence != request.Sequence {
		return Reply{}, ErrStaleRequest
	}
	reply := Reply{
		Incarnation: g.incarnation,
		Session:     s.id,
		Sequence:    request.Sequence,
		Duration:    g.config.Duration,
		FromVersion: request.AppliedVersion,
		Version:     s.version,
	}
	if s.needsCompleteReply(request) {
		reply.FromVersion, reply.Complete = 0, true
	}
	for _, changed := range s.changedSince(reply.FromVersion) {
		if !reply.Complete || changed.role != roleReleased {
			reply.Assignments = append(reply.Assignments, changed.assignment())
		}
	}
	g.extendSession(s)
	return reply, nil
}

// HasUpdate reports whether the answer to a received request would contain more than the renewal itself, or the request
// can no longer be answered.
func (g *Grantor) HasUpdate(id SessionID, request Request) bool {
	s := g.sessions[id]
	return s == nil || s.sequence != request.Sequence || s.needsCompleteReply(request) || s.version > request.AppliedVersion
}

// TakeUpdated calls yield with each session that has changed since the previous call of TakeUpdated.
func (g *Grantor) TakeUpdated(yield func(SessionID)) {
	for _, id := range g.updated {
		if s := g.sessions[id]; s != nil {
			s.markedUpdated = false
		}
		yield(id)
	}
	g.updated = g.updated[:0]
}

// markUpdated adds a session to the list of TakeUpdated unless it contains the session.
func (g *Grantor) markUpdated(s *session) {
	if !s.markedUpdated {
		s.markedUpdated = true
		g.updated = append(g.updated, s.id)
	}
}
