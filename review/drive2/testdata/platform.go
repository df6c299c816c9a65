package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform is a stand-in of the platform: discovery, which tells one list, and the receiver of notices.
type platform struct {
	r       *run
	address string
	list    []byte // the whole list, revision 1

	mu      sync.Mutex
	notices map[string][]string // outcomes by id
}

// member is an entry of discovery's list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

func newPlatform(r *run, members []member) (*platform, error) {
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{r: r, address: l.Addr().String(), list: list, notices: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", p.servers)
	mux.HandleFunc("POST /v2/finals", p.finals)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return p, nil
}

func (p *platform) servers(w http.ResponseWriter, req *http.Request) {
	index := req.URL.Query().Get("index")
	if index == "" || index == "0" {
		_, _ = w.Write(p.list)
		return
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	select {
	case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
		_, _ = fmt.Fprint(w, `{"revision":1,"complete":false,"members":[]}`)
	case <-req.Context().Done():
	}
}

func (p *platform) finals(w http.ResponseWriter, req *http.Request) {
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n struct{ Message, Outcome string }
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.Message == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.r.notef("platform: notice %s", strings.TrimSpace(lines.Text()))
		p.mu.Lock()
		p.notices[n.Message] = append(p.notices[n.Message], n.Outcome)
		p.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// of returns the notices of a message.
func (p *platform) of(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.notices[id]...)
}

// platformNode is a node of the platform that can be started again under its name, address and folder.
type platformNode struct {
	listen string
	env    []string
}

// node writes the configuration of a node with some classes and slots.
func (p *platform) node(r *run, classes string, slots int) (*platformNode, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	state := filepath.Join(r.dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(`{"Classes": [%s],
 "Clients": {"MarksRetry": true}, "CountedBy": "request", "Discovery": "automatic",
 "Extra": {"BundleMax": [5, 1], "FeeByZone": [0.06, 0.0], "Late": "even", "MaxCalls": %d, "RefusalCost": 0.05, "RoutesApart": [true, false]},
 "FailureDomains": ["ops-building", "annex"], "Family": "deliver",
 "Goal": {"Whole": 0.75, "WorstClass": 0.0, "WorstTenant": 0.0, "WorstWindow": 0.25},
 "Layers": ["partner-systems"], "MachineTypes": ["major", "general"], "Me": 0, "NInstances": 1,
 "Obligations": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdFrom": 0.21, "DrainGraceUs": 1000000, "FallMultiple": 2.0, "FallUs": 1500000, "WarmUpUs": 14000000},
 "OverShareWorth": 0.1,
 "PolicyLimits": {"Cancel": true, "ConnectTimeoutUs": 1000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "IdleCloseUs": 15000000, "MaxAttempts": 6, "MaxOpen": 168, "MaxRetryAfterUs": 2000000, "MayTell": false, "ParallelTries": false, "Probes": false, "RetryAfter": true, "StreamsPerConn": 8},
 "Prices": {"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.02, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.0, "Peer": 0.01, "Probe": 0.0, "Waste": 0.05},
 "Report": {"Fields": [], "How": "silent"}, "Stage": 0, "Tenants": [], "TickUs": 5000, "WeightSource": "rough", "Zone": 0}`, classes, slots)
	config, err := r.write("config.json", fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":12},
 "known":{"revision":0,"complete":true,"members":[]},
 "settings":%s}`, listen, p.address, settings))
	if err != nil {
		return nil, err
	}
	return &platformNode{listen, []string{
		"PROXY_NAME=n1", "PROXY_LISTEN=" + listen, "PROXY_DISCOVERY=" + p.address, "PROXY_STATE=" + state, "PROXY_CONFIG=" + config, "WINGMOUNT_DEBUG=1",
	}}, nil
}

// deployCommand returns what the deploy file starts as a node, without its exec.
func deployCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = \"exec "); ok {
			command, _, _ := strings.Cut(value, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml names no run")
}

// startNode starts the node and waits until it is ready.
func (n *platformNode) startNode(r *run) (*process, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	p, err := r.start("node", command, n.env...)
	if err != nil {
		return nil, err
	}
	return p, awaitReady(p, n.listen, 30*time.Second)
}
