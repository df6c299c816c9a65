package config

import (
	"cmp"
	"time"
	"wingmount/internal/gossip"
)

// Defaults of a node's file.
const (
	defaultMaxInFlight     = 2000
	defaultSlots           = 64
	defaultAttempts        = maxAttempts
	defaultNodes           = 1
	defaultSockets         = 1024
	defaultDrain           = Duration(time.Second)
	defaultInitialCapacity = 0.2
	defaultWarmUp          = Duration(15 * time.Second)
	defaultFallsAt         = 2
	defaultFallsIn         = Duration(1500 * time.Millisecond)
	defaultStoreKeep       = Duration(24 * time.Hour)
	defaultStoreLease      = Duration(10 * time.Second)
	defaultStoreMB         = 1024
	defaultGossipState     = "gossip.state"
	defaultRecordSuffix    = ".active" // appended to the name of the rule file
	defaultBundle          = 1
	defaultClassValue      = 1.0
)

// setDefaults sets the defaults of unset settings.
func (f *File) setDefaults() {
	f.Limits.setDefaults()
	f.Partners.setDefaults()
	f.Store.setDefaults()
	if f.Rules.File != "" {
		f.Rules.Record = cmp.Or(f.Rules.Record, f.Rules.File+defaultRecordSuffix)
	}
	if f.Gossip.Listen != "" {
		f.Gossip.State = cmp.Or(f.Gossip.State, defaultGossipState)
		f.Gossip.Datagrams = cmp.Or(f.Gossip.Datagrams, gossip.DefaultDatagrams)
	}
	f.Assignment.setDefaults()
	for i := range f.Classes {
		f.Classes[i].setDefaults()
	}
	for i := range f.Destinations {
		d := &f.Destinations[i]
		d.Bundle = cmp.Or(d.Bundle, defaultBundle)
	}
}

func (l *Limits) setDefaults() {
	l.MaxInFlight = cmp.Or(l.MaxInFlight, defaultMaxInFlight)
	l.Slots = cmp.Or(l.Slots, defaultSlots)
	l.Attempts = cmp.Or(l.Attempts, defaultAttempts)
	l.Nodes = cmp.Or(l.Nodes, defaultNodes)
	l.Sockets = cmp.Or(l.Sockets, defaultSockets)
}

func (p *Partners) setDefaults() {
	p.Drain = cmp.Or(p.Drain, defaultDrain)
	p.InitialCapacity = cmp.Or(p.InitialCapacity, defaultInitialCapacity)
	p.WarmUp = cmp.Or(p.WarmUp, defaultWarmUp)
	p.FallsAt = cmp.Or(p.FallsAt, defaultFallsAt)
	p.FallsIn = cmp.Or(p.FallsIn, defaultFallsIn)
}

func (s *Store) setDefaults() {
	s.Durability = cmp.Or(s.Durability, durabilityPower)
	s.Keep = cmp.Or(s.Keep, defaultStoreKeep)
	s.Lease = cmp.Or(s.Lease, defaultStoreLease)
	s.MaxMB = cmp.Or(s.MaxMB, defaultStoreMB)
}

func (class *Class) setDefaults() {
	if class.Value == nil {
		value := defaultClassValue
		class.Value = &value
	}
	class.Group = cmp.Or(class.Group, groupBuilding)
}
