package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"wingmount/internal/directory"
)

const (
	// watchWait is how long one watch waits for news. It is short, so that a call
	// which hangs in a silent agent is soon given up for a new one.
	watchWait   = 2 * time.Second
	watchMargin = time.Second
	// watchPause must stay well under the 200 ms in which a watch goes on.
	watchPause = 50 * time.Millisecond
	maxList    = 4 << 20
)

// Discovery follows the list of endpoints.
type Discovery struct {
	client *http.Client
	log    *slog.Logger
	tell   func(directory.List)

	mu    sync.Mutex
	url   string
	leave context.CancelFunc // ends the watch at the present address
}

// NewDiscovery returns a follower of the directory at an address, which tells each list
// in turn, and marks it as fresh.
func NewDiscovery(addr string, log *slog.Logger, tell func(directory.List)) *Discovery {
	return &Discovery{url: listURL(addr), log: log, tell: tell,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

func listURL(addr string) string { return "http://" + addr + "/v1/servers" }

// Move goes on at another address, at once.
func (d *Discovery) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if url := listURL(addr); url != d.url {
		d.url = url
		if d.leave != nil {
			d.leave()
		}
	}
}

// Run follows the list until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		d.mu.Lock()
		url := d.url
		d.leave = leave
		d.mu.Unlock()
		d.follow(here, url)
		leave()
		d.client.CloseIdleConnections()
	}
}

// follow fetches the whole list and then watches it until the context ends. It
// starts anew at each address: versions told by another may mean something else.
func (d *Discovery) follow(ctx context.Context, base string) {
	at := int64(-1)
	for ctx.Err() == nil {
		url, limit := base, watchMargin
		if at >= 0 {
			url = fmt.Sprintf("%s?index=%d&wait=%d", base, at, watchWait.Milliseconds())
			limit += watchWait
		}
		asked := time.Now()
		l, err := d.get(ctx, url, limit)
		if ctx.Err() != nil {
			return
		}
		if err == nil && (l.Complete || at >= 0 && l.Revision > at) {
			l.Fresh = true
			d.tell(l)
			at = l.Revision
			continue
		}
		if err == nil && at < 0 {
			err = errors.New("the whole list was asked for and a part came")
		}
		if err != nil || time.Since(asked) < watchPause { // no agent answers a watch at once with nothing
			if err != nil && ctx.Err() == nil {
				d.log.Warn("discovery: no list", "err", err)
			}
			select {
			case <-time.After(watchPause):
			case <-ctx.Done():
			}
		}
	}
}

func (d *Discovery) get(ctx context.Context, url string, limit time.Duration) (directory.List, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return directory.List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return directory.List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return directory.List{}, fmt.Errorf("answered %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return directory.List{}, err
	}
	var l directory.List
	if err := json.Unmarshal(data, &l); err != nil {
		return directory.List{}, fmt.Errorf("unreadable list: %w", err)
	}
	return l, nil
}
