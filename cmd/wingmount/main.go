// Command wingmount is a node of the delivery gateway, and the tools of those who operate one.
//
// Each sub-command has a file, and its arguments a struct whose tags name the flags. Names, help texts and exit codes
// are part of what operators rely on: TestGoldenCommandLine pins them. Start reading at runCommand.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"wingmount/internal/demo"
)

const usage = `usage:
  wingmount                       a node of the platform, by PROXY_CONFIG and its like
  wingmount run --config FILE     a node of another installation
  wingmount check --config FILE   says what is wrong with a file
  wingmount store check|stat|show ID|export|backup FILE|migrate --config FILE
                                  looks at a store of record, see docs/operate/store.md
  wingmount rules check|try|diff --config FILE
                                  looks at rules for keys and classes, see docs/operate/rules.md
  wingmount peers key FILE        makes a node's key in a new file, and prints the public one
  wingmount peers show --config FILE [--json]
                                  what a node knows of its peers, see docs/operate/gossip.md
  wingmount control --config FILE assigns destinations to nodes, see docs/operate/assignment.md
  wingmount assignment show|drain NODE|explain DESTINATION --config FILE
                                  looks at the assignment of destinations, and drains a node
  wingmount quorum show|world FILE|add ID REGION ADDRESS|remove ID --config FILE
                                  looks at control machines that agree, see docs/operate/quorum.md
  wingmount replay RECORD         plays what 'run --record RECORD' recorded of decisions, and reports
  wingmount fleet [--span 1s] [--endpoints] LOG...
                                  counts over nodes' logs (WINGMOUNT_DEBUG=1) what went to each destination
  wingmount scale run FILE [--json OUT] [--only WORD]
                                  measures growth by nodes and destinations, see docs/CAPACITY.md
  wingmount demo [SCENARIO]       real traffic against stand-ins on loopback; --list names the scenarios
`

func main() {
	level := slog.LevelInfo
	if os.Getenv("WINGMOUNT_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP is caught as long as the process runs, also before a node listens to it: by default it ends a process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := runCommand(ctx, os.Args[1:], reload, os.Stdout, log); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintf(os.Stderr, "wingmount: %v\n", err)
		}
		os.Exit(1)
	}
}

// runCommand runs the sub-command that the arguments name, or without arguments a node of the platform.
func runCommand(ctx context.Context, args []string, reload <-chan os.Signal, out io.Writer, log *slog.Logger) error {
	if len(args) == 0 {
		return runPlatformNode(ctx, reload, log)
	}
	switch args[0] {
	case "run":
		return runGatewayNode(ctx, args[1:], reload, log)
	case "check":
		return checkConfig(args[1:], out)
	case "store":
		return storeCommand(ctx, args[1:], out)
	case "rules":
		return rulesCommand(args[1:], os.Stdin, out)
	case "peers":
		return peersCommand(args[1:], out)
	case "control":
		return controlCommand(ctx, args[1:], reload, out, log)
	case "assignment":
		return assignmentCommand(ctx, args[1:], out)
	case "quorum":
		return quorumCommand(ctx, args[1:], out)
	case "replay":
		return replayCommand(args[1:], out)
	case "fleet":
		return fleetCommand(args[1:], out)
	case "scale":
		return scaleCommand(ctx, args[1:], os.Stdin, out)
	case "demo":
		return demo.Command(ctx, args[1:], out, os.Stderr)
	case "help", "-h", "--help":
		_, err := fmt.Fprint(out, usage)
		return err
	}
	return fmt.Errorf("unknown command %q\n%s", args[0], usage)
}
