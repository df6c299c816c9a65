package ruleset

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
	"wingmount/decide/admission"
	"wingmount/decide/rules"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is the environment of a manager: a record of rules and a rule file, which tests modify. The text of the rule
// file is the key expression of its only rule.
type fixture struct {
	tb           testing.TB
	record       string // path
	ruleFile     string // text; empty means no rules
	capacity     int
	keyRetention time.Duration
	peers        store.RuleSharer
}

func newFixture(tb testing.TB, dir string) *fixture {
	tb.Helper()
	return &fixture{tb: tb, record: filepath.Join(dir, "active"), ruleFile: "body.a", keyRetention: time.Hour}
}

func (f *fixture) classes() []rules.Class {
	return []rules.Class{{Name: "line", Repeat: policy.Idempotent, Ordered: true, KeyRetention: f.keyRetention}, {Name: "plain", Repeat: policy.Idempotent}}
}

func (f *fixture) parse(text string) (*rules.Set, error) {
	if text == "" {
		return rules.Empty(), nil
	}
	return rules.Compile(rules.Spec{
		Messages: []rules.MessageSpec{{Class: "plain", Fields: []rules.FieldSpec{{Name: "a", Type: "string"}, {Name: "b", Type: "string"}}}},
		Rules:    []rules.RuleSpec{{Name: "r", For: []string{"plain"}, Class: `"line"`, Key: text}},
	}, f.classes())
}

func (f *fixture) open(firstStart bool, unfinished ...*message.Message) (*Manager, error) {
	return Open(Config{
		Load: func() (*rules.Set, string, error) {
			set, err := f.parse(f.ruleFile)
			return set, f.ruleFile, err
		},
		Parse: f.parse, RecordPath: f.record, Classes: f.classes(), ClassNames: []string{"line", "plain"},
		Unfinished: unfinished, FirstStart: firstStart, LedgerCapacity: f.capacity, Peers: f.peers, MaxTimeout: peerTimeout, Log: testkit.QuietLog(),
	})
}

func (f *fixture) start(firstStart bool, unfinished ...*message.Message) *Manager {
	f.tb.Helper()
	m, err := f.open(firstStart, unfinished...)
	testkit.Must(f.tb, err)
	return m
}

func input(id, a, b string) rules.Input {
	return rules.Input{ID: id, Class: "plain", Body: fmt.Appendf(nil, `{"a":%q,"b":%q}`, a, b)}
}

// expectKey evaluates a message and checks its key. An empty key means that the message must wait.
func expectKey(tb testing.TB, m *Manager, in rules.Input, key string) {
	tb.Helper()
	r, err := m.Evaluate(in)
	var wait *WaitError
	switch {
	case key == "" && (!errors.As(err, &wait) || wait.RetryAfter < changeCheckInterval || wait.RetryAfter > maxRetryAfter):
		tb.Errorf("%s: got %+v, error %v, want a wait", in.ID, r, err)
	case key != "" && (err != nil || r.Key != key || r.Class != "line"):
		tb.Errorf("%s: got %+v, error %v, want key %q", in.ID, r, err, key)
	}
}

func complete(m *Manager, id string) {
	m.ObserveCompletions([]admission.Observation{{Kind: admission.CallStarted, MessageID: id}, {Kind: admission.MessageCompleted, MessageID: id}})
}

// During a change, a message waits while an older message uses its previous key; otherwise it could overtake that
// message. The change completes when the older messages have completed. The rule set that was loaded last then becomes
// active.
func TestMessageWaitsForOlderUseOfPreviousKeyDuringChange(t *testing.T) {
	f := newFixture(t, t.TempDir())
	f.keyRetention = 0
	m := f.start(true)
	expectKey(t, m, input("1", "x", "p"), "x")
	f.ruleFile = "body.b"
	testkit.Must(t, m.Reload())
	if !m.ChangeInProgress() {
		t.Fatal("got no change in progress, want one")
	}
	expectKey(t, m, input("2", "x", "q"), "")
	expectKey(t, m, input("3", "q", "q"), "q") // both rule sets give the same key
	expectKey(t, m, input("4", "y", "q"), "q") // no message uses the previous key
	for _, next := range []string{`"c"`, `body.a + body.b`} {
		f.ruleFile = next
		testkit.Must(t, m.Reload())
	}
	testkit.Must(t, m.advanceChange())
	expectKey(t, m, input("2", "x", "q"), "")
	complete(m, "1")
	testkit.Must(t, m.advanceChange())
	expectKey(t, m, input("5", "x", "q"), "") // the last rule set is active, and message 4 uses the previous key q
	complete(m, "3")
	complete(m, "4")
	testkit.Must(t, m.advanceChange())
	expectKey(t, m, input("5", "x", "q"), "xq")
	if texts, err := readActiveRules(f.record); err != nil || m.ChangeInProgress() || len(texts) != 1 || texts[0] != f.ruleFile {
		t.Errorf("got record %q, error %v, change in progress %t, want a record with only %q and no change", texts, err, m.ChangeInProgress(), f.ruleFile)
	}
	if c := m.Counts(); c.Waits != 3 || c.Matched != 7 || c.Invalid != 0 || c.HighestCost == 0 {
		t.Errorf("got counts %+v, want 3 waits, 7 matched, 0 invalid and a highest cost above 0", c)
	}
}

