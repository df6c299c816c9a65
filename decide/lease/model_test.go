package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
	"wingmount/decide/placement"
)

// The lease settings of the model: clocks may drift by a tenth.
const (
	modelDuration = 9 * time.Second
	modelDrift    = 0.1
	modelWindow   = time.Second
)

func modelConfig() Config {
	return Config{
		Duration: modelDuration, MaxDrift: modelDrift, Slack: time.Second, Window: modelWindow,
		MaxSessions: 64, MaxUnfinished: 16,
	}
}

// modelProcess is a process of a node: a holder with its own clock.
type modelProcess struct {
	holder *Holder
	node   placement.NodeID
	id     ProcessID
	rate   float64 // seconds that its clock advances per second
	clock  time.Duration
	killed bool
	paused bool
	inbox  []Reply // replies that arrived during a pause
}

// message is a request from a process or a reply to it, in flight.
type message struct {
	process *modelProcess
	request *Request // nil for a reply
	reply   Reply
}

// model simulates a control process, nodes, and a network that loses, delays, reorders and duplicates messages.
type model struct {
	now          time.Duration
	grantor      *Grantor
	older        []*Grantor // earlier incarnations, which still receive requests that name a newer one
	incarnation  Incarnation
	faults       faults
	processes    []*modelProcess
	nextProcess  ProcessID
	destinations []placement.DestinationID
	nodes        []placement.NodeID
	network      []message
	messagesOnly bool // processes do not pause or restart, and clocks do not step
	samples      []sample
	violation    error // the first violation that check found
}

// sample is the quota that a process could use at some time.
type sample struct {
	at          time.Duration
	process     ProcessID
	destination placement.DestinationID
	quota       float64
}

