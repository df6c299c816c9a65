package rollout

import (
	"time"
	"wingmount/internal/container"
)

// KeyHash identifies the key of a message whose class gives guarantees about messages with the same key. 0 means that
// the message has no such key.
type KeyHash uint64

// Kind identifies the guarantees that apply to a key. A rollout affects keys of some kinds, and ends when no key of
// these kinds is in use by an older message.
type Kind uint8

// KindCount is the number of kinds.
const KindCount = 8

// Claim is the use of a key by a message. All claims of one key have the same kind.
type Claim struct {
	KeyHash   KeyHash
	Retention time.Duration // how long the key stays in use after the message has completed
	Kind      Kind          // below KindCount
}

// generation numbers rule sets in the order in which they are applied.
type generation uint64

// entry is the ledger's record of an unfinished message.
type entry struct {
	Claim
	generation generation
}

// age classifies messages by generation.
type age int

const (
	olderGeneration   age = iota // generations before the current one
	currentGeneration            // the current generation
)

// keyState is the use of one key by messages.
type keyState struct {
	hash       KeyHash
	kind       Kind
	unfinished [2]int           // unfinished messages, by age
	usedUntil  [2]time.Duration // until when messages that were removed from the ledger keep the key in use, by age
	expiry     container.Item[*keyState]
}

// inUse reports whether messages of an age use the key.
func (k *keyState) inUse(a age, now time.Duration) bool {
	return k.unfinished[a] > 0 || k.usedUntil[a] > now
}

// markAllOlder counts all messages of the key as messages of earlier generations.
func (k *keyState) markAllOlder() {
	k.unfinished = [2]int{olderGeneration: k.unfinished[olderGeneration] + k.unfinished[currentGeneration]}
	k.usedUntil = [2]time.Duration{olderGeneration: max(k.usedUntil[olderGeneration], k.usedUntil[currentGeneration])}
}
