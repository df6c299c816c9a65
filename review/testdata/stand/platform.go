package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Member is an endpoint in discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Platform is discovery with a list that does not change, and the receiver of notices.
type Platform struct {
	record   *Record
	listener net.Listener
	members  []Member

	mu      sync.Mutex
	notices map[string]string // outcome by message
}

// NewPlatform starts discovery at a free address.
func NewPlatform(record *Record, members []Member) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{record: record, listener: l, members: members, notices: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", p.serveList)
	mux.HandleFunc("POST /v2/finals", p.serveNotices)
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

// Address returns the address of discovery.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() { _ = p.listener.Close() }

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list := map[string]any{"revision": 1, "complete": true, "members": p.members}
	if r.URL.Query().Get("index") == "1" {
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		list["complete"], list["members"] = false, []Member{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (p *Platform) serveNotices(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	d := json.NewDecoder(bytes.NewReader(text))
	for {
		var n struct {
			Message, Outcome string
			RetryMs          int64 `json:"retry_in_ms"`
		}
		if d.Decode(&n) != nil {
			break
		}
		p.record.Printf("notice: message=%s outcome=%s retry_in_ms=%d", n.Message, n.Outcome, n.RetryMs)
		p.mu.Lock()
		p.notices[n.Message] = n.Outcome
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notice returns the outcome that a message was ended with, empty if none.
func (p *Platform) Notice(message string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices[message]
}

// NodeConfig is the configuration of one delivery node of the platform, as DEPLOY describes it.
type NodeConfig struct {
	Listen, Discovery, State, Path string
	Members                        []Member
	Settings                       string
}

// Write writes the configuration file, and returns the environment of the node.
func (c NodeConfig) Write() ([]string, error) {
	known, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": c.Members})
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":%s,"settings":%s}`,
		c.Listen, c.Discovery, known, c.Settings)
	return []string{
		"PROXY_NAME=n0", "PROXY_LISTEN=" + c.Listen, "PROXY_DISCOVERY=" + c.Discovery, "PROXY_STATE=" + c.State, "PROXY_CONFIG=" + c.Path,
	}, os.WriteFile(c.Path, []byte(text), 0o600)
}
