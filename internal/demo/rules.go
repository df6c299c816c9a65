package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
)

// Destinations of the scenario rules, by number.
const (
	orderedDestination = 1 // readings that are delivered in order
	keyedDestination   = 2 // readings that are submitted twice
)

const (
	meterCount = 6
	// keyedInterval is the time between two readings that are submitted twice.
	keyedInterval = 40 * time.Millisecond
)

// What the nodes log about changes of their rules.
const (
	logRulesRejected   = "its rules may cost"
	logChangeStarted   = "rules: change started"
	logChangeContinues = "rules: change resumed"
	logChangeCompleted = "rules: change completed"
)

// ruleFile declares the readings of meters, with one rule for those that have a key of meter and number, and one for
// those that are ordered by the value of an expression.
func ruleFile(orderBy string) string {
	return fmt.Sprintf(`max_cost = 2000
[[message]]
class = "keyed"
field = [{ name = "meter", type = "string", max = 8 }, { name = "n", type = "int" }]
identity = [{ name = "reading", fields = ["meter", "n"] }]
[[message]]
class = "idempotent"
field = [{ name = "meter", type = "string", max = 8 }, { name = "street", type = "string", max = 8 }, { name = "n", type = "int" }]
[[rule]]
name = "readings"
for = ["keyed"]
key = 'key("reading", body.meter, body.n)'
[[rule]]
name = "ordered"
for = ["idempotent"]
class = '"ordered"'
key = '%s'
`, orderBy)
}

// expensiveExpression has patterns of 900 states each, whose cost with any body is over the file's max_cost.
const expensiveExpression = `body.meter.matches("(a{30}){30}") || body.street.matches("(b{30}){30}") || body.meter.matches("(c{30}){30}") ? body.meter : body.street`

// rulesRun is one run of the scenario rules.
type rulesRun struct {
	*scenarioRun
	cluster *testcluster.Cluster
	node    *testcluster.NodeProcess // the latest, nil if it could not be started
	log     string                   // of the nodes that have exited

	meters   []*meter
	readings atomic.Int64 // that were submitted twice
	stop     chan struct{}
	sending  sync.WaitGroup
	failure  atomic.Pointer[error] // the last one of a goroutine
}

