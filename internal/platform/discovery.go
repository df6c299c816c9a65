package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
	"wingmount/decide/polling"
	"wingmount/internal/directory"
	"wingmount/policy"
)

const (
	// maxListBytes bounds a list of endpoints.
	maxListBytes = 4 << 20
	// dialTimeout bounds how long a connection takes to be established. http.Transport continues to dial after its
	// request was given up, to have a connection for the next: without a timeout of its own each call that hangs would
	// keep a descriptor for minutes.
	dialTimeout = time.Second
	// unknownRevision is the revision of a node without a list.
	unknownRevision = -1
)

var (
	// errRejected is a response of the directory without a list.
	errRejected = errors.New("rejected by the directory")
	// errIncompleteList is a response with changes to a request for the complete list.
	errIncompleteList = errors.New("got changes in place of the complete list")
)

// NewSchedule returns the schedule of calls to the directory for a node's settings. If changes come without a
// subscription, the directory's address is that of an agent of the node's own, which responds at once; and a change
// that the agent has counts as announced, so that a node which starts must poll before it sends by an old list. If
// nodes must subscribe, all senders share the directory.
func NewSchedule(s policy.Settings, rng *rand.Rand) polling.Schedule {
	if !s.MustSubscribe {
		return polling.Schedule{Nodes: 1, DrainGrace: s.DrainGrace, Rand: rng}
	}
	return polling.Schedule{Nodes: max(2, s.Senders), DrainGrace: s.DrainGrace, Rand: rng}
}

// Discovery follows the directory's list of endpoints.
type Discovery struct {
	client        *http.Client
	log           *slog.Logger
	publish       func(directory.List)
	schedule      polling.Schedule
	knownRevision int64 // of the list of an earlier process, or unknownRevision

	mu     sync.Mutex
	url    string
	cancel context.CancelFunc // ends following the present address
}

// NewDiscovery returns a Discovery of the directory at an address. It passes each list to publish, marked as fresh. With
// a complete list of an earlier process it requests only the changes since, after a short delay: a complete list costs
// the directory most.
func NewDiscovery(addr string, schedule polling.Schedule, known directory.List, log *slog.Logger, publish func(directory.List)) *Discovery {
	revision := int64(unknownRevision)
	if known.Complete && len(known.Members) > 0 {
		revision = known.Revision
	}
	return &Discovery{
		url: listURL(addr), log: log, publish: publish, schedule: schedule, knownRevision: revision,
		client: &http.Client{Transport: newTransport()},
	}
}

func newTransport() *http.Transport {
	return &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
}

func listURL(addr string) string { return "http://" + addr + "/v1/servers" }

// SetAddress follows the directory at another address from now on.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if url := listURL(addr); url != d.url {
		d.url = url
		if d.cancel != nil {
			d.cancel()
		}
	}
}

// Run follows the list until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	revision := d.knownRevision
	if revision != unknownRevision {
		sleep(ctx, d.schedule.InitialDelay())
	}
	for ctx.Err() == nil {
		d.followPresentAddress(ctx, revision)
		revision = unknownRevision
		d.client.CloseIdleConnections()
	}
}

// followPresentAddress follows the list at the address that is set now, until it changes or the context ends.
func (d *Discovery) followPresentAddress(ctx context.Context, revision int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	url := d.url
	d.cancel = cancel
	d.mu.Unlock()
	d.follow(ctx, url, revision)
}

// follow requests the complete list, unless a revision is known, and then its changes, until the context ends.
//
// A response with an older revision than the known one is not applied, and the complete list is requested again:
// revisions of a directory that was replaced may mean something else. The first response is published also if nothing
// has changed, since it confirms the known list.
func (d *Discovery) follow(ctx context.Context, url string, revision int64) {
	failures, confirmed := 0, false
	for ctx.Err() == nil {
		started := time.Now()
		list, err := d.poll(ctx, url, revision, failures)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			d.log.Warn("discovery: no list", "failures", failures, "err", err)
			sleep(ctx, d.schedule.NextDelay(failures, errors.Is(err, errRejected)))
			continue
		}
		failures = 0
		switch {
		case list.Complete || list.Revision > revision || list.Revision == revision && !confirmed:
			list.Live = true
			d.publish(list)
			revision, confirmed = list.Revision, true
		case list.Revision < revision:
			revision = unknownRevision
		}
		if time.Since(started) < polling.MinInterval { // a directory that responds at once, whatever it responds
			sleep(ctx, polling.MinInterval)
		}
	}
}

// poll requests the changes since a revision, or the complete list if none is known.
func (d *Discovery) poll(ctx context.Context, url string, revision int64, failures int) (directory.List, error) {
	if revision == unknownRevision {
		list, err := d.get(ctx, url, d.schedule.ListTimeout(failures))
		if err == nil && !list.Complete {
			err = errIncompleteList
		}
		return list, err
	}
	wait := d.schedule.ChangeTimeout(failures)
	url = fmt.Sprintf("%s?index=%d&wait=%d", url, revision, wait.Milliseconds())
	return d.get(ctx, url, wait+d.schedule.ResponseTimeout(failures))
}

// get requests a list.
func (d *Discovery) get(ctx context.Context, url string, timeout time.Duration) (directory.List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return directory.List{}, fmt.Errorf("requesting the list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return directory.List{}, fmt.Errorf("requesting the list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // a response that was read completely has no error left
	if resp.StatusCode != http.StatusOK {
		return directory.List{}, fmt.Errorf("%w: %s", errRejected, resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return directory.List{}, fmt.Errorf("reading the list: %w", err)
	}
	var list directory.List
	if err := json.Unmarshal(text, &list); err != nil {
		return directory.List{}, fmt.Errorf("unreadable list: %w", err)
	}
	for _, err := range list.MarkOutOfRange(directory.MaxPlatformDestination) {
		d.log.Warn("discovery: destination number out of range, endpoint unchanged", "err", err)
	}
	return list, nil
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
