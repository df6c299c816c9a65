package httpingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
)

// answerNotAccepted answers the client of a message that the store did not accept. If the id is on record, the answer is
// that of the record: 202 while unfinished, 200 for a delivery, 503 for a rejection, 410 for a failure. If the store does
// not know in time whether it accepted the message, the answer is 504, and the client may ask by the same id.
func (h *Handler) answerNotAccepted(w http.ResponseWriter, m *message.Message, err error) {
	var known *store.DuplicateError
	switch {
	case errors.As(err, &known):
		if known.Response == nil {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		w.Header().Set(finalHeader, known.Response.Kind.String())
		switch known.Response.Kind {
		case message.Delivered:
			w.WriteHeader(http.StatusOK)
		case message.Rejected:
			h.rejectUntil(w, "the message was refused: hand it in under a new id", defaultRetryAfter)
		default:
			http.Error(w, "the message has failed", http.StatusGone)
		}
	case errors.Is(err, store.ErrUndecided):
		h.log.Warn("ingress: not known whether the message is persisted", "id", m.ID, "err", err)
		http.Error(w, "not known yet: hand it in again under the same id", http.StatusGatewayTimeout)
	case errors.Is(err, store.ErrFull):
		h.rejectUntil(w, "the store takes no more", defaultRetryAfter)
	case errors.Is(err, store.ErrUnavailable):
		h.log.Warn("ingress: message not persisted", "id", m.ID, "err", err)
		h.rejectUntil(w, "the store is not available", defaultRetryAfter)
	default: // store.ErrFenced too: the client reads the text of a full store, and the log has the error
		h.log.Error("ingress: message not persisted", "id", m.ID, "err", err)
		h.rejectUntil(w, "the store takes no more", defaultRetryAfter)
	}
}

// reject answers a request that is not valid and closes its connection: what follows it there, or is inside its body,
// must never be read as a request.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, err error) {
	bad := badRequestError{http.StatusBadRequest, "the body could not be read"}
	errors.As(err, &bad)
	h.log.Debug("ingress: bad request", "status", bad.status, "err", err)
	if bad.status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodPost)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, bad.text, bad.status)
	if bad.status != http.StatusRequestEntityTooLarge {
		return
	}
	// Closing with unread bytes resets the connection and loses the answer, so the rest is read for a while first.
	rc := http.NewResponseController(w)
	if rc.Flush() == nil && rc.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, r.Body, lingerBytes) // the answer is sent; an error changes nothing
	}
}

// rejectUntil answers 503 with a Retry-After: sending the message again is harmless.
func (h *Handler) rejectUntil(w http.ResponseWriter, why string, at time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(at.Round(time.Millisecond).Seconds(), 'f', -1, 64))
	http.Error(w, why, http.StatusServiceUnavailable)
}
