package config

import (
	"cmp"
	"fmt"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/internal/consensus"
	"wingmount/internal/control"
)

// Limits of [quorum].
const (
	maxQuorumMembers = 15
	minQuorumLength  = time.Second
	minQuorumTick    = time.Millisecond
	maxQuorumTick    = 10 * time.Second
	minElectionTicks = 10
	maxElectionTicks = 1000
)

// Quorum is the section of a control machine that is a member of a quorum. Without it, there is one control process.
type Quorum struct {
	ID     uint64 `toml:"id"`     // id of this machine
	Region string `toml:"region"` // region of this machine
	// Length is the duration of the lease of a region's leader.
	Length Duration `toml:"length"`
	// Tick is the unit of the consensus timers. Members start an election after ElectionTicks without a leader.
	Tick          Duration `toml:"tick"`
	ElectionTicks int      `toml:"election_ticks"`
	// Above is the highest incarnation of the single control process that controlled these nodes before the quorum.
	Above uint32 `toml:"above"`
	// Members lists the initial members. The file of a machine that is added later lists the current members.
	Members []QuorumMember `toml:"member"`
}

// QuorumMember is one control machine of a quorum.
type QuorumMember struct {
	ID      uint64 `toml:"id"`
	Region  string `toml:"region"`
	Address string `toml:"address"` // HOST:PORT
	Via     string `toml:"via"`     // HOST:PORT at which this machine reaches the member, if not Address
}

// setDefaults sets the defaults of unset settings. A nil section stays off.
func (q *Quorum) setDefaults() {
	if q == nil {
		return
	}
	q.Length = cmp.Or(q.Length, Duration(leadership.DefaultLeaderLease))
	q.Tick = cmp.Or(q.Tick, Duration(consensus.DefaultTick))
	q.ElectionTicks = cmp.Or(q.ElectionTicks, consensus.DefaultElectionTicks)
}

// check reports the errors of the section.
func (q *Quorum) check(control *Control, c *checker) {
	if q == nil {
		return
	}
	if q.ID == 0 {
		c.report("quorum.id", "is missing")
	}
	if q.Region == "" {
		c.report("quorum.region", "is missing")
	}
	longest := maxLeaderLease(control)
	if q.Length < Duration(minQuorumLength) || q.Length > Duration(longest) {
		c.report("quorum.length", "%v is not between %v and %v: another machine must be able to take over before leases of %v end",
			time.Duration(q.Length), minQuorumLength, longest, time.Duration(control.Lease))
	}
	if q.Tick < Duration(minQuorumTick) || q.Tick > Duration(maxQuorumTick) {
		c.report("quorum.tick", "%v is not between %v and %v", time.Duration(q.Tick), minQuorumTick, maxQuorumTick)
	}
	if q.ElectionTicks < minElectionTicks || q.ElectionTicks > maxElectionTicks {
		c.report("quorum.election_ticks", "%d is not between %d and %d", q.ElectionTicks, minElectionTicks, maxElectionTicks)
	}
	if q.Above > uint32(lease.MaxIncarnation) {
		c.report("quorum.above", "%d is more than %d", q.Above, lease.MaxIncarnation)
	}
	q.checkMembers(c)
}

func (q *Quorum) checkMembers(c *checker) {
	if len(q.Members) == 0 || len(q.Members) > maxQuorumMembers {
		c.report("quorum.member", "got %d members, want 1 to %d", len(q.Members), maxQuorumMembers)
	}
	seen := map[uint64]bool{}
	for i, m := range q.Members {
		where := fmt.Sprintf("quorum.member %d (id %d)", i+1, m.ID)
		if m.ID == 0 || seen[m.ID] {
			c.report(where+".id", "is 0 or a duplicate")
		}
		seen[m.ID] = true
		if m.Region == "" {
			c.report(where+".region", "is missing")
		}
		c.address(where+".address", m.Address)
		if m.Via != "" {
			c.address(where+".via", m.Via)
		}
		if m.ID == q.ID && m.Region != q.Region {
			c.report(where+".region", "got %q, want %q as in quorum.region", m.Region, q.Region)
		}
	}
}

// maxLeaderLease returns the maximum lease duration of a region's leader with the file's settings.
func maxLeaderLease(c *Control) time.Duration {
	return control.MaxLeaderLease(time.Duration(c.Lease), c.MaxDrift, time.Duration(c.Slack))
}

// MemberConfig returns the configuration of a quorum member. It panics if the file has no section [quorum].
func (c *Control) MemberConfig(server control.ServerConfig) control.MemberConfig {
	q := c.Quorum
	config := control.MemberConfig{
		ServerConfig:     server,
		ID:               leadership.MemberID(q.ID),
		Region:           q.Region,
		Leadership:       leadership.Config{LeaderLease: time.Duration(q.Length), MaxDrift: c.MaxDrift, Slack: time.Duration(c.Slack)},
		Tick:             time.Duration(q.Tick),
		ElectionTicks:    q.ElectionTicks,
		AddressOverrides: map[leadership.MemberID]string{},
	}
	config.AboveIncarnation = lease.Incarnation(q.Above)
	for _, m := range q.Members {
		config.InitialMembers = append(config.InitialMembers, control.QuorumMember{ID: leadership.MemberID(m.ID), Region: m.Region, Address: m.Address})
		if m.Via != "" {
			config.AddressOverrides[leadership.MemberID(m.ID)] = m.Via
		}
	}
	return config
}
