package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"wingmount/internal/store/frame"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// update regenerates the fixtures: go test ./internal/consensus -run Fixture -update. A changed fixture means a changed
// format, which members of other versions have to read.
var update = flag.Bool("update", false, "regenerate the fixtures in testdata")

const fixtureDir = "testdata/stored"

// fixtureVoters lists the initial members of the fixture's log.
var fixtureVoters = []uint64{1}

// writeFixtureLog runs a single member until its folder has a snapshot and entries of each kind after it. The added
// learner does not count toward its majority.
func writeFixtureLog(t *testing.T, dir string) {
	t.Helper()
	machine := &recorder{}
	c, err := newCore(Config{ID: 1, Dir: dir, InitialMembers: fixtureVoters, InitialState: frame.Append(nil, []byte("initial")), Machine: machine}.withDefaults())
	testMust(t, err)
	processReady := func() { testMust(t, c.processReady(func([]*pb.Message) {})) }
	testMust(t, c.raw.Campaign())
	processReady()
	for _, text := range []string{"first", "second"} {
		testMust(t, c.raw.Propose([]byte(text)))
		processReady()
	}
	kind, id := pb.ConfChangeAddLearnerNode, uint64(2)
	testMust(t, c.raw.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &id}}, Context: []byte("added")}))
	processReady()
	snapshot := c.startCompaction()
	if snapshot == nil {
		t.Fatal("got no compaction after a change of members, want one")
	}
	snapshot.run()
	testMust(t, c.finishCompaction(snapshot))
	for _, text := range []string{"third", "fourth"} {
		testMust(t, c.raw.Propose([]byte(text)))
		processReady()
	}
	id = 3
	testMust(t, c.raw.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &id}}, Context: []byte("added too")}))
	processReady()
	testMust(t, c.disk.close())
}

func fixtureNames(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	testMust(t, err)
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// compareFixtures compares all files of a folder with the fixture's files, byte by byte.
func compareFixtures(t *testing.T, dir string) {
	t.Helper()
	got, want := fixtureNames(t, dir), fixtureNames(t, fixtureDir)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got files %q, want %q", got, want)
	}
	for _, name := range want {
		gotText, err := os.ReadFile(filepath.Join(dir, name))
		testMust(t, err)
		wantText, err := os.ReadFile(filepath.Join(fixtureDir, name))
		testMust(t, err)
		if !bytes.Equal(gotText, wantText) {
			t.Errorf("%s: got %x, want %x", name, gotText, wantText)
		}
	}
}

func TestFixtureLogIsWrittenUnchanged(t *testing.T) {
	dir := t.TempDir()
	writeFixtureLog(t, dir)
	if *update {
		testMust(t, os.RemoveAll(fixtureDir))
		testMust(t, os.CopyFS(fixtureDir, os.DirFS(dir)))
	}
	compareFixtures(t, dir)
}

func copyFixture(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	testMust(t, os.CopyFS(dir, os.DirFS(fixtureDir)))
	return dir
}

func TestFixtureLogIsRead(t *testing.T) {
	dir := copyFixture(t)
	d, found, err := openDisk(dir)
	testMust(t, err)
	defer func() { testMust(t, d.close()) }()
	if found.empty {
		t.Error("got an empty log, want the fixture's records")
	}
	info, err := os.Stat(filepath.Join(dir, logName))
	testMust(t, err)
	if d.size != info.Size() {
		t.Errorf("got a size of %d, want %d", d.size, info.Size())
	}
	snapshot, err := found.memory.Snapshot()
	testMust(t, err)
	index, term, autoLeave := uint64(5), uint64(2), false
	wantSnapshot := &pb.Snapshot{
		Data: frame.Append(frame.Append(frame.Append(frame.Append(nil, []byte("initial")), []byte("first")), []byte("second")), []byte("added")),
		Metadata: &pb.SnapshotMetadata{
			Index: &index, Term: &term,
			ConfState: &pb.ConfState{Voters: []uint64{1}, Learners: []uint64{2}, AutoLeave: &autoLeave},
		},
	}
	if !proto.Equal(snapshot, wantSnapshot) {
		t.Errorf("got the snapshot %v, want %v", snapshot, wantSnapshot)
	}
	state, _, err := found.memory.InitialState()
	testMust(t, err)
	vote, commit := uint64(1), uint64(8)
	if want := (&pb.HardState{Term: &term, Vote: &vote, Commit: &commit}); !proto.Equal(state, want) {
		t.Errorf("got the hard state %v, want %v", state, want)
	}
	checkFixtureEntries(t, found.memory)
}

