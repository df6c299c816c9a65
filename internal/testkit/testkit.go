// Package testkit has what tests of several packages share: ending a test on an error, waiting for a condition, a logger
// that discards, and golden files.
//
// Its functions follow the rules of [testing.TB]: those that may end the test are called by the test's own goroutine.
//
// Start reading at [Must], [Eventually] and [Golden].
package testkit

import (
	"io"
	"log/slog"
	"testing"
	"time"
)

// EventuallyTimeout is how long [Eventually] waits. A busy machine stays within it, and a test that passes does not wait
// for it.
const EventuallyTimeout = 20 * time.Second

// eventuallyInterval is how often [Eventually] evaluates the condition.
const eventuallyInterval = time.Millisecond

// Must ends the test if there is an error.
func Must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// QuietLog returns a logger that formats messages and discards them.
func QuietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Eventually waits until a condition is true, which another goroutine or process makes true. It ends the test if that
// takes longer than [EventuallyTimeout]; what names the condition then.
func Eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	EventuallyWithin(tb, EventuallyTimeout, what, condition)
}

// EventuallyWithin is [Eventually] with a timeout of its own.
func EventuallyWithin(tb testing.TB, timeout time.Duration, what string, condition func() bool) {
	tb.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(eventuallyInterval) {
		if condition() {
			return
		}
	}
	tb.Fatalf("not within %v: %s", timeout, what)
}
