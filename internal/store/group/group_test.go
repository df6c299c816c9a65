package group

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

// blockingBackend is a backend whose Commit blocks until the test releases it. It retains the written records.
type blockingBackend struct {
	entered      chan int   // receives the number of records of each Commit when it blocks
	release      chan error // the result of the blocked Commit
	mu           sync.Mutex
	written      []*Record
	beginErr     error     // returned by Begin
	fullErr      error     // the error for which Full is true
	closed       int       // number of Close calls
	batch        []*Record // of the blocked Commit
	maintenances int       // number of Maintain calls
}

func newBlockingBackend() *blockingBackend {
	return &blockingBackend{entered: make(chan int), release: make(chan error)}
}

func (b *blockingBackend) Begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beginErr
}

func (b *blockingBackend) Commit(batch []*Record) ([]error, error) {
	b.batch = batch // read after entered was received
	b.entered <- len(batch)
	if err := <-b.release; err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.written = append(b.written, batch...)
	return make([]error, len(batch)), nil
}

func (b *blockingBackend) Maintain(time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maintenances++
	return nil
}

func (b *blockingBackend) Closing(time.Time) {}

func (b *blockingBackend) Full(err error) bool { return err != nil && errors.Is(err, b.fullErr) }

func (b *blockingBackend) Close() error { b.closed++; return nil }

// writtenRecords returns the kinds and sequence numbers of the written records as text.
func (b *blockingBackend) writtenRecords() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var records []string
	for _, r := range b.written {
		records = append(records, fmt.Sprint(r.Kind, r.Seqs))
	}
	return fmt.Sprint(records)
}

// commitUntil lets transactions succeed until a condition is true.
func (b *blockingBackend) commitUntil(t *testing.T, until func() bool) {
	t.Helper()
	deadline := time.After(testkit.EventuallyTimeout)
	for !until() {
		select {
		case <-b.entered:
			b.release <- nil
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatal("timeout waiting for the condition")
		}
	}
}

// startQueue returns a queue on a blockingBackend. The queue is closed at the end of the test.
func startQueue(t *testing.T) (*Queue, *blockingBackend) {
	t.Helper()
	b := newBlockingBackend()
	q := New(Config{NotifyDelivered: true}, b, testkit.QuietLog())
	t.Cleanup(func() {
		done := make(chan struct{})
		go func() { _ = q.Close(); close(done) }() // fails if the test has closed the queue
		b.commitUntil(t, func() bool {
			select {
			case <-done:
				return true
			default:
				return false
			}
		})
	})
	return q, b
}

func async(f func() error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	return done
}

// acceptMessage accepts a new message in a transaction of its own and returns it.
func acceptMessage(t *testing.T, q *Queue, b *blockingBackend, id string) *message.Message {
	t.Helper()
	m := &message.Message{ID: id}
	done := async(func() error { return q.Accept(ctx, m) })
	<-b.entered
	b.release <- nil
	testkit.Must(t, <-done)
	return m
}

// Records that are queued during a transaction are written together by the next one, in the order of their calls.
func TestRecordsDuringCommitFormNextBatch(t *testing.T) {
	q, b := startQueue(t)
	m := acceptMessage(t, q, b, "a")
	first := async(func() error {
		return q.RecordAttempt(ctx, store.Attempt{Endpoint: "e", Messages: []*message.Message{m}})
	})
	<-b.entered
	testkit.Must(t, q.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.RateLimited, Endpoint: "e"}))
	second := async(func() error {
		return q.Complete(ctx, store.Completion{Message: m, Response: message.FinalResponse{Kind: message.Rejected}})
	})
	testkit.Eventually(t, "completion queued", func() bool { return q.Pending() == 3 })
	testkit.Must(t, q.MarkNotified(ctx, m))
	b.release <- nil
	testkit.Must(t, <-first)
	if n := <-b.entered; n != 3 {
		t.Errorf("records in the next transaction: got %d, want 3", n)
	}
	b.release <- nil
	testkit.Must(t, <-second)
	if got, want := b.writtenRecords(), "[0 [1] 1 [1] 2 [1] 3 [1] 4 [1]]"; got != want {
		t.Errorf("written records: got %s, want %s", got, want)
	}
}

