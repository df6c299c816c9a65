package fleet

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"wingmount/policy"
)

const (
	leaseNodes, leaseZones, leaseOwners = 18, 3, 3
	leaseDestinations                   = 24
	leaseLoad                           = 0.7
)

// leased is a fleet whose nodes send under leases, over a bad network to the control process.
func leased(seed uint64) Config {
	c := Config{Settings: usual(leaseNodes), Nodes: leaseNodes, Seed: seed, ListDelay: 2 * time.Second,
		Leases: &Leases{Zones: leaseZones, Owners: leaseOwners, Duration: 3 * time.Second, MaxDrift: 0.05, Slack: 100 * time.Millisecond,
			Poll: 700 * time.Millisecond, Lost: 0.05, Duplicated: 0.1, Late: 0.05, MostLate: 2 * time.Second}}
	c.Settings.Listing = policy.RateNominal
	for i := range leaseDestinations {
		limit := []float64{2, 4, 8, 16}[i%4]
		c.Destinations = append(c.Destinations, Destination{Limit: limit, Listed: limit, Depth: 2 * time.Second,
			Endpoints: 2, Took: 60 * time.Millisecond})
	}
	return c
}

// leasePlay is a play with leases.
type leasePlay struct {
	name  string
	play  func(*World)
	least float64 // of the worth that was taken, what is delivered
}

var leasePlays = []leasePlay{
	{"calm", func(w *World) { w.seconds(20, leaseLoad) }, 0.95},
	{"kills", func(w *World) {
		for round := range 8 {
			w.Kill(round * 5 % leaseNodes)
			w.Kill((round*5 + 3) % leaseNodes)
			w.seconds(1+round%4, leaseLoad)
			w.Start(round * 5 % leaseNodes)
			w.seconds(1+round%3, leaseLoad)
			w.Start((round*5 + 3) % leaseNodes)
		}
	}, 0.7},
	{"pauses", func(w *World) {
		for round := range 8 {
			for i := range 3 {
				w.Pause((round*7+i*4)%leaseNodes, time.Duration(1+2*i)*time.Second)
			}
			w.seconds(3, leaseLoad)
		}
	}, 0.6},
	{"cuts from control", func(w *World) {
		for round := range 6 {
			for i := range leaseNodes / 3 {
				w.CutControl((round*5+i)%leaseNodes, true)
			}
			w.seconds(1+2*(round%4), leaseLoad)
			for i := range leaseNodes {
				w.CutControl(i, false)
			}
			w.seconds(2, leaseLoad)
		}
	}, 0.6},
	{"rolling restart", func(w *World) {
		w.seconds(5, leaseLoad)
		roll(w, func(int) {})
		w.seconds(5, leaseLoad)
	}, 0.8},
	{"zone lost in a rolling restart", func(w *World) {
		w.seconds(5, leaseLoad)
		roll(w, func(step int) {
			if step == leaseNodes/2 {
				for i := 0; i < leaseNodes; i += leaseZones {
					w.Kill(i)
				}
			}
		})
		w.seconds(5, leaseLoad)
		for i := 0; i < leaseNodes; i += leaseZones {
			w.Start(i)
		}
		w.seconds(6, leaseLoad)
	}, 0.7},
	{"drains", func(w *World) {
		w.seconds(4, leaseLoad)
		for round := range 6 {
			for i := range 3 {
				w.Drain((round*3+i)%leaseNodes, true)
			}
			w.seconds(3, leaseLoad)
			for i := range 3 {
				w.Drain((round*3+i)%leaseNodes, false)
			}
			w.second(leaseLoad)
		}
	}, 0.85},
	{"changes of rate", func(w *World) {
		w.seconds(5, leaseLoad)
		for round := range 10 {
			for dest := round % 3; dest < leaseDestinations; dest += 3 {
				w.SetRate(dest, []float64{16, 1, 4, 8, 2}[(round+dest)%5])
			}
			w.seconds(2, leaseLoad)
		}
	}, 0.3},
	{"control restarts", func(w *World) {
		w.seconds(5, leaseLoad)
		for round := range 4 {
			w.StopControl(true)
			w.Kill(round)
			w.seconds(1+2*(round%3), leaseLoad)
			w.StopControl(false)
			w.seconds(2, leaseLoad)
			w.Start(round)
			w.seconds(3, leaseLoad)
		}
	}, 0.6},
	{"outages and endpoints replaced", func(w *World) {
		w.seconds(4, leaseLoad)
		for round := range 4 {
			for dest := round; dest < leaseDestinations; dest += 4 {
				w.SetHealth(dest, []Health{Down, Silent, Failing}[(round+dest)%3])
			}
			w.Replace(round+4, 0, 3*time.Second)
			w.Kill(3 * round)
			w.seconds(5, leaseLoad)
			w.Start(3 * round)
			for dest := round; dest < leaseDestinations; dest += 4 {
				w.SetHealth(dest, Sound)
			}
			w.Pause(2+3*round, 4*time.Second)
			w.seconds(3, leaseLoad)
		}
		w.seconds(12, leaseLoad)
	}, 0.3},
	{"all at once", anything, 0.3},
}

