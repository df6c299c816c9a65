package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wingmount/policy"
)

// Sends of one step to one endpoint travel as one call, up to what its kind takes.
func TestSendsOfOneStepTravelTogether(t *testing.T) {
	type seen struct {
		path string
		size int
	}
	calls := make(chan seen, 8)
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body) // a torn one shows in its size
		calls <- seen{req.URL.Path, len(body)}
		fmt.Fprint(conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
	})
	j, _ := mustOpen(t, t.TempDir(), minDisk)
	settings := policy.Settings{Senders: 1, Slots: 8, MaxHeld: 100, MaxAttempts: 6, Tick: 5 * time.Millisecond,
		Kinds: []policy.Kind{{RoutesApart: true, BundleMax: 5}}, ConnectTimeout: time.Second,
		Classes: []policy.Class{{Repeat: policy.Deduplicated, GroupZone: true, Window: 12 * time.Second,
			Aim: 3 * time.Second, Deadline: 28 * time.Second, Worth: 1}}}
	l := &loop{sender: policy.New(settings, 1), settings: settings, log: quietLog(), journal: j, origin: time.Now(),
		names: names{kinds: map[string]int{"major": 0}, zones: map[string]int{"a": 0}}, finals: newFinals("127.0.0.1:1", j, quietLog()),
		intake: &intake{held: map[string]bool{}}, held: map[policy.MessageID]*message{},
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}, dests: map[int]time.Time{}}
	outcomes := make(chan policy.Event, 8)
	l.caller = newCaller(Config{Settings: settings, IdleClose: time.Minute}, j, quietLog(), func(e policy.Event) { outcomes <- e })
	l.take(list{Complete: true, Members: []member{{ID: "s1", HostPort: addr, Locality: "a", Flavor: "major", Cell: 7, Phase: "active"}}})
	for i := range 5 {
		m := newMessage(fmt.Sprint("m", i), 10)
		must(t, j.take(m))
		l.take(m)
	}
	l.step(context.Background())
	select {
	case c := <-calls:
		if want := 5 * (len("m0 k-m0 10\r\n") + 10 + 2); c.path != "/events/bundle" || c.size != want {
			t.Errorf("one call to %s of %d bytes, want a bundle of %d", c.path, c.size, want)
		}
	case <-time.After(patience):
		t.Fatal("no call came")
	}
	for range 5 {
		select {
		case e := <-outcomes:
			if e.(policy.Ended).Outcome != policy.Full {
				t.Errorf("outcome %+v, want full", e)
			}
		case <-time.After(patience):
			t.Fatal("an outcome is missing")
		}
	}
	if len(calls) != 0 {
		t.Errorf("another call: %+v", <-calls)
	}
}

// What is gone is forgotten, with its connections, but not while a call is out; one
// that comes back as leaving brings no new grace; and a new endpoint at the old
// address gets none of the old one's connections or waits.
func TestEndpointsThatAreGoneAreForgotten(t *testing.T) {
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer conn.Close()
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
	})
	j, _ := mustOpen(t, t.TempDir(), minDisk)
	settings := policy.Settings{Kinds: []policy.Kind{{BundleMax: 1}}, DrainGrace: time.Second}
	l := &loop{settings: settings, log: quietLog(), journal: j, origin: time.Now(),
		names:     names{kinds: map[string]int{"general": 0}, zones: map[string]int{"a": 0}},
		intake:    &intake{held: map[string]bool{}},
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}, dests: map[int]time.Time{}}
	l.caller = newCaller(Config{Settings: settings, IdleClose: time.Minute}, j, quietLog(), func(policy.Event) {})
	entry := func(id string, cell int, phase string) list {
		return list{Members: []member{{ID: id, HostPort: addr, Locality: "a", Flavor: "general", Cell: cell, Phase: phase}}}
	}
	keep := func(e *endpoint) {
		conn, err := l.caller.dialer.Dial("tcp", addr)
		must(t, err)
		l.caller.pool.put(newConnection(conn, e, addr))
	}
	j.remember("of an earlier life")
	now := time.Now()
	for i := range 500 {
		name := fmt.Sprint("s", i)
		l.take(entry(name, i%5, "active"))
		e := l.endpoints[policy.EndpointID(hash(name))]
		if l.caller.pool.get(e, addr, now.Add(-time.Minute)) != nil {
			t.Fatal("a new endpoint got the connection of an old one")
		}
		keep(e)
		e.out++
		l.take(entry(name, i%5, "left"))
		l.letGo(now)
		if l.endpoints[e.id] == nil {
			t.Fatal("forgotten with a call out")
		}
		l.take(policy.Ended{Endpoint: e.id})
		l.letGo(now)
		before := len(l.batch)
		l.take(entry(name, i%5, "leaving"))
		if l.endpoints[e.id] != nil || len(l.batch[before].(policy.Listed).Entries) != 0 {
			t.Fatal("an endpoint that was gone got a new grace")
		}
		l.batch = l.batch[:0]
	}
	l.waits[9] = &gate{}
	l.waits[9].wait(now.Add(time.Minute))
	l.letGo(now.Add(30 * time.Second))
	if len(l.endpoints) != 0 || len(l.waits) != 1 || len(l.caller.pool.idle) != 0 || len(j.memories) != 1 {
		t.Errorf("kept: %d endpoints, %d waits, %d connections, %d memories; want 0, 1, 0, 1",
			len(l.endpoints), len(l.waits), len(l.caller.pool.idle), len(j.memories))
	}
	if there, _ := l.intake.knows(3); !there {
		t.Error("a destination without endpoints just now is not known any more")
	}
	l.letGo(now.Add(destinationTime + time.Minute))
	if there, _ := l.intake.knows(3); there || len(l.dests) != 0 {
		t.Error("a destination without endpoints for long is known still")
	}
	if len(l.waits) != 0 || len(j.memories) != 0 {
		t.Errorf("%d waits and %d memories are left when both are over", len(l.waits), len(j.memories))
	}
}
