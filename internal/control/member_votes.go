package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
)

// Limits of a vote request.
const (
	voteTimeout  = time.Second
	maxVoteBytes = 4 << 10
)

// serveVote responds whether this member votes for extending the leader lease of the region's leader.
func (m *Member) serveVote(w http.ResponseWriter, r *http.Request) {
	var request leadership.VoteRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVoteBytes)).Decode(&request); err != nil {
		writeError(w, fmt.Errorf("%w: %w", lease.ErrMalformed, err))
		return
	}
	m.mu.Lock()
	granted := m.elector.Vote(m.clockReading(), request)
	m.mu.Unlock()
	writeOK(w, voteReply{Granted: granted})
}

// voteClient requests votes from other members.
type voteClient struct{ http *http.Client }

func newVoteClient(transport http.RoundTripper) *voteClient {
	if transport == nil {
		transport = &http.Transport{
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: voteTimeout}).DialContext,
		}
	}
	return &voteClient{http: &http.Client{Timeout: voteTimeout, Transport: transport}}
}

func (c *voteClient) close() { c.http.CloseIdleConnections() }

// request requests a vote from the member at an address, and reports whether it was granted.
func (c *voteClient) request(ctx context.Context, address string, vote leadership.VoteRequest) (bool, error) {
	text, err := json.Marshal(vote)
	if err != nil {
		return false, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathVote, bytes.NewReader(text))
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(post)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }() // nothing is written to it
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w: status %d", ErrUnreadable, response.StatusCode)
	}
	var reply voteReply
	err = decodeResponse(response.Body, maxVoteBytes, &reply)
	return reply.Granted, err
}
