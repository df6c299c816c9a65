package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/consensus"
	"wingmount/internal/testkit"
)

// The golden files contain stored data and messages between agents and control machines, possibly of different
// versions. A change to a golden file is therefore a change to a stored or wire format.

// filler sets the exported fields of a value to distinct non-zero values, as far as their types allow.
type filler struct{ count uint64 }

// nonZeroValue returns a value whose exported fields are all set. It returns the same value each time.
func nonZeroValue[T any]() T {
	var value T
	(&filler{}).fill(reflect.ValueOf(&value).Elem())
	return value
}

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() || v.Type().Field(i).Anonymous {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		v.SetMapIndex(key, element)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", f.count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(f.count) + 0.25)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(f.count)
	default:
		panic("filler: unsupported kind " + v.Kind().String())
	}
}

// goldenCase is a type that is stored or sent as JSON, with its golden file.
type goldenCase struct {
	name  string
	value any        // a value with all fields set
	into  func() any // returns a new value to decode into
}

func newGoldenCase[T any](name string) goldenCase {
	return goldenCase{name: name, value: nonZeroValue[T](), into: func() any { return new(T) }}
}

func goldenCases() []goldenCase {
	return []goldenCase{
		newGoldenCase[serverState]("control_state"),
		newGoldenCase[agentState]("agent_state"),
		newGoldenCase[replicatedState]("agreed_state"),
		newGoldenCase[command]("command"),
		newGoldenCase[clusterspec.Delta]("cluster_delta"),
		newGoldenCase[pollRequest]("poll_request"),
		newGoldenCase[pollReply]("poll_reply"),
		newGoldenCase[failure]("failure"),
		newGoldenCase[Owners]("owners"),
		newGoldenCase[State]("state"),
		newGoldenCase[Explanation]("explanation"),
		newGoldenCase[QuorumState]("quorum_state"),
		newGoldenCase[leadership.VoteRequest]("vote_request"),
		newGoldenCase[voteReply]("vote_reply"),
	}
}

// goldenName returns the name under which testkit finds a golden file.
func goldenName(file string) string { return "golden/" + file }

func compareGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	testkit.Golden(t, goldenName(file), got)
}

func readGolden(t *testing.T, file string) []byte {
	t.Helper()
	return testkit.ReadGolden(t, goldenName(file))
}

func TestGoldenJSONEncodingIsUnchanged(t *testing.T) {
	for _, c := range goldenCases() {
		t.Run(c.name, func(t *testing.T) {
			text, err := json.Marshal(c.value)
			testkit.Must(t, err)
			compareGolden(t, c.name+".json", append(text, '\n'))
		})
	}
}

func TestGoldenJSONIsDecoded(t *testing.T) {
	for _, c := range goldenCases() {
		t.Run(c.name, func(t *testing.T) {
			into := c.into()
			decoder := json.NewDecoder(bytes.NewReader(readGolden(t, c.name+".json")))
			decoder.DisallowUnknownFields()
			testkit.Must(t, decoder.Decode(into))
			if got := reflect.ValueOf(into).Elem().Interface(); !reflect.DeepEqual(got, c.value) {
				t.Errorf("got %+v, want %+v", got, c.value)
			}
		})
	}
}

func TestGoldenStateFilesAreWrittenAndRead(t *testing.T) {
	dir := t.TempDir()
	folder, err := openStateFolder(dir)
	testkit.Must(t, err)
	testkit.Must(t, folder.persist(nonZeroValue[serverState]()))
	testkit.Must(t, folder.close())
	text, err := os.ReadFile(filepath.Join(dir, "control.json"))
	testkit.Must(t, err)
	compareGolden(t, "control_state.json", text)
	var state serverState
	testkit.Must(t, readState(filepath.Join(dir, "control.json"), &state))
	if want := nonZeroValue[serverState](); !reflect.DeepEqual(state, want) {
		t.Errorf("got %+v, want %+v", state, want)
	}
	if _, err := os.Stat(filepath.Join(dir, "control.lock")); err != nil {
		t.Error(err)
	}
}

// An agent reads the previous process and incarnation from its state file, and writes its own process to it.
func TestGoldenAgentStateIsResumed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.json")
	testkit.Must(t, os.WriteFile(path, []byte(`{"incarnation":7,"process":12345}`+"\n"), 0o600))
	agent, err := NewAgent(AgentConfig{Node: "n1", Addresses: []string{"127.0.0.1:9"}, StateFile: path})
	testkit.Must(t, err)
	defer func() { testkit.Must(t, agent.lock.Close()) }()
	if highestIncarnation := agent.holder.HighestIncarnation(); highestIncarnation != 7 {
		t.Errorf("got incarnation %d, want 7", highestIncarnation)
	}
	request := agent.holder.Renew(0)
	if request.Replaces != 12345 || request.Incarnation != 7 || request.Process != agent.state.Process {
		t.Errorf("got request %+v, want process %d, replaced process 12345 and incarnation 7", request, agent.state.Process)
	}
	text, err := os.ReadFile(path)
	testkit.Must(t, err)
	if want := fmt.Sprintf("{\"incarnation\":7,\"process\":%d}\n", agent.state.Process); string(text) != want {
		t.Errorf("got %q, want %q", text, want)
	}
}

