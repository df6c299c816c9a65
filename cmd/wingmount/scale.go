package main

import (
	"context"
	"errors"
	"io"
	"os"
	"wingmount/internal/scaletest"
)

// scaleArgs are the arguments of 'wingmount scale'.
type scaleArgs struct {
	Run struct {
		Scenario   string `arg:"" name:"file" help:"The scenario, see deploy/scale."`
		ReportFile string `name:"json" placeholder:"FILE" help:"Also write the report as JSON to a new file."`
		Only       string `name:"only" placeholder:"WORD" help:"Only slopes and fleets whose name contains the word."`
	} `cmd:"" name:"run" help:"Measure what a scenario asks for."`
	Role struct {
		Role string `arg:"" name:"role" help:"What this process of a run is."`
	} `cmd:"" name:"role" hidden:""`
}

// scaleCommand runs what follows 'scale' on the command line: a measurement, or one process of it.
func scaleCommand(ctx context.Context, args []string, in io.Reader, out io.Writer) error {
	var a scaleArgs
	command, err := parseArgs("wingmount scale", "Measures growth by nodes and by destinations, see docs/CAPACITY.md.", &a, args, out)
	if err != nil {
		return ignoreHelp(err)
	}
	if command == "role <role>" {
		return scaletest.RunRole(ctx, a.Role.Role, in, out)
	}
	return runScaleTest(ctx, a, out)
}

// runScaleTest measures a scenario in processes of this program, and prints the report.
func runScaleTest(ctx context.Context, a scaleArgs, out io.Writer) error {
	scenario, err := scaletest.Load(a.Run.Scenario)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	report, err := scaletest.Run(ctx, scenario, scaletest.Options{
		Command: []string{program, "scale", "role"}, Node: []string{program}, Only: a.Run.Only, Path: a.Run.Scenario,
	})
	// What was measured before an error is printed all the same.
	err = errors.Join(err, report.Write(out))
	if a.Run.ReportFile == "" {
		return err
	}
	file, createErr := os.OpenFile(a.Run.ReportFile, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o666)
	if createErr != nil {
		return errors.Join(err, createErr)
	}
	return errors.Join(err, report.WriteJSON(file), file.Close())
}
