package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"os"
	"wingmount/internal/directory"
	"wingmount/internal/engine"
	"wingmount/internal/platform"
	"wingmount/internal/store/journal"
)

// directorySeed separates the random numbers of polls at the directory from those of the module.
const directorySeed = 0xd15c

// Reload is when the configuration has been replaced, and how it is read.
type Reload struct {
	Signals <-chan os.Signal
	Load    func() (platform.Config, error)
}

// run passes the directory's address to setAddress each time that the configuration has been replaced, until the
// context ends. A configuration that cannot be read changes nothing.
func (r Reload) run(ctx context.Context, log *slog.Logger, setAddress func(discovery string)) {
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
		setAddress(c.Discovery)
	}
}

// Run serves on the platform until the context ends, and then stops in order.
func Run(ctx context.Context, c platform.Config, reload Reload, log *slog.Logger) error {
	limitMemory(c.MemoryMB)
	messages, recovered, err := journal.Open(journal.Config{Dir: c.StateDir, MaxBytes: c.DiskBytes, Names: c.Names()}, log)
	if err != nil {
		return err
	}
	c.Renumber(recovered.Names)
	results := platform.NewResultNotifier(c.Discovery, messages, log)
	n, err := build(nodeConfig{
		name: c.Name, listen: c.Listen, sockets: c.Sockets, memoryMB: c.MemoryMB, idleClose: c.IdleClose, settings: c.Settings, seed: c.Seed,
		classes: c.Classes, kinds: c.Kinds, zones: c.Zones, store: messages, recovered: recovered, notifier: results, completeUnknownClasses: true, uniqueAddresses: true, log: log,
	})
	if err != nil {
		return errors.Join(err, messages.Close())
	}
	n.runInBackground(results.Run)
	if c.Settings.PeerMessages && c.PeerListen != "" && c.PeerBroadcast != "" {
		peers, err := platform.OpenPeers(c, log, n.postPolicyEvent)
		if err != nil {
			return errors.Join(err, n.listener.Close(), messages.Close())
		}
		n.dependencies.PeerMessages = peers
		n.runInBackground(peers.Run)
	}
	discovery := platform.NewDiscovery(c.Discovery, platform.NewSchedule(c.Settings, rand.New(rand.NewPCG(c.Seed, directorySeed))),
		c.Known, log, func(l directory.List) { n.engine.Post(engine.EndpointsChanged{List: l}) })
	n.runInBackground(discovery.Run)
	n.runInBackground(func(ctx context.Context) {
		reload.run(ctx, log, func(addr string) {
			discovery.SetAddress(addr)
			results.SetAddress(addr)
		})
	})
	return n.run(ctx, c.Known)
}