// A change waits only for keys of the classes that it affects. Otherwise keys of other classes with a long retention
// would delay it.
func TestChangeWaitsForAffectedClasses(t *testing.T) {
	f := newFixture(t, t.TempDir())
	m := f.start(true)
	expectKey(t, m, input("1", "x", "p"), "x") // its key is in use for an hour after completion
	f.ruleFile = "body.b"
	testkit.Must(t, m.Reload())
	testkit.Must(t, m.advanceChange())
	if !m.ChangeInProgress() {
		t.Error("got the change completed while an older key is in use")
	}
	// The change does not affect the class of the older message.
	f = newFixture(t, t.TempDir())
	f.ruleFile = ""
	m = f.start(true)
	if _, err := m.Evaluate(rules.Input{ID: "1", Class: "line", Key: "x"}); err != nil {
		t.Fatal(err)
	}
	f.ruleFile = "body.a"
	testkit.Must(t, m.Reload())
	testkit.Must(t, m.advanceChange())
	if m.ChangeInProgress() {
		t.Error("got a change waiting for a class that it does not affect")
	}
}

// A rule file that does not compile, or can't be persisted, changes nothing: the active rules still apply, and a later
// Reload succeeds.
func TestReloadFailureKeepsActiveRules(t *testing.T) {
	f := newFixture(t, t.TempDir())
	m := f.start(true)
	f.ruleFile = "body.nothing"
	if err := m.Reload(); err == nil || !strings.Contains(err.Error(), "undeclared") {
		t.Errorf("got error %v, want an undeclared reference", err)
	}
	f.ruleFile = "body.b"
	for _, point := range []string{"ruling/before-record", "ruling/after-write", "ruling/after-rename"} {
		disarm, err := failpoint.Set(point, func() error { return errors.New("the disk is full") })
		testkit.Must(t, err)
		if err := m.Reload(); err == nil || !strings.Contains(err.Error(), "the disk is full") {
			t.Errorf("%s: got error %v, want the error of the failure point", point, err)
		}
		disarm()
	}
	expectKey(t, m, input("1", "x", "p"), "x")
	if m.ChangeInProgress() {
		t.Error("got a change in progress, want none")
	}
	testkit.Must(t, m.Reload())
	expectKey(t, m, input("2", "y", "p"), "p")
}

// Rules are used only after they are persisted. If a process crashes at a failure point of a change, the next process
// reads from the record which rules gave the keys of unfinished messages, so no message overtakes an older one by
// getting another key.
func TestCrashDuringChangeKeepsRulesOfUnfinishedMessages(t *testing.T) {
	points := failpoint.Names("ruling/")
	if len(points) < 4 {
		t.Fatalf("got failure points %q, want at least 4", points)
	}
	for _, point := range points {
		for _, keepsNewFile := range []bool{false, true} { // false: the restarted process finds the previous rule file
			t.Run(fmt.Sprintf("%s, new file %t", point, keepsNewFile), func(t *testing.T) {
				f := newFixture(t, t.TempDir())
				m := f.start(true)
				expectKey(t, m, input("1", "x", "p"), "x")
				f.ruleFile = "body.b"
				disarm, err := failpoint.Set(point, func() error { panic(point) })
				testkit.Must(t, err)
				func() {
					defer disarm()
					defer func() {
						if p := recover(); p != point {
							t.Errorf("got panic %v, want %s", p, point)
						}
					}()
					t.Errorf("Reload returned %v, want a crash", m.Reload())
				}()
				if !keepsNewFile {
					f.ruleFile = "body.a"
				}
				// A new process reads the unfinished message and the record.
				restarted := f.start(false, &message.Message{ID: "1", Key: "x", Class: 0})
				r, err := restarted.Evaluate(input("2", "x", "p"))
				if err == nil && r.Key != "x" {
					t.Errorf("got key %q while an older message has key x, want x or a wait", r.Key)
				}
			})
		}
	}
}

