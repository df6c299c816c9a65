package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/consensus"
)

// handler returns the HTTP handler of a server. Pending polls are answered when the context is done.
func (s *Server) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRenew, func(w http.ResponseWriter, r *http.Request) { s.serveRenew(ctx, w, r) })
	mux.HandleFunc("GET "+pathOwners, s.serveOwners)
	mux.HandleFunc("GET "+pathState, s.serveState)
	mux.HandleFunc("GET "+pathExplain, s.serveExplain)
	mux.HandleFunc("POST "+pathDrain, s.serveDrain)
	mux.HandleFunc("POST "+pathReload, s.serveReload)
	return mux
}

// serveRenew responds to a poll immediately if there is an update, or else when an update arrives or the wait has
// elapsed.
func (s *Server) serveRenew(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	poll, err := s.readPoll(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	wait, err := s.pollWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(wait + writeTimeout))
	id, updated, err := s.receivePoll(poll)
	if errors.Is(err, lease.ErrReclaimRequired) {
		writeOK(w, pollReply{Reply: lease.Reply{Incarnation: s.grantor.Incarnation(), Sequence: poll.Sequence, ReclaimRequired: true}})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if id == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if updated != nil && !waitForUpdate(ctx, r.Context(), updated, wait) {
		s.abandonPoll(id, updated)
		return
	}
	reply, err := s.answerPoll(id, poll, updated)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, reply)
}

// waitForUpdate waits until there is an update, the wait has elapsed or the server stops. It returns false if the client
// has disconnected.
func waitForUpdate(server, client context.Context, updated <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-server.Done():
	case <-client.Done():
		return false
	}
	return true
}

// pollWait returns how long a poll waits: the requested time, limited to 1/renewalsPerLease of the lease.
func (s *Server) pollWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: wait: %q is no number of milliseconds", lease.ErrMalformed, text)
	}
	return min(time.Duration(milliseconds)*time.Millisecond, s.config.Lease/renewalsPerLease), nil
}

// errBusy reports that maxLargeRequests requests are in progress, and errSpecBusy that another change of the spec
// through this member is in progress. Clients and operators get the same text for both: see docs/ROADMAP.md.
var (
	errBusy     = errors.New(busyText)
	errSpecBusy = errors.New(busyText)
)

const busyText = "too many large requests at once"

// readPoll reads and decodes the body of a poll. It returns errBusy if there is no slot for a large request.
func (s *Server) readPoll(w http.ResponseWriter, r *http.Request) (pollRequest, error) {
	maxBytes := int64(maxSmallRequest)
	if r.ContentLength > maxSmallRequest {
		select {
		case s.largeRequests <- struct{}{}:
			defer func() { <-s.largeRequests }()
		default:
			return pollRequest{}, errBusy
		}
		maxBytes = maxRequest
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return pollRequest{}, fmt.Errorf("%w: %w", lease.ErrMalformed, err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return parsePoll(text)
}

// parsePoll decodes a poll.
func parsePoll(text []byte) (pollRequest, error) {
	var poll pollRequest
	if err := json.Unmarshal(text, &poll); err != nil {
		return pollRequest{}, fmt.Errorf("%w: %w", lease.ErrMalformed, err)
	}
	return poll, nil
}

// errorStatus returns the HTTP status and the code of an error.
func errorStatus(err error) (int, string) {
	var unknown *NodeError
	switch {
	case errors.As(err, &unknown):
		return http.StatusForbidden, codeUnknown
	case errors.Is(err, lease.ErrMalformed):
		return http.StatusBadRequest, codeMalformed
	case errors.Is(err, lease.ErrSuperseded):
		return http.StatusConflict, codeSuperseded
	case errors.Is(err, lease.ErrStaleRequest), errors.Is(err, lease.ErrNoSession):
		return http.StatusConflict, codeStale
	case errors.Is(err, ErrNoConfigs):
		return http.StatusConflict, codeNoConfigs
	case errors.Is(err, errNotLeader):
		return http.StatusServiceUnavailable, codeNotLeader
	case errors.Is(err, ErrNoQuorum), errors.Is(err, consensus.ErrStopped):
		return http.StatusServiceUnavailable, codeNoQuorum
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNoEffect), errors.Is(err, ErrConfigsWithdrawn):
		return http.StatusConflict, codeConflict
	case errors.Is(err, lease.ErrTooManySessions), errors.Is(err, errBusy), errors.Is(err, errSpecBusy):
		return http.StatusServiceUnavailable, codeFull
	default:
		return http.StatusInternalServerError, codeFailed
	}
}

// writeError responds with an error.
func writeError(w http.ResponseWriter, err error) {
	status, code := errorStatus(err)
	writeJSON(w, status, failure{Code: code, Error: err.Error()})
}

// writeOutcome responds to a request that has no result, with 204 or an error.
func writeOutcome(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeOK responds with a value as JSON.
func writeOK(w http.ResponseWriter, value any) { writeJSON(w, http.StatusOK, value) }

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // omitted, since each node gets a response every few seconds
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// serveOwners responds with the owners of a destination.
func (s *Server) serveOwners(w http.ResponseWriter, r *http.Request) {
	destination, err := s.parseDestination(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, s.owners(destination))
}

// parseDestination returns the destination in a request's query, which is a number or a name.
func (s *Server) parseDestination(r *http.Request) (placement.DestinationID, error) {
	text := r.URL.Query().Get("destination")
	number, err := strconv.ParseUint(text, 10, 32)
	if err == nil {
		return placement.DestinationID(number), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if named, ok := s.spec.Destination(text); ok {
		return named, nil
	}
	return 0, fmt.Errorf("%w: destination: %q is no number, and no destination's name", lease.ErrMalformed, text)
}

// parseDraining returns the node in a request's query, and whether it should drain.
func parseDraining(r *http.Request) (placement.NodeID, bool, error) {
	query := r.URL.Query()
	draining, err := strconv.ParseBool(query.Get("draining"))
	if err != nil {
		return "", false, fmt.Errorf("%w: draining: is neither true nor false", lease.ErrMalformed)
	}
	return placement.NodeID(query.Get("node")), draining, nil
}

// serveDrain sets whether a node is draining.
func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	node, draining, err := parseDraining(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOutcome(w, s.Drain(node, draining))
}

// serveReload reloads the spec file. All errors get codeMalformed, including an unreadable file and ErrConfigsWithdrawn.
func (s *Server) serveReload(w http.ResponseWriter, _ *http.Request) {
	err := s.Reload()
	if err != nil {
		err = fmt.Errorf("%w: %w", lease.ErrMalformed, err)
	}
	writeOutcome(w, err)
}

// serveState responds with the state of the server.
func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) { writeOK(w, s.State()) }

// serveExplain responds with the reasons for a destination's owners.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	destination, err := s.parseDestination(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, s.Explain(destination))
}