// checkFixtureEntries compares the entries after the snapshot, field by field.
func checkFixtureEntries(t *testing.T, memory *raft.MemoryStorage) {
	t.Helper()
	entries, err := memory.Entries(6, 9, raftNoLimit)
	testMust(t, err)
	kind, id := pb.ConfChangeAddLearnerNode, uint64(3)
	change, err := proto.Marshal(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &id}}, Context: []byte("added too")})
	testMust(t, err)
	want := []struct {
		kind pb.EntryType
		data []byte
	}{{pb.EntryNormal, []byte("third")}, {pb.EntryNormal, []byte("fourth")}, {pb.EntryConfChangeV2, change}}
	if len(entries) != len(want) {
		t.Fatalf("got %d entries, want %d", len(entries), len(want))
	}
	for i, entry := range entries {
		if entry.GetIndex() != uint64(6+i) || entry.GetTerm() != 2 || entry.GetType() != want[i].kind || !bytes.Equal(entry.GetData(), want[i].data) {
			t.Errorf("got entry %v, want index %d, term 2, %v, %q", entry, 6+i, want[i].kind, want[i].data)
		}
	}
}

// A member started on the fixture restores its state machine from the snapshot and applies the committed entries after
// it.
func TestFixtureLogIsRestoredAndApplied(t *testing.T) {
	machine := &recorder{}
	c, err := newCore(Config{ID: 1, Dir: copyFixture(t), Machine: machine}.withDefaults())
	testMust(t, err)
	testMust(t, c.processReady(func([]*pb.Message) {}))
	want := []string{"initial", "first", "second", "added", "third", "fourth", "added too"}
	if fmt.Sprintf("%s", machine.entries) != fmt.Sprint(want) {
		t.Errorf("got the entries %s, want %s", machine.entries, want)
	}
	if c.applied != 8 || fmt.Sprint(c.confState.GetLearners()) != "[2 3]" {
		t.Errorf("got applied %d and learners %v, want 8 and [2 3]", c.applied, c.confState.GetLearners())
	}
	testMust(t, c.disk.close())
}

// The log file contains records of each kind, with the kinds' stored numbers.
func TestFixtureLogHasRecordsOfEachKind(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(fixtureDir, "quorum.log"))
	testMust(t, err)
	var kinds []byte
	for len(text) > 0 {
		payload, rest, err := frame.Next(text)
		testMust(t, err)
		kinds = append(kinds, payload[0])
		if payload[0] == 1 && binary.LittleEndian.Uint64(payload[1:]) != 5 {
			t.Errorf("got the index %d of the snapshot, want 5", binary.LittleEndian.Uint64(payload[1:]))
		}
		text = rest
	}
	if want := []byte{1, 2, 3, 2, 3, 2, 3, 2}; !bytes.Equal(kinds, want) {
		t.Errorf("got the kinds %v, want %v", kinds, want)
	}
}

const messagesFixture = "testdata/messages.body"

// fixtureMessages returns the encoded messages of one request.
func fixtureMessages(t *testing.T) []Message {
	t.Helper()
	kind, from, to, term, index, commit := pb.MsgApp, uint64(1), uint64(2), uint64(3), uint64(4), uint64(5)
	entry := &pb.Entry{Term: &term, Index: &index, Data: []byte("entry")}
	message := &pb.Message{Type: &kind, From: &from, To: &to, Term: &term, LogTerm: &term, Index: &index, Commit: &commit, Entries: []*pb.Entry{entry}}
	text, err := proto.Marshal(message)
	testMust(t, err)
	heartbeatKind := pb.MsgHeartbeat
	heartbeat, err := proto.Marshal(&pb.Message{Type: &heartbeatKind, From: &from, To: &to, Term: &term, Commit: &commit})
	testMust(t, err)
	return []Message{{To: 2, Text: text}, {To: 2, Text: heartbeat}}
}