// goldenCommands returns commands of each kind. Applied in order, all of them take effect.
func goldenCommands() []command {
	revision := leadership.Revision{Leader: 1, Incarnation: 8}
	renewedRevision := leadership.Revision{Leader: 1, Incarnation: 8, Renewals: 1}
	node := clusterspec.Node{Name: "n1", Region: "north", Zone: "z1", Weight: 2, Address: "127.0.0.1:9001"}
	destination := clusterspec.Destination{
		Number: 5, Name: "five", Rate: 10, Owners: 2, Region: "north", Limit: 20, RoutesApart: true, Bundle: 3,
		Endpoints: []clusterspec.Endpoint{{Name: "e1", Address: "127.0.0.1:7001", Zone: "b1", Draining: true}},
	}
	return []command{
		{ID: 1, Join: &leadership.Join{Member: 1, Process: 101}},
		{ID: 2, Join: &leadership.Join{Member: 2, Process: 102}},
		{ID: 3, Candidacy: &leadership.Candidacy{Member: 1, Process: 101, Nonce: 1, Previous: leadership.Revision{Incarnation: 7}, LeaderLease: time.Minute, NodeLease: 30 * time.Second, MembersVersion: 1}},
		{ID: 4, Renewal: &leadership.Renewal{Member: 1, Process: 101, Nonce: 2, Previous: revision, MembersVersion: 1, EarlierLeasesExpired: true, NodeLease: 20 * time.Second}},
		{ID: 5, AddMember: &addMember{Member: 3, Region: "south", Address: "127.0.0.1:8003"}},
		{ID: 6, AddMember: &addMember{Member: 4, Region: "south", Address: "127.0.0.1:8004"}},
		{ID: 7, RemoveMember: &removeMember{Member: 4}},
		{ID: 8, Drain: &setDraining{Node: "n1", Draining: true}},
		{ID: 9, SpecChange: &specChange{Change: 77, Last: true, Delta: clusterspec.Delta{Nodes: []clusterspec.Node{node, {Name: "n2", Region: "south", Zone: "z2", Weight: 1, Address: "127.0.0.1:9002"}}, Destinations: []clusterspec.Destination{destination}}}},
		{ID: 10, SpecChange: &specChange{Change: 78, Previous: 1, Delta: clusterspec.Delta{RemovedNodes: []string{"n2"}}}},
		{ID: 11, SpecChange: &specChange{Change: 78, Previous: 1, Part: 1, Last: true, Delta: clusterspec.Delta{RemovedDestinations: []placement.DestinationID{6}}}},
		{ID: 12, SpecChange: &specChange{Change: 79, Previous: 2, Delta: clusterspec.Delta{RemovedNodes: []string{"n1"}}}},
		{ID: 13, Join: &leadership.Join{Member: 3, Process: 103}},
		{ID: 14, Candidacy: &leadership.Candidacy{Member: 3, Process: 103, Nonce: 1, LeaderLease: time.Minute, NodeLease: 30 * time.Second, MembersVersion: 3}},
		{ID: 15, Resignation: &leadership.Resignation{Member: 3, Process: 103, Previous: leadership.Revision{Leader: 3, Incarnation: 1}}},
		{ID: 16, Renewal: &leadership.Renewal{Member: 1, Process: 101, Nonce: 3, Previous: renewedRevision, MembersVersion: 3}},
	}
}

func goldenInitialState(t *testing.T) []byte {
	t.Helper()
	text, err := initialState([]QuorumMember{
		{ID: 1, Region: "north", Address: "127.0.0.1:8001"}, {ID: 2, Region: "north", Address: "127.0.0.1:8002"},
	}, 7, 40*time.Second)
	testkit.Must(t, err)
	return text
}

func TestGoldenInitialStateIsUnchanged(t *testing.T) {
	compareGolden(t, "initial_state.json", goldenInitialState(t))
}

