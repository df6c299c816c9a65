package policy

// activeDestination is a destination as its first message finds it.
func (s *Sender) activeDestination(number int) *destination {
	d := s.dests[number]
	s.activate(d)
	return d
}

// activeEndpoint is an endpoint as the first message to its destination finds it.
func (s *Sender) activeEndpoint(id EndpointID) *endpoint {
	e := s.endpoint(id)
	s.activate(e.path.dest)
	return e
}

// allEndpoints are all endpoints that are kept.
func (s *Sender) allEndpoints() (all []*endpoint) {
	for _, e := range s.endpoints {
		for ; e != nil; e = e.older {
			all = append(all, e)
		}
	}
	return all
}
