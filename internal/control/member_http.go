package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/internal/clusterspec"
	"wingmount/internal/consensus"
)

// Timeouts of a change to the cluster spec over HTTP.
const (
	specBodyTimeout  = time.Minute
	specReplyTimeout = 2 * time.Minute
)

// handler returns the HTTP handler of a member. Pending polls are answered when the context is done.
func (m *Member) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRenew, m.requireLeader(func(s *Server, w http.ResponseWriter, r *http.Request) { s.serveRenew(ctx, w, r) }))
	mux.HandleFunc("GET "+pathOwners, m.requireLeader((*Server).serveOwners))
	mux.HandleFunc("GET "+pathState, m.requireLeader((*Server).serveState))
	mux.HandleFunc("GET "+pathExplain, m.requireLeader((*Server).serveExplain))
	mux.HandleFunc("POST "+pathDrain, m.serveDrain)
	mux.HandleFunc("POST "+pathReload, m.serveReload)
	mux.HandleFunc("POST "+pathVote, m.serveVote)
	mux.HandleFunc("GET "+pathQuorum, func(w http.ResponseWriter, _ *http.Request) { writeOK(w, m.State()) })
	mux.HandleFunc("POST "+pathAdd, m.serveAdd)
	mux.HandleFunc("POST "+pathRemove, m.serveRemove)
	mux.HandleFunc("POST "+pathSpec, m.serveSpec)
	mux.HandleFunc("POST "+consensus.MessagesPath, func(w http.ResponseWriter, r *http.Request) { consensus.ServeMessages(w, r, m.origin, m.log) })
	return mux
}

// requireLeader returns a handler that passes requests to the region's server if this member leads the region. Otherwise
// it responds with the leader's address, if that is known.
func (m *Member) requireLeader(serve func(*Server, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if l := m.serving.Load(); l != nil {
			serve(l.server, w, r)
			return
		}
		status, code := errorStatus(errNotLeader)
		writeJSON(w, status, failure{Code: code, Error: errNotLeader.Error(), Leader: m.leaderAddress()})
	}
}

// leaderAddress returns the address of the region's leader, empty if this member is the leader or the leader is unknown.
func (m *Member) leaderAddress() string {
	view := m.machine.view()
	id := view.Leadership.Regions[m.config.Region].Leader
	if id == m.config.ID {
		return ""
	}
	return view.Addresses[id]
}

// serveDrain sets whether a node is draining.
func (m *Member) serveDrain(w http.ResponseWriter, r *http.Request) {
	node, draining, err := parseDraining(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOutcome(w, m.Drain(r.Context(), node, draining))
}

// serveReload reloads this machine's spec file. ErrNoQuorum, ErrConflict and errSpecBusy get the codes of errorStatus.
// All other errors get codeMalformed (status 400), including an unreadable file, consensus.ErrStopped and
// ErrConfigsWithdrawn; serveSpec responds to the latter two with the codes of errorStatus.
func (m *Member) serveReload(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(specReplyTimeout))
	err := m.Reload(r.Context())
	if err != nil && !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrConflict) && !errors.Is(err, errSpecBusy) {
		err = fmt.Errorf("%w: %w", lease.ErrMalformed, err)
	}
	writeOutcome(w, err)
}

// serveSpec changes the cluster spec, by a delta as JSON or a complete spec as TOML, depending on the query.
func (m *Member) serveSpec(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(specBodyTimeout))
	_ = controller.SetWriteDeadline(time.Now().Add(specReplyTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, clusterspec.MaxBytes))
	if err != nil {
		writeError(w, fmt.Errorf("%w: %w", lease.ErrMalformed, err))
		return
	}
	if r.URL.Query().Get("whole") == "true" {
		spec, err := clusterspec.Parse(text)
		if err != nil {
			writeError(w, fmt.Errorf("%w: %w", lease.ErrMalformed, err))
			return
		}
		writeOutcome(w, m.SetSpec(r.Context(), spec))
		return
	}
	var delta clusterspec.Delta
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&delta); err != nil {
		writeError(w, fmt.Errorf("%w: %w", lease.ErrMalformed, err))
		return
	}
	writeOutcome(w, m.ApplyDelta(r.Context(), delta))
}

// parseMember returns the member ID in a request's query.
func parseMember(r *http.Request) (leadership.MemberID, error) {
	id, err := strconv.ParseUint(r.URL.Query().Get("member"), 10, 64)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("%w: member: is no number above 0", lease.ErrMalformed)
	}
	return leadership.MemberID(id), nil
}

// serveAdd adds a member.
func (m *Member) serveAdd(w http.ResponseWriter, r *http.Request) {
	id, err := parseMember(r)
	if err != nil {
		writeError(w, err)
		return
	}
	region, address := r.URL.Query().Get("region"), r.URL.Query().Get("address")
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" || region == "" {
		writeError(w, fmt.Errorf("%w: region: is missing, or address: %.80q is no HOST:PORT", lease.ErrMalformed, address))
		return
	}
	writeOutcome(w, m.addMember(r.Context(), addMember{Member: id, Region: region, Address: address}))
}

// serveRemove removes a member.
func (m *Member) serveRemove(w http.ResponseWriter, r *http.Request) {
	id, err := parseMember(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOutcome(w, m.removeMember(r.Context(), id))
}
