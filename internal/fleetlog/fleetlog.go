// Package fleetlog counts over the logs of many nodes what they sent to each destination, and with which outcomes.
//
// It reads the debug lines that the engine logs for each message, call and outcome, and skips all others. It keeps
// counts only, so its memory grows with destinations, endpoints and spans of time, and is bounded. A [Counts] is used by
// one goroutine at a time. Start reading at [Counts.Read].
package fleetlog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
	"wingmount/policy"
)

const (
	// maxCells is the highest number of cells that are counted, and of spans with peer messages: some 50 MB.
	maxCells = 200_000
	// maxLineBytes is the length of the longest line that is read; longer ones are skipped.
	maxLineBytes = 64 << 10
)

// ErrTooMany is returned if logs have more destinations, endpoints and spans than are counted.
var ErrTooMany = errors.New("more destinations, endpoints and spans than are counted: choose a longer span")

// Key is what a cell counts. Endpoint is empty for all endpoints of a destination.
type Key struct {
	Destination int
	Endpoint    string
	Span        int64 // its number; the first span begins with the first line that is counted
}

// Cell counts what happened to a destination, or at one of its endpoints, within a span. Accepted and Undelivered are 0
// for endpoints.
type Cell struct {
	Accepted    int // messages
	Calls       int
	Sent        int                    // messages in the calls
	Outcomes    map[policy.Outcome]int // of messages
	Undelivered int                    // messages that completed without a delivery
}

// Counts are the counts of a fleet.
type Counts struct {
	span         time.Duration
	start        time.Time // of the first span; zero until a line is counted
	cells        map[Key]*Cell
	peerMessages map[int64]int // by span
	logs         int           // that were read
}

// New returns empty counts by spans of a length, which is a millisecond at least.
func New(span time.Duration) *Counts {
	return &Counts{span: max(span, time.Millisecond), cells: map[Key]*Cell{}, peerMessages: map[int64]int{}}
}

// Read counts the lines of one node's log. It fails if the log can't be read, and with [ErrTooMany].
func (c *Counts) Read(log io.Reader) error {
	c.logs++
	r := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			text, err = nil, skipLine(r)
		}
		if len(text) > 0 {
			if err := c.countLine(string(text)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a log: %w", err)
		}
	}
}

// skipLine skips the rest of a line that is too long.
func skipLine(r *bufio.Reader) error {
	for {
		if _, err := r.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// countLine counts a line. One that can't be parsed or is not counted changes nothing.
func (c *Counts) countLine(text string) error {
	l, ok := parseLine(text)
	if !ok {
		return nil
	}
	if c.start.IsZero() {
		c.start = l.at
	}
	span := int64(l.at.Sub(c.start) / c.span)
	if l.message == messagePeer {
		return c.countPeerMessage(span)
	}
	destination, ok := l.destination()
	if !ok {
		return nil
	}
	keys := []Key{{Destination: destination, Span: span}}
	if endpoint := l.fields["endpoint"]; endpoint != "" {
		keys = append(keys, Key{Destination: destination, Endpoint: endpoint, Span: span})
	}
	for _, key := range keys {
		cell, err := c.ensureCell(key)
		if err != nil {
			return err
		}
		cell.count(l)
	}
	return nil
}

// countPeerMessage counts a message that a node has sent to a peer.
func (c *Counts) countPeerMessage(span int64) error {
	c.peerMessages[span]++
	if len(c.peerMessages) > maxCells {
		return ErrTooMany
	}
	return nil
}

// ensureCell returns the cell of a key, and adds it if there is none. It fails with [ErrTooMany].
func (c *Counts) ensureCell(key Key) (*Cell, error) {
	if cell := c.cells[key]; cell != nil {
		return cell, nil
	}
	if len(c.cells) >= maxCells {
		return nil, ErrTooMany
	}
	cell := &Cell{Outcomes: map[policy.Outcome]int{}}
	c.cells[key] = cell
	return cell, nil
}

// Cell returns the counts of a key, which are zero if nothing was counted.
func (c *Counts) Cell(key Key) Cell {
	if cell := c.cells[key]; cell != nil {
		return *cell
	}
	return Cell{}
}

// count counts a line.
func (cell *Cell) count(l line) {
	switch l.message {
	case messageAccepted:
		cell.Accepted++
	case messageCompleted:
		cell.Undelivered++
	case messageCall:
		cell.Calls++
		cell.Sent += l.messagesInCall()
	case messageOutcome:
		if outcome, ok := l.outcome(); ok {
			cell.Outcomes[outcome]++
		}
	}
}
