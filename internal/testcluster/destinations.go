package testcluster

import (
	"fmt"
	"strings"
	"time"
	"wingmount/internal/fake/partner"
)

// dedupeWindow is how long the partner systems drop repeats of a key.
const dedupeWindow = 12 * time.Second

// partnerZones are the availability zones in which each partner system has an endpoint.
var partnerZones = []string{"ops-building", "annex"}

// Destination is one destination of the cluster, and the partner system behind it.
type Destination struct {
	Number int
	Name   string
	System *partner.System
	Rate   float64 // advertised, calls a second; 0 for none

	endpoints []endpoint // one in each zone
}

// endpoint is one address of a destination.
type endpoint struct{ name, address, zone string }

// text returns the endpoint as a table of a configuration file.
func (e endpoint) text() string {
	return fmt.Sprintf("  [[destination.endpoint]]\n  name = %q\n  address = %q\n  building = %q\n", e.name, e.address, e.zone)
}

// endpointsText returns all endpoints as tables of a configuration file.
func (d *Destination) endpointsText() string {
	var b strings.Builder
	for _, e := range d.endpoints {
		b.WriteString(e.text())
	}
	return b.String()
}

// Destination returns a destination by its number, which counts from 1. It panics if there is none.
func (c *Cluster) Destination(number int) *Destination { return c.Destinations[number-1] }

// startDestinations starts the partner systems, and makes one destination or more for each.
func (c *Cluster) startDestinations() error {
	var addresses [][]string // by system and zone
	for range min(c.config.PartnerSystems, c.config.Destinations) {
		system := partner.New(dedupeWindow, c.config.CallDuration)
		c.systems = append(c.systems, system)
		ofSystem, err := listenInZones(system)
		if err != nil {
			return err
		}
		addresses = append(addresses, ofSystem)
	}
	for i := range c.config.Destinations {
		system := i % len(c.systems)
		c.Destinations = append(c.Destinations, c.newDestination(i+1, c.systems[system], addresses[system]))
	}
	return nil
}

// listenInZones starts an endpoint of a partner system in each zone, and returns their addresses.
func listenInZones(system *partner.System) ([]string, error) {
	var addresses []string
	for _, zone := range partnerZones {
		address, err := system.Listen(zone)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// newDestination returns a destination by its number, with endpoints at addresses in the order of partnerZones.
func (c *Cluster) newDestination(number int, system *partner.System, addresses []string) *Destination {
	d := &Destination{Number: number, Name: fmt.Sprint("partner-", number), Rate: c.config.AdvertisedRate, System: system}
	if mode, ok := c.config.PartnerModes[number]; ok {
		system.SetMode(mode)
	}
	for i, zone := range partnerZones {
		d.endpoints = append(d.endpoints, endpoint{name: d.Name + "-" + zone, address: addresses[i], zone: zone})
	}
	return d
}

// ledgers are copies of what the partner systems have received.
type ledgers map[*partner.System]partner.Ledger

// readLedgers returns what each partner system has received so far.
func (c *Cluster) readLedgers() ledgers {
	all := ledgers{}
	for _, s := range c.systems {
		all[s] = s.Ledger()
	}
	return all
}

// of returns what the partner system of a destination has received; it is empty if there is no such destination.
func (l ledgers) of(c *Cluster, destination int) partner.Ledger {
	if destination < 1 || destination > len(c.Destinations) {
		return partner.Ledger{}
	}
	return l[c.Destination(destination).System]
}
