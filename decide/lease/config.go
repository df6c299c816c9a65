package lease

import (
	"math"
	"time"
)

// Config configures a grantor. Out-of-range values of Duration, MaxDrift, MaxSessions and MaxUnfinished are replaced by
// defaults. The other fields have no default: 0 means 0, also for Slack, so the caller has to set DefaultSlack itself.
type Config struct {
	// Duration is the length of a lease by the holder's clock, from the sending of the holder's request.
	Duration time.Duration
	// MaxDrift bounds the drift between clocks: while the grantor's clock advances by t, a holder's advances by at least
	// (1-MaxDrift)*t.
	MaxDrift float64
	// Slack is added to each wait for the end of a lease: the time from when a holder reads its clock until it has
	// finished the operation that it checked the lease for.
	Slack time.Duration
	// Window is the time over which a destination counts calls. Released quota is granted again only after Window, so
	// that the calls within any one window stay under the limit.
	Window time.Duration
	// EarlierDuration is the longest lease of an earlier incarnation. It counts if it is longer than Duration.
	EarlierDuration time.Duration
	// NoEarlierLeases means that no earlier incarnation has granted a lease, so there is no grace period.
	NoEarlierLeases bool
	// MaxSessions bounds the number of sessions.
	MaxSessions int
	// MaxUnfinished bounds the number of destinations that one node is assigned because it reported unfinished messages.
	MaxUnfinished int
}

// Defaults of the fields of Config.
const (
	DefaultDuration      = 3 * time.Minute
	DefaultMaxDrift      = 0.01
	DefaultSlack         = 250 * time.Millisecond
	DefaultMaxSessions   = 4096
	DefaultMaxUnfinished = 1 << 17
)

// maxSessionsPerNode bounds the number of sessions of one node.
const maxSessionsPerNode = 4

// withDefaults returns a copy of c in which defaults replace out-of-range values.
func (c Config) withDefaults() Config {
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.MaxDrift <= 0 || c.MaxDrift >= 1 {
		c.MaxDrift = DefaultMaxDrift
	}
	if c.MaxSessions <= 0 {
		c.MaxSessions = DefaultMaxSessions
	}
	if c.MaxUnfinished <= 0 {
		c.MaxUnfinished = DefaultMaxUnfinished
	}
	return c
}

// expiryWait returns how long the grantor waits, by its own clock, until a lease of the given duration has expired by
// any holder's clock: the duration measured by the slowest clock within MaxDrift, rounded up, plus Slack.
func (c Config) expiryWait(duration time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(duration)/(1-c.MaxDrift))) + c.Slack
}

// gracePeriod returns how long a new grantor grants only quotas that nodes reclaim: until leases of earlier incarnations
// have expired, and no window contains calls that were made under them.
func (c Config) gracePeriod() time.Duration {
	if c.NoEarlierLeases {
		return 0
	}
	return c.expiryWait(max(c.Duration, c.EarlierDuration)) + c.Window
}
