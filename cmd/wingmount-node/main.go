// Command wingmount-node is a node of the platform, as 'wingmount' without arguments. It has nothing else in it: the files
// of a program count as memory of its processes, and nodes may have little.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"wingmount/internal/node"
	"wingmount/internal/platform"
)

func main() {
	level := slog.LevelInfo
	if os.Getenv("WINGMOUNT_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if err := run(log); err != nil {
		fmt.Fprintf(os.Stderr, "wingmount-node: %v\n", err)
		os.Exit(1)
	}
}

// run serves by the platform's configuration until SIGTERM or an interrupt.
func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP is caught as long as the process runs, also before the node listens to it: by default it ends a process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	load := func() (platform.Config, error) { return platform.LoadConfig(os.Getenv) }
	c, err := load()
	if err != nil {
		return err
	}
	return node.Run(ctx, c, node.Reload{Signals: reload, Load: load}, log)
}