func newModel(nodes, destinations int, injected faults) *model {
	m := &model{faults: injected}
	for i := range nodes {
		m.nodes = append(m.nodes, placement.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i := range destinations {
		m.destinations = append(m.destinations, placement.DestinationID(i))
	}
	m.restartControl(true)
	for _, node := range m.nodes {
		m.start(node, 0, 1)
	}
	return m
}

// restartControl starts the next incarnation of the control process. The earlier one then receives only requests that
// name the newer one.
func (m *model) restartControl(noEarlierLeases bool) {
	if m.grantor != nil {
		m.older = append(m.older, m.grantor)
	}
	m.incarnation++
	config := modelConfig()
	config.NoEarlierLeases = noEarlierLeases
	m.grantor = NewGrantor(m.now, m.incarnation, config)
	m.grantor.faults = m.faults
}

// start starts a process of a node.
func (m *model) start(node placement.NodeID, replaces ProcessID, rate float64) *modelProcess {
	m.nextProcess++
	process := &modelProcess{
		holder: NewHolder(HolderConfig{Node: node, Process: m.nextProcess, Replaces: replaces}),
		node:   node, id: m.nextProcess, rate: rate,
	}
	m.processes = append(m.processes, process)
	return process
}

// kill ends a process. Messages that it sent may still arrive.
func (m *model) kill(process *modelProcess) {
	process.killed = true
	m.processes = slices.DeleteFunc(m.processes, func(other *modelProcess) bool { return other == process })
}

// advance advances all clocks by a duration, in steps of a quarter of the window at most. It checks the quotas after each
// step.
func (m *model) advance(duration time.Duration) {
	for duration > 0 {
		step := min(duration, modelWindow/4)
		duration -= step
		m.now += step
		for _, process := range m.processes {
			process.clock += time.Duration(float64(step) * process.rate)
		}
		_ = m.check()
	}
}

// renew has a process send a request unless it is paused.
func (m *model) renew(process *modelProcess) {
	if process.paused {
		return
	}
	request := process.holder.Renew(process.clock)
	m.network = append(m.network, message{process: process, request: &request})
}

// deliver delivers the message at an index of the network. A duplicated message stays in flight and is delivered again.
func (m *model) deliver(index int, duplicate bool) {
	message := m.network[index]
	if !duplicate {
		m.network = slices.Delete(m.network, index, index+1)
	}
	if message.request == nil {
		m.receiveReply(message.process, message.reply)
		return
	}
	m.receiveRequest(message.process, *message.request)
}

// receiveReply has a process receive a reply, or queue it during a pause.
func (m *model) receiveReply(process *modelProcess, reply Reply) {
	switch {
	case process.killed:
	case process.paused:
		process.inbox = append(process.inbox, reply)
	default:
		_, _ = process.holder.Receive(process.clock, reply)
	}
}

// receiveRequest delivers a request to the grantor, and also to the older incarnations if it names a newer one.
func (m *model) receiveRequest(process *modelProcess, request Request) {
	m.answer(m.grantor, process, request)
	for _, older := range m.older {
		if request.Incarnation > older.incarnation {
			m.answer(older, process, request)
		}
	}
}

// answer has a grantor answer a request, and puts the reply into the network.
func (m *model) answer(grantor *Grantor, process *modelProcess, request Request) {
	session, err := grantor.Receive(m.now, request)
	if errors.Is(err, ErrReclaimRequired) {
		reply := Reply{Incarnation: grantor.Incarnation(), Sequence: request.Sequence, ReclaimRequired: true}
		m.network = append(m.network, message{process: process, reply: reply})
		return
	}
	if err != nil || session == 0 {
		return
	}
	reply, err := grantor.Answer(m.now, session, request)
	if err == nil {
		m.network = append(m.network, message{process: process, reply: reply})
	}
}

// resume ends a pause: the process receives the replies that arrived during it.
func (m *model) resume(process *modelProcess) {
	process.paused = false
	inbox := process.inbox
	process.inbox = nil
	for _, reply := range inbox {
		m.receiveReply(process, reply)
	}
}

// check returns an error if the sum of a destination's quotas exceeds the limit. It sums the largest quota of each process
// within a window, because no other process may use a quota in the window in which one process has used it. The sum
// includes samples of processes that were killed since.
func (m *model) check() error {
	if m.violation != nil {
		return m.violation
	}
	m.samples = slices.DeleteFunc(m.samples, func(s sample) bool { return s.at <= m.now-modelWindow })
	for _, process := range m.processes {
		for _, destination := range m.destinations {
			if quota := process.holder.Quota(process.clock, destination); quota > 0 {
				m.samples = append(m.samples, sample{m.now, process.id, destination, quota})
			}
		}
	}
	for _, destination := range m.destinations {
		peaks := map[ProcessID]float64{}
		sum := 0.0
		for _, s := range m.samples {
			if s.destination == destination && s.quota > peaks[s.process] {
				sum += s.quota - peaks[s.process]
				peaks[s.process] = s.quota
			}
		}
		if sum > 1 {
			m.violation = fmt.Errorf("at %v: destination %d: sum of quotas within a window: got %v, want 1 at most", m.now, destination, sum)
		}
	}
	return m.violation
}

// checkReservations returns an error if a grantor has reserved more than the limit, or if its lists of grants are
// inconsistent.
func checkReservations(g *Grantor) error {
	grants := 0
	for destination, a := range g.allocations {
		if a.available() < 0 {
			return fmt.Errorf("destination %d: reservations exceed the limit by %v units", destination, -a.available())
		}
		for _, granted := range a.grants {
			if granted.quota > granted.reserved {
				return fmt.Errorf("destination %d: quota of %v units exceeds the reservation of %v units", destination, granted.quota, granted.reserved)
			}
			if g.sessions[granted.session.id] != granted.session {
				return fmt.Errorf("destination %d: grant of a session that has ended", destination)
			}
			grants++
		}
	}
	bySession := 0
	for _, s := range g.sessions {
		version, count := Version(0), 0
		for granted := s.oldest; granted != nil; granted = granted.next {
			if granted.version <= version {
				return fmt.Errorf("session %d: grant with version %d follows one with version %d", s.id, granted.version, version)
			}
			version = granted.version
			count++
		}
		if count != s.grantCount {
			return fmt.Errorf("session %d: list has %d grants, grantCount is %d", s.id, count, s.grantCount)
		}
		bySession += count
	}
	if bySession != grants {
		return fmt.Errorf("got %d grants in allocations and %d in sessions, want the same number", grants, bySession)
	}
	return nil
}

// exchange has a process renew over a network without faults. It repeats the request if the grantor requires a reclaim.
func (m *model) exchange(process *modelProcess) error {
	for range 2 {
		request := process.holder.Renew(process.clock)
		session, err := m.grantor.Receive(m.now, request)
		var reply Reply
		if errors.Is(err, ErrReclaimRequired) {
			reply = Reply{Incarnation: m.grantor.Incarnation(), Sequence: request.Sequence, ReclaimRequired: true}
		} else if err != nil {
			return err
		} else if reply, err = m.grantor.Answer(m.now, session, request); err != nil {
			return err
		}
		if _, err = process.holder.Receive(process.clock, reply); !errors.Is(err, ErrReclaimRequired) {
			return err
		}
	}
	return nil
}

// settle has all processes renew, and release destinations that are not accepting, 30 times: enough for all changes to
// complete.
func (m *model) settle(t interface {
	Helper()
	Fatal(...any)
},
) {
	t.Helper()
	m.network = nil
	for range 30 {
		m.advance(modelDuration / 4)
		for _, process := range m.processes {
			if process.paused {
				m.resume(process)
			}
			for _, destination := range m.destinations {
				if assignment, ok := process.holder.Assignment(destination); ok && !assignment.Accepting {
					process.holder.Release(destination)
				}
			}
			_ = m.exchange(process)
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
}
