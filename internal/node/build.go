package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"
	"wingmount/decide/admission"
	"wingmount/internal/egress"
	"wingmount/internal/egress/http1"
	"wingmount/internal/engine"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/ruleset"
	"wingmount/internal/store"
	"wingmount/policy"

	httpingress "wingmount/internal/ingress/http"
)

// nodeConfig is what a node is built from, however it is started.
type nodeConfig struct {
	name, listen           string
	sockets                int           // file descriptors; 0 for the default
	memoryMB               int           // memory of the process, in MiB; 0 for no limit
	idleClose              time.Duration // when partners close idle connections
	idlePerEndpoint        int           // idle connections to one endpoint; 0 for the carrier's default
	responseMargin         time.Duration // see engine.Config
	settings               policy.Settings
	seed                   uint64
	classes, kinds, zones  map[string]int // the module's numbers, by name
	maxDestination         uint64         // see httpingress.Config
	store                  store.Store
	recovered              store.Recovered
	notifier               engine.Notifier
	admission              *admission.Controller // nil if only the registry bounds what is accepted
	linesStay              bool                  // see http1.Config
	rules                  *ruleset.Manager      // nil without rules for keys and classes
	completeUnknownClasses bool                  // see resolveUnknownClasses
	uniqueAddresses        bool                  // see engine.Config
	assignment             *assignment           // nil if destinations are not assigned to nodes
	log                    *slog.Logger
}

// node is a node that has been built.
type node struct {
	nodeConfig
	listener     *httpingress.Listener
	engine       *engine.Engine
	registry     *inflight.Registry
	ingress      *httpingress.Handler
	calls        *http1.Carrier
	dependencies engine.Dependencies
	background   []background    // run until the node has stopped
	fenced       <-chan struct{} // closed when the messages belong to another node; nil if that cannot happen
	endWrites    func()          // ends the waits for the store of outcomes and final responses
}

// build builds a node and listens for clients. Nothing runs yet.
func build(c nodeConfig) (*node, error) {
	if err := c.resolveUnknownClasses(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	n := &node{
		nodeConfig: c, listener: httpingress.NewListener(listener, clientSockets(c.sockets), clientMemory(c.memoryMB)),
		registry: inflight.New(inflight.Config{Max: c.settings.MaxInFlight, MaxBytes: messageMemory(c.memoryMB), Admission: c.admission}),
		engine: engine.New(engine.Config{
			Settings: c.settings, Seed: c.seed, Kinds: c.kinds, Zones: c.zones, ResponseMargin: c.responseMargin,
			Assigned: c.assignment != nil, UniqueAddresses: c.uniqueAddresses,
		}),
	}
	var ownership httpingress.Ownership
	var permit egress.CallAuthorizer
	if c.assignment != nil {
		c.assignment.join(n.engine, n.registry)
		ownership, permit = c.assignment, c.assignment
	}
	n.ingress = httpingress.New(httpingress.Config{
		Classes: c.classes, Settings: c.settings.Classes, Registry: n.registry, Rules: c.rules,
		Ownership: ownership, MaxDestination: c.maxDestination,
	}, c.store, func(m *message.Message) { n.engine.Post(engine.MessageAccepted{Message: m}) }, c.log)
	n.observeStore()
	writes, endWrites := context.WithCancel(context.Background())
	n.endWrites = endWrites
	n.calls = http1.New(http1.Config{
		ConnectTimeout: c.settings.ConnectTimeout, ServerIdleTimeout: c.idleClose,
		MaxIdleConnections: idleSockets(c.sockets, c.settings.Slots), MaxIdlePerEndpoint: c.idlePerEndpoint, WithholdOrderingKeys: c.linesStay,
	}, &egress.Recorder{Store: c.store, Authorizer: permit, WriteContext: writes, Log: c.log, OnOutcome: n.postOutcome}, c.log)
	n.dependencies = engine.Dependencies{
		Store: c.store, WriteContext: writes, Carrier: n.calls, Admission: n.observers(), Notifier: c.notifier,
		HealthHistory: c.recovered.EndpointHealth, Log: c.log,
	}
	return n, nil
}

// observeStore makes the node follow what its store does by itself.
func (n *node) observeStore() {
	if s, ok := n.store.(store.Late); ok {
		s.OnLate(n.adoptLate)
	}
	if s, ok := n.store.(store.Shared); ok {
		s.OnTakeover(n.freeCapacity, n.adoptRecovered)
		s.OnImplied(n.notifier.Add)
		n.fenced = s.Lost()
	}
}

// observers returns what observes messages: the registry, and the rules where there are any.
func (n *node) observers() engine.Admission {
	if n.rules == nil {
		return n.registry
	}
	return ruleObserver{n.registry, n.rules}
}

// ruleObserver is a registry that passes its observations on to the rules.
type ruleObserver struct {
	*inflight.Registry
	rules *ruleset.Manager
}

// Observe implements [engine.Admission].
func (o ruleObserver) Observe(observations []admission.Observation) {
	o.rules.ObserveCompletions(observations)
	o.Registry.Observe(observations)
}

func (n *node) postOutcome(e policy.AttemptCompleted, storeErr error) {
	n.engine.Post(engine.CompletedAttempt{Attempt: e, StoreErr: storeErr})
}

func (n *node) postPolicyEvent(e policy.Event) { n.engine.Post(engine.PolicyEvent{Event: e}) }

// runInBackground adds a function that runs until the node has stopped.
func (n *node) runInBackground(f background) { n.background = append(n.background, f) }

// resolveUnknownClasses completes messages of earlier processes whose class the settings lack: without the class there is
// no rule for their attempts.
//
// With completeUnknownClasses each gets its final response, which is persisted here: rejected if it certainly never ran,
// since its client may submit it to a node that knows the class, and failed if it may have run. An error of the store is
// logged, and the node starts all the same: a message that has no final response then is adopted as any other, although
// its class is unknown.
//
// Without completeUnknownClasses it returns an error that names the class, and the node does not start.
func (c *nodeConfig) resolveUnknownClasses() error {
	known := map[int]bool{}
	for _, number := range c.classes {
		known[number] = true
	}
	var responses []store.Completion
	for _, m := range c.recovered.Pending {
		if m.FinalResponse != nil || known[m.Class] {
			continue
		}
		name := c.storedClassName(m.Class)
		if !c.completeUnknownClasses {
			return fmt.Errorf("the store holds a message of class %s, which the settings lack: keep the class until its messages have ended", name)
		}
		response := message.FinalResponse{Kind: message.Rejected}
		if m.History.MayHaveRun {
			response.Kind = message.Failed
		}
		c.log.Warn("recovery: message of an unknown class completed", "id", m.ID, "class", name, "outcome", response.Kind)
		responses = append(responses, store.Completion{Message: m, Response: response})
	}
	if len(responses) == 0 {
		return nil
	}
	if err := c.store.Complete(context.Background(), responses...); err != nil {
		c.log.Error("store: completing messages of unknown classes", "err", err)
	}
	return nil
}

// storedClassName returns the quoted name that the store has of a class, or its number.
func (c *nodeConfig) storedClassName(class int) string {
	if names := c.recovered.Names.Classes; class >= 0 && class < len(names) {
		return strconv.Quote(names[class])
	}
	return strconv.Itoa(class)
}
