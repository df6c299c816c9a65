// Package rules computes the class and the key of a message by rules that operators write. It does
// no I/O and reads no clock.
//
// A compiled [Set] has these properties:
//   - typed: every rule reads a field as its declared type;
//   - bounded: evaluating a message costs at most [Set.CostBound], which is known before any message arrives;
//   - all classes of its rules exist, and only a rule marked relaxes gives a weaker guarantee than the client's class;
//   - two messages of a deduplicated class get the same computed key only if all fields of an identity are equal.
//
// A Set is immutable and safe for concurrent use.
//
// Start reading at [Compile] (compile.go) and [Set.Evaluate] (evaluate.go). docs/design/rules.md compares the options;
// docs/operate/rules.md describes the file.
package rules

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
	"wingmount/policy"

	"github.com/google/cel-go/cel"
)

// Class contains the settings of a class that rules depend on.
type Class struct {
	Name         string
	Repeat       policy.Repeat
	Ordered      bool
	KeyRetention time.Duration // how long a key stays in use after its message has completed
}

// GuaranteesKeys reports whether the class guarantees anything about messages with the same key.
func (c Class) GuaranteesKeys() bool { return c.Ordered || c.Repeat == policy.Deduplicated }

// Input is a message as received from its client.
type Input struct {
	ID, Key, Class string // Key is empty if the client gave none
	Dest           int
	Body           []byte
}

// NoRule is the [Result.Rule] of a message that no rule matched.
const NoRule = -1

// Result is the class and key of a message after evaluation.
type Result struct {
	Class, Key string
	Rule       int                  // index of the matched rule in the file, or NoRule
	Cost       uint64               // cost units that the evaluation used
	Invalid    *InvalidMessageError // why the message kept its class and key with [AcceptInvalid]; nil otherwise
}

// InvalidMessageError reports a message that can't be evaluated: its body does not match the declaration, its client's
// key has the form of a computed key, or a rule failed or returned an invalid key.
type InvalidMessageError struct {
	Place  string // of the error: in the body, a setting of a rule, or the header Idempotency-Key
	Reason string // sent to the client
	Cost   uint64 // cost units used up to the error
	// reservedKey means that the client's key has the form of a computed key. Such a message is rejected even with
	// AcceptInvalid, since its key could collide with a computed key.
	reservedKey bool
}

func (e *InvalidMessageError) Error() string { return e.Place + ": " + e.Reason }

// Set is a compiled rule file. It is safe for concurrent use.
type Set struct {
	spec      Spec
	classes   map[string]Class
	kinds     map[string]*messageKind // by class
	costBound uint64                  // the highest cost bound of all kinds
}

// messageKind is one kind of message with its rules.
type messageKind struct {
	class        string
	body         *body
	rules        []rule
	costBound    uint64 // of evaluating one message, including reading its body
	computesKeys bool   // a rule computes keys, so clients must not use keys with computedKeyPrefix
}

// rule is a rule compiled for one kind of message.
type rule struct {
	index            int // in the file
	name             string
	when, class, key *program // nil if the rule has no such expression
	possibleClasses  []string
}

// program is one compiled expression.
type program struct {
	run       cel.Program
	costBound uint64
}

// namedProgram is an expression of a rule with the name of its setting.
type namedProgram struct {
	setting string
	*program
}

// programs returns the expressions that the rule has, in the order of evaluation.
func (r *rule) programs() []namedProgram {
	all := []namedProgram{{"when", r.when}, {"class", r.class}, {"key", r.key}}
	return slices.DeleteFunc(all, func(p namedProgram) bool { return p.program == nil })
}

// Empty returns the set without rules, which leaves each message unchanged.
func Empty() *Set { return &Set{classes: map[string]Class{}, kinds: map[string]*messageKind{}} }

// CostBound returns the highest cost of evaluating any one message, in cost units.
func (s *Set) CostBound() uint64 { return s.costBound }

// RuleCount returns the number of rules.
func (s *Set) RuleCount() int { return len(s.spec.Rules) }

// RuleName returns the name of the rule with an index, or "" for [NoRule].
func (s *Set) RuleName(index int) string {
	if index < 0 || index >= len(s.spec.Rules) {
		return ""
	}
	return s.spec.Rules[index].Name
}

// CostItem is one row of a cost breakdown.
type CostItem struct {
	Class, Name string
	Bound       uint64 // cost units
}

// CostBreakdown returns the cost bounds of the parts of each kind's evaluation, followed by the kind's cost bound, in
// the order of the file.
func (s *Set) CostBreakdown() []CostItem {
	var items []CostItem
	for _, m := range s.spec.Messages {
		kind := s.kinds[m.Class]
		if kind == nil || len(kind.rules) == 0 {
			continue
		}
		items = append(items, CostItem{m.Class, "reading the body", kind.body.costBound()})
		for _, r := range kind.rules {
			for _, p := range r.programs() {
				items = append(items, CostItem{m.Class, fmt.Sprintf("rule %q, %s", r.name, p.setting), p.costBound})
			}
		}
		items = append(items, CostItem{m.Class, "in all", kind.costBound}) // the highest cost, not the sum of the parts
	}
	return items
}

// ChangedClasses returns the classes of the kinds of message for which s and other may give different results.
func (s *Set) ChangedClasses(other *Set) []string {
	var changed []string
	for _, m := range slices.Concat(s.spec.Messages, other.spec.Messages) {
		if !slices.Contains(changed, m.Class) && !reflect.DeepEqual(s.kindSpec(m.Class), other.kindSpec(m.Class)) {
			changed = append(changed, m.Class)
		}
	}
	return changed
}

// kindSpec is the part of a file that determines the results for one kind of message.
type kindSpec struct {
	message   []MessageSpec
	rules     []RuleSpec
	onInvalid string
}

// kindSpec returns the part of the file about a kind of message. It is zero if no rule applies to that kind.
func (s *Set) kindSpec(class string) kindSpec {
	var k kindSpec
	for _, r := range s.spec.Rules {
		if slices.Contains(r.For, class) {
			k.rules = append(k.rules, RuleSpec{When: r.When, Class: r.Class, Key: r.Key})
		}
	}
	if len(k.rules) == 0 {
		return kindSpec{}
	}
	for _, m := range s.spec.Messages {
		if m.Class == class {
			k.message = append(k.message, m)
		}
	}
	k.onInvalid = s.spec.OnInvalid
	return k
}

// PossibleClasses returns the classes that a message of a client's class may have after evaluation, that class first.
func (s *Set) PossibleClasses(class string) []string {
	possible := []string{class}
	kind := s.kinds[class]
	if kind == nil {
		return possible
	}
	for _, r := range kind.rules {
		for _, to := range r.possibleClasses {
			if !slices.Contains(possible, to) {
				possible = append(possible, to)
			}
		}
	}
	return possible
}

// CompileErrors contains the errors of a rule file, each prefixed with its place.
type CompileErrors []error

func (e CompileErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, for [errors.Is] and [errors.As].
func (e CompileErrors) Unwrap() []error { return e }