// Encoded commands equal the golden file byte by byte. Applied to the golden initial state, the commands of the file
// produce the golden snapshot.
func TestGoldenCommandsProduceSnapshot(t *testing.T) {
	var log bytes.Buffer
	for _, c := range goldenCommands() {
		text, err := json.Marshal(c)
		testkit.Must(t, err)
		log.Write(append(text, '\n'))
	}
	compareGolden(t, "commands.jsonl", log.Bytes())

	machine := newStateMachine(101, func() {})
	testkit.Must(t, machine.Restore(readGolden(t, "initial_state.json")))
	var effective []leadership.Nonce
	for i, line := range strings.Split(strings.TrimSpace(string(readGolden(t, "commands.jsonl"))), "\n") {
		outcome := machine.awaitOutcome(uint64(i + 1))
		machine.Apply(uint64(i+2), []byte(line))
		if err := <-outcome; err != nil {
			t.Errorf("command %d: %v", i+1, err)
		}
		machine.Applied()
		effective = append(effective, machine.takeView().effective...)
	}
	if want := []leadership.Nonce{1, 2, 3}; !reflect.DeepEqual(effective, want) {
		t.Errorf("got effective nonces %v, want %v", effective, want)
	}
	text, err := machine.Snapshot()()
	testkit.Must(t, err)
	compareGolden(t, "snapshot.json", text)
}

func TestGoldenSnapshotIsRestored(t *testing.T) {
	machine := newStateMachine(101, func() {})
	testkit.Must(t, machine.Restore(readGolden(t, "snapshot.json")))
	want := replicatedState{
		Leadership: &leadership.State{
			MembersVersion: 4,
			Members: map[leadership.MemberID]leadership.Member{
				1: {ID: 1, Region: "north", Process: 101, AddedVersion: 1},
				2: {ID: 2, Region: "north", Process: 102, AddedVersion: 1},
				3: {ID: 3, Region: "south", Process: 103, AddedVersion: 2},
			},
			Regions: map[string]leadership.Term{
				"north": {
					Revision: leadership.Revision{Leader: 1, Incarnation: 8, Renewals: 2}, Process: 101, LeaderLease: time.Minute,
					LongestNodeLease: 20 * time.Second, MembersVersion: 3,
				},
				"south": {
					Revision: leadership.Revision{Incarnation: 1, Renewals: 1}, Process: 103, LeaderLease: time.Minute,
					LongestNodeLease: 30 * time.Second, MembersVersion: 3,
				},
			},
		},
		Addresses: map[leadership.MemberID]string{1: "127.0.0.1:8001", 2: "127.0.0.1:8002", 3: "127.0.0.1:8003"},
		Spec: &clusterspec.Spec{
			Nodes: []clusterspec.Node{{Name: "n1", Region: "north", Zone: "z1", Weight: 2, Address: "127.0.0.1:9001"}},
			Destinations: []clusterspec.Destination{{
				Number: 5, Name: "five", Rate: 10, Owners: 2, Region: "north", Limit: 20, RoutesApart: true, Bundle: 3,
				Endpoints: []clusterspec.Endpoint{{Name: "e1", Address: "127.0.0.1:7001", Zone: "b1", Draining: true}},
			}},
		},
		SpecVersion:  2,
		Draining:     []placement.NodeID{"n1"},
		DrainVersion: 1,
		Staged: &stagedChange{
			Change: 79, NextPart: 1, Bytes: machine.state.Staged.Bytes, Delta: clusterspec.Delta{RemovedNodes: []string{"n1"}},
		},
	}
	if !reflect.DeepEqual(machine.state, want) {
		t.Errorf("got %+v, want %+v", machine.state, want)
	}
	if got := machine.state.Staged.Bytes; got != len(strings.Split(string(readGolden(t, "commands.jsonl")), "\n")[11]) {
		t.Errorf("got %d staged bytes, want the length of command 12", got)
	}
}