// If the context of Accept ends while its record is queued, the record is cancelled. If it ends while the record's
// transaction is in progress, Accept returns ErrUndecided, and OnLate receives the message if it was written. Without an
// OnLate function Accept waits for the result.
func TestAcceptCancelledContextIsUnavailableOrUndecided(t *testing.T) {
	q, b := startQueue(t)
	late := make(chan *message.Message, 4)
	q.OnLate(func(m *message.Message) { late <- m })
	callerCtx, cancel := context.WithCancel(ctx)
	inCommit := async(func() error { return q.Accept(callerCtx, &message.Message{ID: "committing"}) })
	<-b.entered
	waiting := async(func() error { return q.Accept(callerCtx, &message.Message{ID: "queued"}) })
	testkit.Eventually(t, "both records queued", func() bool { return q.Pending() == 2 })
	cancel()
	if err := <-inCommit; !errors.Is(err, store.ErrUndecided) {
		t.Errorf("during its transaction: got %v, want ErrUndecided", err)
	}
	if err := <-waiting; !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("queued: got %v, want ErrUnavailable", err)
	}
	b.release <- nil
	if m := <-late; m.ID != "committing" {
		t.Errorf("OnLate: got message %s, want committing", m.ID)
	}
	if n := <-b.entered; n != 0 {
		t.Errorf("records in the next transaction: got %d, want 0", n)
	}
	b.release <- nil
	// A message whose transaction failed was not accepted: OnLate must not receive it.
	callerCtx, cancel = context.WithCancel(ctx)
	inCommit = async(func() error { return q.Accept(callerCtx, &message.Message{ID: "fails"}) })
	<-b.entered
	cancel()
	if err := <-inCommit; !errors.Is(err, store.ErrUndecided) {
		t.Errorf("during its transaction: got %v, want ErrUndecided", err)
	}
	b.release <- errors.New("commit failed")
	// Pending first: the record leaves the queue in the step that sets the failure.
	b.commitUntil(t, func() bool { return q.Pending() == 0 && q.Failure() == nil })
	if len(late) != 0 {
		t.Errorf("OnLate: got message %s, want none", (<-late).ID)
	}
	q.OnLate(nil)
	callerCtx, cancel = context.WithCancel(ctx)
	inCommit = async(func() error { return q.Accept(callerCtx, &message.Message{ID: "without OnLate"}) })
	<-b.entered
	cancel()
	select {
	case err := <-inCommit:
		t.Errorf("without OnLate: Accept did not wait for its transaction: %v", err)
	case <-time.After(20 * time.Millisecond): // long enough for an Accept that does not wait to return
	}
	b.release <- nil
	testkit.Must(t, <-inCommit)
}

// A failed transaction rejects queued and new messages to accept, and keeps all other records queued. After the next
// successful transaction messages are accepted again.
func TestFailedTransactionRejectsAcceptsUntilNextCommit(t *testing.T) {
	q, b := startQueue(t)
	m := acceptMessage(t, q, b, "a")
	b.fullErr = errors.New("disk full")
	completion := async(func() error { return q.Complete(ctx, store.Completion{Message: m}) })
	<-b.entered
	accept := async(func() error { return q.Accept(ctx, &message.Message{ID: "b"}) })
	testkit.Eventually(t, "both records queued", func() bool { return q.Pending() == 2 })
	b.release <- b.fullErr
	if err := <-accept; !errors.Is(err, store.ErrFull) {
		t.Errorf("queued Accept: got %v, want ErrFull", err)
	}
	if err := q.Accept(ctx, &message.Message{ID: "c"}); !errors.Is(err, store.ErrFull) {
		t.Errorf("Accept after the failure: got %v, want ErrFull", err)
	}
	<-b.entered
	b.release <- nil
	testkit.Must(t, <-completion)
	testkit.Eventually(t, "messages accepted again", func() bool { return q.Failure() == nil })
	acceptMessage(t, q, b, "d")
}

