// Command wingmount is one delivery node.
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Taken from the first moment to the last: untaken, SIGHUP ends a process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := run(ctx, reload, log); err != nil {
		fmt.Fprintf(os.Stderr, "wingmount: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, reload <-chan os.Signal, log *slog.Logger) error {
	c, err := platform.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	return node.Run(ctx, c, node.Reload{Signals: reload, Load: func() (platform.Config, error) { return platform.LoadConfig(os.Getenv) }}, log)
}
