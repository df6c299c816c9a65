package httpingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

const (
	// redirectsField is the query field of a Location that counts the redirects of a message so far.
	redirectsField = "redirects"
	// maxRedirects is how often a message is redirected at most: nodes may disagree about the owners of a destination
	// while these change.
	maxRedirects = 2
	// locateTimeout is how long the search for an owner may take.
	locateTimeout = 150 * time.Millisecond
	// noOwnerRetry is the Retry-After where no owner of the destination is known.
	noOwnerRetry = time.Second
)

// Ownership knows for which destinations this node accepts messages, and who accepts them for the others. It is safe
// for concurrent use.
type Ownership interface {
	// Accepts reports whether this node accepts new messages for a destination now.
	Accepts(destination int) bool
	// Locate returns the HOST:PORT of another node that accepts them, or an error if none is known; it is
	// ErrNoDestination if there is no such destination.
	Locate(ctx context.Context, destination int) (address string, err error)
	// Distributed reports whether this node knows only the destinations that it is assigned.
	Distributed() bool
}

// ErrNoDestination is the error for a destination that does not exist.
var ErrNoDestination = errors.New("no such destination")

// errBeingAccepted is the error while another request with the same id is being accepted.
var errBeingAccepted = errors.New("another request with the same id is being accepted")

// accepts reports whether this node accepts new messages for a destination now.
func (h *Handler) accepts(destination int) bool {
	return h.ownership == nil || h.ownership.Accepts(destination)
}

// rejectsDestination answers the client of a message for a destination that this node does not have, unless another node
// may have it. It reports whether it has answered.
func (h *Handler) rejectsDestination(w http.ResponseWriter, r *http.Request, destination int) bool {
	exists, certain := h.registry.HasDestination(destination)
	switch {
	case exists || h.ownership != nil && h.ownership.Distributed() && !h.accepts(destination):
		return false
	case certain && (h.ownership == nil || !h.ownership.Distributed()):
		h.reject(w, r, badRequestError{http.StatusNotFound, ErrNoDestination.Error()})
	default:
		h.rejectUntil(w, "the destination is not known yet", defaultRetryAfter)
	}
	return true
}

// redirect answers the client of a message that this node does not accept, since it does not own the destination. An id
// that this node has accepted gets the answer of the record; any other is redirected to an owner, or rejected if none is
// known or it was redirected too often.
func (h *Handler) redirect(w http.ResponseWriter, r *http.Request, m *message.Message) {
	if err := h.findAccepted(r.Context(), m); err != nil {
		h.answerAccepted(w, m, err)
		return
	}
	redirects, err := redirectsSoFar(r.URL)
	if err != nil {
		h.reject(w, r, badRequestError{http.StatusBadRequest, "the field " + redirectsField + " is malformed"})
		return
	}
	if redirects >= maxRedirects {
		h.rejectUntil(w, "no owner of the destination accepted the message", noOwnerRetry)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), locateTimeout)
	defer cancel()
	owner, err := h.ownership.Locate(ctx, m.Destination)
	if errors.Is(err, ErrNoDestination) {
		h.reject(w, r, badRequestError{http.StatusNotFound, ErrNoDestination.Error()})
		return
	}
	if err != nil {
		h.log.Debug("ingress: no owner", "destination", m.Destination, "err", err)
		h.rejectUntil(w, "this node does not own the destination, and knows no owner", noOwnerRetry)
		return
	}
	w.Header().Set("Location", location(owner, r.URL.EscapedPath(), redirects+1))
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// findAccepted returns nil if this node has surely not accepted an id, and no earlier request can make it do so.
func (h *Handler) findAccepted(ctx context.Context, m *message.Message) error {
	if accepted, reserved := h.registry.Lookup(m.ID); accepted {
		return &store.DuplicateError{}
	} else if reserved {
		return errBeingAccepted
	}
	finder, ok := h.store.(store.Finder)
	if !ok {
		return store.ErrUndecided
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), persistTimeout)
	defer cancel()
	return finder.Find(ctx, m.ID)
}

// answerAccepted answers the client of a message whose id this node has accepted, or may have.
func (h *Handler) answerAccepted(w http.ResponseWriter, m *message.Message, err error) {
	var known *store.DuplicateError
	switch {
	case errors.As(err, &known):
		h.answerNotAccepted(w, m, err)
	case errors.Is(err, errBeingAccepted):
		h.rejectUntil(w, err.Error(), defaultRetryAfter)
	default:
		// An earlier request may have been accepted, so a rejection would promise too much.
		h.answerNotAccepted(w, m, errors.Join(store.ErrUndecided, err))
	}
}

// redirectsSoFar returns how often a message was redirected before.
func redirectsSoFar(target *url.URL) (int, error) {
	query, err := url.ParseQuery(target.RawQuery)
	if err != nil {
		return 0, err
	}
	values := query[redirectsField]
	if len(values) == 0 {
		return 0, nil
	}
	redirects, err := strconv.ParseUint(values[0], 10, 8)
	if err != nil || len(values) > 1 {
		return 0, errors.New("it is no number of redirects")
	}
	return int(redirects), nil
}

// location returns the URL of the same path at an owner.
func location(owner, path string, redirects int) string {
	return "http://" + owner + path + "?" + redirectsField + "=" + strconv.Itoa(redirects)
}

// ValidOwner reports whether an address can be an owner's in a Location: HOST:PORT and nothing else.
func ValidOwner(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return false
	}
	u, err := url.Parse("http://" + address + "/")
	return err == nil && u.Host == address && u.User == nil
}
