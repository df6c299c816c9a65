package scaletest

import "slices"

// maxChangeSeconds is the time in which a change must have been applied by all owners.
const maxChangeSeconds = 7

// FleetResult is the result of a fleet. What the scenario did not ask for is missing.
type FleetResult struct {
	Name         string  `json:"name"`
	Nodes        int     `json:"nodes"`
	Zones        int     `json:"zones"`
	Destinations int     `json:"destinations"`
	Owners       int     `json:"owners"`
	Endpoints    int     `json:"endpoints"` // of a destination, that nodes get from the control process
	Machines     int     `json:"machines"`  // of the quorum; 0 for a single control process
	LeaseSeconds float64 `json:"lease_seconds"`
	StartSeconds float64 `json:"start_seconds"` // until all destinations had their owners
	PeakMemory   int64   `json:"peak_memory"`   // bytes, of all processes together

	Real            *Real           `json:"real,omitempty"`
	Idle            *Cost           `json:"idle,omitempty"`
	ChangeLatencies *Latencies      `json:"changes,omitempty"`
	ChangesCost     *Cost           `json:"changes_cost,omitempty"`
	Burst           *Latencies      `json:"burst,omitempty"`
	BurstCost       *Cost           `json:"burst_cost,omitempty"`
	BurstAppliedMS  float64         `json:"burst_applied_ms,omitempty"` // by the control process
	Restarts        *Latencies      `json:"restarts,omitempty"`
	RestartsCost    *Cost           `json:"restarts_cost,omitempty"`
	RestartsGained  int             `json:"restarts_gained"` // assignments that other nodes got meanwhile
	ControlRestart  *ControlRestart `json:"control_restart,omitempty"`
	LostZone        *LostZone       `json:"lost_zone,omitempty"`
	LostZoneCost    *Cost           `json:"lost_zone_cost,omitempty"`
}

// Cost is what was used in a span. Bytes are those that the control process read and wrote, without the headers of
// TCP and IP.
type Cost struct {
	Seconds       float64 `json:"seconds"`
	ControlCores  float64 `json:"control_cores"`
	ControlBytes  float64 `json:"control_bytes_per_second"`
	ControlMemory int64   `json:"control_memory"`
	ControlPeak   int64   `json:"control_peak_memory"`
	NodeCores     float64 `json:"node_cores"`
	NodeBytes     float64 `json:"node_bytes_per_second"`
	NodeMemory    float64 `json:"node_memory"`
	// A follower is a control machine that does not lead the region, on average; 0 without a quorum.
	FollowerCores  float64 `json:"follower_cores,omitempty"`
	FollowerBytes  float64 `json:"follower_bytes_per_second,omitempty"`
	FollowerMemory int64   `json:"follower_memory,omitempty"`
}

// Latencies are times in seconds.
type Latencies struct {
	Count  int     `json:"count"`
	P50    float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
	Within int     `json:"within_7s"`
}

// ControlRestart is the result of a control process that was killed and started again.
type ControlRestart struct {
	ListensSeconds float64 `json:"listens_seconds"` // from the kill until it listens again
	ChangeSeconds  float64 `json:"change_seconds"`  // from the kill until a change is applied that was made when it listened
	LeasesLost     int     `json:"leases_lost"`     // by nodes meanwhile
	Gained         int     `json:"gained"`          // assignments that nodes got which they did not have
}

// LostZone is the result of a zone whose nodes were killed.
type LostZone struct {
	Assignments int        `json:"assignments"` // of its nodes
	Gained      int        `json:"gained"`      // assignments that other nodes got
	Reassigned  *Latencies `json:"reassigned"`
}

func newLatencies(seconds []float64) *Latencies {
	if len(seconds) == 0 {
		return &Latencies{}
	}
	l := &Latencies{
		Count: len(seconds), P50: percentile(seconds, 0.5), P99: percentile(seconds, 0.99), Worst: slices.Max(seconds),
	}
	for _, s := range seconds {
		if s <= maxChangeSeconds {
			l.Within++
		}
	}
	return l
}

// reassigned returns the times until the destinations of a lost zone had other owners, nil where no zone was lost.
func (r *FleetResult) reassigned() *Latencies {
	if r.LostZone == nil {
		return nil
	}
	return r.LostZone.Reassigned
}
