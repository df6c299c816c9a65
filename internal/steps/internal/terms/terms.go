// Package terms has the form in which settings, events and actions of the decision module stand in a recording. Gob
// writes the names of fields and types, and for elements of lists also that of the package, so neither this package nor
// its types and fields can be renamed without a new version of the recording. Package steps maps them from and to
// those of package policy; the comments name what they stand for where that differs.
//
// The package has data types only. Start reading at Settings.
package terms

import "time"

// Settings stands for policy.Settings.
type Settings struct {
	Senders        int
	Classes        []Class
	Kinds          []Kind
	MustSubscribe  bool
	ZoneFee        []float64
	Listing        int
	HalvesLate     bool
	Slots          int
	MaxHeld        int
	MaxAttempts    int
	PeerMessages   bool
	MaxWait        time.Duration
	AdviseWait     bool
	ConnectTimeout time.Duration
	LeastTimeout   time.Duration
	Tick           time.Duration
	DrainGrace     time.Duration
	ColdShare      float64
	WarmUp         time.Duration
	FallMultiple   float64
	FallWindow     time.Duration
	KeyRest        time.Duration
}

// Class stands for policy.Class.
type Class struct {
	Repeat       int
	GroupAll     bool
	GroupZone    bool
	Window       time.Duration
	Ordered      bool
	SoftDeadline time.Duration
	Deadline     time.Duration
	Value        float64
	LateValue    float64
}

// Kind stands for policy.Kind.
type Kind struct {
	RoutesApart bool
	BundleMax   int
}

// Listed is an event that stands for an endpoint list or changes to it.
type Listed struct {
	Whole   bool
	Entries []Entry
}

// Entry stands for policy.Entry.
type Entry struct {
	Endpoint    uint64
	Destination int
	Kind        int
	Zone        int
	State       int8
	Rate        float64
	Limit       float64
}

// Arrived is an event that stands for policy.Arrived.
type Arrived struct {
	Message     uint64
	Destination int
	Class       int
	Key         uint64
	GiveUpAt    time.Duration
	Past        Past
}

// Past stands for the earlier attempts at a message.
type Past struct {
	Attempts int
	MayRun   bool
	RanAt    time.Duration
	RanZone  int
}

// AttemptCompleted is an event that stands for policy.AttemptCompleted.
type AttemptCompleted struct {
	Message  uint64
	Attempt  int
	Endpoint uint64
	Outcome  int
	Wait     time.Duration
	Final    bool
	Stale    bool
	Took     time.Duration
}

// Withdrawn is an event that stands for policy.Withdrawn.
type Withdrawn struct{ Message uint64 }

// PeerMessage is an event that stands for policy.PeerMessage.
type PeerMessage struct {
	Tag      uint32
	Endpoint uint64
	News     int
	Spare    time.Duration
}

// HealthRestored is an event that stands for policy.HealthRestored.
type HealthRestored struct {
	Endpoint uint64
	Sent     []time.Duration
	Failed   bool
	FailedAt time.Duration
	Back     bool
	BackAt   time.Duration
}

// Send is an action that stands for policy.Send.
type Send struct {
	Message  uint64
	Endpoint uint64
	Timeout  time.Duration
}

// Refuse is an action that stands for a rejection.
type Refuse struct {
	Message uint64
	Wait    time.Duration
}

// Fail is an action that stands for policy.Fail.
type Fail struct{ Message uint64 }

// CloseIdle is an action that stands for policy.CloseIdle.
type CloseIdle struct{ Endpoint uint64 }

// NotifyPeers is an action that stands for policy.NotifyPeers.
type NotifyPeers struct {
	Tag  uint32
	News int
}

// Wake is an action that stands for policy.Wake.
type Wake struct{ At time.Duration }
