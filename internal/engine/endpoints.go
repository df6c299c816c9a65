package engine

import (
	"math"
	"time"
	"wingmount/internal/directory"
	"wingmount/internal/egress"
	"wingmount/policy"
)

// trackedEndpoint is an endpoint of a destination and the engine's state for it. It is kept small, like
// [egress.Endpoint], because a node tracks many idle endpoints.
type trackedEndpoint struct {
	egress.Endpoint
	addr        string
	lastOutcome policy.Time // time of the last outcome; 0 for never
	inFlight    int32       // number of messages sent that have no outcome yet
	removed     bool        // removed from the directory's list
}

// state returns the endpoint's state according to the directory's list.
func (t *trackedEndpoint) state() policy.EndpointState {
	if t.removed {
		return policy.Removed
	}
	if t.DrainGate.CloseScheduled() {
		return policy.Draining
	}
	return policy.Ready
}

// trackedDestination is the state of a destination.
type trackedDestination struct {
	endpoints      int32       // number of tracked endpoints
	inDirectory    int32       // number of tracked endpoints that are in the directory's list
	retryAfterGate egress.Gate // closed during a Retry-After; shared by endpoints without a gate of their own
}

// vacantDestination is a destination without an endpoint in the directory's list.
type vacantDestination struct {
	*trackedDestination
	since time.Time
}

// endpointTable contains the endpoints and destinations that the engine tracks.
type endpointTable struct {
	kinds, zones map[string]int // the module's numbers, by the directory's names

	endpoints    map[policy.EndpointID]*trackedEndpoint
	departing    map[policy.EndpointID]*trackedEndpoint // removed endpoints, until no call to them is in flight
	destinations map[int]*trackedDestination
	vacant       map[int]vacantDestination

	listComplete bool // a live list, or an assignment of endpoints, has been applied since this process started
	// destinationsChanged is set if destinations or listComplete have changed since they were passed to Admission.
	destinationsChanged bool
}

func newEndpointTable(kinds, zones map[string]int) endpointTable {
	return endpointTable{
		kinds:        kinds,
		zones:        zones,
		endpoints:    map[policy.EndpointID]*trackedEndpoint{},
		departing:    map[policy.EndpointID]*trackedEndpoint{},
		destinations: map[int]*trackedDestination{},
		vacant:       map[int]vacantDestination{},
	}
}

// endpointID returns the ID for an endpoint's name. It is the same on all nodes, which exchange it.
func endpointID(name string) policy.EndpointID { return policy.EndpointID(hash(name)) }

// kindAndZone returns the numbers of an endpoint's kind and zone. It returns false if the entry is invalid.
func (t *endpointTable) kindAndZone(m directory.Member) (kind, zone int, valid bool) {
	kind, knownKind := t.kinds[m.Kind]
	zone, knownZone := t.zones[m.Zone]
	if !knownKind || !knownZone || kind > math.MaxUint16 || zone > math.MaxUint16 {
		return 0, 0, false
	}
	return kind, zone, m.ID != "" && m.Destination >= 0 && m.Destination <= math.MaxUint32
}

// track adds an endpoint of the directory's list. With ownLimit it gets its own Retry-After gate; otherwise it shares its
// destination's gate.
func (t *endpointTable) track(m directory.Member, kind, zone int, ownLimit bool) *trackedEndpoint {
	id := endpointID(m.ID)
	d := t.destination(m.Destination)
	endpoint := &trackedEndpoint{Endpoint: egress.Endpoint{ID: id, Name: m.ID, Destination: m.Destination, Kind: uint16(kind), Zone: uint16(zone), RetryAfterGate: &d.retryAfterGate}}
	if ownLimit {
		endpoint.RetryAfterGate = &egress.Gate{}
	}
	t.endpoints[id] = endpoint
	d.endpoints++
	d.inDirectory++
	delete(t.vacant, m.Destination)
	return endpoint
}

// destination returns the state of a destination, and creates it if necessary.
func (t *endpointTable) destination(number int) *trackedDestination {
	d := t.destinations[number]
	if d == nil {
		d = &trackedDestination{}
		t.destinations[number], t.destinationsChanged = d, true
	}
	return d
}

// setRemoved sets whether an endpoint is removed from the directory's list.
func (t *endpointTable) setRemoved(endpoint *trackedEndpoint, removed bool) {
	if endpoint.removed == removed {
		return
	}
	endpoint.removed = removed
	d := t.destinations[endpoint.Destination]
	if !removed {
		delete(t.departing, endpoint.ID)
		delete(t.vacant, endpoint.Destination)
		d.inDirectory++
		return
	}
	endpoint.Supersede()
	t.departing[endpoint.ID] = endpoint
	if d.inDirectory--; d.inDirectory == 0 {
		t.vacant[endpoint.Destination] = vacantDestination{d, time.Now()}
	}
}
