package ruleset

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
	"wingmount/internal/store"
)

// Nodes that share a store of record share the keys in use: the partner sees the messages of all of them. Each node's
// ledger has only its own messages, so the nodes announce which rule sets they use, and each of them decides by the
// announcements of the others:
//
//   - During a change, keys of other nodes count as in use until every other node uses the active rules and has drained,
//     which means that none of its messages uses a key of its previous rules any more.
//   - A node that starts accepts no message with a key while another node uses rules that the node neither uses nor
//     replaces.
//
// A node announces its rules before it reads those of the others, at its start and again before it completes a change. Of
// two nodes that do so at the same time, at least one therefore sees the other one's announcement.

// mismatchRetryAfter is how long a client should wait while other nodes use other rules.
const mismatchRetryAfter = time.Second

// digestBytes is the length of a rule set's digest before it is encoded.
const digestBytes = 16

// Digest identifies a rule set by its text. The empty text is that of a node without rules.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// syncPeersAndLog calls syncPeers where there are other nodes. It is retried, so an error is only logged.
func (m *Manager) syncPeersAndLog(ctx context.Context) {
	if m.config.Peers == nil {
		return
	}
	err := m.syncPeers(ctx)
	if err == nil {
		m.peerLog.failed = false
		return
	}
	if ctx.Err() == nil && !m.peerLog.failed {
		m.peerLog.failed = true
		m.config.Log.Warn("rules: exchanging the rules in use with other nodes failed", "err", err)
	}
}

// peerLog is what was logged of other nodes, so that each condition is logged once. It is used with fileMu locked, or by
// the goroutine of [Manager.Run] only.
type peerLog struct {
	failed     bool   // the last exchange failed
	mismatch   bool   // other nodes use other rules
	waitingFor string // digest of the rules with which the change waits for other nodes
}

// syncPeers announces the rules of this node to the others. While a change is in progress or other nodes use other rules,
// it reads theirs and decides whether that has ended.
func (m *Manager) syncPeers(ctx context.Context) error {
	m.fileMu.Lock()
	defer m.fileMu.Unlock()
	use, mismatch := m.ruleUse()
	if err := m.announce(ctx, use); err != nil {
		return err
	}
	if use.Previous == "" && !mismatch {
		return nil
	}
	peers, err := m.config.Peers.PeerRules(ctx)
	if err != nil {
		return err
	}
	if mismatch {
		m.checkMismatch(use, peers)
	}
	if use.Previous == "" || !use.Drained {
		return nil
	}
	if unsettled := m.unsettled(use, peers); len(unsettled) > 0 {
		if m.peerLog.waitingFor != use.Active {
			m.peerLog.waitingFor = use.Active
			m.config.Log.Info("rules: change waits for other nodes", "nodes", unsettled)
		}
		return nil
	}
	return m.completeWithPeers(ctx, use)
}

// completeWithPeers ends the wait for other nodes if they are still settled once this node has announced that its change
// is completed: from then on no node starts with the previous rules.
func (m *Manager) completeWithPeers(ctx context.Context, use store.RuleUse) error {
	if err := m.announce(ctx, store.RuleUse{Active: use.Active, Drained: true}); err != nil {
		return err
	}
	peers, err := m.config.Peers.PeerRules(ctx)
	if err != nil || len(m.unsettled(use, peers)) > 0 {
		return errors.Join(err, m.announce(ctx, use))
	}
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	m.ledger.SetForeign(!m.ledger.Drained(now))
	return nil
}

// ruleUse returns the rule use of this node, and whether other nodes may use other rules.
func (m *Manager) ruleUse() (use store.RuleUse, mismatch bool) {
	now := m.lockAndDrain()
	defer m.mu.Unlock()
	use = store.RuleUse{Active: Digest(m.active.text), Drained: true}
	if m.previous != nil && m.ledger.InProgress(now) {
		use.Previous, use.Drained = Digest(m.previous.text), m.ledger.Drained(now)
	}
	return use, m.peersMismatch
}

// announce announces the rule use of this node, unless that is announced already. The caller has locked fileMu.
func (m *Manager) announce(ctx context.Context, use store.RuleUse) error {
	if m.announced != nil && *m.announced == use {
		return nil
	}
	m.announced = nil // unknown after an error
	if err := m.config.Peers.AnnounceRules(ctx, use); err != nil {
		return err
	}
	m.announced = &use
	return nil
}

// checkMismatch determines whether another node uses other rules than this one, and logs when that begins or ends.
func (m *Manager) checkMismatch(use store.RuleUse, peers []store.PeerRules) {
	var others []string
	for _, p := range peers {
		if !m.compatible(use, p) {
			others = append(others, p.Node)
		}
	}
	if len(others) > 0 {
		if !m.peerLog.mismatch {
			m.peerLog.mismatch = true
			m.config.Log.Warn("rules: other nodes use other rules, messages with keys have to wait", "nodes", others)
		}
		return
	}
	m.mu.Lock()
	m.peersMismatch = false
	m.mu.Unlock()
}

// compatible reports whether a node with this rule use may accept messages beside another node. The other one must give the
// same keys, or one of the two must be replacing the rules of the other.
func (m *Manager) compatible(use store.RuleUse, p store.PeerRules) bool {
	switch {
	case p.State == store.PeerStarting, p.State == store.PeerUnknown, p.Active == "", m.goneLongEnough(p):
		return true
	case p.Active == use.Active:
		return p.Previous == "" || p.Previous == use.Previous
	case p.Active == use.Previous:
		return p.Previous == ""
	}
	return p.Previous == use.Active
}

// unsettled returns the other nodes whose messages may use keys that only the previous rules of this node give.
func (m *Manager) unsettled(use store.RuleUse, peers []store.PeerRules) (nodes []string) {
	for _, p := range peers {
		if !m.settled(use, p) {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// settled reports whether no message of another node uses a key that only the previous rules of this node give: it uses the active rules of this node and has drained, or it has completed that
// change and is replacing them.
func (m *Manager) settled(use store.RuleUse, p store.PeerRules) bool {
	switch {
	case m.goneLongEnough(p):
		return true
	case p.State == store.PeerStarting, p.State == store.PeerUnknown:
		return false
	}
	return p.Active == use.Active && p.Drained || p.Previous == use.Active
}

// goneLongEnough reports whether another node is gone, and the keys of its messages are free.
func (m *Manager) goneLongEnough(p store.PeerRules) bool {
	if p.State != store.PeerGone {
		return false
	}
	inUse := m.config.MaxTimeout
	for _, class := range m.config.Classes {
		inUse = max(inUse, m.config.MaxTimeout+class.KeyRetention)
	}
	return p.GoneFor >= inUse
}
