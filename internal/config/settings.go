package config

import (
	"slices"
	"time"
	"wingmount/internal/clusterspec"
	"wingmount/internal/directory"
	"wingmount/policy"
)

const (
	// minAttemptTimeout is the minimum timeout of an attempt. A timeout derived from the latency of a partner on the local
	// network would be shorter than the time for which the process of either machine may be paused.
	minAttemptTimeout = 500 * time.Millisecond
	// connectTimeout is the timeout of connecting to an endpoint.
	connectTimeout = time.Second
	// maxRetryAfter is the maximum delay after which a client is advised to submit a rejected message again.
	maxRetryAfter = 30 * time.Second
	// tick is the resolution of the policy's timers.
	tick = time.Millisecond
)

// Numbers maps the names of classes, kinds of destinations and zones to the numbers that the policy uses for them.
type Numbers struct{ Classes, Kinds, Zones map[string]int }

// ClassNames returns the names of the classes, in the order of the file.
func (f *File) ClassNames() []string {
	var names []string
	for _, c := range f.Classes {
		names = append(names, c.Name)
	}
	return names
}

// ZoneNames returns the names of the availability zones, in the order of the file.
func (f *File) ZoneNames() []string {
	var names []string
	if f.Assignment.Distributed() {
		names = append(names, f.Assignment.Buildings...)
	}
	for _, d := range f.Destinations {
		for _, e := range d.Endpoints {
			if !slices.Contains(names, e.Building) {
				names = append(names, e.Building)
			}
		}
	}
	return names
}

// Settings returns the policy's settings. classes and zones are the persisted names: the index of a name is its number.
// They must contain all names of the file. A persisted class that the file lacks keeps its number and is not used.
// KeyCooldown applies to all classes and is the longest Class.Rest.
func (f *File) Settings(classes, zones []string) (policy.Settings, Numbers) {
	settings := f.baseSettings()
	numbers := Numbers{Classes: map[string]int{}, Kinds: map[string]int{}, Zones: map[string]int{}}
	for range classes {
		unused := policy.Class{Repeat: policy.AtMostOnce, SoftDeadline: time.Second, Deadline: time.Second, Value: 1}
		settings.Classes = append(settings.Classes, unused)
	}
	for _, c := range f.Classes {
		number := slices.Index(classes, c.Name)
		numbers.Classes[c.Name] = number
		settings.Classes[number] = c.settings()
		settings.KeyCooldown = max(settings.KeyCooldown, time.Duration(c.Rest))
	}
	for _, k := range f.destinationKinds() {
		name := clusterspec.KindName(k.SeparateRoutes, k.MaxBatch)
		if _, exists := numbers.Kinds[name]; !exists {
			numbers.Kinds[name] = len(settings.Kinds)
			settings.Kinds = append(settings.Kinds, k)
		}
	}
	if f.hasRates() {
		settings.RateAccuracy = policy.RateRough
	}
	for _, name := range f.ZoneNames() {
		numbers.Zones[name] = slices.Index(zones, name)
	}
	settings.ZoneFee = make([]float64, len(zones))
	return settings, numbers
}

// baseSettings returns the settings except classes, kinds and zones.
func (f *File) baseSettings() policy.Settings {
	return policy.Settings{
		Senders:          f.Limits.Nodes,
		Slots:            f.Limits.Slots,
		MaxInFlight:      f.Limits.MaxInFlight,
		MaxAttempts:      f.Limits.Attempts,
		AdviseRetryAfter: true,
		MaxRetryAfter:    maxRetryAfter,
		ConnectTimeout:   connectTimeout,
		MinTimeout:       minAttemptTimeout,
		Tick:             tick,
		DrainGrace:       time.Duration(f.Partners.Drain),
		InitialCapacity:  f.Partners.InitialCapacity,
		WarmUp:           time.Duration(f.Partners.WarmUp),
		OverloadFactor:   f.Partners.FallsAt,
		OverloadWindow:   time.Duration(f.Partners.FallsIn),
	}
}

// repeatModes maps the values of Class.Repeat to the policy's terms.
var repeatModes = map[string]policy.Repeat{
	repeatIdempotent: policy.Idempotent,
	repeatKeyed:      policy.Deduplicated,
	repeatUnsafe:     policy.AtMostOnce,
}

// settings returns the policy's settings of a class.
func (class *Class) settings() policy.Class {
	keyed := class.Repeat == repeatKeyed
	return policy.Class{
		Repeat:       repeatModes[class.Repeat],
		GroupAll:     keyed && class.Group == groupDestination,
		GroupZone:    keyed && class.Group == groupBuilding,
		DedupWindow:  time.Duration(class.Window),
		Ordered:      class.Ordered,
		SoftDeadline: time.Duration(class.Wanted),
		Deadline:     time.Duration(class.Deadline),
		Value:        *class.Value,
		LateValue:    class.LateValue,
	}
}

// destinationKinds returns the kinds of the file's destinations, or all kinds if destinations come from the control
// process. The result may contain duplicates.
func (f *File) destinationKinds() []policy.Kind {
	var kinds []policy.Kind
	for _, d := range f.Destinations {
		kinds = append(kinds, policy.Kind{SeparateRoutes: d.RoutesApart, MaxBatch: d.Bundle})
	}
	if f.Assignment.Distributed() {
		for batch := 1; batch <= clusterspec.MaxBundle; batch++ {
			kinds = append(kinds, policy.Kind{MaxBatch: batch}, policy.Kind{SeparateRoutes: true, MaxBatch: batch})
		}
	}
	return kinds
}

// hasRates reports whether any destination has a rate, or may get one from the control process.
func (f *File) hasRates() bool {
	hasRate := func(d Destination) bool { return d.Rate > 0 }
	return f.Assignment.Distributed() || slices.ContainsFunc(f.Destinations, hasRate)
}

// kindName returns the name of the destination's kind.
func (d *Destination) kindName() string { return clusterspec.KindName(d.RoutesApart, d.Bundle) }

// List returns the endpoints of all destinations of the file as a complete list.
func (f *File) List() directory.List {
	list := directory.List{Complete: true, Live: true}
	for i := range f.Destinations {
		d := &f.Destinations[i]
		for _, e := range d.Endpoints {
			phase := directory.Active
			if e.Drains {
				phase = directory.Draining
			}
			list.Members = append(list.Members, directory.Member{
				ID: e.Name, HostPort: e.Address, Zone: e.Building, Kind: d.kindName(),
				Destination: d.Number, Phase: phase, Size: d.Rate,
			})
		}
	}
	return list
}
