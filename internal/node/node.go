// Package node puts a delivery node together: it builds its parts, starts them, and
// stops them in order. What a node does is in the parts.
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

	"wingmount/internal/carrier"
	"wingmount/internal/carrier/http1"
	"wingmount/internal/directory"
	"wingmount/internal/engine"
	httpfront "wingmount/internal/front/http"
	"wingmount/internal/message"
	"wingmount/internal/platform"
	"wingmount/internal/store/journal"
	"wingmount/policy"
)

const (
	// Times from the word to stop on. New connections go on coming for up to 0.4 s
	// and the process is killed after 3.7 s at the earliest: messages are taken and
	// sent until stopTaking, and what is out then has until stopWaiting.
	stopTaking  = 2200 * time.Millisecond
	stopWaiting = 3300 * time.Millisecond
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
	return max(0, int(endpointShare*float64(all))-slots)
}

// Reload tells when the configuration has been replaced, and how to read it.
type Reload struct {
	Signals <-chan os.Signal
	Load    func() (platform.Config, error)
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

// Run serves on the platform until the context ends and then stops in good order.
func Run(ctx context.Context, c platform.Config, reload Reload, log *slog.Logger) error {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
	records, recovered, err := journal.Open(c.State, c.DiskBytes, log)
	if err != nil {
		return err
	}
	for _, m := range recovered.Owed {
		if m.Class >= len(c.Settings.Classes) {
			return errors.Join(fmt.Errorf("the journal holds a message of class %d, which the settings lack", m.Class), records.Close())
		}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("listening for clients: %w", err), records.Close())
	}
	listener = httpfront.NewListener(listener, clientSockets(c.Sockets))
	eng := engine.New(engine.Config{Settings: c.Settings, Seed: c.Seed, Kinds: c.Kinds, Zones: c.Zones})
	event := func(e policy.Event) { eng.Post(e) }
	in := httpfront.New(httpfront.Config{Classes: c.Classes, Rules: c.Settings.Classes, MaxHeld: c.Settings.MaxHeld},
		records, func(m *message.Message) { eng.Post(m) }, log)
	calls := http1.New(http1.Config{ConnectTimeout: c.Settings.ConnectTimeout, IdleClose: c.IdleClose,
		MaxIdle: idleSockets(c.Sockets, c.Settings.Slots)}, &carrier.Recorder{Store: records, Log: log, Tell: event}, log)
	finals := platform.NewFinals(c.Discovery, records, log)
	parts := engine.Parts{Store: records, Carrier: calls, Admission: in, Teller: finals, Memories: recovered.Memories, Log: log}
	var peers *platform.Peers
	if c.Settings.MayTell && c.PeerBind != "" && c.PeersAll != "" {
		if peers, err = platform.OpenPeers(c, log, event); err != nil {
			return errors.Join(err, listener.Close(), records.Close())
		}
		parts.Notes = peers
	}
	eng.Use(parts)

	// Everything below runs until the node has stopped, not until it is told to.
	life, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	quiet := make(chan struct{})
	running.Go(func() { eng.Run(life, quiet) })
	running.Go(func() { finals.Run(life) })
	follower := platform.NewDiscovery(c.Discovery, log, func(l directory.List) { eng.Post(l) })
	running.Go(func() { follower.Run(life) })
	if peers != nil {
		running.Go(func() { peers.Run(life) })
	}
	if len(c.Known.Members) > 0 {
		eng.Post(c.Known)
	}
	for _, m := range recovered.Owed {
		if m.End != nil {
			finals.Add(m)
			continue
		}
		in.Taken(m.ID)
		eng.Post(m)
	}
	server := httpfront.NewServer(in, log)
	served := make(chan error, 1)
	running.Go(func() { served <- server.Serve(listener) })
	log.Info("ready", "name", c.Name, "listen", c.Listen, "owed", len(recovered.Owed))

	running.Go(func() {
		reload.run(life, log, func(addr string) {
			follower.Move(addr)
			finals.Move(addr)
		})
	})

	select {
	case <-ctx.Done():
		stop(in, server, eng, calls, quiet, log)
		err = nil
	case err = <-served:
		err = fmt.Errorf("serving clients: %w", err)
	}
	end()
	running.Wait()
	calls.Wait() // their outcomes go on record before the journal closes
	log.Info("stopped", "owed", in.Count())
	return errors.Join(err, records.Close())
}

// stop lets go of the clients first, then of the endpoints. What is still owed
// after that waits in the store for the next start.
func stop(in *httpfront.Intake, server *http.Server, eng *engine.Engine, carrier *http1.Carrier, quiet chan<- struct{}, log *slog.Logger) {
	start := time.Now()
	log.Info("stopping", "owed", in.Count())
	in.Close(false)
	time.Sleep(stopTaking)
	in.Close(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(stopWaiting))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("stopping: clients are left", "err", err)
	}
	close(quiet)
	<-eng.Quieted()
	calls := make(chan struct{})
	go func() {
		carrier.Wait()
		close(calls)
	}()
	select {
	case <-calls:
	case <-ctx.Done():
		log.Warn("stopping: calls are out")
	}
}
