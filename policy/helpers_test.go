package policy

// activeDestination returns a destination and activates it, as its first message would.
func (s *Sender) activeDestination(number int) *destination {
	d := s.registry.destinations[number]
	s.activate(d)
	return d
}

// activeEndpoint returns an endpoint and activates its destination.
func (s *Sender) activeEndpoint(id EndpointID) *endpoint {
	e := s.findEndpoint(id)
	s.activate(e.path.dest)
	return e
}

func countEndpoints(s *Sender) (n int) {
	for range s.registry.endpoints.All() {
		n++
	}
	return n
}