// When a record is written after a fault, its caller can submit a message immediately. The test guards against results
// that are sent before the queue's failure is cleared: the first of many callers returns while the writer is still sending
// results to the others.
func TestAcceptsResumeBeforeCallersReturn(t *testing.T) {
	q, b := startQueue(t)
	for round := range 10 {
		m := acceptMessage(t, q, b, fmt.Sprint("m", round))
		first := async(func() error { return q.Complete(ctx, store.Completion{Message: m}) })
		<-b.entered
		for range 400 {
			testkit.Must(t, q.MarkNotified(ctx, m))
		}
		b.release <- errors.New("a fault")
		<-b.entered // with half the batch limit, but still more than one record
		resumed := make(chan error, 1)
		go func() { resumed <- errors.Join(<-first, q.Failure()) }()
		b.release <- nil
		if err := <-resumed; err != nil {
			t.Fatalf("round %d: messages are still rejected after a response was written: %v", round, err)
		}
		b.commitUntil(t, func() bool { return q.Pending() == 0 })
	}
}

// Once a node is fenced, its queue makes all waiting and new calls fail with ErrFenced.
func TestFencedFailsWaitingAndNewCalls(t *testing.T) {
	q, b := startQueue(t)
	m, n := acceptMessage(t, q, b, "a"), acceptMessage(t, q, b, "b")
	completion := async(func() error { return q.Complete(ctx, store.Completion{Message: m}) })
	<-b.entered
	waiting := async(func() error { return q.Complete(ctx, store.Completion{Message: n}) })
	testkit.Eventually(t, "both records queued", func() bool { return q.Pending() == 2 })
	b.release <- fmt.Errorf("commit failed: %w", store.ErrFenced)
	for _, err := range []error{
		<-completion, <-waiting, q.Accept(ctx, &message.Message{ID: "c"}), q.MarkNotified(ctx, m), q.Complete(ctx),
		q.RecordAttempt(ctx, store.Attempt{}), q.RecordOutcome(ctx, store.Outcome{Message: n}),
	} {
		if !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v, want ErrFenced", err)
		}
	}
	testkit.Must(t, q.Close())
	if b.closed != 1 {
		t.Errorf("Close calls of the backend: got %d, want 1", b.closed)
	}
	if err := q.Close(); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("second Close: got %v, want ErrUnavailable", err)
	}
}

// When a node is fenced, the new owner of its messages decides the responses that the node has not written. The queue
// removes them before their callers return, whether their records were in the failed transaction or queued after it.
// Responses that were already written remain.
func TestFencedRetractsUnwrittenResponses(t *testing.T) {
	delivered := func(q *Queue, m *message.Message) error {
		return q.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: "e", At: time.Now()})
	}
	failed := func(q *Queue, m *message.Message) error {
		return q.Complete(ctx, store.Completion{Message: m, Response: message.FinalResponse{Kind: message.Failed}})
	}
	for name, respond := range map[string]func(*Queue, *message.Message) error{"delivered": delivered, "failed": failed} {
		t.Run(name, func(t *testing.T) {
			q, b := startQueue(t)
			var messages []*message.Message
			for _, id := range []string{"written", "in the failed transaction", "queued"} {
				messages = append(messages, acceptMessage(t, q, b, id))
			}
			var results []<-chan error
			respondTo := func(m *message.Message) {
				before := q.Pending()
				results = append(results, async(func() error { return respond(q, m) }))
				testkit.Eventually(t, "record queued: "+m.ID, func() bool { return q.Pending() == before+1 })
			}
			respondTo(messages[0])
			<-b.entered
			b.release <- nil
			testkit.Must(t, <-results[0])
			respondTo(messages[1])
			<-b.entered
			respondTo(messages[2])
			b.release <- fmt.Errorf("commit failed: %w", store.ErrFenced)
			for i, m := range messages[1:] {
				if err := <-results[i+1]; !errors.Is(err, store.ErrFenced) {
					t.Errorf("%s: got %v, want ErrFenced", m.ID, err)
				}
				if m.FinalResponse != nil {
					t.Errorf("%s: got response %v, want none", m.ID, m.FinalResponse.Kind)
				}
			}
			if messages[0].FinalResponse == nil {
				t.Error("written: got no response, want the written one")
			}
		})
	}
}

