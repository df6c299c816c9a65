package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"wingmount/internal/steps"
)

// replayCommand replays a recording of decisions and prints a report. It fails if this build decides otherwise.
func replayCommand(args []string, out io.Writer) error {
	if len(args) != 1 {
		return errors.New("usage: wingmount replay RECORD")
	}
	recording, err := os.Open(args[0])
	if err != nil {
		return fmt.Errorf("reading a record of steps: %w", err)
	}
	defer func() { _ = recording.Close() }()
	report := steps.NewReport()
	if err := steps.Replay(recording, report.Add); err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	if report.Differing > 0 {
		return fmt.Errorf("this build decides otherwise in %d of %d steps", report.Differing, report.Steps)
	}
	return nil
}
