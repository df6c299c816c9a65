// Package http1 makes calls to endpoints over HTTP/1.1. A connection carries one call at a time.
//
// A Carrier never sends a complete call twice: a connection belongs to its call while the call
// is outstanding, and a call is sent again on another connection only if not all of its bytes were
// written. The client of net/http does not guarantee this, so only the parser of net/http is used.
//
// Each call runs in its own goroutine; the carrier and its pool are safe for concurrent use.
// Start reading at Carrier.run in call.go. The files request.go and response.go map calls to requests
// and responses to results; the protocol fixes their headers and bodies.
package http1

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
	"wingmount/internal/egress"
)

// defaultConnectTimeout is used if Config.ConnectTimeout is 0 or negative.
const defaultConnectTimeout = time.Second

// Config contains the settings of a Carrier.
type Config struct {
	// ConnectTimeout limits the time for connecting; 0 means 1 s.
	ConnectTimeout time.Duration
	// ServerIdleTimeout is the shortest time for which an endpoint keeps an idle connection open.
	ServerIdleTimeout time.Duration
	// MaxIdleConnections limits the idle connections to all endpoints together. A value below
	// the limit for one endpoint is raised to that limit.
	MaxIdleConnections int
	// MaxIdlePerEndpoint limits the idle connections to one endpoint. A value below 8 is raised
	// to 8.
	MaxIdlePerEndpoint int
	// WithholdOrderingKeys omits the key of a message whose class is not idempotent. Such a
	// key only orders messages within the node. An endpoint that drops messages with a repeated
	// key would drop the next message with the same ordering key.
	WithholdOrderingKeys bool
}

// Carrier makes calls, each in its own goroutine. It is safe for concurrent use.
type Carrier struct {
	dialer               net.Dialer
	pool                 pool
	recorder             *egress.Recorder
	log                  *slog.Logger
	idleTimeout          time.Duration
	withholdOrderingKeys bool
	running              sync.WaitGroup
	invalidResponses     atomic.Int64 // number since the last log message about them
	distinctBodies       atomic.Bool  // whether an endpoint's bodies have differed
	repeatedBodies       atomic.Bool  // whether an endpoint has sent two equal responses
}

// New returns a Carrier that uses recorder to persist and report the outcomes of its calls.
func New(config Config, recorder *egress.Recorder, log *slog.Logger) *Carrier {
	connectTimeout := config.ConnectTimeout
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	perEndpoint := max(minIdlePerEndpoint, config.MaxIdlePerEndpoint)
	return &Carrier{
		recorder: recorder,
		log:      log,
		dialer:   net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		pool:     pool{maxIdle: max(perEndpoint, config.MaxIdleConnections), maxIdlePerEndpoint: perEndpoint},
		// Shorter than the endpoint's own timeout: a request sent while the endpoint closes the
		// connection would end with the outcome Reset.
		idleTimeout:          config.ServerIdleTimeout * 4 / 5,
		withholdOrderingKeys: config.WithholdOrderingKeys,
	}
}

// Start makes a call in the background. Each part of it gets exactly one outcome.
func (c *Carrier) Start(ctx context.Context, call *egress.Call) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.run(ctx, call)
	}()
}

// Wait blocks until all outstanding calls have ended. Start must not be called after Wait.
func (c *Carrier) Wait() { c.running.Wait() }

// CloseIdle closes the idle connections to an endpoint, and those to any endpoint that are no longer reusable.
func (c *Carrier) CloseIdle(e *egress.Endpoint) { c.pool.closeIdleSince(time.Time{}, e) }

// EvictIdle closes connections that were idle for too long, and logs the number of invalid
// responses since its last call. It is called about once a second.
func (c *Carrier) EvictIdle(now time.Time) {
	c.pool.closeIdleSince(now.Add(-c.idleTimeout), nil)
	if n := c.invalidResponses.Swap(0); n > 0 {
		c.log.Info("egress: received invalid responses", "count", n)
	}
}
