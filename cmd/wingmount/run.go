package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"wingmount/internal/config"
	"wingmount/internal/failpoint"
	"wingmount/internal/node"
	"wingmount/internal/platform"
)

// runPlatformNode runs a node of the platform, which is configured by the environment, until the context ends.
func runPlatformNode(ctx context.Context, reload <-chan os.Signal, log *slog.Logger) error {
	if err := execNodeProgram(); err != nil {
		log.Warn("the program of the node does not start, this one continues", "err", err)
	}
	load := func() (platform.Config, error) { return platform.LoadConfig(os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	return node.Run(ctx, c, node.Reload{Signals: reload, Load: load}, log)
}

// runGatewayNode runs a node that is configured by a file until the context ends.
func runGatewayNode(ctx context.Context, args []string, reload <-chan os.Signal, log *slog.Logger) error {
	var failpoints, recording string
	path, err := parseConfigFlag("run", args, func(set *flag.FlagSet) {
		set.StringVar(&failpoints, "fail", "", "for tests: failure `POINTS` to arm, as POINT=ACTION[@N],...")
		set.StringVar(&recording, "record", "", "record the decisions in a new `FILE`, 256 MB at most, for 'wingmount replay'")
	})
	if err != nil {
		return err
	}
	load := func() (*config.File, error) { return config.Load(path) }
	f, err := load()
	if err != nil {
		return err
	}
	if failpoints != "" {
		if err := failpoint.Arm(failpoints); err != nil {
			return err
		}
	}
	return node.RunGateway(ctx, node.GatewayConfig{File: f, Signals: reload, Load: load, Recording: recording, Log: log})
}

// checkConfig checks a node's file, and the rules and the key that it names.
func checkConfig(args []string, out io.Writer) error {
	path, err := parseConfigFlag("check", args, nil)
	if err != nil {
		return err
	}
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	if f.Rules.File != "" {
		if _, _, err := config.LoadRules(f.Rules.File, f.RuleClasses()); err != nil {
			return err
		}
	}
	if f.Gossip.Listen != "" {
		if _, err := f.GossipKey(); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "%s is good: %d classes, %d destinations, %d endpoints, store %s\n",
		path, len(f.Classes), len(f.Destinations), len(f.List().Members), f.Store.Kind)
	return err
}

// nodeProgram is the program of a node of the platform. It does the same as this one without arguments, with less memory: the
// files of a program count as memory of its processes.
const nodeProgram = "wingmount-node"

// execNodeProgram replaces this process by the nodeProgram in the folder of this program. It returns nil if there is none.
func execNodeProgram() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), nodeProgram)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return syscall.Exec(path, []string{path}, os.Environ())
}
