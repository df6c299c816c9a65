package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
	"wingmount/internal/fleetlog"
)

// fleetCommand counts over the debug logs of many nodes what they sent to each destination.
func fleetCommand(args []string, out io.Writer) error {
	set := flag.NewFlagSet("wingmount fleet", flag.ContinueOnError)
	span := set.Duration("span", time.Second, "the `TIME` that is counted together")
	endpoints := set.Bool("endpoints", false, "also by endpoint")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() == 0 {
		return errors.New("which logs? wingmount fleet [--span 1s] [--endpoints] LOG [LOG...]")
	}
	if *span <= 0 {
		return fmt.Errorf("--span is %v: a time above 0 is needed", *span)
	}
	counts := fleetlog.New(*span)
	for _, path := range set.Args() {
		if err := countLog(counts, path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return counts.Write(out, *endpoints)
}

// countLog adds the lines of one node's log.
func countLog(counts *fleetlog.Counts, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return counts.Read(file)
}
