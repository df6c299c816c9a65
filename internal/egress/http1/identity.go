package http1

import (
	"errors"
	"net/http"
	"slices"
	"wingmount/internal/egress"

	"github.com/cespare/xxhash/v2"
)

// HTTP/1.1 responses don't name their requests. An endpoint, or a proxy before it, may send a second copy of a response, which
// arrives when the next call on the connection has been sent, and is read before that call's own response. A response that
// may be such a copy proves neither a delivery nor that a call did not run. Therefore
//   - a connection is used for another call only after a response of which a copy would be recognized: one with the results of a
//     batch, which names its messages, or one of an endpoint whose bodies differ from each other;
//   - a response that equals an earlier one of its connection is ignored, and the call waits for its own response.

const (
	// maxResponsesPerConnection limits the digests that a connection retains.
	maxResponsesPerConnection = 1024
	// maxIgnoredCopies limits the copies of earlier responses that are ignored during one call.
	maxIgnoredCopies = 8
)

// responseDigest identifies a response by its content.
type responseDigest struct {
	head     uint64 // of the status line and the headers; 0 until they are complete
	complete uint64 // of the complete response; 0 until it is complete
}

// digestHead returns the digest of the status line and the headers of a response.
func digestHead(resp *http.Response) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(resp.Proto + " " + resp.Status + "\n") // never fails
	_ = resp.Header.Write(d)                                    // sorted by key; never fails
	return d.Sum64()
}

// digestResponse returns the digest of a complete response with the given digest of its head.
func digestResponse(head uint64, body []byte) uint64 {
	d := xxhash.NewWithSeed(head)
	_, _ = d.Write(body) // never fails
	return d.Sum64()
}

// isCopy reports whether a complete response equals an earlier one of the connection.
func (c *connection) isCopy(r response) bool {
	return slices.ContainsFunc(c.earlier, func(earlier responseDigest) bool { return earlier.complete == r.digest.complete })
}

// mayBeCopy reports whether a response that ended with an error may be the begin of a copy of an earlier one. It is not if its
// head differs from all of them, or if it is malformed although the connection is open: a connection with a malformed
// response carries no further call.
func (c *connection) mayBeCopy(r response, err error) bool {
	if len(c.earlier) == 0 || errors.Is(err, errInvalidResponse) && c.readErr == nil {
		return false
	}
	return r.digest.head == 0 ||
		slices.ContainsFunc(c.earlier, func(earlier responseDigest) bool { return earlier.head == r.digest.head })
}

// isRecognizable reports whether a second copy of the response to a call would be distinguished from the responses to later calls.
func (c *Carrier) isRecognizable(call *egress.Call, x exchange) bool {
	switch {
	case x.response.status != http.StatusOK:
		return false
	case len(call.Parts) > 1:
		return x.results != nil
	default:
		return len(x.response.body) > 0 && c.bodiesDiffer(call.Endpoint, x.response.body)
	}
}

// bodiesDiffer records the body of a response and reports whether the endpoint's next body will differ from it, as far as is
// known. For the first body of an endpoint it decides by those of other endpoints: if that is wrong, one call gets a response
// that is ignored, and ends as one that may have run.
func (c *Carrier) bodiesDiffer(e *egress.Endpoint, body []byte) bool {
	switch e.Bodies.Add(uint32(xxhash.Sum64(body))) {
	case egress.FirstBody:
		return c.distinctBodies.Load() && !c.repeatedBodies.Load()
	case egress.DistinctBody:
		c.distinctBodies.Store(true)
		return true
	default:
		c.repeatedBodies.Store(true)
		return false
	}
}

// mayCarryAnotherCall reports whether a connection may be used again after a call, and records the call's response if so.
func (c *Carrier) mayCarryAnotherCall(conn *connection, call *egress.Call, x exchange) bool {
	if x.err != nil || !x.response.reusable || len(conn.earlier) >= maxResponsesPerConnection || !c.isRecognizable(call, x) {
		return false
	}
	conn.earlier = append(conn.earlier, x.response.digest)
	return true
}
