// Package ruleset manages the active rule set: it evaluates messages with it, changes it while messages are in flight,
// and persists it.
//
// The package guarantees:
//   - no message is evaluated by rules that are not persisted;
//   - a change never gives a message a new key while an older message still uses the message's previous key, at this node
//     or at another one that shares the store of record;
//   - a rule file that does not compile, or can't be persisted, changes nothing.
//
// A change is a rollout in decide/rollout, from the previous to the active rule set.
//
// One [Manager] is shared by all ingress handlers and is safe for concurrent use. Start reading at [Open],
// [Manager.Evaluate] (evaluate.go) and [Manager.Reload] (change.go). Nodes that share a store are in peers.go.
package ruleset

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"
	"wingmount/decide/rollout"
	"wingmount/decide/rules"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

const (
	// defaultLedgerCapacity is the maximum number of messages in flight in the ledger, and of keys. At the limit, a new
	// message is rejected (rollout.Full), even if no change is in progress and the node's own limit is higher. A new key
	// causes the eviction of another one, which only makes messages wait during a change.
	defaultLedgerCapacity = 1 << 17
	// changeCheckInterval is how often the manager checks whether a change has completed.
	changeCheckInterval = 250 * time.Millisecond
	// logInterval is how often the manager logs how many messages were invalid or had to wait.
	logInterval = 10 * time.Second
	// maxRetryAfter is the maximum time that a client is asked to wait.
	maxRetryAfter = 30 * time.Second
	// maxEvaluationAttempts is the maximum number of times that a message is evaluated. It is evaluated again if a
	// change begins or completes meanwhile.
	maxEvaluationAttempts = 4
)

// Config configures a manager.
type Config struct {
	// Load reads the rule file and returns its rule set and its text.
	Load func() (*rules.Set, string, error)
	// Parse compiles a text that Load returned in an earlier process.
	Parse      func(text string) (*rules.Set, error)
	RecordPath string // path of the file that persists the active rules
	Classes    []rules.Class
	ClassNames []string           // by class number, see [message.Message]
	Unfinished []*message.Message // accepted by earlier processes
	// FirstStart means that there was no earlier process, so only the keys of Unfinished are in use.
	FirstStart     bool
	LedgerCapacity int // messages in flight, and keys; 0 means defaultLedgerCapacity
	// Peers are the nodes that share the store of record and therefore the keys in use; nil if there are none.
	Peers store.RuleSharer
	// MaxTimeout is the longest time from the acceptance of a message to its deadline, by any of the nodes. It is used only
	// with Peers.
	MaxTimeout time.Duration
	Log        *slog.Logger
}

// Counts contains numbers of messages since the start.
type Counts struct {
	Evaluated uint64
	Matched   uint64 // matched by a rule
	Invalid   uint64 // could not be evaluated, see [rules.InvalidMessageError]
	Waits     uint64 // rejected with a [WaitError] by the ledger
	// HighestCost is the highest cost of evaluating one message, in cost units.
	HighestCost uint64
	// LastInvalidPlace is the place of the error in the last invalid message. It contains no content of the
	// message.
	LastInvalidPlace string
}

// ruleSet is a compiled rule set with its text.
type ruleSet struct {
	*rules.Set
	text string
}

// Manager evaluates messages with the active rule set, and changes the rule set. It is safe for concurrent use.
type Manager struct {
	config  Config
	classes map[string]rules.Class
	start   time.Time // origin of the ledger's time

	fileMu    sync.Mutex     // serializes changes, writes of the record and announcements to peers; locked before mu
	announced *store.RuleUse // guarded by fileMu; nil if it is not known what is announced
	peerLog   peerLog

	completions struct {
		sync.Mutex
		ids []string // of completed messages that are not yet passed to the ledger
	}

	mu       sync.Mutex // guards the fields below
	active   ruleSet
	previous *ruleSet // nil unless a change is in progress
	pending  *ruleSet // becomes active when the change in progress has completed; nil if no change is queued
	// changedClasses is the set of classes of messages for which previous and active may give different results.
	changedClasses map[string]bool
	changeCount    int // incremented when a change begins and when it completes
	// peersMismatch is set while other nodes may use keys that neither active nor previous gives.
	peersMismatch bool
	ledger        *rollout.Ledger
	counts        Counts
}

// Open returns a manager with the persisted rules and starts a change to the rules of the rule file. At the first start
// the rules of the file are active at once. Without a record after an earlier start, the change begins with no rules.
//
// With Peers, Open announces the rules to the other nodes. It returns an error if it can't.
func Open(c Config) (*Manager, error) {
	m, err := openLocal(c)
	if err != nil || c.Peers == nil {
		return m, err
	}
	m.peersMismatch = true // until syncPeers finds that there is none
	return m, m.syncPeers(context.Background())
}

// openLocal is Open without the announcement to other nodes.
func openLocal(c Config) (*Manager, error) {
	if c.LedgerCapacity == 0 {
		c.LedgerCapacity = defaultLedgerCapacity
	}
	m := &Manager{config: c, classes: map[string]rules.Class{}, start: time.Now()}
	for _, class := range c.Classes {
		m.classes[class.Name] = class
	}
	loaded, text, err := c.Load()
	if err != nil {
		return nil, err
	}
	file := ruleSet{loaded, text}
	persisted, err := readActiveRules(c.RecordPath)
	if err != nil {
		return nil, err
	}
	m.ledger = rollout.New(c.LedgerCapacity, recoveredKeyRetention(c, len(persisted) > 0))
	switch {
	case len(persisted) > 0:
		if err := m.restore(persisted); err != nil {
			return nil, err
		}
	case c.FirstStart: // no message was evaluated with other rules
		m.active = file
		return m, writeActiveRules(c.RecordPath, []string{text})
	default:
		m.active = ruleSet{rules.Empty(), ""}
	}
	m.resume()
	return m, m.requestChange(file)
}

// recoveredKeyRetention returns how long keys of an earlier process may be in use, by kind: the longest key retention
// of the kind's classes, or 0 if there was no earlier process.
func recoveredKeyRetention(c Config, hasRecord bool) [rollout.KindCount]time.Duration {
	var retention [rollout.KindCount]time.Duration
	if c.FirstStart && !hasRecord {
		return retention
	}
	for _, class := range c.Classes {
		kind := keyGuarantees(class)
		retention[kind] = max(retention[kind], class.KeyRetention)
	}
	return retention
}

// restore sets the active rule set to the persisted one and, if a change was in progress, the previous rule set too.
func (m *Manager) restore(texts []string) error {
	var sets []ruleSet
	for _, text := range texts {
		set, err := m.config.Parse(text)
		if err != nil {
			return fmt.Errorf("the rules in the record %s do not compile with this configuration: %w: start with the configuration "+
				"that they were compiled with, or remove the file once all messages have completed and their keys' retention has ended",
				m.config.RecordPath, err)
		}
		sets = append(sets, ruleSet{set, text})
	}
	m.active = sets[len(sets)-1]
	if len(sets) > 1 {
		m.previous = &sets[0]
	}
	return nil
}

// resume adds the unfinished messages of earlier processes to the ledger, and resumes the change that was in progress.
func (m *Manager) resume() {
	for _, unfinished := range m.config.Unfinished {
		if unfinished.FinalResponse == nil {
			m.adopt(0, unfinished)
		}
	}
	if m.previous != nil {
		m.beginRollout(0)
		m.config.Log.Info("rules: change resumed", "rules", m.active.RuleCount())
	}
}

// Counts returns the counts since the start.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}