// rules is a scenario: rules give keys and classes. They change while messages wait, and the node is killed during a
// change.
func rules(ctx context.Context, s *scenarioRun) (err error) {
	c, err := testcluster.New(testcluster.Config{
		Dir: s.dir, Command: s.command, Store: "sqlite", Deadline: 12 * time.Second, Destinations: 2, CallDuration: 10 * time.Millisecond,
		AdvertisedRate: 400, Rules: ruleFile("body.meter"),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	r := &rulesRun{scenarioRun: s, cluster: c, stop: make(chan struct{})}
	if r.node, err = c.StartNode(ctx, 0, ""); err != nil {
		return err
	}
	defer r.killNode()

	r.startTraffic(ctx)
	err = r.changeRules(ctx)
	close(r.stop)
	r.sending.Wait()
	if failure := r.failure.Load(); err == nil && failure != nil {
		err = *failure
	}
	if err != nil {
		return err
	}
	r.finish(ctx, c)
	r.node.Kill()
	r.log += r.node.Log()
	return r.check()
}

// killNode kills the latest node if there is one.
func (r *rulesRun) killNode() {
	if r.node != nil {
		r.node.Kill()
	}
}

// fail records an error of a goroutine; nil is none.
func (r *rulesRun) fail(err error) {
	if err != nil {
		r.failure.Store(&err)
	}
}

// startTraffic submits readings, of meters in order and others twice, until stop is closed.
func (r *rulesRun) startTraffic(ctx context.Context) {
	for i := range meterCount {
		m := &meter{name: fmt.Sprint("m", i), street: fmt.Sprint("s", i/3)}
		r.meters = append(r.meters, m)
		r.sending.Go(func() { r.fail(m.run(ctx, r.cluster, r.stop)) })
	}
	r.sending.Go(func() { r.submitTwice(ctx) })
}

// submitTwice submits each reading twice, under two ids and without a key: the rules give both the same one.
func (r *rulesRun) submitTwice(ctx context.Context) {
	for n := int64(0); ; n++ {
		select {
		case <-r.stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(keyedInterval):
		}
		r.readings.Store(n + 1)
		for _, id := range keyedReadingIDs(n) {
			r.fail(r.cluster.SubmitMessage(ctx, testcluster.Message{
				ID: id, Class: testcluster.Keyed, Destination: keyedDestination, Duplicate: true,
				Body: fmt.Sprintf(`{"meter":"x y","n":%d}`, n),
			}))
		}
	}
}

// keyedReadingIDs returns the two ids of reading n.
func keyedReadingIDs(n int64) [2]string {
	return [2]string{fmt.Sprintf("r%04d-a", n), fmt.Sprintf("r%04d-b", n)}
}

// reload gives the node another rule file.
func (r *rulesRun) reload(text string) {
	r.fail(r.cluster.SetRules(text))
	r.fail(r.node.Signal(syscall.SIGHUP))
}

// changeRules changes the rules while messages wait, and kills the node during a change. When ctx has ended it goes
// through the rest without pauses.
func (r *rulesRun) changeRules(ctx context.Context) (err error) {
	after := func(d time.Duration) { _ = pause(ctx, d) }
	partner1 := r.cluster.Destination(orderedDestination).System
	r.logf("readings of six meters are ordered by meter; others have a key of meter and number")
	after(2 * time.Second)
	r.reload(ruleFile(expensiveExpression))
	r.logf("rules that may cost too much are rejected at load")
	after(time.Second)
	partner1.SetMode(partner.DropsBeforeRead)
	r.logf("partner-1 closes every connection: messages wait")
	after(1500 * time.Millisecond)
	r.reload(ruleFile("body.street"))
	r.logf("messages are ordered by street from now on: one whose order changes waits for the older ones")
	after(1500 * time.Millisecond)
	r.node.Kill()
	r.log = r.node.Log()
	r.cluster.CountCrash()
	r.logf("the node is killed during the change, and started again")
	if r.node, err = r.cluster.StartNode(ctx, 0, ""); err != nil {
		return err
	}
	after(time.Second)
	partner1.SetMode(partner.Healthy)
	r.logf("partner-1 is back")
	after(6 * time.Second)
	r.reload(ruleFile("body.meter"))
	r.logf("messages are ordered by meter again")
	after(3 * time.Second)
	return nil
}

// orderedReadings is what became of the readings of meters.
type orderedReadings struct {
	retries    int      // because a change of the rules was in progress
	wrongKeys  int      // sent to the partner with a key
	outOfOrder []string // descriptions of messages that ran before an older one of their meter
}

// keyedReadings is what became of the readings that were submitted twice.
type keyedReadings struct {
	received  int // by the partner
	wrongKeys int // without the key of their meter and number
}

// rulesLog counts lines of the nodes' logs about changes of their rules.
type rulesLog struct{ rejected, started, continued, completed int }

// check checks keys, order and the nodes' logs, and sets the figures.
func (r *rulesRun) check() error {
	ordered, keyed, logged := r.orderedReadings(), r.keyedReadings(), r.rulesLog()
	wrongKeys, outOfOrder := ordered.wrongKeys+keyed.wrongKeys, len(ordered.outOfOrder)
	r.figures["keyed_readings"], r.figures["rule_files_rejected"] = keyed.received, logged.rejected
	r.figures["changes"], r.figures["changes_completed"] = logged.started, logged.completed
	r.figures["wrong_keys"], r.figures["out_of_order"], r.figures["waited_for_a_change"] = wrongKeys, outOfOrder, ordered.retries
	if wrongKeys > 0 || outOfOrder > 0 {
		return fmt.Errorf("%d messages had a wrong key, %d ran before an older one that they are ordered with: %q\n%s", wrongKeys, outOfOrder, ordered.outOfOrder, r.log)
	}
	if keyed.received == 0 || ordered.retries == 0 || logged.rejected != 1 || logged.started != 2 || logged.continued != 1 || logged.completed < 1 {
		return fmt.Errorf("the scenario did not show what it is for: %v, %d changes continued\n%s", r.figures, logged.continued, r.log)
	}
	return nil
}

// orderedReadings checks the readings of all meters at the partner.
func (r *rulesRun) orderedReadings() orderedReadings {
	ledger := r.cluster.Destination(orderedDestination).System.Ledger()
	readings := orderedReadings{outOfOrder: []string{}}
	for _, m := range r.meters {
		readings.retries += m.retries
		readings.outOfOrder = append(readings.outOfOrder, m.outOfOrder(ledger, r.cluster.Results)...)
		for _, id := range m.accepted {
			if ledger.LastKey[id] != "" { // a key that only orders messages stays with the node
				readings.wrongKeys++
			}
		}
	}
	return readings
}

// keyedReadings checks the readings that were submitted twice at the partner.
func (r *rulesRun) keyedReadings() keyedReadings {
	ledger := r.cluster.Destination(keyedDestination).System.Ledger()
	var readings keyedReadings
	for n := range r.readings.Load() {
		for _, id := range keyedReadingIDs(n) {
			key, ok := ledger.LastKey[id]
			if !ok {
				continue
			}
			readings.received++
			if key != fmt.Sprintf("=reading:x%%20y:%d", n) {
				readings.wrongKeys++
			}
		}
	}
	return readings
}

// rulesLog counts the lines of the nodes' logs.
func (r *rulesRun) rulesLog() rulesLog {
	return rulesLog{
		rejected: strings.Count(r.log, logRulesRejected), started: strings.Count(r.log, logChangeStarted),
		continued: strings.Count(r.log, logChangeContinues), completed: strings.Count(r.log, logChangeCompleted),
	}
}
