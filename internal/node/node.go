// Package node assembles a delivery node from its parts, starts them, and stops them in order. What a node does is in
// the parts.
//
// There are two ways to start one: [Run] on the platform, by its configuration, and [RunGateway] elsewhere, by a file of
// the operators. Both make a nodeConfig, build a node from it (build.go), and serve until a context ends (run.go).
//
// # Start and stop
//
// A node opens its store, listens for clients, starts the engine, gives it the known endpoints, adopts the unfinished
// messages of earlier processes, and only then serves clients. At a stop it goes the other way: it accepts messages for
// a while, then rejects them, completes requests and calls in progress, and closes the store last. Unfinished messages
// wait in the store for the next start.
//
// # Concurrency
//
// Every goroutine of a node is started and awaited by [node.run], or by its assignment between start and stop. State
// that goroutines share is in the parts, and guarded there; an assignment has a lock of its own.
//
// Start reading at [RunGateway].
package node

import "context"

const (
	// reservedSockets are file descriptors for the journal, discovery, notifications and the like.
	reservedSockets = 32
	// endpointSocketShare is the fraction of all file descriptors for calls. Clients have the rest.
	endpointSocketShare = 0.25
	// defaultSockets is the number of file descriptors where the configuration has no limit.
	defaultSockets = 1024
)

// clientSockets returns how many connections clients may have, of so many file descriptors.
func clientSockets(all int) int {
	if all <= 0 {
		all = defaultSockets
	}
	return max(1, all-reservedSockets-int(endpointSocketShare*float64(all)))
}

// idleSockets returns how many idle connections to endpoints are kept, of so many file descriptors: the endpoints'
// share without those for calls in progress.
func idleSockets(all, slots int) int {
	if all <= 0 {
		all = defaultSockets
	}
	return max(0, int(endpointSocketShare*float64(all))-slots)
}

// background is a function that runs until its context ends.
type background func(ctx context.Context)
