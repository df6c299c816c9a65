package simulation

import (
	"fmt"
	"wingmount/policy"
)

// Rule names a rule that the checker evaluates.
type Rule string

// The six rules of the service.
const (
	// RuleCompletion: each accepted message completes once, in time.
	RuleCompletion Rule = "completion"
	// RuleDuplicate: no message is sent or executed again where its class forbids it.
	RuleDuplicate Rule = "duplicate"
	// RuleDrain: calls to a draining or removed endpoint cease within the grace.
	RuleDrain Rule = "drain"
	// RuleOverload: nodes that saw an outage do not overload the destination when it recovers.
	RuleOverload Rule = "overload"
	// RuleOrder: the messages of an ordering key are sent one at a time, in order.
	RuleOrder Rule = "order"
	// RuleRetryAfter: a node waits for the Retry-After of a rejection.
	RuleRetryAfter Rule = "retry-after"
)

// The rules of leases, and the bounds of the simulation itself.
const (
	// RuleQuota: the quotas of a destination in use sum up to 1 at most.
	RuleQuota Rule = "quota"
	// RuleRate: the calls of all nodes keep the limit of a destination.
	RuleRate Rule = "rate"
	// RuleSimulation: the run was cut off, and its result is void.
	RuleSimulation Rule = "simulation"
)

// maxViolations bounds the violations that a checker keeps.
const maxViolations = 20

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Checker finds violations. It observes what the cluster does, which does not depend on it, and knows nothing of the
// modules.
type Checker struct {
	Violations      []Violation // the first of them
	Executions      int         // messages that ran, repetitions among them
	LateCompletions int
	MaxQuotaSum     float64 // the greatest sum of quotas of a destination in use at a time

	settings      policy.Settings
	withdrawals   map[nodeEndpoint]policy.Time
	retryWaits    map[nodeDestination]retryWait
	outages       map[*destination]*outageView
	firstRuns     map[execution]policy.Time
	queues        map[orderingKey][]*message
	cooldowns     map[orderingKey]policy.Time
	interruptions map[*node]policy.Time // when the process that was last interrupted had started
	rates         map[*destination]*rateWindow
}

// nodeEndpoint is an endpoint as a node sees it.
type nodeEndpoint struct {
	node     *node
	endpoint policy.EndpointID
}

// nodeDestination is a destination as a node sees it.
type nodeDestination struct {
	node        *node
	destination *destination
}

func newChecker(settings policy.Settings) *Checker {
	return &Checker{
		settings:      settings,
		withdrawals:   map[nodeEndpoint]policy.Time{},
		retryWaits:    map[nodeDestination]retryWait{},
		outages:       map[*destination]*outageView{},
		firstRuns:     map[execution]policy.Time{},
		queues:        map[orderingKey][]*message{},
		cooldowns:     map[orderingKey]policy.Time{},
		interruptions: map[*node]policy.Time{},
		rates:         map[*destination]*rateWindow{},
	}
}

// CountByRule returns how many violations of each rule are kept.
func (c *Checker) CountByRule() map[Rule]int {
	counts := map[Rule]int{}
	for _, v := range c.Violations {
		counts[v.Rule]++
	}
	return counts
}

// report keeps a violation.
func (c *Checker) report(rule Rule, format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}