type requestRecorder struct {
	request *http.Request
	body    []byte
}

// RoundTrip implements [http.RoundTripper].
func (k *requestRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	k.request, k.body = r, body
	return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, err
}

func TestFixtureMessagesAreSentUnchanged(t *testing.T) {
	recorder := &requestRecorder{}
	transport := NewTransport("an-origin", recorder, Config{}.withDefaults().Log)
	defer transport.Close()
	testMust(t, transport.post(t.Context(), &peer{id: 2, address: "127.0.0.1:9"}, fixtureMessages(t)))
	if *update {
		testMust(t, os.WriteFile(messagesFixture, recorder.body, 0o600))
	}
	want, err := os.ReadFile(messagesFixture)
	testMust(t, err)
	if !bytes.Equal(recorder.body, want) {
		t.Errorf("got the body %x, want %x", recorder.body, want)
	}
	if got := recorder.request.Method + " " + recorder.request.URL.String(); got != "POST http://127.0.0.1:9/v1/quorum/messages" {
		t.Errorf("got the request %q", got)
	}
	if got := recorder.request.Header.Get("X-Quorum-Origin"); got != "an-origin" {
		t.Errorf("got the origin %q, want an-origin", got)
	}
}

type textRecorder struct {
	texts [][]byte
	err   error
}

// Receive implements [Receiver].
func (k *textRecorder) Receive(text []byte) error {
	k.texts = append(k.texts, bytes.Clone(text))
	return k.err
}

func TestFixtureMessagesAreReceived(t *testing.T) {
	body, err := os.ReadFile(messagesFixture)
	testMust(t, err)
	cases := []struct {
		name, origin, want string
		body               []byte
		err                error
		status             int
	}{
		{name: "same origin", origin: "an-origin", body: body, status: http.StatusNoContent},
		{name: "no origin", body: body, status: http.StatusNoContent},
		{name: "other origin", origin: "another", body: body, status: http.StatusConflict, want: "this member began with another log\n"},
		{name: "cut off", origin: "an-origin", body: body[:len(body)-1], status: http.StatusBadRequest},
		{name: "busy", origin: "an-origin", body: body, err: ErrBusy, status: http.StatusServiceUnavailable, want: "too much waits for the quorum\n"},
		{name: "stopped", origin: "an-origin", body: body, err: ErrStopped, status: http.StatusServiceUnavailable, want: "this member takes no part in the quorum\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/v1/quorum/messages", bytes.NewReader(c.body))
			if c.origin != "" {
				request.Header.Set("X-Quorum-Origin", c.origin)
			}
			receiver, response := &textRecorder{err: c.err}, httptest.NewRecorder()
			ServeMessages(response, request, "an-origin", receiver)
			if response.Code != c.status {
				t.Errorf("got the status %d, want %d", response.Code, c.status)
			}
			if c.want != "" && response.Body.String() != c.want {
				t.Errorf("got the body %q, want %q", response.Body, c.want)
			}
			if c.status != http.StatusNoContent {
				return
			}
			if want := fixtureMessages(t); len(receiver.texts) != 2 || !bytes.Equal(receiver.texts[0], want[0].Text) || !bytes.Equal(receiver.texts[1], want[1].Text) {
				t.Errorf("got the messages %x, want %x and %x", receiver.texts, want[0].Text, want[1].Text)
			}
		})
	}
}

func TestFixtureOriginIsUnchanged(t *testing.T) {
	if got, want := Origin([]uint64{1, 2, 3}, []byte("state")), "8ca42eccff289b2a9773cd14"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := Origin(nil, []byte("state")); got != "" {
		t.Errorf("got %q without members, want none", got)
	}
}

