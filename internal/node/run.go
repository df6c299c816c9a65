package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"
	"wingmount/internal/directory"
	"wingmount/internal/engine"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/store"

	httpingress "wingmount/internal/ingress/http"
)

const (
	// acceptAfterStop is how long messages are accepted after the signal to stop: new connections may arrive for 0.4 s
	// after it on the platform, and clients use the connections that they have. The gateway uses the same time.
	acceptAfterStop = 2200 * time.Millisecond
	// stopTimeout is how long calls and requests in progress have after the signal to stop: the platform kills the
	// process after 3.7 s at the earliest. The gateway uses the same time.
	stopTimeout = 3300 * time.Millisecond
	// finalWriteTimeout is how long outcomes and final responses may wait for the store after that. What is not written
	// then stays queued in the store, which tries to write it until its own Close gives up.
	finalWriteTimeout = 500 * time.Millisecond
	// rejectionLogInterval is how often rejected messages are logged.
	rejectionLogInterval = 10 * time.Second
)

// run serves until the context ends, stops in order, and closes the store.
func (n *node) run(ctx context.Context, known directory.List) error {
	n.engine.SetDependencies(n.dependencies)
	// The parts run until the node has stopped, which is later than the end of ctx.
	running, endAll := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	drain := make(chan struct{})
	parts.Go(func() { n.engine.Run(running, drain) })
	if len(known.Members) > 0 {
		n.engine.Post(engine.EndpointsChanged{List: known}) // before any change to it
	}
	for _, run := range n.background {
		parts.Go(func() { run(running) })
	}
	n.adoptRecovered(store.Recovered{Pending: n.recovered.Pending})
	if n.assignment != nil {
		n.assignment.start()
	}
	server := httpingress.NewServer(n.listener, n.ingress, n.log)
	served := make(chan error, 1)
	parts.Go(func() { served <- server.Serve() })
	n.log.Info("ready", "name", n.name, "listen", n.listener.Addr().String(), "unfinished", len(n.recovered.Pending))

	var err error
	select {
	case <-ctx.Done():
		n.stop(server, drain)
	case err = <-served:
		err = fmt.Errorf("serving clients: %w", err)
	case <-n.fenced:
		// Nothing may be accepted, sent or notified any more. Calls in progress may still run.
		err = fmt.Errorf("the node ends: %w", store.ErrFenced)
		err = errors.Join(err, server.Close())
	}
	endAll()
	finalWrites := time.AfterFunc(finalWriteTimeout, n.endWrites)
	parts.Wait()
	n.calls.Wait() // their outcomes are persisted, or queued in the store, before it closes
	finalWrites.Stop()
	n.endWrites()
	if n.assignment != nil {
		n.assignment.stop() // after the last call
	}
	n.log.Info("stopped", "unfinished", n.registry.Count())
	return errors.Join(err, n.store.Close())
}

// stop accepts messages and makes calls for acceptAfterStop, in which each response is the last of its connection. Then
// it rejects messages, closes idle connections, and waits for requests and calls in progress until stopTimeout.
// Unfinished messages wait in the store for the next start.
func (n *node) stop(server *httpingress.Server, drain chan<- struct{}) {
	start := time.Now()
	n.log.Info("stopping", "unfinished", n.registry.Count())
	n.registry.Close(false)
	time.Sleep(acceptAfterStop)
	n.registry.Close(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(stopTimeout))
	defer cancel()
	clients := make(chan error, 1)
	go func() { clients <- server.Stop(ctx) }()
	close(drain) // without waiting for clients: one with a slow request must not cost the calls their time
	<-n.engine.Quiesced()
	calls := make(chan struct{})
	go func() {
		n.calls.Wait()
		close(calls)
	}()
	select {
	case <-calls:
	case <-ctx.Done():
		n.log.Warn("stopping: calls in progress at the deadline")
	}
	if err := <-clients; err != nil {
		n.log.Warn("stopping: requests in progress at the deadline", "err", err)
	}
}

// freeCapacity returns how many more messages may be in flight.
func (n *node) freeCapacity() int {
	if n.settings.MaxInFlight <= 0 {
		return math.MaxInt
	}
	return n.settings.MaxInFlight - n.registry.Count()
}

// adoptRecovered adopts messages of an earlier process or of another node: it notifies of those that have a final
// response, and delivers the others.
func (n *node) adoptRecovered(r store.Recovered) {
	if len(r.EndpointHealth) > 0 {
		n.engine.Post(engine.HealthHistory(r.EndpointHealth))
	}
	for _, m := range r.Pending {
		if m.FinalResponse != nil {
			n.notifier.Add(m)
			continue
		}
		n.ingress.Adopt(m)
	}
}

// adoptLate adopts a message that was persisted after its client got the response that this is not certain.
func (n *node) adoptLate(m *message.Message) {
	n.ingress.Adopt(m)
	if n.assignment != nil {
		n.assignment.adopted(m.Destination)
	}
}

// logRejections logs at intervals how many messages were rejected since the last time, until the context ends.
func (n *node) logRejections(ctx context.Context) {
	ticker := time.NewTicker(rejectionLogInterval)
	defer ticker.Stop()
	var before inflight.Counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counts := n.registry.Counts()
		since := func(v inflight.Verdict) int { return counts[v] - before[v] }
		if since(inflight.NoCapacity)+since(inflight.TooLate)+since(inflight.Saturated) > 0 {
			n.log.Warn("ingress: messages rejected", "no_capacity", since(inflight.NoCapacity), "too_late", since(inflight.TooLate),
				"saturated", since(inflight.Saturated), "accepted", since(inflight.Reserved), "in_flight", n.registry.Count(), "within", rejectionLogInterval)
		}
		before = counts
	}
}
