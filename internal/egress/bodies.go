package egress

import "sync/atomic"

// BodyHistory records whether the bodies of an endpoint's responses differ from each other. Only then is a second copy of an
// earlier response recognized on a connection that carries several calls. The zero value is an endpoint without a response.
// A BodyHistory is safe for concurrent use.
type BodyHistory struct{ state atomic.Uint32 }

// States of a BodyHistory; any other value is the digest of the last body.
const (
	noBody       = 0
	repeatedBody = 1
)

// Add records the digest of the body of a response. It reports whether the body differs from that of the response before it,
// and no two consecutive bodies were equal so far.
func (h *BodyHistory) Add(digest uint32) (distinct bool) {
	digest = max(digest, repeatedBody+1)
	for {
		last := h.state.Load()
		switch {
		case last == repeatedBody:
			return false
		case last == digest:
			h.MarkRepeated()
			return false
		case h.state.CompareAndSwap(last, digest):
			return last != noBody
		}
	}
}

// Repeated reports whether the endpoint has sent two equal responses.
func (h *BodyHistory) Repeated() bool { return h.state.Load() == repeatedBody }

// MarkRepeated records that the endpoint has sent two equal responses, so that Add reports false from now on.
func (h *BodyHistory) MarkRepeated() { h.state.Store(repeatedBody) }
