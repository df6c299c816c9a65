package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"time"
	"wingmount/decide/admission"
	"wingmount/decide/rules"
	"wingmount/internal/config"
	"wingmount/internal/engine"
	"wingmount/internal/gossip"
	"wingmount/internal/message"
	"wingmount/internal/platform"
	"wingmount/internal/ruleset"
	"wingmount/internal/steps"
	"wingmount/internal/store"
	"wingmount/policy"

	httpingress "wingmount/internal/ingress/http"
)

const (
	// partnerIdleClose is when partners are expected to close idle connections.
	partnerIdleClose = 15 * time.Second
	// responseMargin is the time to persist and announce a final response: some commits of a store.
	responseMargin = 20 * time.Millisecond
	// freeMemoryAfter is when the memory that a start needs is returned to the operating system.
	freeMemoryAfter = 2 * time.Second
	// maxRecordingBytes bounds a recording of the module's steps.
	maxRecordingBytes = 256 << 20
)

// GatewayConfig is the configuration of a node outside the platform.
type GatewayConfig struct {
	File *config.File
	// Signals has a value when the file is to be read again, by Load.
	Signals <-chan os.Signal
	Load    func() (*config.File, error)
	// Recording is the path of a new file for the steps of the decision module; empty for none.
	Recording string
	Log       *slog.Logger
}

// RunGateway serves by an operator's file until the context ends, and then stops in order. After a signal it reads the
// file again: its endpoints and gossip peers change at once, and its rules as package ruleset describes. Other settings
// change with the next start.
func RunGateway(ctx context.Context, c GatewayConfig) error {
	limitMemory(c.File.Limits.MemoryMB)
	g := &gateway{GatewayConfig: c, storeIsNew: storeIsNew(c.File)}
	var err error
	if g.store, g.recovered, err = OpenStore(c.File, c.Log); err != nil {
		return err
	}
	if err := g.build(); err != nil {
		return errors.Join(err, g.store.Close())
	}
	if err := g.attach(); err != nil {
		return errors.Join(err, g.node.listener.Close(), g.store.Close(), g.closeRecorder())
	}
	g.addBackground()
	known := c.File.List()
	c.File.Destinations = nil // the engine has the list
	err = g.node.run(ctx, known)
	return errors.Join(err, g.closeRecorder()) // the engine has ended
}

// gateway is a node outside the platform while it is built.
type gateway struct {
	GatewayConfig
	storeIsNew bool
	store      store.Store
	recovered  store.Recovered
	settings   policy.Settings
	seed       uint64
	rules      *ruleset.Manager         // nil without a file of rules
	results    *platform.ResultNotifier // nil if nobody is notified of results
	node       *node
	recorder   *steps.Recorder // nil without a recording
	peers      *gossip.Node    // nil without gossip
}

// build builds the node.
func (g *gateway) build() (err error) {
	f := g.File
	if g.rules, err = g.openRules(); err != nil {
		return err
	}
	var names config.Numbers
	g.settings, names = f.Settings(g.recovered.Names.Classes, g.recovered.Names.Zones)
	g.seed = rand.Uint64()
	assignment, err := newAssignment(f, g.Log)
	if err != nil {
		return err
	}
	if assignment != nil {
		assignment.recovered(g.recovered)
	}
	g.node, err = build(nodeConfig{
		name: f.Name, listen: f.Listen, sockets: f.Limits.Sockets, memoryMB: f.Limits.MemoryMB, idleClose: partnerIdleClose, idlePerEndpoint: f.Limits.Slots,
		responseMargin: responseMargin, settings: g.settings, seed: g.seed, maxDestination: config.MaxDestination,
		classes: names.Classes, kinds: names.Kinds, zones: names.Zones, store: g.store, recovered: g.recovered,
		notifier: g.newNotifier(), admission: newAdmission(f, g.settings), rules: g.rules, linesStay: true, assignment: assignment, log: g.Log,
	})
	return err
}

// attach adds the node's recorder and its gossip.
func (g *gateway) attach() (err error) {
	if g.Recording != "" {
		if g.recorder, err = steps.Create(g.Recording, maxRecordingBytes, g.settings, g.seed, g.Log); err != nil {
			return err
		}
		g.node.dependencies.StepLog = g.recorder
	}
	if g.peers, err = g.openGossip(); err != nil {
		return err
	}
	if g.peers != nil {
		g.node.dependencies.Observations = g.peers
	}
	return nil
}

func (g *gateway) closeRecorder() error {
	if g.recorder == nil {
		return nil
	}
	return g.recorder.Close()
}

// addBackground adds what runs beside the engine.
func (g *gateway) addBackground() {
	if g.peers != nil {
		g.node.runInBackground(g.peers.Run)
	}
	if g.results != nil {
		g.node.runInBackground(g.results.Run)
	}
	if g.rules != nil {
		g.node.runInBackground(g.rules.Run)
	}
	g.node.runInBackground(g.node.logRejections)
	g.node.runInBackground(g.reload)
	g.node.runInBackground(freeMemory)
}