// implyingBackend is a blockingBackend whose lease implies responses.
type implyingBackend struct{ *blockingBackend }

func (implyingBackend) ImpliedUntil() time.Time { return time.Now().Add(time.Hour) }

// A response that the lease implies remains when the node is fenced: its client may have been notified, and the new owner
// decides the same response.
func TestFencedKeepsImpliedResponses(t *testing.T) {
	b := newBlockingBackend()
	q := New(Config{NotifyDelivered: true}, implyingBackend{b}, testkit.QuietLog())
	notified := make(chan *message.Message, 1)
	q.OnImplied(func(m *message.Message) { notified <- m })
	m, n := acceptMessage(t, q, b, "a"), acceptMessage(t, q, b, "b")
	m.Deadline, n.Deadline = time.Now(), time.Now().Add(2*time.Hour)
	inTransaction := async(func() error { return q.Complete(ctx) })
	<-b.entered
	queued := async(func() error {
		return q.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: "e", At: time.Now()})
	})
	if got := <-notified; got != m {
		t.Fatalf("OnImplied: got message %s, want a", got.ID)
	}
	notImplied := async(func() error { return q.Complete(ctx, store.Completion{Message: n}) })
	testkit.Eventually(t, "all records queued", func() bool { return q.Pending() == 3 })
	b.release <- store.ErrFenced
	for _, done := range []<-chan error{inTransaction, queued, notImplied} {
		if err := <-done; !errors.Is(err, store.ErrFenced) {
			t.Errorf("got %v, want ErrFenced", err)
		}
	}
	if r := m.FinalResponse; r == nil || r.Kind != message.Failed || !r.Implied {
		t.Errorf("a: got response %+v, want the implied failure", r)
	}
	if n.FinalResponse != nil {
		t.Errorf("b: got response %+v, want none", n.FinalResponse)
	}
	testkit.Must(t, q.Close())
}

// Records that exceed maxBatchRecords are written in several transactions.
func TestBatchIsBoundedByMaxBatchRecords(t *testing.T) {
	q, b := startQueue(t)
	m := acceptMessage(t, q, b, "a")
	firstCommit := async(func() error { return q.Complete(ctx) })
	<-b.entered
	for range 2*maxBatchRecords + 10 {
		testkit.Must(t, q.MarkNotified(ctx, m))
	}
	b.release <- nil
	testkit.Must(t, <-firstCommit)
	for _, want := range []int{maxBatchRecords, maxBatchRecords, 10} {
		if n := <-b.entered; n != want {
			t.Errorf("records in one transaction: got %d, want %d", n, want)
		}
		b.release <- nil
	}
}

// A database that is too slow for a full transaction still makes progress: each failed transaction halves the size of the
// next one, and each successful transaction doubles it.
func TestBatchShrinksWithFailures(t *testing.T) {
	q, b := startQueue(t)
	pending := make([]*message.Message, 2*maxBatchRecords)
	for i := range pending {
		pending[i] = &message.Message{Seq: policy.MessageID(i + 1)}
		q.unfinished[pending[i].Seq] = pending[i]
	}
	first := async(func() error { return q.Complete(ctx) })
	<-b.entered
	for _, m := range pending {
		testkit.Must(t, q.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.TimedOut, At: time.Now()}))
	}
	b.release <- nil
	testkit.Must(t, <-first)
	const maxRecordsInTime = 40 // the largest transaction that this database can write in time
	var sizes []int
	for n, failed := 0, 0; n < len(pending); {
		size := <-b.entered
		sizes = append(sizes, size)
		if size > maxRecordsInTime {
			if failed++; failed > 100 {
				t.Fatalf("no progress after 100 failures: transactions of %v records", sizes)
			}
			b.release <- errors.New("too slow")
			continue
		}
		b.release <- nil
		n += size
	}
	if sizes[0] != maxBatchRecords || sizes[1] != maxBatchRecords/2 {
		t.Errorf("got transactions of %v records, want %d first, then half of that", sizes, maxBatchRecords)
	}
}

