package main

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// errHelpPrinted ends a sub-command that has printed its help.
var errHelpPrinted = errors.New("help was given")

// parseArgs parses the arguments of a sub-command into a struct with kong tags, and returns the selected command
// below it. It fails with errHelpPrinted if help was asked for.
func parseArgs(name, about string, into any, args []string, out io.Writer) (string, error) {
	var helpErr error
	parser, err := kong.New(into, kong.Name(name), kong.Description(about), kong.Writers(out, out),
		kong.Exit(func(int) { helpErr = errHelpPrinted })) // kong would end the process after help
	if err != nil {
		return "", err
	}
	parsed, err := parser.Parse(args)
	if helpErr != nil { // kong goes on after help, and may find the other arguments incomplete
		return "", helpErr
	}
	if err != nil {
		return "", err
	}
	return parsed.Command(), nil
}

// ignoreHelp returns nil for errHelpPrinted, and any other error as it is.
func ignoreHelp(err error) error {
	if errors.Is(err, errHelpPrinted) {
		return nil
	}
	return err
}

// parseConfigFlag parses --config, which is required, and the flags that define adds, and returns the path. It fails
// if there are other arguments.
func parseConfigFlag(name string, args []string, define func(*flag.FlagSet)) (string, error) {
	set := flag.NewFlagSet("wingmount "+name, flag.ContinueOnError)
	path := set.String("config", "", "the `FILE` of this installation, see deploy/gateway.toml")
	if define != nil {
		define(set)
	}
	if err := set.Parse(args); err != nil {
		return "", err
	}
	if *path == "" || set.NArg() > 0 {
		return "", fmt.Errorf("usage: wingmount %s --config FILE", name)
	}
	return *path, nil
}
