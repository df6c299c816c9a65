package scaletest

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"
	"wingmount/internal/clusterspec"
	"wingmount/internal/control"
)

// The settings of the control process are those of deploy/assignment.toml.
const (
	controlDrift    = 0.01
	controlDebounce = 500 * time.Millisecond
	controlBound    = 1.25 // of a node's load, as a multiple of the mean
	// extraSessions is how many sessions a control process allows beyond one for each node.
	extraSessions = 16
)

// serverConfig returns the settings of a control process or control machine.
func (c childConfig) serverConfig() control.ServerConfig {
	return control.ServerConfig{
		StateDir: c.StateDir, NoEarlierLeases: true, Lease: c.lease(), MaxDrift: controlDrift,
		MaxSessions: c.Fleet.Nodes + extraSessions, LoadBound: controlBound, Debounce: controlDebounce,
		Log: slog.New(slog.DiscardHandler),
	}
}

// runControl runs a single control process until the commands end.
func runControl(ctx context.Context, config childConfig, commands <-chan command, events *eventWriter) error {
	spec := newSpec(config.Fleet, config.Seed)
	for _, c := range config.Replay {
		applyChange(spec, c, config.Fleet)
	}
	settings := config.serverConfig()
	settings.Listen, settings.Spec = config.Address, spec
	server, err := control.NewServer(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	events.write(event{Kind: eventReady, Address: server.Addr()})
	for {
		select {
		case err := <-done:
			return err
		case c, open := <-commands:
			if !open {
				cancel()
				return <-done
			}
			if c.Op != opChange {
				return unknownOperation(c.Op)
			}
			began := time.Now()
			spec = withChanges(spec, c.Changes, config.Fleet)
			if err := server.SetSpec(spec); err != nil {
				return fmt.Errorf("changing the cluster spec: %w", err)
			}
			events.write(changedEvent(began))
		}
	}
}

// withChanges returns a copy of a spec with changes.
func withChanges(spec *clusterspec.Spec, changes []change, fleet Fleet) *clusterspec.Spec {
	next := &clusterspec.Spec{Nodes: spec.Nodes, Destinations: slices.Clone(spec.Destinations)}
	for _, c := range changes {
		applyChange(next, c, fleet)
	}
	return next
}

// changedEvent returns the event that a command which came at a time has been applied.
func changedEvent(began time.Time) event {
	return event{Kind: eventChanged, At: began.UnixNano(), TookMS: milliseconds(time.Since(began))}
}