// The health of an endpoint is written only if it changes.
func TestEndpointHealthWritesOnlyChanges(t *testing.T) {
	q, b := startQueue(t)
	at := time.Now()
	var got []bool
	for i, o := range []policy.Outcome{policy.Delivered, policy.Failed, policy.RateLimited, policy.Delivered, policy.Delivered, policy.TimedOut} {
		m := acceptMessage(t, q, b, fmt.Sprint("m", i))
		done := async(func() error {
			return errors.Join(q.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: o, Endpoint: "e", At: at}), q.Complete(ctx))
		})
		b.commitUntil(t, func() bool { return len(done) == 1 })
		testkit.Must(t, <-done)
	}
	for _, r := range b.written {
		if r.Kind == Outcome {
			got = append(got, r.EndpointHealth != nil)
		}
	}
	if want := "[false true false true false true]"; fmt.Sprint(got) != want {
		t.Errorf("records with endpoint health: got %v, want %s", got, want)
	}
}

// Attempts, outcomes and completions are written before messages to accept, even those that were queued earlier. If there
// are many updates, a share of each transaction is still reserved for messages to accept.
func TestUpdatesPrecedeAcceptsWithReservedShare(t *testing.T) {
	b := newBlockingBackend()
	pending := make([]*message.Message, 3*maxBatchRecords)
	for i := range pending {
		pending[i] = &message.Message{Seq: policy.MessageID(10_000 + i), ID: fmt.Sprint("pending", i)}
	}
	q := New(Config{LastSeq: 20_000, Unfinished: pending}, b, testkit.QuietLog())
	var wg sync.WaitGroup
	accept := func(n int) {
		before := q.Pending()
		for range n {
			wg.Go(func() { testkit.Must(t, q.Accept(ctx, &message.Message{})) })
		}
		testkit.Eventually(t, "messages to accept queued", func() bool { return q.Pending() == before+n })
	}
	accept(1)
	<-b.entered // the writer is blocked
	accept(2 * maxBatchRecords)
	attempt := func(ms ...*message.Message) {
		for _, m := range ms {
			before := q.Pending()
			wg.Go(func() {
				testkit.Must(t, q.RecordAttempt(ctx, store.Attempt{Endpoint: "e", At: time.Now(), Messages: []*message.Message{m}}))
			})
			testkit.Eventually(t, "attempt queued", func() bool { return q.Pending() == before+1 })
		}
	}
	attempt(pending[:2]...)
	nextBatch := func() (attempts, accepts int) {
		b.release <- nil
		<-b.entered
		for _, r := range b.batch {
			if r.Kind == Accept {
				accepts++
			} else if attempts++; accepts > 0 {
				t.Error("an attempt follows a message to accept in the transaction")
			}
		}
		return attempts, accepts
	}
	if a, n := nextBatch(); a != 2 || n != maxBatchRecords-2 {
		t.Errorf("got %d attempts and %d messages to accept in a transaction, want 2 and %d", a, n, maxBatchRecords-2)
	}
	attempt(pending[2 : maxBatchRecords+2]...)
	if a, n := nextBatch(); a != maxBatchRecords-maxBatchRecords/acceptShareDivisor || n != maxBatchRecords/acceptShareDivisor {
		t.Errorf("got %d attempts and %d messages to accept in a transaction, want %d messages to accept", a, n, maxBatchRecords/acceptShareDivisor)
	}
	b.release <- nil
	b.commitUntil(t, func() bool { return q.Pending() == 0 })
	wg.Wait()
	testkit.Must(t, q.Close())
}

