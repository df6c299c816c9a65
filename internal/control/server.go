// Package control has the control process, which assigns destinations to nodes under leases, and the agent
// by which a node takes part.
package control

import (
	"context"
	"log/slog"
	"time"
)

// ServerConfig are the settings of a control process.
type ServerConfig struct {
	Listen      string // host:port; port 0 takes a free one, see Server.Addr
	WorldFile   string // TOML: nodes and destinations, see ParseWorld; used where World is nil
	World       *World // the world itself, for tests and simulations without a file
	StateDir    string // where the incarnation is kept
	Lease       time.Duration
	MaxDrift    float64
	MaxSessions int
	LoadBound   float64
	Debounce    time.Duration // from a change of the nodes to a new placement
	Log         *slog.Logger
}

// Server is a control process.
type Server struct{}

// NewServer reads the world, takes the next incarnation and listens. Run serves.
func NewServer(config ServerConfig) (*Server, error) { return &Server{}, nil }

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return "" }

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error { return nil }

// Reload reads the world file again; where it has an error the old world goes on.
func (s *Server) Reload() error { return nil }

// SetWorld puts a new world in force.
func (s *Server) SetWorld(world *World) error { return nil }

// Drain takes a node out of all owner sets; with draining false it may come back.
func (s *Server) Drain(node string, draining bool) error { return nil }