// roll restarts all nodes, one after the other.
func roll(w *World, at func(step int)) {
	for i := range leaseNodes {
		at(i)
		if i%2 == 0 {
			w.Leave(i)
		} else {
			w.Kill(i)
		}
		w.Run(400 * time.Millisecond)
		w.Start(i)
		w.second(leaseLoad)
	}
}

// anything draws what happens by the play's own numbers.
func anything(w *World) {
	w.seconds(4, leaseLoad)
	for range 30 {
		node, dest := w.load.IntN(leaseNodes), w.load.IntN(leaseDestinations)
		switch w.load.IntN(11) {
		case 0, 1:
			w.Kill(node)
		case 2, 3:
			for i := range leaseNodes {
				w.Start(i)
			}
		case 4:
			w.Pause(node, time.Duration(1+w.load.IntN(6))*time.Second)
		case 5:
			w.CutControl(node, true)
		case 6:
			w.CutControl(node, false)
		case 7:
			w.Drain(node, w.load.IntN(2) == 0)
		case 8:
			w.SetRate(dest, float64(1+w.load.IntN(16)))
		case 9:
			w.StopControl(w.load.IntN(2) == 0)
		case 10:
			w.Leave(node)
		}
		w.seconds(1+w.load.IntN(2), leaseLoad)
	}
}

// recover ends all troubles.
func (w *World) recover() {
	w.StopControl(false)
	for i := range w.nodes {
		w.CutControl(i, false)
		w.Start(i)
	}
}

// seeds are those of a longer run, WINGMOUNT_LEASE_SEEDS of them, or one.
func seeds(t *testing.T) uint64 {
	text := os.Getenv("WINGMOUNT_LEASE_SEEDS")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Whatever happens to nodes, to the control process and between them, all that nodes may use of a limit at any
// time is at most the whole, their calls keep the limit's windows, and no rule of the fleet is broken.
func TestLeasesKeepLimits(t *testing.T) {
	for _, p := range leasePlays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(t) {
				w := New(leased(seed + 11))
				p.play(w)
				w.recover()
				w.Finish()
				for _, b := range w.Check.Broken {
					t.Errorf("seed %d: %s: %s", seed, b.Rule, b.What)
				}
				n := w.Look()
				share := n.Worth / float64(n.Taken)
				var worst [2]float64
				for _, l := range w.Check.limits {
					worst[0], worst[1] = max(worst[0], l.worst[0]), max(worst[1], l.worst[1])
				}
				if seed == 0 {
					t.Logf("%d taken, %d turned away, %.3f of their worth served; %d calls, %d refused, %d barred; %d owner sets changed; "+
						"most of a limit in use %.3f, windows %.2f and %.2f of what they may hold", n.Taken, n.TurnedAway, share, n.Calls, n.Refused, n.Barred,
						n.Changes, w.Check.WorstSum, worst[0], worst[1])
				}
				if !(share >= p.least) {
					t.Errorf("seed %d: %.3f of the worth was served, want %.2f", seed, share, p.least)
				}
			}
		})
	}
}

// Each mistake that is put into a play with leases is found.
func TestLeaseCheckerFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault LeaseFault
		play  func(*World)
	}{
		{"a lease granted early", LeaseFault{GrantsEarly: 0.4}, playNamed("pauses")},
		{"an epoch not checked", LeaseFault{IgnoresEpochs: true}, playNamed("drains")},
		{"a lease that counts from the answer", LeaseFault{FromAnswer: true}, playNamed("cuts from control")},
		{"a call without a look at the lease", LeaseFault{NoGate: true}, playNamed("pauses")},
		{"a share confirmed before it is kept", LeaseFault{ConfirmsEarly: true}, playNamed("kills")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, fault := range []LeaseFault{{}, c.fault} {
				conf := leased(11)
				conf.Leases.Late, conf.Leases.Duplicated, conf.Leases.MostLate = 0.3, 0.3, 5*time.Second
				conf.Leases.Fault = fault
				w := New(conf)
				c.play(w)
				w.recover()
				w.Finish()
				found := w.Check.Rules()["share"] + w.Check.Rules()["limit"]
				if (found > 0) != (fault != LeaseFault{}) {
					t.Errorf("with %+v: found %d times; all: %v", fault, found, w.Check.Broken)
				}
			}
		})
	}
}

func playNamed(name string) func(*World) {
	for _, p := range leasePlays {
		if p.name == name {
			return p.play
		}
	}
	panic(fmt.Sprintf("no play %q", name))
}