// closeTimeout starts with the call of Close, even if a transaction in progress returns only after it has expired: the
// queue then tries one more transaction, and does not retry for another closeTimeout.
func TestCloseTimeoutCountsFromClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBlockingBackend()
		q := New(Config{}, b, testkit.QuietLog())
		written := async(func() error { return q.Complete(ctx) })
		<-b.entered
		closed := async(q.Close)
		time.Sleep(closeTimeout + time.Millisecond)
		b.mu.Lock()
		b.beginErr = errors.New("database unreachable")
		b.mu.Unlock()
		returned := time.Now()
		b.release <- store.ErrUndecided
		if err := <-closed; err == nil {
			t.Error("Close with an unwritten record: got nil, want an error")
		}
		if took := time.Since(returned); took > 2*commitRetryDelay {
			t.Errorf("Close returned %v after the transaction, want %v at most", took, 2*commitRetryDelay)
		}
		if err := <-written; !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("result of the unwritten record: got %v, want ErrUnavailable", err)
		}
	})
}

// Maintain is called even while the queue is never empty, so that leases are renewed and old responses are deleted under
// load.
func TestMaintainRunsUnderLoad(t *testing.T) {
	b := newBlockingBackend()
	q := New(Config{}, b, testkit.QuietLog())
	queueRecord := func() { testkit.Must(t, q.MarkNotified(ctx, &message.Message{Seq: 1})) }
	queueRecord()
	deadline := time.After(testkit.EventuallyTimeout)
	for maintenances := 0; maintenances < 3; {
		select {
		case <-b.entered:
			queueRecord() // before this transaction ends, so that the queue is never empty
			b.release <- nil
		case <-deadline:
			t.Fatalf("got %d calls of Maintain under load, want 3", maintenances)
		}
		b.mu.Lock()
		maintenances = b.maintenances
		b.mu.Unlock()
	}
	b.commitUntil(t, func() bool { return q.Pending() == 0 })
	testkit.Must(t, q.Close())
}

// slowBackend is a backend that needs a time for each record.
type slowBackend struct {
	*blockingBackend
	perRecord, writeTime time.Duration
}

func (b *slowBackend) Commit(batch []*Record) ([]error, error) {
	b.writeTime = time.Duration(len(batch)) * b.perRecord
	time.Sleep(b.writeTime)
	return make([]error, len(batch)), nil
}

func (b *slowBackend) WriteTime() time.Duration { return b.writeTime }

// Guards against messages that are rejected because many updates are queued on a slow or busy machine: a message to accept waits
// for short transactions only. A fast machine writes as many records at once as before.
func TestAcceptWaitsForShortTransactions(t *testing.T) {
	for perRecord, want := range map[time.Duration]time.Duration{
		3 * time.Millisecond:  2 * maxWriteTime,
		10 * time.Microsecond: maxBatchRecords * 10 * time.Microsecond * 2,
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &slowBackend{blockingBackend: newBlockingBackend(), perRecord: perRecord}
			q := New(Config{}, b, testkit.QuietLog())
			for range 8 * maxBatchRecords {
				testkit.Must(t, q.MarkNotified(ctx, &message.Message{Seq: 1}))
			}
			time.Sleep(time.Duration(maxBatchRecords+1) * perRecord) // the first transaction has shown how long a record takes
			began := time.Now()
			testkit.Must(t, q.Accept(ctx, &message.Message{ID: "m"}))
			if took := time.Since(began); took > want {
				t.Errorf("%v a record: got a message accepted after %v, want %v at most", perRecord, took, want)
			}
			testkit.Must(t, q.Complete(ctx)) // all is written
			testkit.Must(t, q.Close())
			if got := q.batchLimit; perRecord < time.Millisecond && got != maxBatchRecords {
				t.Errorf("%v a record: got a limit of %d records, want %d", perRecord, got, maxBatchRecords)
			}
		})
	}
}
