// Package policy makes the delivery decisions of one node: which message is sent to which endpoint, when, and
// with which timeout, and when a message is retried, rejected or given up.
//
// A [Sender] does no I/O, starts no goroutines and reads no clock. The node that owns it passes in events
// with the time at which they were observed and executes the actions that [Sender.Step] returns. The same
// events and seed give the same actions. A Sender is not safe for concurrent use.
//
// Start reading at [Sender.Step]. Each concern has a file with its constants and its state:
//
//   - settings.go: settings, entries of the endpoint list, outcomes
//   - events.go: events and actions
//   - sender.go: event dispatch, actions, wake-ups
//   - schedule.go: order in which messages are sent, and batching
//   - queue.go: messages from arrival to outcome
//   - select.go: choice of the endpoint for a message
//   - ratelimit.go: the two sliding windows of a path and its allotment of calls
//   - circuit.go: failure score, outliers, circuit breaker
//   - probe.go: calls to endpoints that are suspect or whose circuit is open
//   - slowstart.go: the recovery ramp after an outage
//   - timeout.go: timeouts and stalled calls
//   - retry.go: idempotency, attempts, backoff
//   - shed.go: giving up at the deadline, load shedding
//   - forecast.go: expected rates and waits
//   - peers.go: reports from and to other senders
//   - registry.go: destinations, paths and endpoints, by the endpoint list
//   - restore.go: calls and outages observed before the node restarted
package policy
