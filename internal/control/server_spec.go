package control

import (
	"errors"
	"maps"
	"slices"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// ErrConfigsWithdrawn reports that a spec without endpoints would replace one with endpoints, on which nodes may depend.
// A server that is started with a spec without endpoints accepts it.
var ErrConfigsWithdrawn = errors.New("the world in force has endpoints of destinations, and this one has none")

// SetSpec validates and applies a cluster spec. If it returns an error, the current spec is unchanged.
func (s *Server) SetSpec(spec *clusterspec.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	distributes := s.spec.DistributesConfigs()
	s.mu.Unlock()
	if distributes && !spec.DistributesConfigs() {
		return ErrConfigsWithdrawn
	}
	s.applySpec(spec)
	return nil
}

// applySpec applies a valid cluster spec, and schedules a placement.
func (s *Server) applySpec(spec *clusterspec.Spec) {
	s.specChanges.Lock()
	defer s.specChanges.Unlock()
	next := clusterspec.NewIndex(spec)
	changed := next.ChangedConfigs(s.spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = next
	for _, destination := range changed {
		s.grantor.Refresh(destination)
	}
	s.notifyPolls()
	s.schedulePlacement(s.now(), 0)
}

// Reload reads and applies the spec file. If it returns an error, the current spec is unchanged.
func (s *Server) Reload() error {
	spec, err := clusterspec.Load(s.config.SpecFile)
	if err != nil {
		return err
	}
	return s.SetSpec(spec)
}

// setDraining sets which nodes are draining.
func (s *Server) setDraining(nodes []placement.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = make(map[placement.NodeID]bool, len(nodes))
	for _, id := range nodes {
		s.draining[id] = true
	}
	s.schedulePlacement(s.now(), 0)
}

// Drain sets whether a node is draining: a draining node owns no destination. The change is on disk when Drain returns.
// It must not be called on the server of a Member, which has no state folder: it would panic. Use Member.Drain instead.
func (s *Server) Drain(id placement.NodeID, draining bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.spec.Node(id); !known {
		return &NodeError{Node: id}
	}
	if s.draining[id] == draining {
		return nil
	}
	next := s.state
	set := maps.Clone(s.draining)
	if draining {
		set[id] = true
	} else {
		delete(set, id)
	}
	next.Draining = slices.Sorted(maps.Keys(set))
	if err := s.folder.persist(next); err != nil {
		return err
	}
	s.state, s.draining = next, set
	s.schedulePlacement(s.now(), 0)
	return nil
}