// reload reads the file again after each signal, until the context ends. What cannot be read changes nothing.
func (g *gateway) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Signals:
		}
		f, err := g.Load()
		if err != nil {
			g.Log.Error("reload: the configuration stays as it was", "err", err)
			continue
		}
		g.apply(f)
	}
}

// apply puts a file that was read again in force.
func (g *gateway) apply(f *config.File) {
	list := f.List()
	g.Log.Info("reload", "endpoints", len(list.Members))
	if g.rules != nil {
		if err := g.rules.Reload(); err != nil {
			g.Log.Error("reload: the rules stay as they were", "err", err)
		}
	}
	if g.peers != nil && f.Gossip.Listen != "" {
		if err := g.peers.SetPeers(f.GossipPeers()); err != nil {
			g.Log.Error("reload: the peers stay as they were", "err", err)
		}
	}
	if !g.File.Assignment.Distributed() && !f.Assignment.Distributed() {
		g.node.engine.Post(engine.EndpointsChanged{List: list})
	}
}

// newAdmission returns the controller that decides which messages are accepted, nil if the file turns it off. Its
// capacity leaves the module the places that the module keeps free, so that the module need not reject messages for
// capacity.
func newAdmission(f *config.File, s policy.Settings) *admission.Controller {
	if f.Limits.Admission != nil && !*f.Limits.Admission {
		return nil
	}
	a := admission.Settings{Capacity: policy.UsableCapacity(s.MaxInFlight)}
	for _, c := range s.Classes {
		a.Weights = append(a.Weights, c.Value)
	}
	return admission.New(a)
}

// openRules opens the rules that the file names, nil if it names none.
func (g *gateway) openRules() (*ruleset.Manager, error) {
	f := g.File
	peers, _ := g.store.(store.RuleSharer)
	if f.Rules.File == "" {
		return nil, announceNoRules(peers)
	}
	classes := f.RuleClasses()
	return ruleset.Open(ruleset.Config{
		Load:       func() (*rules.Set, string, error) { return config.LoadRules(f.Rules.File, classes) },
		Parse:      func(text string) (*rules.Set, error) { return config.ParseRules(text, classes) },
		RecordPath: f.Rules.Record, Classes: classes, ClassNames: g.recovered.Names.Classes, Unfinished: g.recovered.Pending, FirstStart: g.storeIsNew,
		Peers: peers, MaxTimeout: g.maxTimeout(), Log: g.Log,
	})
}

// announceNoRules announces to the nodes that share the store that this one has no rules. Without such nodes peers is nil.
func announceNoRules(peers store.RuleSharer) error {
	if peers == nil {
		return nil
	}
	return peers.AnnounceRules(context.Background(), store.RuleUse{Active: ruleset.Digest(""), Drained: true})
}

// maxTimeout returns the longest time-out that a client may give a message.
func (g *gateway) maxTimeout() time.Duration {
	settings, _ := g.File.Settings(g.recovered.Names.Classes, g.recovered.Names.Zones)
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline+httpingress.TimeoutSlack)
	}
	return longest
}

// openGossip opens what shares observations of endpoints with other nodes, nil if the file does not configure it.
func (g *gateway) openGossip() (*gossip.Node, error) {
	f := g.File
	if f.Gossip.Listen == "" {
		return nil, nil
	}
	key, err := f.GossipKey()
	if err != nil {
		return nil, err
	}
	return gossip.Open(gossip.Config{
		Name: f.Name, Listen: f.Gossip.Listen, Cluster: f.Gossip.Cluster, Zone: f.Gossip.Building, Key: key,
		Peers: f.GossipPeers(), State: f.Gossip.State, Datagrams: f.Gossip.Datagrams, Log: g.Log,
		OnEffect: func(m policy.PeerMessage) { g.node.postPolicyEvent(m) },
	})
}

// newNotifier returns the notifier of results: the one that the file configures, or one that only records that nobody
// is notified.
func (g *gateway) newNotifier() engine.Notifier {
	if g.File.Answers.URL == "" {
		return noNotifier{g.store, g.Log}
	}
	g.results = platform.NewURLNotifier(g.File.Answers.URL, encodeResult, g.store, g.Log)
	return g.results
}

// result is the form of a result notification outside the platform.
type result struct {
	ID        string `json:"id"`
	Outcome   string `json:"outcome"` // delivered, refused or failed
	RetryInMs int64  `json:"retry_in_ms,omitempty"`
}

func encodeResult(m *message.Message) ([]byte, error) {
	return json.Marshal(result{ID: m.ID, Outcome: m.FinalResponse.Kind.String(), RetryInMs: m.FinalResponse.RetryAfter.Milliseconds()})
}

// noNotifier notifies nobody: results are in the store only.
type noNotifier struct {
	store store.Store
	log   *slog.Logger
}

// Add implements [engine.Notifier].
func (n noNotifier) Add(m *message.Message) {
	if err := n.store.MarkNotified(context.Background(), m); err != nil {
		n.log.Error("store: recording a result without notification", "id", m.ID, "err", err)
	}
}

// freeMemory returns the memory that a start needed to the operating system, once the engine has its list.
func freeMemory(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(freeMemoryAfter):
		debug.FreeOSMemory()
	}
}
