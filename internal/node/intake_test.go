package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wingmount/policy"
)

// newIntake has one keyed class and remembers what it accepts.
func newIntake(t *testing.T, accepted *[]*message) *intake {
	j, _ := mustOpen(t, t.TempDir(), minDisk)
	return &intake{names: names{classes: map[string]int{"note": 0}}, journal: j,
		classes: []policy.Class{{Repeat: policy.Deduplicated, Deadline: 28 * time.Second}}, dests: map[int]bool{7: true}, told: true,
		log: quietLog(), maxHeld: 2, held: map[string]bool{}, accept: func(m *message) { *accepted = append(*accepted, m) }}
}

func noteRequest(ctx context.Context, id string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/note", strings.NewReader("body"))
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "note", "X-Timeout-Ms": "5000",
		"X-Route-To": "dest=7", "Idempotency-Key": "k", "Content-Length": "4"} {
		r.Header.Set(k, v)
	}
	return r
}

// net/http ends a request's context also when the client has only closed its
// sending side: it waits for the answer, and one without a message taken loses it.
func TestEndedContextIsNoReasonToDrop(t *testing.T) {
	var accepted []*message
	in := newIntake(t, &accepted)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	in.ServeHTTP(w, noteRequest(ctx, "a"))
	if w.Code != http.StatusAccepted || len(accepted) != 1 || string(accepted[0].body) != "body" {
		t.Errorf("answered %d with %d messages taken, want 202 and one", w.Code, len(accepted))
	}
}

// A journal that can't be written refuses, frees the place and never crashes.
func TestFailedJournalRefuses(t *testing.T) {
	var accepted []*message
	in := newIntake(t, &accepted)
	must(t, in.journal.close())
	for _, id := range []string{"a", "b", "c", "a"} {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, noteRequest(context.Background(), id))
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: answered %d, want 503 with Retry-After", id, w.Code)
		}
	}
	if len(accepted) != 0 || in.count() != 0 {
		t.Errorf("%d messages accepted and %d places held, want none", len(accepted), in.count())
	}
}

// What discovery says that makes no sense changes nothing, and an endpoint that is
// told to drain closes to calls that still dial.
func TestListsThatMakeNoSense(t *testing.T) {
	l := &loop{names: names{kinds: map[string]int{"general": 0}, zones: map[string]int{"a": 0}}, log: quietLog(),
		settings: policy.Settings{Kinds: []policy.Kind{{BundleMax: 1}}, DrainGrace: 1},
		journal:  &journal{}, endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}, dests: map[int]time.Time{}}
	entry := func(id, phase string) member {
		return member{ID: id, HostPort: "127.0.0.1:1", Locality: "a", Flavor: "general", Cell: 3, Phase: phase, Size: 1}
	}
	strange := entry("s3", "active")
	strange.Flavor = "unheard of"
	got := l.listed(list{Complete: true, Members: []member{entry("s1", "active"), entry("s2", "active"), strange,
		entry("s4", "left"), entry("s5", "sleeping"), entry("s6", "leaving")}})
	if len(got.Entries) != 2 || !got.Whole {
		t.Fatalf("entries %+v, want s1 and s2", got.Entries)
	}
	got = l.listed(list{Complete: true, Members: []member{entry("s1", "sleeping"), entry("s2", "leaving")}})
	if len(got.Entries) != 2 || got.Entries[0].State != policy.Ready || got.Entries[1].State != policy.Draining {
		t.Errorf("entries %+v, want s1 ready still and s2 draining", got.Entries)
	}
	s1, s2 := l.endpoints[policy.EndpointID(hash("s1"))], l.endpoints[policy.EndpointID(hash("s2"))]
	if s1.leaves.closedFrom.Load() != 0 || s2.leaves.closedFrom.Load() == 0 {
		t.Error("the gate of s1 must be open and that of s2 must close")
	}
	if s1.waits != s2.waits {
		t.Error("endpoints of one destination that share a limit share its waits")
	}
}
