package journal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/frame"
	"wingmount/policy"
)

// replaySegment applies the records of one segment, up to its end or the first frame that can't be read.
func (j *Journal) replaySegment(n uint64, data []byte) {
	j.segments = append(j.segments, segment{number: n, size: int64(len(data))})
	rest := data
	for len(rest) > 0 {
		at := len(data) - len(rest)
		payload, after, err := frame.Next(rest)
		if errors.Is(err, frame.ErrTorn) {
			j.tornTails++
			j.log.Warn("journal: torn tail of a segment ignored", "segment", n, "at", at)
			return
		}
		if err != nil {
			j.faults = append(j.faults, fmt.Sprintf("segment %d, byte %d: bad checksum, the rest of the segment is passed over", n, at))
			j.log.Warn("journal: bad checksum, rest of the segment skipped", "segment", n, "at", at)
			return
		}
		if err := j.apply(n, payload); err != nil {
			j.faults = append(j.faults, fmt.Sprintf("segment %d, byte %d: an unreadable record: %v", n, at, err))
			j.log.Warn("journal: unreadable record skipped", "segment", n, "at", at, "err", err)
		}
		rest = after
	}
}

// apply applies one record to the state. It returns an error if the record has an unknown kind or is invalid.
func (j *Journal) apply(segment uint64, payload []byte) error {
	r := reader{rest: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.nextSeq = max(j.nextSeq, seq+1)
	m := j.pending[seq]
	switch kind {
	case recordAccepted:
		j.applyAccepted(&r, segment, seq)
	case recordAttempt:
		j.applyAttempt(&r, m)
	case recordOutcome:
		j.applyOutcome(&r, m)
	case recordResponse:
		applyResponse(&r, m)
	case recordClosed:
		j.applyClosed(&r, m)
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.invalid {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// applyAccepted replaces the state of a message by its record.
func (j *Journal) applyAccepted(r *reader, segment uint64, seq policy.MessageID) {
	m := &message.Message{Seq: seq}
	m.ID, m.Key = string(r.bytes()), string(r.bytes())
	m.Class, m.Destination = int(r.uvarint()), int(r.uvarint())
	m.Deadline = r.time()
	m.History.Attempts, m.History.RanZone = int(r.uvarint()), int(r.uvarint())
	flags := r.u8()
	m.History.SetFlags(int64(flags))
	if at := r.time(); m.History.MayHaveRun {
		m.History.RanAt = at
	}
	if flags&flagHasResponse != 0 {
		m.FinalResponse = r.response()
	}
	m.Body = append([]byte(nil), r.bytes()...)
	if r.invalid {
		return
	}
	j.pending[seq], j.segmentOf[seq] = m, segment
}

// applyAttempt counts an attempt. The message is nil if its record was removed.
func (j *Journal) applyAttempt(r *reader, m *message.Message) {
	name, zone, at := string(r.bytes()), int(r.uvarint()), r.time()
	if r.invalid {
		return
	}
	j.noteTime(at)
	if e := j.healthOf(name); len(e.CallTimes) == 0 || !e.CallTimes[len(e.CallTimes)-1].Equal(at) {
		e.CallTimes = append(e.CallTimes, at)
	}
	if m != nil {
		m.History.RecordAttempt(zone, at)
	}
}

// applyOutcome applies the outcome of an attempt to its message and to the health of its endpoint.
func (j *Journal) applyOutcome(r *reader, m *message.Message) {
	outcome, name, at := policy.Outcome(r.u8()), string(r.bytes()), r.time()
	if r.invalid {
		return
	}
	j.noteTime(at)
	if m != nil {
		m.History.RecordOutcome(outcome)
		if outcome == policy.Delivered { // only if clients are notified of deliveries
			m.FinalResponse = &message.FinalResponse{Kind: message.Delivered}
		}
	}
	switch outcome {
	case policy.Delivered:
		if e := j.endpointHealth[name]; e != nil && e.RecoveredAt.IsZero() {
			e.RecoveredAt = at
		}
	case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
		e := j.healthOf(name)
		e.FailedAt, e.RecoveredAt = at, time.Time{}
	}
}

// applyResponse sets the final response of a message, if it has none.
func applyResponse(r *reader, m *message.Message) {
	if e := r.response(); m != nil && !r.invalid && m.FinalResponse == nil {
		m.FinalResponse = e
	}
}

// applyClosed removes a message that is not pending any more.
func (j *Journal) applyClosed(r *reader, m *message.Message) {
	name, at := string(r.bytes()), r.time()
	if !r.invalid {
		j.noteTime(at)
		if e := j.healthOf(name); name != "" && e.RecoveredAt.IsZero() {
			e.RecoveredAt = at
		}
	}
	if m != nil {
		j.retainResponse(m, name)
	}
}

// noteTime updates the latest time on record.
func (j *Journal) noteTime(at time.Time) {
	if at.After(j.latestTime) {
		j.latestTime = at
	}
}

// healthOf returns the health of an endpoint, which is empty if it was never called.
func (j *Journal) healthOf(endpoint string) *store.EndpointHealth {
	if j.endpointHealth[endpoint] == nil {
		j.endpointHealth[endpoint] = &store.EndpointHealth{}
	}
	return j.endpointHealth[endpoint]
}

// replayAll replays all segments of the folder.
func (j *Journal) replayAll() error {
	files, err := openSegments(j.dir)
	if err != nil {
		return fmt.Errorf("opening the journal: %w", err)
	}
	defer closeAll(files)
	for _, f := range files {
		n, _ := segmentNumber(filepath.Base(f.Name()))
		data, err := io.ReadAll(f)
		if err != nil {
			return fmt.Errorf("replaying the journal: %w", err)
		}
		j.replaySegment(n, data)
	}
	return nil
}
