package ruleset

import (
	"context"
	"errors"
	"time"
	"wingmount/decide/rollout"
	"wingmount/internal/failpoint"
)

// Failure points before, during and after the write of a change's record. Tests arm them by these names, which are
// older than the package's name.
var (
	beforeRecord = failpoint.New("ruling/before-record")
	afterWrite   = failpoint.New("ruling/after-write")
	afterRename  = failpoint.New("ruling/after-rename")
	afterSwitch  = failpoint.New("ruling/after-switch")
)

var errChangeInProgress = errors.New("a change of rules is in progress")

// ChangeInProgress reports whether a change is in progress.
func (m *Manager) ChangeInProgress() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.previous != nil
}

// Reload reads the rule file again and starts a change to its rules. If a change is in progress, the new one starts
// when that one has completed. If the file can't be read, does not compile or can't be persisted, Reload returns an
// error and changes nothing.
func (m *Manager) Reload() error {
	m.fileMu.Lock() // also for the reading: of two concurrent reloads the later one applies what it has read last
	defer m.fileMu.Unlock()
	loaded, text, err := m.config.Load()
	if err != nil {
		return err
	}
	return m.requestChangeLocked(ruleSet{loaded, text})
}

// requestChange starts a change to a rule set, or queues it if a change is in progress.
func (m *Manager) requestChange(set ruleSet) error {
	m.fileMu.Lock()
	defer m.fileMu.Unlock()
	return m.requestChangeLocked(set)
}

// requestChangeLocked is requestChange for callers that hold fileMu.
func (m *Manager) requestChangeLocked(set ruleSet) error {
	completed := m.completeChange()
	m.lockAndDrain()
	if m.previous != nil {
		queued := m.queueChange(set)
		m.mu.Unlock()
		if queued {
			m.config.Log.Info("rules: change queued until the change in progress has completed")
		}
		return nil
	}
	active := m.active
	m.mu.Unlock()
	switch {
	case set.text != active.text:
		return m.startChange(set, active)
	case completed: // the record still contains both rule sets of the change
		return writeActiveRules(m.config.RecordPath, []string{set.text})
	default:
		return nil
	}
}

// queueChange replaces the pending rule set. If the set is the active one, it returns false, and no change is pending.
// The caller holds mu.
func (m *Manager) queueChange(set ruleSet) bool {
	if set.text == m.active.text {
		m.pending = nil
		return false
	}
	m.pending = &set
	return true
}

// startChange persists both rule sets and starts the change from active to set. The caller has locked fileMu.
func (m *Manager) startChange(set, active ruleSet) error {
	if err := beforeRecord.At(); err != nil {
		return err
	}
	if err := writeActiveRules(m.config.RecordPath, []string{active.text, set.text}); err != nil {
		return err
	}
	now := m.lockAndDrain()
	m.previous, m.active = &active, set
	began := m.beginRollout(now)
	if began {
		m.changeCount++
	} else {
		m.previous, m.active = nil, active
	}
	m.mu.Unlock()
	if !began {
		return errChangeInProgress
	}
	m.config.Log.Info("rules: change started", "rules", set.RuleCount(), "cost_bound", set.CostBound())
	return afterSwitch.At()
}

// beginRollout begins the rollout from previous to active in the ledger. It returns false if the ledger has a rollout
// in progress. The caller holds mu.
func (m *Manager) beginRollout(now time.Duration) bool {
	var kinds []rollout.Kind
	changed := map[string]bool{}
	for _, class := range m.previous.ChangedClasses(m.active.Set) {
		changed[class] = true
		for _, possible := range m.previous.PossibleClasses(class) {
			kinds = append(kinds, keyGuarantees(m.classes[possible]))
		}
	}
	if !m.ledger.Begin(now, kinds...) {
		return false
	}
	m.changedClasses = changed
	m.ledger.SetForeign(m.config.Peers != nil && len(kinds) > 0)
	return true
}

// completeChange completes the change in progress if older messages no longer use any affected key. It reports whether
// it completed one.
func (m *Manager) completeChange() bool {
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	if m.previous == nil || m.ledger.InProgress(now) {
		return false
	}
	m.previous = nil
	m.changeCount++
	c := m.counts
	m.config.Log.Info("rules: change completed", "evaluated", c.Evaluated, "matched", c.Matched, "invalid", c.Invalid,
		"waits", c.Waits, "highest_cost", c.HighestCost)
	return true
}

// Run completes changes, starts pending ones and logs counts, until the context is done.
func (m *Manager) Run(ctx context.Context) {
	changeTicker := time.NewTicker(changeCheckInterval)
	defer changeTicker.Stop()
	logTicker := time.NewTicker(logInterval)
	defer logTicker.Stop()
	var lastLogged Counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-logTicker.C:
			lastLogged = m.logCounts(lastLogged)
		case <-changeTicker.C:
			m.syncPeersAndLog(ctx)
			if err := m.advanceChange(); err != nil {
				m.config.Log.Error("rules: advancing a change failed", "err", err)
			}
		}
	}
}

// advanceChange completes the change in progress if possible, and then starts the pending one.
func (m *Manager) advanceChange() error {
	m.fileMu.Lock()
	defer m.fileMu.Unlock()
	if !m.completeChange() {
		return nil
	}
	m.mu.Lock()
	pending, text := m.pending, m.active.text
	m.pending = nil
	m.mu.Unlock()
	// If the process restarts before this write is durable, it resumes the completed change, which is harmless.
	err := writeActiveRules(m.config.RecordPath, []string{text})
	if pending == nil {
		return err
	}
	return errors.Join(err, m.requestChangeLocked(*pending))
}

// logCounts logs the numbers of messages that were invalid or had to wait since the counts lastLogged. It returns the
// current counts.
func (m *Manager) logCounts(lastLogged Counts) Counts {
	c := m.Counts()
	evaluated := c.Evaluated - lastLogged.Evaluated
	if c.Invalid > lastLogged.Invalid {
		m.config.Log.Warn("rules: messages were invalid", "invalid", c.Invalid-lastLogged.Invalid, "evaluated", evaluated,
			"last_place", c.LastInvalidPlace, "interval", logInterval)
	}
	if c.Waits > lastLogged.Waits {
		m.config.Log.Warn("rules: messages had to wait", "waits", c.Waits-lastLogged.Waits, "evaluated", evaluated,
			"interval", logInterval)
	}
	return c
}