// After a restart the keys of unfinished messages are in use. Any other key may be in use until the key retention has
// passed, since the keys of completed messages are not persisted.
func TestRestartTreatsKeysOfEarlierProcessAsInUse(t *testing.T) {
	f := newFixture(t, t.TempDir())
	f.start(true)
	unfinished := []*message.Message{{ID: "1", Key: "x", Class: 0}, {ID: "2", Key: "y", Class: 1}, {ID: "3", Key: "z", FinalResponse: &message.FinalResponse{}}}
	f.ruleFile = "body.b"
	m := f.start(false, unfinished...)
	expectKey(t, m, input("4", "x", "p"), "")
	expectKey(t, m, input("5", "u", "p"), "") // a completed message may have used u
	expectKey(t, m, input("6", "u", "u"), "u")
	m.Adopt(unfinished[0]) // already adopted by Open
	complete(m, "1")
	expectKey(t, m, input("4", "x", "p"), "") // the key x is in use for another hour
	// At the first start no key is in use.
	f = newFixture(t, t.TempDir())
	expectKey(t, f.start(true), input("4", "x", "p"), "x")
}

// The log contains the numbers of invalid and of waiting messages and the place of an error, but no content of a
// message.
func TestLogCountsOmitsMessageContent(t *testing.T) {
	f := newFixture(t, t.TempDir())
	m := f.start(true)
	var out strings.Builder
	omitTime := func(_ []string, a slog.Attr) slog.Attr { // the time may contain the digits of the message
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	m.config.Log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: omitTime}))
	lastLogged := m.logCounts(Counts{})
	if _, err := m.Evaluate(rules.Input{ID: "1", Class: "plain", Body: []byte(`{"a":"secret","b":77}`)}); err == nil {
		t.Error("got no error for an invalid message")
	}
	expectKey(t, m, input("2", "x", "p"), "x")
	expectKey(t, m, input("2", "x", "p"), "")
	lastLogged = m.logCounts(lastLogged)
	for _, want := range []string{"invalid=1 evaluated=3 last_place=body.b", "waits=1 evaluated=3"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got log %q, want it to contain %q", out.String(), want)
		}
	}
	if strings.Contains(out.String(), "secret") || strings.Contains(out.String(), "77") {
		t.Errorf("got log %q, want none of the message's content", out.String())
	}
	out.Reset()
	if m.logCounts(lastLogged); out.Len() > 0 {
		t.Errorf("got log %q, want no output for unchanged counts", out.String())
	}
}

// A record that is corrupt, has another version or does not compile is an error. Opening without it would lose the
// rules that gave the keys of earlier messages.
func TestOpenInvalidRecordReturnsError(t *testing.T) {
	f := newFixture(t, t.TempDir())
	f.start(true)
	good, err := os.ReadFile(f.record)
	testkit.Must(t, err)
	for _, text := range []string{"", "{}", strings.Replace(string(good), "body.a", "body.b", 1), strings.Replace(string(good), `"form":1`, `"form":2`, 1)} {
		testkit.Must(t, os.WriteFile(f.record, []byte(text), 0o600))
		if _, err := f.open(false); err == nil || !strings.Contains(err.Error(), f.record) {
			t.Errorf("%q: got error %v, want an error with the path of the record", text, err)
		}
	}
	// The rules in the record do not compile with the current classes.
	testkit.Must(t, writeActiveRules(f.record, []string{"body.nothing"}))
	if _, err := f.open(false); err == nil || !strings.Contains(err.Error(), "do not compile with this configuration") {
		t.Errorf("got error %v, want one that the rules do not compile with the configuration", err)
	}
}

