package fleetlog

import (
	"strconv"
	"strings"
	"time"
	"wingmount/policy"
)

// The messages of the log lines that are counted. Nodes of all versions log these words, so they stay.
const (
	messageAccepted  = "taken"
	messageCall      = "call"
	messageOutcome   = "outcome"
	messageCompleted = "ended" // without a delivery
	messagePeer      = "note"
)

// line is a log line that may be counted.
type line struct {
	at      time.Time
	message string
	fields  map[string]string // by name, as they are written
}

// parseLine parses a log line. It returns false if the line has no time, or a message that is not counted.
func parseLine(text string) (line, bool) {
	fields := parseFields(text)
	message := fields["msg"]
	switch message {
	case messageAccepted, messageCall, messageOutcome, messageCompleted, messagePeer:
	default:
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	return line{at: at, message: message, fields: fields}, err == nil
}

// parseFields returns the fields NAME=VALUE of a log line. Values with spaces are cut at the first one: none that is
// counted has any.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for _, field := range strings.Fields(text) {
		if name, value, ok := strings.Cut(field, "="); ok {
			fields[name] = value
		}
	}
	return fields
}

// destination returns the number of the destination, and whether the line has one.
func (l line) destination() (int, bool) {
	number, err := strconv.Atoi(l.fields["dest"])
	return number, err == nil
}

// messagesInCall returns how many messages a call has, 0 if the line does not say so.
func (l line) messagesInCall() int {
	n, err := strconv.Atoi(l.fields["messages"])
	if err != nil {
		return 0
	}
	return n
}

// outcome returns the outcome of a message in a call, and whether the line has one.
func (l line) outcome() (policy.Outcome, bool) {
	number, err := strconv.Atoi(l.fields["outcome"])
	outcome := policy.Outcome(number)
	return outcome, err == nil && number >= 0 && outcome <= policy.NotSent
}
