package lease

import (
	"math/rand/v2"
	"testing"
	"time"
	"wingmount/decide/placement"

	"pgregory.net/rapid"
)

// chooser draws the model's next action and its parameters, from rapid or from a random generator.
type chooser interface {
	// intN returns a number from 0 to n-1.
	intN(n int, label string) int
}

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intN(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

type randomChooser struct{ rng *rand.Rand }

func (c randomChooser) intN(n int, _ string) int { return c.rng.IntN(n) }

// modelInFlight bounds the number of messages in flight. The oldest messages beyond it are lost.
const modelInFlight = 8

// drawRate returns the rate of a holder's clock. The grantor's rate is 1, and a holder's is slower or faster by up to
// modelDrift.
func drawRate(c chooser) float64 { return 1 - modelDrift + 2*modelDrift*float64(c.intN(5, "rate"))/4 }

// drawClockRates gives each process's clock a random rate.
func (m *model) drawClockRates(c chooser) {
	for _, process := range m.processes {
		process.rate = drawRate(c)
	}
}

// step runs one random action.
func (m *model) step(c chooser) {
	process := m.processes[c.intN(len(m.processes), "process")]
	destination := m.destinations[c.intN(len(m.destinations), "destination")]
	actions := 21
	if m.messagesOnly {
		actions = 17
	}
	switch c.intN(actions, "action") {
	case 0, 1:
		m.renew(process)
		m.network = m.network[max(0, len(m.network)-modelInFlight):]
	case 2, 3:
		if !process.paused {
			_ = m.exchange(process)
		}
	case 4, 5, 6, 7, 8:
		if len(m.network) > 0 {
			m.deliver(c.intN(len(m.network), "message"), c.intN(4, "duplicate") == 0)
		}
	case 9:
		if len(m.network) > 0 {
			m.network = m.network[1:]
		}
	case 10, 11:
		m.advance(time.Duration(1+c.intN(30, "tenths")) * modelDuration / 30)
	case 12:
		m.setOwners(c, destination)
	case 13:
		m.grantor.Advance(m.now)
	case 14:
		if assignment, ok := process.holder.Assignment(destination); ok && !assignment.Accepting {
			process.holder.Release(destination)
		}
	case 15:
		process.holder.ReportUnfinished(destination)
	case 16:
		m.grantor.Refresh(destination)
	case 17:
		m.togglePause(process)
	case 18:
		m.stepClock(c, process)
	case 19:
		m.restartNode(c, process)
	case 20:
		if c.intN(3, "control") == 0 {
			m.restartControl(false)
		}
	}
}

// setOwners sets a random subset of the nodes as owners of a destination.
func (m *model) setOwners(c chooser, destination placement.DestinationID) {
	var owners []placement.NodeID
	set := c.intN(1<<len(m.nodes), "owners")
	for i, node := range m.nodes {
		if set&(1<<i) != 0 {
			owners = append(owners, node)
		}
	}
	m.grantor.SetOwners(m.now, destination, owners)
}

func (m *model) togglePause(process *modelProcess) {
	if process.paused {
		m.resume(process)
	} else {
		process.paused = true
	}
}

// stepClock steps a process's clock by -30 to 30 s. The holder reads the clock directly after the step,
// because it detects a step back only between two readings.
func (m *model) stepClock(c chooser, process *modelProcess) {
	process.clock += time.Duration(c.intN(61, "clock step")-30) * time.Second
	process.holder.Valid(process.clock)
}

// restartNode starts a new process of a process's node. The old process was killed and is named in Replaces, was killed
// and is not named, has closed its session, or still runs unless there are more than 6 processes.
func (m *model) restartNode(c chooser, process *modelProcess) {
	rate := drawRate(c)
	replaces := ProcessID(0)
	switch c.intN(4, "restart") {
	case 0:
		m.kill(process)
		replaces = process.id
	case 1:
		m.kill(process)
	case 2:
		request := process.holder.Close(process.clock)
		m.kill(process)
		m.network = append(m.network, message{process: process, request: &request})
	case 3:
		if len(m.processes) > 6 {
			m.kill(process)
		}
	}
	m.start(process.node, replaces, rate)
}

// checkAll checks the quotas that holders may use and the grantor's reservations.
func (m *model) checkAll() error {
	if err := m.check(); err != nil {
		return err
	}
	return checkReservations(m.grantor)
}

// The sum of a destination's quotas must not exceed 1 while messages are lost, delayed and duplicated, processes pause
// and restart, and clocks step and drift.
func TestQuotasUnderFaultsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, 2, faults{})
		m.drawClockRates(rapidChooser{t})
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step(rapidChooser{t})
			if err := m.checkAll(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runRandomSteps runs random steps of a new model and returns the first violation.
func runRandomSteps(seed uint64, steps int, injected faults) error {
	m := newModel(3, 2, injected)
	m.messagesOnly = seed%2 == 1
	if injected.ignoreEpoch {
		// A violation needs a delayed release that arrives after its destination was granted again.
		m = newModel(2, 1, injected)
		m.messagesOnly = true
	}
	c := randomChooser{rand.New(rand.NewPCG(seed, 35))}
	m.drawClockRates(c)
	for range steps {
		m.step(c)
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// The numbers of random runs of TestModelFindsInjectedFaults, and of the steps in each run.
const (
	faultRuns     = 2000
	faultFreeRuns = 1000
	stepsPerRun   = 400
)

// Without the rules that the faults break, the quotas of a destination exceed its limit. The model has to find each fault
// in faultRuns random runs, and no violation in faultFreeRuns runs without a fault.
func TestModelFindsInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name     string
		injected faults
	}{
		{"a session that ends before its lease", faults{expireEarly: true}},
		{"a lowered quota granted before its confirmation", faults{ignoreConfirmation: true}},
		{"a release whose epoch is not checked", faults{ignoreEpoch: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(faultRuns) {
				if err := runRandomSteps(seed, stepsPerRun, test.injected); err != nil {
					t.Logf("run %d found the fault: %v", seed+1, err)
					return
				}
			}
			t.Fatalf("got no violation in %d runs, want one", faultRuns)
		})
	}
	for seed := range uint64(faultFreeRuns) {
		if err := runRandomSteps(seed, stepsPerRun, faults{}); err != nil {
			t.Fatalf("without a fault, seed %d: got %v, want no violation", seed, err)
		}
	}
}

// After any sequence of faults, owners must get the full limit again once messages are delivered: no reservation may
// remain without a holder.
func TestOwnersWithoutFaultsGetFullLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, 2, faults{})
		m.drawClockRates(rapidChooser{t})
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			m.step(rapidChooser{t})
		}
		owners := map[placement.DestinationID][]placement.NodeID{
			0: {"n0", "n1"},
			1: {"n2"},
		}
		m.settleOneProcessPerNode(t)
		for destination, nodes := range owners {
			m.grantor.SetOwners(m.now, destination, nodes)
		}
		m.grantor.MarkOwnersComplete(m.now)
		m.settleOneProcessPerNode(t)
		for destination, nodes := range owners {
			m.expectOwners(t, destination, nodes)
		}
	})
}

// settleOneProcessPerNode kills all processes of a node but the first, and settles.
func (m *model) settleOneProcessPerNode(t *rapid.T) {
	first := map[placement.NodeID]*modelProcess{}
	for _, process := range append([]*modelProcess(nil), m.processes...) {
		if first[process.node] != nil {
			m.kill(process)
			continue
		}
		first[process.node] = process
	}
	m.settle(t)
}

// expectOwners checks that the owners of a destination share its limit equally, and that no other node has an assignment
// of it.
func (m *model) expectOwners(t *rapid.T, destination placement.DestinationID, nodes []placement.NodeID) {
	want := (fullLimit / units(len(nodes))).fraction()
	for _, process := range m.processes {
		owner := false
		for _, node := range nodes {
			owner = owner || node == process.node
		}
		quota := process.holder.Quota(process.clock, destination)
		if owner && quota != want {
			t.Fatalf("destination %d, owner %s: got quota %v, want %v", destination, process.node, quota, want)
		}
		if assignment, ok := process.holder.Assignment(destination); !owner && ok {
			t.Fatalf("destination %d, node %s: got %+v, want no assignment", destination, process.node, assignment)
		}
	}
}
