package testcluster

import (
	"container/heap"
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// RetryPolicy is what a client does after a rejection.
type RetryPolicy int

// The policies.
const (
	NeverRetry      RetryPolicy = iota // it gives up
	HonorRetryAfter                    // it sends the message again after the time of Retry-After
	RetryAtOnce                        // it sends the message again at once, up to maxImmediateRetries times
)

// maxImmediateRetries is how often a client sends a message again that ignores Retry-After.
const maxImmediateRetries = 20

// idleWait is how long a load without anything to send waits for an attempt to end.
const idleWait = time.Hour

// Load is traffic at a rate that does not depend on how fast the node responds (an open loop).
type Load struct {
	Prefix  string  // of the ids
	Rate    float64 // messages a second
	Clients int     // connections; when all wait for a response, messages that are due wait too, see LoadReport.Lag
	Class   string

	Duration    time.Duration
	StartDelay  time.Duration   // from the call of RunLoad to the first message
	Destination func(i int) int // number of the destination of message i, the first being 0; nil for all in turn
	OnRejection RetryPolicy
}

// LoadReport is what the clients of a load observed.
type LoadReport struct {
	Offered      int // messages
	Attempts     int
	PlannedStart time.Time // when the first message was due
	PlannedEnd   time.Time // PlannedStart and the load's duration
	// Lag is the 99th percentile of how late first attempts began, because all clients were busy.
	Lag time.Duration
	// SubmitP50 and SubmitP99 are percentiles of the time from when a message was due to the response to its first
	// attempt, or to the failure of that.
	SubmitP50, SubmitP99 time.Duration
}

// loadAttempt is one attempt that is due.
type loadAttempt struct {
	message   *Message
	due       time.Time
	earlier   int  // attempts for the same message
	uncertain bool // an earlier one may have been accepted
}

// attemptQueue is a heap of attempts by when they are due.
type attemptQueue []loadAttempt

func (q attemptQueue) Len() int           { return len(q) }
func (q attemptQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q attemptQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is part of [heap.Interface].
func (q *attemptQueue) Push(x any) { *q = append(*q, x.(loadAttempt)) }

// Pop is part of [heap.Interface].
func (q *attemptQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// attemptResult is what came of one attempt.
type attemptResult struct {
	attempt    loadAttempt
	start, end time.Time
	retry      retryDecision
	err        error
}

// loadRun is one run of [Cluster.RunLoad]. Its clients work in goroutines of their own; all fields belong to the
// goroutine of RunLoad.
type loadRun struct {
	cluster *Cluster
	load    Load
	report  LoadReport
	due     chan loadAttempt   // to the clients
	done    chan attemptResult // from the clients

	next        int // the message that is submitted first next
	outstanding int // attempts in progress
	retries     attemptQueue
	lags        []time.Duration // of first attempts
	latencies   []time.Duration // of first attempts, from when they were due
	errs        []error
}

// RunLoad submits the messages of a load to the first node. It returns when each has been accepted or given up by its
// client. [Cluster.Tally] counts them as it does all others.
func (c *Cluster) RunLoad(ctx context.Context, load Load) (LoadReport, error) {
	run := newLoadRun(c, load)
	var clients sync.WaitGroup
	for range load.Clients {
		clients.Go(run.runClient)
	}
	run.sendAll(ctx)
	close(run.due)
	go func() {
		clients.Wait()
		close(run.done)
	}()
	for range run.done { // attempts that were in progress when an error ended the run
	}
	return run.finish()
}

func newLoadRun(c *Cluster, load Load) *loadRun {
	start := time.Now().Add(load.StartDelay)
	return &loadRun{
		cluster: c, load: load,
		report: LoadReport{Offered: int(load.Rate * load.Duration.Seconds()), PlannedStart: start, PlannedEnd: start.Add(load.Duration)},
		due:    make(chan loadAttempt, load.Clients), done: make(chan attemptResult, load.Clients),
	}
}

// sendAll sends all messages and their retries, and waits for the results, until an error ends the run.
func (run *loadRun) sendAll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for run.isUnfinished() && len(run.errs) == 0 {
		next := run.nextAttempt(time.Now())
		if next.ready {
			run.send(ctx, next.attempt, timer)
			continue
		}
		timer.Reset(next.wait)
		run.waitForResult(ctx, timer)
	}
}

// isUnfinished reports whether messages are to be sent, or results to come.
func (run *loadRun) isUnfinished() bool {
	return run.next < run.report.Offered || run.outstanding > 0 || len(run.retries) > 0
}

// finish returns the report, and all errors of the run.
func (run *loadRun) finish() (LoadReport, error) {
	report := run.report
	report.Lag = percentile(run.lags, 0.99)
	report.SubmitP50, report.SubmitP99 = percentile(run.latencies, 0.5), percentile(run.latencies, 0.99)
	return report, errors.Join(run.errs...)
}

// runClient makes the attempts that are due over one connection, until there are no more.
func (run *loadRun) runClient() {
	client := newLoadClient(run.cluster)
	defer client.close()
	for attempt := range run.due {
		start := time.Now()
		if attempt.earlier == 0 {
			run.addMessage(attempt.message)
		}
		retry, err := client.submit(attempt, run.load.OnRejection)
		run.done <- attemptResult{attempt: attempt, start: start, end: time.Now(), retry: retry, err: err}
	}
}

// addMessage adds a message whose first attempt begins to the cluster.
func (run *loadRun) addMessage(m *Message) {
	run.cluster.mu.Lock()
	defer run.cluster.mu.Unlock()
	run.cluster.addMessage(m)
}

// scheduledAttempt is the next attempt of a run if it is due, or else how long to wait until one is.
type scheduledAttempt struct {
	attempt loadAttempt
	ready   bool
	wait    time.Duration
}

// nextAttempt returns the next attempt. A retry that is due comes before a first attempt.
func (run *loadRun) nextAttempt(now time.Time) scheduledAttempt {
	wait := idleWait
	if len(run.retries) > 0 {
		if wait = run.retries[0].due.Sub(now); wait <= 0 {
			return scheduledAttempt{attempt: run.retries[0], ready: true}
		}
	}
	if run.next >= run.report.Offered {
		return scheduledAttempt{wait: wait}
	}
	due := run.report.PlannedStart.Add(time.Duration(float64(run.next) / run.load.Rate * float64(time.Second)))
	if due.After(now) {
		return scheduledAttempt{wait: min(wait, due.Sub(now))}
	}
	return scheduledAttempt{attempt: loadAttempt{message: run.newMessage(run.next, due), due: due}, ready: true}
}

// newMessage returns message i of the load, counted from 0. A client adds it to the cluster.
func (run *loadRun) newMessage(i int, due time.Time) *Message {
	c, load := run.cluster, run.load
	destination := 1 + i%len(c.Destinations)
	if load.Destination != nil {
		destination = load.Destination(i)
	}
	return &Message{
		ID: load.Prefix + "-" + strconv.Itoa(i), Class: load.Class, Destination: destination,
		SubmittedAt: due, Deadline: due.Add(c.config.Deadline),
	}
}

// send passes an attempt to a client that is free, and meanwhile counts results. It returns early when ctx ends.
func (run *loadRun) send(ctx context.Context, attempt loadAttempt, timer *time.Timer) {
	for {
		select {
		case run.due <- attempt:
			run.markSent(attempt)
			return
		case result := <-run.done:
			run.count(ctx, result)
		case <-timer.C:
		case <-ctx.Done():
			run.errs = append(run.errs, ctx.Err())
			return
		}
	}
}

// markSent removes an attempt from what is to be sent.
func (run *loadRun) markSent(attempt loadAttempt) {
	run.outstanding++
	if attempt.earlier > 0 {
		heap.Pop(&run.retries)
	} else {
		run.next++
	}
}

// waitForResult waits until an attempt ends, the timer fires or ctx ends.
func (run *loadRun) waitForResult(ctx context.Context, timer *time.Timer) {
	select {
	case result := <-run.done:
		run.count(ctx, result)
	case <-timer.C:
	case <-ctx.Done():
		run.errs = append(run.errs, ctx.Err())
	}
}

// count counts the result of an attempt, and schedules a retry if that is due before the message's deadline.
func (run *loadRun) count(ctx context.Context, result attemptResult) {
	run.outstanding--
	run.report.Attempts++
	if result.err != nil {
		run.errs = append(run.errs, result.err)
	}
	attempt := result.attempt
	if attempt.earlier == 0 {
		run.lags = append(run.lags, result.start.Sub(attempt.due))
		run.latencies = append(run.latencies, result.end.Sub(attempt.due))
	}
	if !result.retry.retry || ctx.Err() != nil {
		return
	}
	next := loadAttempt{
		message: attempt.message, due: time.Now().Add(result.retry.after),
		earlier: attempt.earlier + 1, uncertain: result.retry.uncertain,
	}
	if next.due.Before(next.message.Deadline) {
		heap.Push(&run.retries, next)
	}
}
