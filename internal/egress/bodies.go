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

// Variety is what the bodies of an endpoint's responses have shown so far.
type Variety int

// The varieties.
const (
	FirstBody      Variety = iota // there was one body
	DistinctBody                  // no two consecutive bodies were equal
	RepeatedBodies                // two consecutive bodies were equal
)

// Add records the digest of the body of a response, and returns what the bodies have shown with it.
func (h *BodyHistory) Add(digest uint32) Variety {
	digest = max(digest, repeatedBody+1)
	for {
		last := h.state.Load()
		switch {
		case last == repeatedBody:
			return RepeatedBodies
		case last == digest:
			h.MarkRepeated()
			return RepeatedBodies
		case h.state.CompareAndSwap(last, digest):
			if last == noBody {
				return FirstBody
			}
			return DistinctBody
		}
	}
}

// Repeated reports whether the endpoint has sent two equal responses.
func (h *BodyHistory) Repeated() bool { return h.state.Load() == repeatedBody }

// MarkRepeated records that the endpoint has sent two equal responses, so that Add returns RepeatedBodies from now on.
func (h *BodyHistory) MarkRepeated() { h.state.Store(repeatedBody) }
