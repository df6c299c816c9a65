package http1

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"wingmount/internal/egress"
	"wingmount/policy"
)

// Headers of a response, fixed by the protocol.
const (
	retryAfterHeader = "X-Backoff-Ms"
	egressFullHeader = "X-Egress-Full" // "1" if an overloaded proxy, not the endpoint, sent the response
)

// errInvalidResponse means that a response can't be parsed or is incomplete. The call may have run.
var errInvalidResponse = errors.New("invalid response")

// response is an endpoint's response to a call.
type response struct {
	status   int // 0 if the status line was not read
	header   http.Header
	body     []byte
	reusable bool // whether the connection may be used for another call, regardless of its content
	digest   responseDigest
}

// result is the result of one message: its outcome and whether the message must not be retried.
type result struct {
	outcome policy.Outcome
	final   bool
}

// classifyStatus derives the result of a single message, or of all messages of a batch without
// separate results, from the status of the response.
func (c *Carrier) classifyStatus(call *egress.Call, r response) result {
	switch r.status {
	case http.StatusOK:
		return result{outcome: policy.Delivered}
	case http.StatusTooManyRequests:
		return result{outcome: policy.RateLimited}
	case http.StatusServiceUnavailable:
		if r.header.Get(egressFullHeader) == "1" {
			return result{outcome: policy.NotSent}
		}
		return result{outcome: policy.RateLimited}
	case http.StatusGone:
		return result{outcome: policy.NotSent, final: true}
	case http.StatusGatewayTimeout:
		return result{outcome: policy.NotSent}
	case http.StatusInternalServerError:
		return result{outcome: policy.Failed}
	}
	c.log.Debug("egress: response has unknown status", "endpoint", call.Endpoint.Name, "status", r.status)
	return result{outcome: policy.Failed}
}

// retryAfter returns the retry delay of a response, from its X-Backoff-Ms header. It returns 0 if
// the header is missing, can't be parsed, is negative or exceeds [egress.MaxRetryAfter].
func retryAfter(r response) time.Duration {
	ms, err := strconv.ParseInt(r.header.Get(retryAfterHeader), 10, 64)
	if err != nil || ms < 0 || ms > egress.MaxRetryAfter.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// batchResults contains the result for each word that the response to a batch may have for a
// message. The protocol fixes these words.
var batchResults = map[string]result{
	"done":    {outcome: policy.Delivered},
	"failed":  {outcome: policy.Failed},
	"busy":    {outcome: policy.RateLimited},
	"void":    {outcome: policy.NotSent, final: true},
	"used_up": {outcome: policy.NotSent},
}

// parseBatchResults parses the results of a batch and returns them by message ID. It returns
// errInvalidResponse for a truncated list, an unknown word, or an ID that is repeated, missing or
// not in the batch: if a list has one error, none of its results is trusted.
func parseBatchResults(body []byte, parts []*egress.Part) (map[string]result, error) {
	results := map[string]result{}
	for line := range strings.Lines(string(body)) {
		id, word, _ := strings.Cut(strings.TrimSpace(line), " ")
		r, known := batchResults[word]
		if _, repeated := results[id]; !known || repeated {
			return nil, fmt.Errorf("%w: unknown result or repeated ID in line %.80q", errInvalidResponse, line)
		}
		results[id] = r
	}
	for _, p := range parts {
		if _, ok := results[p.Message.ID]; !ok || len(results) != len(parts) {
			return nil, fmt.Errorf("%w: IDs of %d results do not match those of %d messages", errInvalidResponse, len(results), len(parts))
		}
	}
	return results, nil
}
