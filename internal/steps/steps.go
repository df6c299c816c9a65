// Package steps records the events that a decision module got and the actions that it decided, step by step, and replays
// a recording: the same build decides the same, and for another the replay shows where it differs.
//
// A recording has numbers only: no ids of clients, keys or bodies. Its size is bounded, and a recorder never waits for a
// disk: it ends the recording if the writer falls behind or the file is full, and the steps up to there can be replayed.
//
// The form of a recording is fixed by gob, which writes the names of types and fields, and for elements of lists that of
// this package too ("[]steps.event"). So the package is not named decisionlog, and the types in form.go keep names that
// package policy has given up; nothing else depends on these.
//
// A [Recorder] is used by one goroutine at a time, and writes in one of its own. Start reading at [Recorder.Step] and
// [Replay].
package steps

import "wingmount/policy"

// Step is one step of a decision module.
type Step struct {
	Now     policy.Time
	Events  []policy.Event
	Actions []policy.Action
}
