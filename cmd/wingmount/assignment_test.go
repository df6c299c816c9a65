package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
	"wingmount/internal/testkit"
)

// testLease is the lease of nodes: short, as are the tests that wait for its end.
const testLease = 2 * time.Second

// assignedCluster is a cluster of one region whose nodes are assigned destinations.
type assignedCluster struct {
	*testcluster.Cluster
	t       *testing.T
	ctx     context.Context
	control *testcluster.ControlProcess
}

func newAssignedCluster(t *testing.T, nodes, destinations int, rate float64) *assignedCluster {
	t.Helper()
	return newAssignedClusterWith(t, nodes, destinations, rate, testcluster.Assignment{Owners: 1})
}

// newAssignedClusterWith returns a cluster with an assignment, but for its regions, leases and grace.
func newAssignedClusterWith(t *testing.T, nodes, destinations int, rate float64, assignment testcluster.Assignment) *assignedCluster {
	t.Helper()
	assignment.Regions, assignment.Lease, assignment.RestartGrace = 1, testLease, 500*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	t.Cleanup(cancel)
	cluster, err := testcluster.New(nodeConfig(t, testcluster.Config{
		Store: "sqlite", Deadline: 30 * time.Second, Destinations: destinations, CallDuration: 5 * time.Millisecond, ResultSlack: 3 * time.Second, Nodes: nodes,
		AdvertisedRate: rate, Assignment: &assignment,
	}))
	testkit.Must(t, err)
	t.Cleanup(func() { testkit.Must(t, cluster.Close()) })
	a := &assignedCluster{Cluster: cluster, t: t, ctx: ctx}
	a.control, err = cluster.StartControl(ctx, 0, true)
	testkit.Must(t, err)
	t.Cleanup(func() { a.control.Kill() })
	return a
}

// start starts nodes from the first one on.
func (a *assignedCluster) start(nodes int) []*testcluster.NodeProcess {
	a.t.Helper()
	all := make([]*testcluster.NodeProcess, nodes)
	for i := range all {
		all[i] = a.startNode(i)
	}
	return all
}

func (a *assignedCluster) startNode(node int) *testcluster.NodeProcess {
	a.t.Helper()
	p, err := a.StartNode(a.ctx, node, "")
	testkit.Must(a.t, err)
	a.t.Cleanup(p.Kill)
	return p
}

// response is what a test reads of the response to a submission.
type response struct {
	status     int
	location   string
	retryAfter string
}

// post submits a message to a node, and follows no redirect.
func (a *assignedCluster) post(node int, target, id string, destination int) response {
	a.t.Helper()
	req, err := http.NewRequestWithContext(a.ctx, http.MethodPost, "http://"+a.NodeAddress(node)+target, strings.NewReader("body"))
	testkit.Must(a.t, err)
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Priority-Class", testcluster.Idempotent)
	req.Header.Set("X-Timeout-Ms", "20000")
	req.Header.Set("X-Route-To", fmt.Sprint("dest=", destination))
	resp, err := http.DefaultTransport.RoundTrip(req)
	testkit.Must(a.t, err)
	testkit.Must(a.t, resp.Body.Close())
	return response{resp.StatusCode, resp.Header.Get("Location"), resp.Header.Get("Retry-After")}
}

