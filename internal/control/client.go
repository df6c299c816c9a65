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
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// Limits of a client.
const (
	maxReplyBytes   = 128 << 20
	maxOwnersBytes  = 64 << 10
	maxFailureBytes = 4 << 10
	dialTimeout     = time.Second
	maxLookups      = 32 // concurrent lookups of owners
)

// ReplyError is an error response of a control machine.
type ReplyError struct {
	Status int
	Code   string // one of the codes in messages.go; empty if the response has none
	Text   string
}

// Error implements error.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("control process responded with status %d, code %q: %s", e.Status, e.Code, e.Text)
}

// Errors of a client.
var (
	// ErrOversized reports a response longer than the limit.
	ErrOversized = errors.New("response too long")
	// ErrUnreadable reports a response that can't be read or decoded.
	ErrUnreadable = errors.New("response can't be read")
	// ErrUnknownDestination reports that the cluster spec does not contain the destination.
	ErrUnknownDestination = errors.New("unknown destination")
	// ErrTooManyLookups reports that maxLookups lookups of owners are in progress.
	ErrTooManyLookups = errors.New("too many concurrent lookups of owners")
)

// client sends requests to one control machine at a time. After a failed request or an error response it switches to
// another address: see do and replyError.
type client struct {
	addresses []string
	current   atomic.Uint32 // index of the address to use, modulo the number of addresses
	// unreachable is 1 + the index of the address whose latest request got no response; 0 means none.
	unreachable  atomic.Uint32
	http         *http.Client
	ownTransport *http.Transport // nil if the transport is shared
	lookups      chan struct{}
}

func newClient(addresses []string, transport http.RoundTripper) *client {
	c := &client{addresses: addresses, lookups: make(chan struct{}, maxLookups)}
	if transport == nil {
		c.ownTransport = &http.Transport{
			DisableCompression:     true,
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    2,
			MaxConnsPerHost:        maxLookups + 2,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
		transport = c.ownTransport
	}
	c.http = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return c
}

// close closes idle connections.
func (c *client) close() {
	if c.ownTransport != nil {
		c.ownTransport.CloseIdleConnections()
	}
}

// useNextAddress makes the next request use the next address.
func (c *client) useNextAddress() { c.current.Add(1) }

// useAddress makes the next request use an address, unless the address is not configured or its latest request got no
// response.
func (c *client) useAddress(address string) {
	index := slices.Index(c.addresses, address)
	if index < 0 || c.unreachable.Load() == uint32(index+1) {
		return
	}
	c.current.Store(uint32(index))
}

// renew sends a poll that waits up to the given time for an update, and returns the reply.
func (c *client) renew(ctx context.Context, request pollRequest, wait time.Duration) (pollReply, error) {
	query := url.Values{"wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var reply pollReply
	err := c.post(ctx, pathRenew, query, request, &reply)
	return reply, err
}

// closeSession reports that a process no longer uses any quota.
func (c *client) closeSession(ctx context.Context, request lease.Request) error {
	return c.post(ctx, pathRenew, nil, pollRequest{Request: request}, nil)
}

// owners looks up the owners of a destination.
func (c *client) owners(ctx context.Context, destination placement.DestinationID) (Owners, error) {
	select {
	case c.lookups <- struct{}{}:
		defer func() { <-c.lookups }()
	default:
		return Owners{}, ErrTooManyLookups
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	query := url.Values{"destination": {strconv.FormatUint(uint64(destination), 10)}}
	var owners Owners
	request := controlRequest{method: http.MethodGet, path: pathOwners, query: query, maxReplyBytes: maxOwnersBytes}
	err := c.do(ctx, request, &owners)
	if err == nil && owners.Destination != destination {
		err = fmt.Errorf("%w: got owners of destination %d", ErrUnreadable, owners.Destination)
	}
	if err == nil && owners.Unknown {
		err = ErrUnknownDestination
	}
	return owners, err
}

func (c *client) post(ctx context.Context, path string, query url.Values, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encoding a request: %w", err)
	}
	request := controlRequest{method: http.MethodPost, path: path, query: query, body: text, maxReplyBytes: maxReplyBytes}
	return c.do(ctx, request, into)
}

// controlRequest is an HTTP request to a control machine.
type controlRequest struct {
	method        string
	path          string
	query         url.Values
	body          []byte
	maxReplyBytes int64
}

// do sends a request and decodes the response into a value, unless into is nil. It returns a *ReplyError for an error
// response.
func (c *client) do(ctx context.Context, r controlRequest, into any) error {
	index := uint32(int(c.current.Load()) % len(c.addresses))
	target := url.URL{Scheme: "http", Host: c.addresses[index], Path: r.path, RawQuery: r.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.unreachable.Store(index + 1)
			c.current.Store(index + 1)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing is written to it
	c.unreachable.CompareAndSwap(index+1, 0)
	if response.StatusCode != http.StatusOK && (into != nil || response.StatusCode != http.StatusNoContent) {
		return c.replyError(response)
	}
	if into == nil {
		return nil
	}
	return decodeResponse(response.Body, r.maxReplyBytes, into)
}

// replyError returns the error that a response reports. The next request uses another address: the leader's, if the
// response contains it.
func (c *client) replyError(response *http.Response) error {
	c.useNextAddress()
	failed := &ReplyError{Status: response.StatusCode}
	var body failure
	if text, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes)); err == nil && json.Unmarshal(text, &body) == nil {
		failed.Code, failed.Text = body.Code, body.Error
		c.useAddress(body.Leader)
	}
	return failed
}

// decodeResponse decodes JSON of limited length into a value.
func decodeResponse(body io.Reader, maxBytes int64, into any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if int64(len(text)) > maxBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrOversized, maxBytes)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return nil
}