// A heartbeat whose commit index is the last index of the log is accepted; one with the next index is an error.
func TestReceiveHeartbeatBeyondLogReturnsError(t *testing.T) {
	for _, beyond := range []uint64{0, 1} {
		c, err := newCore(Config{ID: 2, Dir: t.TempDir(), InitialMembers: []uint64{1, 2, 3}, InitialState: frame.Append(nil, []byte("initial")), Machine: &recorder{}}.withDefaults())
		testMust(t, err)
		kind, from, to, term, commit := pb.MsgHeartbeat, uint64(1), uint64(2), uint64(1), bootstrapIndex+beyond
		err = c.receive(&pb.Message{Type: &kind, From: &from, To: &to, Term: &term, Commit: &commit})
		if rejected := err != nil; rejected != (beyond > 0) {
			t.Errorf("got error %v for a commit index %d after the last entry", err, beyond)
		}
		testMust(t, c.disk.close())
	}
}

// A compaction starts when the log file has the size compactAt, and not at one byte less.
func TestStartCompactionAtSizeReturnsCompaction(t *testing.T) {
	c, err := newCore(Config{ID: 1, Dir: t.TempDir(), InitialMembers: []uint64{1}, InitialState: frame.Append(nil, []byte("initial")), Machine: &recorder{}}.withDefaults())
	testMust(t, err)
	defer func() { testMust(t, c.disk.close()) }()
	testMust(t, c.raw.Campaign())
	testMust(t, c.processReady(func([]*pb.Message) {}))
	c.compactAt = c.disk.size + 1
	if c.startCompaction() != nil {
		t.Error("got a compaction one byte below compactAt, want none")
	}
	c.compactAt = c.disk.size
	if c.startCompaction() == nil {
		t.Error("got no compaction at compactAt, want one")
	}
	if c.startCompaction() != nil {
		t.Error("got a second compaction while one is in progress, want none")
	}
}

// A damaged last frame may result from a crash and is dropped. The same frame with a byte after it is an error.
func TestOpenDiskDropsDamagedLastFrame(t *testing.T) {
	dir := copyFixture(t)
	path := filepath.Join(dir, "quorum.log")
	complete, err := os.ReadFile(path)
	testMust(t, err)
	text := bytes.Clone(complete)
	text[len(text)-1] ^= 1
	testMust(t, os.WriteFile(path, append(text, 0), 0o600))
	if _, _, err := openDisk(dir); !errors.Is(err, ErrDamaged) {
		t.Errorf("with a byte after the frame: got %v, want ErrDamaged", err)
	}
	testMust(t, os.WriteFile(path, text, 0o600))
	d, _, err := openDisk(dir)
	testMust(t, err)
	defer func() { testMust(t, d.close()) }()
	if want := int64(len(complete) - 15); d.size != want { // the last record, a hard state, has 8 bytes of frame and 7 more
		t.Errorf("got %d bytes, want %d", d.size, want)
	}
}

// An entry may replace the entries from its index on, or follow the last one. One that leaves a gap or replaces the
// snapshot is an error.
func TestOpenDiskRejectsEntryOutOfSequence(t *testing.T) {
	for _, test := range []struct {
		name  string
		index uint64
		valid bool
	}{{"index of the snapshot", 5, false}, {"first entry", 6, true}, {"last entry", 8, true}, {"next entry", 9, true}, {"after a gap", 10, false}} {
		t.Run(test.name, func(t *testing.T) {
			dir := copyFixture(t)
			path := filepath.Join(dir, "quorum.log")
			text, err := os.ReadFile(path)
			testMust(t, err)
			term, kind := uint64(2), pb.EntryNormal
			body, err := proto.Marshal(&pb.Entry{Term: &term, Index: &test.index, Type: &kind})
			testMust(t, err)
			testMust(t, os.WriteFile(path, appendRecord(text, recordEntry, body), 0o600))
			d, stored, err := openDisk(dir)
			if !test.valid {
				if !errors.Is(err, ErrDamaged) {
					t.Errorf("got %v, want ErrDamaged", err)
				}
				return
			}
			testMust(t, err)
			defer func() { testMust(t, d.close()) }()
			last, err := stored.memory.LastIndex()
			testMust(t, err)
			if last != test.index {
				t.Errorf("got the last index %d, want %d", last, test.index)
			}
		})
	}
}
