package control

import (
	"errors"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// NodeError reports a node that the cluster spec does not contain.
type NodeError struct{ Node placement.NodeID }

// Error implements error.
func (e *NodeError) Error() string { return "there is no node " + string(e.Node) }

// ErrNoConfigs reports that a node asks for the configs of its destinations but the cluster spec contains none.
var ErrNoConfigs = errors.New("the world has no endpoints of destinations, and the node has none of its own")

// receivePoll passes the request of a poll to the grantor. It returns the session, or 0 if the request has closed it,
// and a channel that is closed when there is an update. The channel is nil if the poll can be answered immediately.
func (s *Server) receivePoll(poll pollRequest) (lease.SessionID, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := poll.Request
	if _, known := s.spec.Node(request.Node); !known {
		return 0, nil, &NodeError{Node: request.Node}
	}
	if poll.Configs && !s.spec.DistributesConfigs() {
		return 0, nil, ErrNoConfigs
	}
	if !s.mayGrant() {
		return 0, nil, errNotLeader
	}
	now := s.now()
	s.expireSessions(now)
	hadSession := s.grantor.HasSession(request.Node)
	id, err := s.grantor.Receive(now, request)
	s.recordSessionChange(now, request, hadSession)
	s.notifyPolls()
	if err != nil || id == 0 {
		return id, nil, err
	}
	if previous, ok := s.polls[id]; ok {
		close(previous)
		delete(s.polls, id)
	}
	if s.grantor.HasUpdate(id, request) {
		return id, nil, nil
	}
	updated := make(chan struct{})
	s.polls[id] = updated
	return id, updated, nil
}

// recordSessionChange schedules a placement if a request has opened a session of a node that is not in departed. If the
// request has closed the node's session, the node remains an owner for RestartGrace. The caller holds mu.
func (s *Server) recordSessionChange(now time.Duration, request lease.Request, hadSession bool) {
	hasSession := s.grantor.HasSession(request.Node)
	switch {
	case hasSession && !hadSession:
		if _, returned := s.departed[request.Node]; !returned {
			s.schedulePlacement(now, 0)
		}
		delete(s.departed, request.Node)
	case hadSession && !hasSession && request.Closing:
		s.departed[request.Node] = now + s.config.RestartGrace
	}
	s.expireSessions(now)
}

// answerPoll renews the lease of a session and returns the reply to its poll. It returns errNotLeader if the server may
// no longer grant leases.
func (s *Server) answerPoll(id lease.SessionID, poll pollRequest, updated <-chan struct{}) (pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePoll(id, updated)
	now := s.now()
	s.expireSessions(now)
	// Checked after the poll's wait, just before the lease is granted. A lease granted earlier needs no check, since
	// its duration counts from the time at which its request was sent.
	if !s.mayGrant() {
		return pollReply{}, errNotLeader
	}
	reply, err := s.grantor.Answer(now, id, poll.Request)
	if err != nil || !poll.Configs {
		return pollReply{Reply: reply}, err
	}
	return pollReply{Reply: reply, Configs: s.configs(reply)}, nil
}

// configs returns the configs of the destinations that a reply assigns. The caller holds mu.
func (s *Server) configs(reply lease.Reply) []clusterspec.DestinationConfig {
	var configs []clusterspec.DestinationConfig
	for _, assignment := range reply.Assignments {
		if assignment.Removed {
			continue
		}
		if config, known := s.spec.Config(assignment.Destination); known {
			configs = append(configs, config)
		}
	}
	return configs
}

// abandonPoll removes a poll whose client has disconnected.
func (s *Server) abandonPoll(id lease.SessionID, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePoll(id, updated)
}

// removePoll removes a poll, unless a later poll of its session has replaced it. The caller holds mu.
func (s *Server) removePoll(id lease.SessionID, updated <-chan struct{}) {
	if current, ok := s.polls[id]; ok && current == updated {
		delete(s.polls, id)
	}
}

// expireSessions ends sessions whose leases must have expired, and schedules placements without their nodes. The caller
// holds mu.
func (s *Server) expireSessions(now time.Duration) {
	for _, id := range s.grantor.Advance(now) {
		s.config.Log.Info("control: session expired", "node", id)
		s.schedulePlacement(now, s.departed[id])
	}
	s.notifyPolls()
}

// notifyPolls closes the channels of waiting polls whose sessions have an update. The caller holds mu.
func (s *Server) notifyPolls() {
	s.grantor.TakeUpdated(func(id lease.SessionID) {
		if updated, ok := s.polls[id]; ok {
			close(updated)
			delete(s.polls, id)
		}
	})
}

// owners returns the owners of a destination. It omits owners without a session if at least one owner has a session.
func (s *Server) owners(destination placement.DestinationID) Owners {
	all := s.table.Load().Owners(destination)
	s.mu.Lock()
	defer s.mu.Unlock()
	var connected, disconnected []Owner
	for _, id := range all {
		node, _ := s.spec.Node(id) // the address is empty if the node was removed from the spec
		owner := Owner{Node: id, Address: node.Address}
		if s.grantor.HasSession(id) {
			connected = append(connected, owner)
		} else {
			disconnected = append(disconnected, owner)
		}
	}
	if len(connected) == 0 {
		connected = disconnected
	}
	return Owners{Destination: destination, Owners: connected, Unknown: !s.spec.HasDestination(destination)}
}
