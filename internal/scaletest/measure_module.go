package scaletest

import (
	"context"
	"errors"
	"runtime"
	"time"
	"wingmount/policy"
)

const (
	// moduleStart keeps virtual clocks away from zero, which means "never" to the module.
	moduleStart = time.Hour
	// minCPUTime is the processor time that a measurement of it uses at least.
	minCPUTime = 200 * time.Millisecond
	// destinationRate is the rate of destinations whose limit is not measured, in calls a second.
	destinationRate = 100_000
)

var errNothingSent = errors.New("the module sent nothing")

// moduleSettings returns the settings of a node outside the platform.
func moduleSettings(senders int) policy.Settings {
	return policy.Settings{
		Senders: senders, Slots: 256, MaxAttempts: 6, Tick: time.Millisecond, MaxRetryAfter: 30 * time.Second,
		ConnectTimeout: time.Second, DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 15 * time.Second, OverloadFactor: 2,
		OverloadWindow: 1500 * time.Millisecond, RateAccuracy: policy.RateExact, PeerMessages: true,
		Kinds: []policy.Kind{{MaxBatch: 1}}, ZoneFee: []float64{0},
		Classes: []policy.Class{{
			Repeat: policy.Deduplicated, GroupAll: true, DedupWindow: time.Hour, SoftDeadline: 3 * time.Second,
			Deadline: time.Hour, Value: 1, LateValue: 0.5,
		}},
	}
}

// module is a decision module on virtual time, whose calls complete with the next step.
type module struct {
	sender       *policy.Sender
	now          policy.Time
	next         policy.MessageID
	events       []policy.Event
	actions      []policy.Action
	sent         int // attempts
	peerMessages int
}

// newModule returns a module with one endpoint for each destination.
func newModule(senders, destinations int, rate float64, seed uint64) *module {
	m := &module{sender: policy.New(moduleSettings(senders), seed), now: moduleStart}
	list := policy.EndpointUpdate{Complete: true}
	for destination := range destinations {
		list.Entries = append(list.Entries, policy.Entry{
			Endpoint: policy.EndpointID(destination + 1), Destination: destination,
			State: policy.Ready, Rate: rate,
		})
	}
	m.events = append(m.events, list)
	m.step(nil)
	return m
}

// arrive submits a message with the next step.
func (m *module) arrive(destination int) {
	m.next++
	m.events = append(m.events, policy.Arrived{Message: m.next, Destination: destination, GiveUpAt: m.now + time.Hour})
}

// step passes the events so far to the module. Its calls complete in the next step with an outcome; where outcome is
// nil they do not complete.
func (m *module) step(outcome func() policy.Outcome) {
	m.actions = m.sender.Step(m.now, m.events, m.actions[:0])
	m.events = m.events[:0]
	for _, action := range m.actions {
		switch a := action.(type) {
		case policy.Send:
			m.sent++
			if outcome != nil {
				m.events = append(m.events, policy.AttemptCompleted{Message: a.Message, Endpoint: a.Endpoint, Outcome: outcome(), Duration: time.Millisecond})
			}
		case policy.NotifyPeers:
			m.peerMessages++
		}
	}
}

func delivered() policy.Outcome { return policy.Delivered }

// timePerRound returns the processor time of one round, the mean of as many rounds as take [minCPUTime].
func timePerRound(ctx context.Context, round func()) (time.Duration, error) {
	runtime.GC()
	began, rounds := cpuTime(), 0
	for cpuTime()-began < minCPUTime {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		const batch = 100
		for range batch {
			round()
		}
		rounds += batch
	}
	return (cpuTime() - began) / time.Duration(rounds), nil
}

// measureModuleIdle measures memory and the time of a step by destinations without traffic.
func measureModuleIdle(ctx context.Context, _ Slope, size int, seed uint64, _ environment) ([]value, error) {
	before := heapInUse()
	m := newModule(1, size, destinationRate, seed)
	m.actions, m.events = nil, nil
	memory := heapInUse() - before
	step, err := timePerRound(ctx, func() {
		m.now += time.Millisecond
		m.events = append(m.events, policy.Woken{})
		m.step(delivered)
	})
	runtime.KeepAlive(m)
	return []value{{"memory", "B", float64(memory)}, {"step without messages", "ns", float64(step)}}, err
}

// measureActive measures the processor time of a message by active and configured destinations.
func measureActive(ctx context.Context, active, configured int, seed uint64) ([]value, error) {
	m := newModule(1, configured, destinationRate, seed)
	round := func() {
		m.now += time.Millisecond
		// The active destinations are spread evenly over all.
		m.arrive(int(m.next) % active * (configured / active))
		m.step(delivered)
	}
	const warmUp = 20_000
	for range min(active, warmUp) {
		round()
	}
	cost, err := timePerRound(ctx, round)
	if err == nil && m.sent == 0 {
		err = errNothingSent
	}
	return []value{{"processor time of a message", "ns", float64(cost)}}, err
}

func measureModuleActive(ctx context.Context, _ Slope, size int, seed uint64, _ environment) ([]value, error) {
	return measureActive(ctx, size, size, seed)
}

func measureModuleConfigured(ctx context.Context, slope Slope, size int, seed uint64, _ environment) ([]value, error) {
	return measureActive(ctx, max(1, min(slope.Destinations, size)), size, seed)
}

// measureModulePending measures the memory of the module by messages for a destination that does not respond.
func measureModulePending(_ context.Context, _ Slope, size int, seed uint64, _ environment) ([]value, error) {
	m := newModule(1, 1, destinationRate, seed)
	before := heapInUse()
	for range size {
		m.arrive(0)
		m.step(nil)
	}
	m.actions, m.events = nil, nil
	memory := heapInUse() - before
	runtime.KeepAlive(m)
	return []value{{"memory", "B", float64(memory)}}, nil
}

// The load under which peer messages are counted.
const (
	peerMessageSpan = 20 * time.Second
	callsPerSecond  = 1 // of a node
	// callsPerRateLimited is how many calls there are for one that is rate-limited.
	callsPerRateLimited = 33
)

// measurePeerMessages counts the messages that each node receives where every rate-limited call is reported to all
// other nodes. It reads no clock of the machine.
func measurePeerMessages(ctx context.Context, _ Slope, size int, seed uint64, _ environment) ([]value, error) {
	calls, rateLimited, peerMessages := 0, 0, 0
	outcome := func() policy.Outcome {
		calls++
		if calls%callsPerRateLimited == 0 {
			rateLimited++
			return policy.RateLimited
		}
		return policy.Delivered
	}
	for node := range size {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		m := newModule(size, 1, 2*callsPerSecond*float64(size), seed+uint64(node))
		for range int(peerMessageSpan.Seconds()) * callsPerSecond {
			m.now += time.Second / callsPerSecond
			m.arrive(0)
			m.step(outcome)
		}
		peerMessages += m.peerMessages
	}
	received := float64(peerMessages) * float64(size-1) / float64(size) / peerMessageSpan.Seconds()
	return []value{
		{"peer messages received by a node", "1/s", received},
		{"peer messages sent for a rate-limited call", "1", float64(peerMessages) * float64(size-1) / float64(max(1, rateLimited))},
	}, nil
}