// await waits until a condition is true.
func (a *assignedCluster) await(what string, condition func() bool) {
	a.t.Helper()
	for !condition() {
		select {
		case <-a.ctx.Done():
			a.t.Fatalf("waiting until %s: %v", what, a.ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// awaitOwner waits until one of the nodes accepts the messages of the first destination, and returns it.
func (a *assignedCluster) awaitOwner(nodes ...int) int {
	a.t.Helper()
	const destination = 1
	owner, tries := -1, 0
	a.await(fmt.Sprintf("one of %v owns destination %d", nodes, destination), func() bool {
		for _, node := range nodes {
			tries++
			if a.post(node, "/"+testcluster.Idempotent, fmt.Sprintf("probe-%d-%d-%d", destination, node, tries), destination).status == http.StatusAccepted {
				owner = node
				return true
			}
		}
		return false
	})
	return owner
}

// awaitLeases waits until each node has a lease: it accepts messages of its destinations, and redirects those of others.
func (a *assignedCluster) awaitLeases(nodes ...int) {
	a.t.Helper()
	tries := 0
	a.await(fmt.Sprintf("the nodes %v have leases", nodes), func() bool {
		tries++
		for _, node := range nodes {
			for _, d := range a.Destinations {
				got := a.post(node, "/"+testcluster.Idempotent, fmt.Sprintf("part-%d-%d-%d", d.Number, node, tries), d.Number)
				if got.status != http.StatusAccepted && got.status != http.StatusTemporaryRedirect {
					return false
				}
			}
		}
		return true
	})
}

// awaitOneDestinationEach waits until each node owns one destination. Nodes that come after the first placement get theirs by a
// migration, and while it lasts both owners may reject messages with a time to retry.
func (a *assignedCluster) awaitOneDestinationEach(nodes ...int) {
	a.t.Helper()
	tries := 0
	a.await(fmt.Sprintf("the nodes %v own one destination each", nodes), func() bool {
		tries++
		for _, node := range nodes {
			owned := 0
			for _, d := range a.Destinations {
				if a.post(node, "/"+testcluster.Idempotent, fmt.Sprintf("owned-%d-%d-%d", d.Number, node, tries), d.Number).status == http.StatusAccepted {
					owned++
				}
			}
			if owned != 1 {
				return false
			}
		}
		return true
	})
}

// calls returns how many calls a destination had for an id.
func (a *assignedCluster) calls(destination int, id string) int {
	return a.Destination(destination).System.Ledger().Calls[id]
}

// checkResults waits for the last results, and checks the guarantees and the rate limits of the destinations.
func (a *assignedCluster) checkResults(processes ...*testcluster.NodeProcess) {
	a.t.Helper()
	a.AwaitResults(a.ctx)
	violations := a.Tally().Violations()
	for _, d := range a.Destinations {
		if over := d.System.CallsOverLimit(); over > 0 {
			violations = append(violations, fmt.Sprintf("%d calls over the limit of %s", over, d.Name))
		}
	}
	if len(violations) == 0 {
		return
	}
	a.t.Errorf("got violations %v; %+v", violations, a.Tally())
	for _, p := range processes {
		p.Kill()
		a.t.Log(p.Log())
	}
	a.control.Kill()
	a.t.Log(a.control.Log())
}

// A node that does not own a destination redirects clients to an owner, before it accepts anything; after two redirects a
// client gets a Retry-After. All messages of clients that follow are delivered.
func TestRedirectToOwner(t *testing.T) {
	a := newAssignedCluster(t, 3, 3, 0)
	nodes := a.start(3)
	a.awaitLeases(0, 1, 2)
	a.awaitOneDestinationEach(0, 1, 2)
	owner := a.awaitOwner(0, 1, 2)
	other := (owner + 1) % 3
	want := "http://" + a.NodeAddress(owner) + "/" + testcluster.Idempotent + "?redirects=1"
	if got := a.post(other, "/"+testcluster.Idempotent, "m", 1); got.status != http.StatusTemporaryRedirect || got.location != want {
		t.Errorf("a node that does not own the destination: got %+v, want 307 to %s", got, want)
	}
	if got := a.post(other, "/"+testcluster.Idempotent+"?redirects=2", "m", 1); got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
		t.Errorf("after two redirects: got %+v, want 503 with Retry-After", got)
	}
	if got := a.post(owner, "/"+testcluster.Idempotent+"?redirects=2", "m", 1); got.status != http.StatusAccepted {
		t.Errorf("the owner: got %+v, want 202", got)
	}
	for i := range 60 {
		testkit.Must(t, a.Submit(a.ctx, fmt.Sprint("h", i), []string{testcluster.Keyed, testcluster.Idempotent, testcluster.Unsafe}[i%3], 1+i%3))
	}
	a.checkResults(nodes...)
	if tally := a.Tally(); tally.Delivered != 60 {
		t.Errorf("got %d delivered, want 60: %+v", tally.Delivered, tally)
	}
}

// An owner that is paused past its lease, and resumes while it can't reach the control process, calls nobody. Once it has a
// quota again it completes the messages that it had accepted.
func TestOwnerPausedPastItsLease(t *testing.T) {
	a := newAssignedCluster(t, 2, 1, 20)
	nodes := a.start(2)
	a.Destination(1).System.SetRateLimit(20, 2)
	a.Destination(1).System.SetMode(partner.Unavailable)
	owner := a.awaitOwner(0, 1)
	if got := a.post(owner, "/"+testcluster.Idempotent, "accepted", 1); got.status != http.StatusAccepted {
		t.Fatalf("the owner: got %+v, want 202", got)
	}
	testkit.Must(t, nodes[owner].Signal(syscall.SIGSTOP))
	testkit.Must(t, nodes[owner].AwaitPaused(a.ctx))
	a.CutControl(owner)
	if successor := a.awaitOwner(1 - owner); successor != 1-owner { // only once the lease of the paused one has surely ended
		t.Fatalf("got owner %d, want the other node", successor)
	}
	a.Destination(1).System.SetMode(partner.Healthy)
	before := a.calls(1, "accepted")
	testkit.Must(t, nodes[owner].Resume())
	a.await("the resumed node rejects messages", func() bool {
		return a.post(owner, "/"+testcluster.Idempotent, "refused", 1).status == http.StatusServiceUnavailable
	})
	time.Sleep(time.Second) // in which a node that had no lease check would have called
	if got := a.calls(1, "accepted") - before; got != 0 {
		t.Errorf("got %d calls by a node without a lease, want none", got)
	}
	a.JoinControl(owner)
	a.await("the resumed node completes its message", func() bool { return len(a.Results.For("accepted")) > 0 })
	if got := a.Results.For("accepted")[0].Outcome; got != "delivered" {
		t.Errorf("got outcome %s, want delivered", got)
	}
	a.checkResults(nodes...)
}

// A node that restarts after its destinations have moved completes the messages that it had accepted, beside the new
// owner and within the rate limit. It gets all its assignments in one reply.
func TestComesBackWithMessages(t *testing.T) {
	a := newAssignedCluster(t, 2, 2, 20)
	nodes := a.start(2)
	owner := a.awaitOwner(0, 1)
	for _, d := range a.Destinations {
		d.System.SetRateLimit(20, 2)
		d.System.SetMode(partner.Unavailable)
	}
	for i := range 10 {
		if got := a.post(owner, "/"+testcluster.Idempotent, fmt.Sprint("accepted", i), 1); got.status != http.StatusAccepted {
			t.Fatalf("the owner: got %+v, want 202", got)
		}
	}
	nodes[owner].Kill()
	successor := a.awaitOwner(1 - owner)
	for _, d := range a.Destinations {
		d.System.SetMode(partner.Healthy)
	}
	nodes[owner] = a.startNode(owner)
	for i := range 20 {
		testkit.Must(t, a.Submit(a.ctx, fmt.Sprint("new", i), testcluster.Keyed, 1))
	}
	a.await("the restarted node completes its messages", func() bool {
		for i := range 10 {
			if len(a.Results.For(fmt.Sprint("accepted", i))) == 0 {
				return false
			}
		}
		return true
	})
	for i := range 10 {
		if got := a.Results.For(fmt.Sprint("accepted", i))[0].Outcome; got != "delivered" {
			t.Errorf("accepted%d: got outcome %s, want delivered", i, got)
		}
	}
	if successor == owner {
		t.Errorf("got the killed node as the owner")
	}
	a.checkResults(nodes...)
	nodes[owner].Kill()
	first, _, _ := strings.Cut(nodes[owner].Log()[max(0, strings.Index(nodes[owner].Log(), "assignment: changed")):], "\n")
	if !strings.Contains(first, "complete=true") {
		t.Errorf("after the restart: got first %q, want all assignments", first)
	}
}

// Without its control process a node continues until its lease ends, and then rejects messages with Retry-After. A control
// process that restarts grants what the nodes reclaim.
func TestControlGone(t *testing.T) {
	a := newAssignedCluster(t, 1, 1, 20)
	nodes := a.start(1)
	a.Destination(1).System.SetRateLimit(20, 1)
	a.awaitOwner(0)
	a.control.Kill()
	killed := time.Now()
	for i := 0; time.Since(killed) < testLease/3; i++ { // it was renewed within the last third of the lease, or before
		if got := a.post(0, "/"+testcluster.Idempotent, fmt.Sprint("during", i), 1); got.status != http.StatusAccepted {
			t.Fatalf("%v after the control process was killed: got %+v, want 202", time.Since(killed), got)
		}
		time.Sleep(100 * time.Millisecond)
	}
	var last response
	tries := 0
	a.await("the node rejects messages", func() bool {
		tries++
		last = a.post(0, "/"+testcluster.Idempotent, fmt.Sprint("after", tries), 1)
		return last.status != http.StatusAccepted
	})
	if last.status != http.StatusServiceUnavailable || last.retryAfter == "" || time.Since(killed) > testLease+time.Second {
		t.Errorf("%v after the control process was killed: got %+v, want 503 with Retry-After within %v", time.Since(killed), last, testLease)
	}
	var err error
	a.control, err = a.StartControl(a.ctx, 0, false)
	testkit.Must(t, err)
	a.awaitOwner(0)
	a.checkResults(nodes...)
}

// The commands of operators show the assignment, drain a node and explain a destination; invalid ones fail.
func TestAssignmentCommand(t *testing.T) {
	a := newAssignedCluster(t, 2, 4, 0)
	a.start(2)
	a.awaitLeases(0, 1)
	owner := a.awaitOwner(0, 1)
	run := func(args ...string) string {
		t.Helper()
		var out bytes.Buffer
		testkit.Must(t, assignmentCommand(a.ctx, append(args, "--config", a.ControlConfigFile(0)), &out))
		return out.String()
	}
	if got := run("show"); !strings.Contains(got, "4 destinations, 0 without an owner") || !strings.Contains(got, "node-2") {
		t.Errorf("show: got\n%s", got)
	}
	if got := run("show", "--json"); !strings.Contains(got, `"destinations": 4`) {
		t.Errorf("show --json:\n%s", got)
	}
	if got := run("explain", "1"); !strings.Contains(got, fmt.Sprint("node-", owner+1)) {
		t.Errorf("explain 1:\n%s", got)
	}
	run("drain", fmt.Sprint("node-", owner+1))
	tries := 0
	a.await("the drained node redirects clients", func() bool {
		tries++
		return a.post(owner, "/"+testcluster.Idempotent, fmt.Sprint("drained", tries), 1).status == http.StatusTemporaryRedirect
	})
	a.awaitOwner(1 - owner)
	if got := run("show"); !strings.Contains(got, "draining") {
		t.Errorf("show after a drain:\n%s", got)
	}
	for _, args := range [][]string{
		{"show"},
		{"drain", "nobody", "--config", a.ControlConfigFile(0)},
		{"explain", "1", "--control", "127.0.0.1:1"},
		{"show", "--config", a.ControlConfigFile(0), "--control", "127.0.0.1:1"},
		{"nothing", "--config", a.ControlConfigFile(0)},
	} {
		if err := assignmentCommand(a.ctx, args, &bytes.Buffer{}); err == nil {
			t.Errorf("%v: got no error", args)
		}
	}
	var help bytes.Buffer
	if err := assignmentCommand(a.ctx, []string{"--help"}, &help); err != nil || !strings.Contains(help.String(), "drain") {
		t.Errorf("--help: %v, %q", err, help.String())
	}
}