func TestGoldenClusterFileIsLoaded(t *testing.T) {
	got, err := clusterspec.Load(filepath.Join("testdata", goldenName("cluster.toml")))
	testkit.Must(t, err)
	want := &clusterspec.Spec{
		Nodes: []clusterspec.Node{
			{Name: "n1", Region: "north", Zone: "z1", Weight: 2.5, Address: "127.0.0.1:9001"},
			{Name: "n2", Region: "south", Zone: "z2", Weight: 1, Address: "127.0.0.1:9002"},
		},
		Destinations: []clusterspec.Destination{
			{
				Number: 5, Name: "five", Rate: 12.5, Owners: 3, Region: "north", Limit: 20, RoutesApart: true, Bundle: 4,
				Endpoints: []clusterspec.Endpoint{
					{Name: "e1", Address: "127.0.0.1:7001", Zone: "b1", Draining: true},
					{Name: "e2", Address: "127.0.0.1:7002", Zone: "b2"},
				},
			},
			{Number: 6, Rate: 1, Owners: 2, Bundle: 1, Endpoints: []clusterspec.Endpoint{{Name: "e3", Address: "127.0.0.1:7003", Zone: "b1"}}},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Agents and operators receive these statuses, codes and texts of errors.
func TestGoldenErrorResponsesAreUnchanged(t *testing.T) {
	var lines bytes.Buffer
	for _, err := range []error{
		&NodeError{Node: "n9"},
		fmt.Errorf("%w: wait: %q is no number of milliseconds", lease.ErrMalformed, "x"),
		lease.ErrSuperseded, lease.ErrStaleRequest, lease.ErrNoSession, ErrNoConfigs, errNotLeader, ErrNoQuorum, consensus.ErrStopped,
		ErrConflict, ErrNoEffect, ErrConfigsWithdrawn, lease.ErrTooManySessions, errBusy, errSpecBusy, errors.New("anything else"),
	} {
		response := httptest.NewRecorder()
		writeError(response, err)
		fmt.Fprintf(&lines, "%d %s %s\n", response.Code, response.Header().Get("Content-Type"), response.Body)
	}
	compareGolden(t, "failures.txt", lines.Bytes())
}

// The paths and methods of a server, and responses that don't depend on sessions or placements.
func TestGoldenServerResponsesAreUnchanged(t *testing.T) {
	server, _ := startServer(t, testServerConfig(t, testSpec(1, 1)))
	handler := server.handler(t.Context())
	var lines bytes.Buffer
	for _, c := range []struct{ method, target, body string }{
		{http.MethodPost, "/v1/assignment/renew?wait=x", "{}"},
		{http.MethodPost, "/v1/assignment/renew", "no JSON"},
		{http.MethodPost, "/v1/assignment/renew", `{"node":"n9"}`},
		{http.MethodPost, "/v1/assignment/renew", `{"node":"n1","records":true}`},
		{http.MethodGet, "/v1/assignment/renew", ""},
		{http.MethodGet, "/v1/assignment/owners?destination=none", ""},
		{http.MethodGet, "/v1/assignment/owners?destination=9", ""},
		{http.MethodPost, "/v1/assignment/owners", ""},
		{http.MethodGet, "/v1/assignment/explain?destination=x", ""},
		{http.MethodPost, "/v1/assignment/drain?node=n1&draining=maybe", ""},
		{http.MethodPost, "/v1/assignment/drain?node=n9&draining=true", ""},
		{http.MethodPost, "/v1/assignment/drain?node=n1&draining=true", ""},
		{http.MethodPost, "/v1/assignment/reload", ""},
		{http.MethodGet, "/v1/quorum/state", ""},
	} {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
		fmt.Fprintf(&lines, "%s %s %s: %d %s\n", c.method, c.target, c.body, response.Code, strings.TrimSpace(response.Body.String()))
	}
	compareGolden(t, "paths.txt", lines.Bytes())
}

// The paths and methods of a member, and responses that don't depend on sessions or placements.
func TestGoldenMemberResponsesAreUnchanged(t *testing.T) {
	q := newTestQuorum(t, testSpec(1, 1), "north")
	m := q.leader("north")
	handler := m.handler(t.Context())
	var lines bytes.Buffer
	for _, c := range []struct{ method, target, body string }{
		{http.MethodPost, "/v1/assignment/renew?wait=x", "{}"},
		{http.MethodPost, "/v1/assignment/drain?node=n1&draining=maybe", ""},
		{http.MethodPost, "/v1/assignment/drain?node=n1&draining=true", ""},
		{http.MethodPost, "/v1/assignment/reload", ""},
		{http.MethodPost, "/v1/quorum/consent", "no JSON"},
		{http.MethodPost, "/v1/quorum/consent", `{"region":"north","holder":2}`},
		{http.MethodPost, "/v1/quorum/add?member=0", ""},
		{http.MethodPost, "/v1/quorum/add?member=7", ""},
		{http.MethodPost, "/v1/quorum/add?member=7&region=south&address=x", ""},
		{http.MethodPost, "/v1/quorum/remove?member=x", ""},
		{http.MethodPost, "/v1/quorum/remove?member=9", ""},
		{http.MethodPost, "/v1/quorum/world", `{"unknown":1}`},
		{http.MethodPost, "/v1/quorum/world", `{"nodes":[{"name":"n1"}]}`},
		{http.MethodPost, "/v1/quorum/world", `{}`},
		{http.MethodPost, "/v1/quorum/world", `{"nodes":[{"name":"n1","region":"north","zone":"z","address":"h:1"}],"destinations":[{"number":1,"rate":1}]}`},
		{http.MethodPost, "/v1/quorum/world?whole=true", "nonsense"},
		{http.MethodPost, "/v1/quorum/world?whole=true", ""},
		{http.MethodGet, "/v1/quorum/world", ""},
		{http.MethodPost, "/v1/quorum/messages", "x"},
	} {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
		fmt.Fprintf(&lines, "%s %s %s: %d %s\n", c.method, c.target, c.body, response.Code, strings.TrimSpace(response.Body.String()))
	}
	compareGolden(t, "member_paths.txt", lines.Bytes())
}
