package ruleset

import (
	"errors"
	"time"
	"wingmount/decide/admission"
	"wingmount/decide/rollout"
	"wingmount/decide/rules"
	"wingmount/internal/message"
	"wingmount/policy"

	"github.com/cespare/xxhash/v2"
)

// WaitError rejects a message temporarily: accepting it now could break a guarantee about its key, or the ledger is
// full. The client may submit the message again after RetryAfter.
type WaitError struct {
	RetryAfter time.Duration
	Reason     string // sent to the client
}

func (e *WaitError) Error() string { return e.Reason }

// waitRulesChanging is the reason given if a change began or completed during each attempt to evaluate a message.
const waitRulesChanging = "the rules are being changed"

// waitOtherRules is the reason given while other nodes may use keys that the rules of this node don't give.
const waitOtherRules = "other nodes use other rules"

// waitReasons contains the reasons sent to clients whose messages have to wait.
var waitReasons = map[rollout.Verdict]string{
	rollout.Duplicate:   "the message is being taken",
	rollout.Full:        "there are too many messages",
	rollout.Conflict:    "the rules change its key, and an older message has its old one",
	rollout.MayConflict: "the rules change its key, and an older message may have its old one",
}

// Guarantees about messages with the same key, as bits of a kind. A class may give any combination.
const (
	orderedKeys      rollout.Kind = 1 << iota // the messages are delivered in order
	deduplicatedKeys                          // the partner drops duplicates
)

// keyGuarantees returns the guarantees of a class about messages with the same key.
func keyGuarantees(c rules.Class) rollout.Kind {
	kind := rollout.Kind(0)
	if c.Ordered {
		kind |= orderedKeys
	}
	if c.Repeat == policy.Deduplicated {
		kind |= deduplicatedKeys
	}
	return kind
}

// claim returns the ledger's claim for a key in a class. It is zero if the key is empty or the class guarantees nothing
// about keys.
func (m *Manager) claim(className, key string) rollout.Claim {
	class := m.classes[className]
	if key == "" || !class.GuaranteesKeys() {
		return rollout.Claim{}
	}
	kind := keyGuarantees(class)
	digest := xxhash.New()
	_, _ = digest.Write([]byte{byte(kind)}) // writing to a digest never fails
	_, _ = digest.WriteString(key)
	hash := max(1, digest.Sum64()) // 0 means that there is no key
	return rollout.Claim{KeyHash: rollout.KeyHash(hash), Retention: class.KeyRetention, Kind: kind}
}

// lockAndDrain locks mu, passes the completed messages recorded by ObserveCompletions to the ledger, and returns the
// ledger's time. The caller unlocks mu.
func (m *Manager) lockAndDrain() time.Duration {
	m.mu.Lock()
	now := time.Since(m.start)
	m.completions.Lock()
	completed := m.completions.ids
	m.completions.ids = nil
	m.completions.Unlock()
	for _, id := range completed {
		m.ledger.Complete(now, id)
	}
	return now
}

// Evaluate returns the class and key that the active rules give a message, and adds the message to the ledger. The
// message stays there until it completes, or until [Manager.Release] or [Manager.ReleaseUncertain] is called. The error
// is a [*rules.InvalidMessageError] or a [*WaitError]; the message is then not in the ledger, unless an earlier call
// added it.
func (m *Manager) Evaluate(in rules.Input) (rules.Result, error) {
	for range maxEvaluationAttempts {
		result, rulesChanged, err := m.tryEvaluate(in)
		if !rulesChanged {
			return result, err
		}
	}
	return rules.Result{}, &WaitError{RetryAfter: changeCheckInterval, Reason: waitRulesChanging}
}

// tryEvaluate evaluates a message without holding mu, and then adds it to the ledger unless a change began or completed
// meanwhile, which it reports as rulesChanged.
func (m *Manager) tryEvaluate(in rules.Input) (result rules.Result, rulesChanged bool, err error) {
	m.lockAndDrain()
	active, previous, changeCount := m.active, m.previous, m.changeCount
	affected := previous != nil && m.changedClasses[in.Class]
	m.mu.Unlock()

	result, err = active.Evaluate(in)
	previousClaim := rollout.Claim{}
	if err == nil && affected {
		// The previous rules give no key to a message that they reject, so it has no key in common with an older
		// message.
		if previousResult, err := previous.Evaluate(in); err == nil {
			previousClaim = m.claim(previousResult.Class, previousResult.Key)
		}
	}

	now := m.lockAndDrain()
	defer m.mu.Unlock()
	if m.changeCount != changeCount {
		return rules.Result{}, true, nil
	}
	m.countEvaluation(result, err)
	if err != nil {
		return result, false, err
	}
	claim := m.claim(result.Class, result.Key)
	if m.peersMismatch && claim.KeyHash != 0 {
		m.counts.Waits++
		return result, false, &WaitError{RetryAfter: mismatchRetryAfter, Reason: waitOtherRules}
	}
	return result, false, m.admit(now, in.ID, claim, previousClaim)
}

// countEvaluation adds an evaluated message to the counts. The caller holds mu.
func (m *Manager) countEvaluation(result rules.Result, err error) {
	m.counts.Evaluated++
	m.counts.HighestCost = max(m.counts.HighestCost, result.Cost)
	if result.Rule != rules.NoRule {
		m.counts.Matched++
	}
	invalid := result.Invalid
	if errors.As(err, &invalid) || invalid != nil {
		m.counts.Invalid++
		m.counts.LastInvalidPlace = invalid.Place
	}
}

// admit adds a message to the ledger, or returns a [*WaitError]. The caller holds mu.
func (m *Manager) admit(now time.Duration, id string, current, previous rollout.Claim) error {
	verdict, wait := m.ledger.Admit(now, id, current, previous)
	if verdict == rollout.Admitted {
		return nil
	}
	m.counts.Waits++
	return &WaitError{RetryAfter: min(max(wait, changeCheckInterval), maxRetryAfter), Reason: waitReasons[verdict]}
}

// Release removes from the ledger an evaluated message that was not accepted.
func (m *Manager) Release(id string) {
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	m.ledger.Release(now, id)
}

// ReleaseUncertain removes from the ledger an evaluated message that may have been accepted. Its key stays in use until
// the message's deadline, and for the key retention of its class after that.
func (m *Manager) ReleaseUncertain(id string, deadline time.Time) {
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	m.ledger.ReleaseUncertain(now, id, now+max(0, time.Until(deadline)))
}

// Adopt adds to the ledger a message that was persisted by this process or another one.
func (m *Manager) Adopt(adopted *message.Message) {
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	m.adopt(now, adopted)
}

// adopt is Adopt for callers that hold mu.
func (m *Manager) adopt(now time.Duration, adopted *message.Message) {
	className := ""
	if adopted.Class >= 0 && adopted.Class < len(m.config.ClassNames) {
		className = m.config.ClassNames[adopted.Class]
	}
	m.ledger.Adopt(now, adopted.ID, m.claim(className, adopted.Key))
}

// ObserveCompletions records the completed messages for the ledger. It does not lock mu, so evaluations do not delay
// it.
func (m *Manager) ObserveCompletions(observations []admission.Observation) {
	m.completions.Lock()
	defer m.completions.Unlock()
	for _, o := range observations {
		if o.Kind == admission.MessageCompleted {
			m.completions.ids = append(m.completions.ids, o.MessageID)
		}
	}
}
