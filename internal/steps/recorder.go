package steps

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"wingmount/policy"
)

// maxQueuedSteps is how many steps may wait for the writer.
const maxQueuedSteps = 1024

// errFull is the error of a write that would exceed the size of a recording.
var errFull = errors.New("the record is full")

// Recorder writes a recording.
type Recorder struct {
	steps   chan Step
	written chan error // gets the result of the writer once
	stopped bool       // the writer has fallen behind
	log     *slog.Logger
}

// Create starts a recording of at most maxBytes in a new file. It fails if the file exists.
func Create(path string, maxBytes int64, s policy.Settings, seed uint64, log *slog.Logger) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("beginning a record of steps: %w", err)
	}
	return newRecorder(f, maxBytes, s, seed, log), nil
}

// newRecorder starts a recording, and closes the file at its end.
func newRecorder(f io.WriteCloser, maxBytes int64, s policy.Settings, seed uint64, log *slog.Logger) *Recorder {
	r := &Recorder{steps: make(chan Step, maxQueuedSteps), written: make(chan error, 1), log: log}
	go func() { r.written <- r.write(f, maxBytes, header{formatVersion, settingsForm(s), seed}) }()
	return r
}

// write writes the header and all steps until the recording is closed. After an error it drops the other steps.
func (r *Recorder) write(f io.WriteCloser, maxBytes int64, h header) error {
	out := bufio.NewWriter(&boundedWriter{f, maxBytes})
	encoder := gob.NewEncoder(out)
	err := encoder.Encode(h)
	for step := range r.steps {
		if err == nil {
			err = encoder.Encode(pack(step))
		}
		if err == nil && len(r.steps) == 0 {
			err = out.Flush() // so that the file of a killed process is nearly complete
		}
	}
	return errors.Join(err, out.Flush(), f.Close())
}

// boundedWriter fails with errFull, without a part of it written, on the first write that exceeds its bound.
type boundedWriter struct {
	io.Writer
	left int64 // bytes
}

func (w *boundedWriter) Write(p []byte) (int, error) {
	if int64(len(p)) > w.left {
		return 0, errFull
	}
	w.left -= int64(len(p))
	return w.Writer.Write(p)
}

// Step records a step. It copies the slices, and does not block.
func (r *Recorder) Step(now policy.Time, events []policy.Event, actions []policy.Action) {
	if r.stopped {
		return
	}
	select {
	case r.steps <- Step{now, slices.Clone(events), slices.Clone(actions)}:
	default:
		// A recording with a gap can't be replayed.
		r.stopped = true
		r.log.Warn("steps: the record ends, its writer does not keep up")
	}
}

// Close ends the recording and waits until it is written. It returns no error if the recording is full.
func (r *Recorder) Close() error {
	close(r.steps)
	err := <-r.written
	if errors.Is(err, errFull) {
		r.log.Warn("steps: the record was full before the end")
		return nil
	}
	if err != nil {
		return fmt.Errorf("ending a record of steps: %w", err)
	}
	return nil
}
