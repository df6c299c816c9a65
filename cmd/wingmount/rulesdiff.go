package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"wingmount/decide/rules"
	"wingmount/internal/message"
)

// maxPrintedChanges is how many changes of each kind are printed; the others are only counted.
const maxPrintedChanges = 5

// maxLineLength is the longest line of messages, in bytes: a body may be longer as JSON than as it is.
const maxLineLength = 4 * message.MaxBodyLength

// messageLine is a message as operators write it down for a comparison of rules.
type messageLine struct {
	Class string
	ID    string
	Key   string
	Dest  int
	Body  json.RawMessage
}

func (m messageLine) input() rules.Input {
	return rules.Input{ID: m.ID, Key: m.Key, Class: m.Class, Dest: m.Dest, Body: m.Body}
}

// changedMessage is a message that two rule sets evaluate differently.
type changedMessage struct {
	ID     string     `json:"id"`
	After  evaluation `json:"is"`
	Line   int        `json:"line"` // the first is 1
	Before evaluation `json:"was"`
}

// diffCounts counts messages by what other rules would change for them, each message once.
type diffCounts struct {
	messages   int
	otherClass int
	otherKey   int
	validNow   int
	invalidNow int
}

// add counts a message, and returns how many messages have had the same kind of change, 0 if nothing changes.
func (c *diffCounts) add(before, after evaluation) int {
	var count *int
	switch {
	case after.valid() && !before.valid():
		count = &c.validNow
	case !after.valid() && before.valid():
		count = &c.invalidNow
	case before.Class != after.Class:
		count = &c.otherClass
	case before.Key != after.Key:
		count = &c.otherKey
	default:
		return 0
	}
	*count++
	return *count
}

// diffRules prints which messages of a file other rules would evaluate differently, and counts them.
func diffRules(path string, current, other *rules.Set, in io.Reader, out io.Writer) error {
	file, err := openInput(path, in)
	if err != nil {
		return fmt.Errorf("reading messages: %w", err)
	}
	defer func() { _ = file.Close() }()
	var counts diffCounts
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineLength)
	for lines.Scan() {
		counts.messages++
		var m messageLine
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return fmt.Errorf("%s, line %d: %w", path, counts.messages, err)
		}
		before, after := evaluate(current, m.input()), evaluate(other, m.input())
		if n := counts.add(before, after); n == 0 || n > maxPrintedChanges {
			continue
		}
		change := changedMessage{ID: m.ID, After: after, Line: counts.messages, Before: before}
		if err := printChange(change, out); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s, line %d: %w", path, counts.messages+1, err)
	}
	_, err = fmt.Fprintf(out, "%d messages: %d of another class, %d with another key, %d would not fit any more, %d would fit now\n",
		counts.messages, counts.otherClass, counts.otherKey, counts.invalidNow, counts.validNow)
	return err
}

// printChange prints a change as a line of JSON.
func printChange(change changedMessage, out io.Writer) error {
	text, err := json.Marshal(change)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}