// The key of a message that was not accepted is free at once; the key of one that may have been accepted stays in use.
func TestReleaseFreesKeyAndReleaseUncertainKeepsIt(t *testing.T) {
	f := newFixture(t, t.TempDir())
	f.keyRetention = 0
	m := f.start(true)
	expectKey(t, m, input("1", "x", "p"), "x")
	expectKey(t, m, input("1", "x", "p"), "") // message 1 is being accepted
	m.Release("1")
	expectKey(t, m, input("2", "y", "p"), "y")
	m.ReleaseUncertain("2", time.Now().Add(time.Hour))
	f.ruleFile = "body.b"
	testkit.Must(t, m.Reload())
	expectKey(t, m, input("3", "x", "p"), "p")
	expectKey(t, m, input("4", "y", "p"), "")
}

// Evaluations, completions and changes run concurrently, which lets the race detector find unguarded state. The last
// change completes.
func TestConcurrentUseCompletesLastChange(t *testing.T) {
	f := newFixture(t, t.TempDir())
	f.keyRetention = 0
	m := f.start(true)
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			for i := range 200 {
				id := fmt.Sprint(client, "-", i)
				if _, err := m.Evaluate(input(id, fmt.Sprint("a", i%7), fmt.Sprint("b", i%5))); err == nil {
					complete(m, id)
				}
			}
		})
	}
	for i := range 20 {
		f.ruleFile = []string{"body.a", "body.b"}[i%2]
		testkit.Must(t, m.Reload())
		testkit.Must(t, m.advanceChange())
	}
	clients.Wait()
	testkit.Must(t, m.advanceChange())
	testkit.Must(t, m.advanceChange())
	if m.ChangeInProgress() {
		t.Error("got a change in progress without unfinished messages")
	}
}

// A message can overtake an older unfinished message if the rules of the older message would give both the same key,
// but the current rules give the newer one another key. The test records every unfinished message with its rules, and
// checks that no such message is accepted across changes and restarts.
func TestOrderIsKeptAcrossChangesAndRestarts(t *testing.T) {
	waits, acceptedCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "ruleset")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		f := newFixture(noTB{}, dir)
		f.keyRetention = 0
		type acceptedMessage struct {
			m    *message.Message
			rule string // rule file that gave its key
			a, b string // fields of its body
		}
		unfinished := map[string]acceptedMessage{}
		rule := f.ruleFile
		m, err := f.open(true)
		if err != nil {
			t.Fatal(err)
		}
		key := func(rule, a, b string) string {
			switch rule {
			case "body.a":
				return a
			case "body.b":
				return b
			}
			return a + b
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "complete", "reload", "advance", "restart"}).Draw(t, "op") {
			case "submit":
				a, b := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "a"), rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "b")
				id := fmt.Sprint(i)
				r, err := m.Evaluate(input(id, a, b))
				if err != nil {
					waits++
					continue
				}
				acceptedCount++
				for _, older := range unfinished {
					if key(older.rule, a, b) == older.m.Key && r.Key != older.m.Key {
						t.Fatalf("%s: got key %q while %s is unfinished with key %q by rule %s, want the same key or a wait",
							id, r.Key, older.m.ID, older.m.Key, older.rule)
					}
				}
				for _, candidate := range []string{"body.a", "body.b", "body.a + body.b"} {
					if m.active.text == candidate {
						rule = candidate
					}
				}
				unfinished[id] = acceptedMessage{&message.Message{ID: id, Key: r.Key, Class: 0}, rule, a, b}
			case "complete":
				for id := range unfinished {
					complete(m, id)
					delete(unfinished, id)
					break
				}
			case "reload":
				f.ruleFile = rapid.SampledFrom([]string{"body.a", "body.b", "body.a + body.b"}).Draw(t, "rule")
				if err := m.Reload(); err != nil {
					t.Fatal(err)
				}
			case "advance":
				if err := m.advanceChange(); err != nil {
					t.Fatal(err)
				}
			case "restart":
				var messages []*message.Message
				for _, u := range unfinished {
					messages = append(messages, u.m)
				}
				if m, err = f.open(false, messages...); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
	t.Logf("%d messages accepted, %d had to wait", acceptedCount, waits)
	if waits == 0 {
		t.Error("no message had to wait, want some")
	}
}

// noTB is the testing.TB of a fixture whose caller checks the errors.
type noTB struct{ testing.TB }

// Helper implements [testing.TB].
func (noTB) Helper() {}
