package journal

import (
	"encoding/binary"
	"time"
	"wingmount/internal/message"
	"wingmount/policy"
)

// Kinds of record. They are on disk and never change their meaning.
const (
	recordAccepted = 1 // a message with its attempts so far; replaces its earlier records
	recordAttempt  = 2 // written before the first byte of an attempt
	recordOutcome  = 3 // how the last attempt ended
	recordResponse = 4 // completed undelivered; the notification is pending
	recordClosed   = 5 // not pending any more; delivered if it names an endpoint
)

// noMessage is the number in a recordOutcome that concerns only its endpoint. No message has it.
const noMessage policy.MessageID = 0

// flagHasResponse is set in the flags of a recordAccepted that has a final response. The lower flags are those of
// [message.History].
const flagHasResponse = 8

// record returns the beginning of a record of a message.
func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

// appendBytes appends a field of variable length.
func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// acceptedRecord returns the record of a message with its attempts so far.
func acceptedRecord(m *message.Message) []byte {
	b := record(recordAccepted, m.Seq)
	b = appendBytes(appendBytes(b, []byte(m.ID)), []byte(m.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Class)), uint64(m.Destination))
	b = appendTime(b, m.Deadline)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.History.Attempts)), uint64(m.History.RanZone))
	flags := byte(m.History.Flags())
	if m.FinalResponse != nil {
		flags |= flagHasResponse
	}
	ranAt := uint64(0)
	if m.History.MayHaveRun {
		ranAt = uint64(m.History.RanAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, flags), ranAt)
	if m.FinalResponse != nil {
		b = appendResponse(b, m.FinalResponse)
	}
	return appendBytes(b, m.Body)
}

// appendTime appends a time in microseconds since 1970.
func appendTime(b []byte, at time.Time) []byte {
	return binary.AppendUvarint(b, uint64(at.UnixMicro()))
}

// appendResponse appends a final response.
func appendResponse(b []byte, e *message.FinalResponse) []byte {
	return binary.AppendUvarint(append(b, byte(e.Kind)), uint64(e.RetryAfter.Milliseconds()))
}

// reader reads the fields of a record in their order. Once a field is cut short or has no meaning, invalid is set; after a
// field that is cut short all others are zero.
type reader struct {
	rest    []byte
	invalid bool
}

// u8 reads one byte.
func (r *reader) u8() byte {
	if len(r.rest) == 0 {
		r.invalid = true
		return 0
	}
	v := r.rest[0]
	r.rest = r.rest[1:]
	return v
}

// uvarint reads a number of variable length.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.invalid, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// bytes reads a field of variable length. The result is a part of the record, not a copy.
func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.invalid, r.rest = true, nil
		return nil
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

// time reads a time in microseconds.
func (r *reader) time() time.Time { return time.UnixMicro(int64(r.uvarint())) }

// response reads a final response.
func (r *reader) response() *message.FinalResponse {
	e := &message.FinalResponse{Kind: message.ResponseKind(r.u8())}
	if e.Kind > message.Delivered {
		r.invalid = true
	}
	e.RetryAfter = time.Duration(r.uvarint()) * time.Millisecond
	return e
}
