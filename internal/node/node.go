// Package node is a delivery node: it takes messages from clients, lets the
// decision module say what to do with them, and carries that out over sockets.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"wingmount/policy"
)

const (
	// Times from the word to stop on. New connections go on coming for up to 0.4 s
	// and the process is killed after 3.7 s at the earliest: messages are taken and
	// sent until stopTaking, and what is out then has until stopWaiting.
	stopTaking  = 2200 * time.Millisecond
	stopWaiting = 3300 * time.Millisecond
	eventRoom   = 4096
	// ownSockets are kept for the journal, discovery, notices and the like, and
	// endpointShare of all for calls. Clients have the rest.
	ownSockets    = 32
	endpointShare = 0.25
	// anySockets is what counts where the configuration tells no limit.
	anySockets = 1024
)

// clientSockets is how many connections clients may hold of so many descriptors.
func clientSockets(all int) int {
	if all <= 0 {
		all = anySockets
	}
	return max(1, all-ownSockets-int(endpointShare*float64(all)))
}

// idleSockets is how many idle connections to endpoints are kept: what their share
// leaves beside the calls that may be out.
func idleSockets(all, slots int) int {
	if all <= 0 {
		all = anySockets
	}
	return max(maxIdle, int(endpointShare*float64(all))-slots)
}

// Reload tells when the configuration has been replaced, and how to read it.
type Reload struct {
	Signals <-chan os.Signal
	Load    func() (Config, error)
}

// run passes on the address of discovery each time that the configuration has been
// replaced, until the context ends. One that can't be read changes nothing.
func (r Reload) run(ctx context.Context, log *slog.Logger, move func(discovery string)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		c, err := r.Load()
		if err != nil {
			log.Error("reload: the configuration stays as it was", "err", err)
			continue
		}
		log.Info("reload", "discovery", c.Discovery)
		move(c.Discovery)
	}
}

// Run serves until the context ends and then stops in good order.
func Run(ctx context.Context, c Config, reload Reload, log *slog.Logger) error {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
	j, owed, err := openJournal(c.State, c.DiskBytes, log)
	if err != nil {
		return err
	}
	for _, m := range owed {
		if m.class >= len(c.Settings.Classes) {
			return errors.Join(fmt.Errorf("the journal holds a message of class %d, which the settings lack", m.class), j.close())
		}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("listening for clients: %w", err), j.close())
	}
	listener = newClientListener(listener, clientSockets(c.Sockets))
	in := &intake{names: c.Names, journal: j, log: log, maxHeld: c.Settings.MaxHeld, held: map[string]bool{},
		classes: c.Settings.Classes}
	l := &loop{
		sender: policy.New(c.Settings, c.Seed), settings: c.Settings, names: c.Names, log: log,
		journal: j, finals: newFinals(c.Discovery, j, log), intake: in, origin: time.Now(),
		events: make(chan any, eventRoom), done: make(chan struct{}), quieted: make(chan struct{}),
		held:      map[policy.MessageID]*message{},
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{},
		dests: map[int]time.Time{},
	}
	l.caller = newCaller(c, j, log, func(e policy.Event) { l.post(e) })
	in.accept = func(m *message) { l.post(m) }
	if c.Settings.MayTell && c.PeerBind != "" && c.PeersAll != "" {
		if l.peers, err = openPeers(c, log, func(e policy.Event) { l.post(e) }); err != nil {
			return errors.Join(err, listener.Close(), j.close())
		}
	}

	// Everything below runs until the node has stopped, not until it is told to.
	life, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	quiet := make(chan struct{})
	running.Go(func() { l.run(life, quiet) })
	running.Go(func() { l.finals.run(life) })
	directory := newDiscovery(c.Discovery, log, func(in list) {
		in.fresh = true
		l.post(in)
	})
	running.Go(func() { directory.run(life) })
	if l.peers != nil {
		running.Go(func() { l.peers.run(life) })
	}
	if len(c.Known.Members) > 0 {
		l.post(c.Known)
	}
	for _, m := range owed {
		if m.notice != nil {
			l.finals.add(m)
			continue
		}
		in.taken(m.id)
		l.post(m)
	}
	server := newServer(in, log)
	served := make(chan error, 1)
	running.Go(func() { served <- server.Serve(listener) })
	log.Info("ready", "name", c.Name, "listen", c.Listen, "owed", len(owed))

	running.Go(func() {
		reload.run(life, log, func(addr string) {
			directory.move(addr)
			l.finals.move(addr)
		})
	})

	select {
	case <-ctx.Done():
		l.stop(server, quiet)
		err = nil
	case err = <-served:
		err = fmt.Errorf("serving clients: %w", err)
	}
	end()
	running.Wait()
	l.caller.running.Wait() // their outcomes go on record before the journal closes
	log.Info("stopped", "owed", len(l.held))
	return errors.Join(err, j.close())
}

// stop lets go of the clients first, then of the endpoints. What is still owed
// after that waits in the journal for the next start.
func (l *loop) stop(server *http.Server, quiet chan<- struct{}) {
	start := time.Now()
	l.log.Info("stopping", "owed", l.intake.count())
	l.intake.close(false)
	time.Sleep(stopTaking)
	l.intake.close(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(stopWaiting))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		l.log.Warn("stopping: clients are left", "err", err)
	}
	close(quiet)
	<-l.quieted
	calls := make(chan struct{})
	go func() {
		l.caller.running.Wait()
		close(calls)
	}()
	select {
	case <-calls:
	case <-ctx.Done():
		l.log.Warn("stopping: calls are out")
	}
}
