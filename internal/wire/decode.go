package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// fieldReader reads the fields of one record in turn. It keeps the first error.
type fieldReader struct {
	rest []byte // of the record
	tail []byte // of the batch
	err  error
}

// next returns the next n bytes. It panics if the record is shorter.
func (f *fieldReader) next(n int) []byte {
	v := f.rest[:n]
	f.rest = f.rest[n:]
	return v
}

func (f *fieldReader) u8() uint8    { return f.next(1)[0] }
func (f *fieldReader) u16() uint16  { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fieldReader) u32() uint32  { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fieldReader) u64() uint64  { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *fieldReader) f32() float32 { return math.Float32frombits(f.u32()) }

func (f *fieldReader) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// flag reads a byte that is 0 or 1.
func (f *fieldReader) flag(name string) bool {
	v := f.u8()
	if v > 1 {
		f.fail("%s is %d, neither 0 nor 1", name, v)
	}
	return v == 1
}

func (f *fieldReader) endpoint() Endpoint {
	b := f.next(6)
	return Endpoint(binary.BigEndian.Uint32(b))<<16 | Endpoint(binary.LittleEndian.Uint16(b[4:]))
}

func (f *fieldReader) report() Report {
	r := Report{N: f.u8()}
	for i := range r.Values {
		r.Values[i] = f.f32()
	}
	if int(r.N) > len(r.Values) {
		f.fail("report of %d values, at most %d fit", r.N, len(r.Values))
	}
	return r
}

// span reads an offset and a length in units of size bytes, and returns that part of the tail, nil if it is outside.
func (f *fieldReader) span(size uint64) []byte {
	offset, n := uint64(f.u32()), uint64(f.u32())
	if offset+n*size > uint64(len(f.tail)) {
		f.fail("bytes %d to %d lie outside the tail of %d", offset, offset+n*size, len(f.tail))
		return nil
	}
	return f.tail[offset : offset+n*size : offset+n*size]
}

func (f *fieldReader) result() uint16 {
	v := f.u16()
	switch v {
	case ResultOK, ResultFailed, ResultRateLimited, ResultTimeout, ResultConnectFailed,
		ResultReset, ResultCancelled, ResultNotSent:
	default:
		f.fail("unknown result %d", v)
	}
	return v
}

func (f *fieldReader) entries() []EndpointEntry {
	span := f.span(entrySize)
	list := make([]EndpointEntry, 0, len(span)/entrySize)
	for ; len(span) > 0; span = span[entrySize:] {
		g := fieldReader{rest: span[:entrySize]}
		e := EndpointEntry{
			Zone: g.u16(), Endpoint: g.endpoint(), Kind: g.u16(), Destination: g.u16(),
			State: g.u8(), RateLimit: g.f32(), ReadyAtUs: g.u64(),
		}
		if e.State > 2 {
			f.fail("unknown state %d of an endpoint", e.State)
		}
		list = append(list, e)
	}
	return list
}

// decodeEvent reads one record of eventSize bytes.
func decodeEvent(rec, tail []byte) (Event, error) {
	f := fieldReader{rest: rec, tail: tail}
	e := Event{Code: f.u8()}
	switch e.Code {
	case EventResponseStarted:
		e.MessageID, e.Attempt, e.DurationUs, e.Endpoint = f.u64(), f.u8(), f.u32(), f.endpoint()
	case EventEndpointList:
		e.List, e.Entries = f.u32(), f.entries()
		if e.List > maxListNumber {
			f.fail("list number %d is over %d", e.List, maxListNumber)
		}
	case EventStop:
	case EventWithdrawn:
		e.MessageID = f.u64()
	case EventSelectInstance:
		e.Instance = f.u16()
	case EventPeerMessage:
		e.Peer, e.Data = f.u32(), f.span(1)
	case EventAttemptCompleted:
		e.MessageID, e.RetryAfterMs, e.Result, e.Attempt = f.u64(), f.u32(), f.result(), f.u8()
		e.Endpoint, e.Final, e.DurationUs, e.Report = f.endpoint(), f.flag("Final"), f.u32(), f.report()
	case EventMessageArrived:
		e.MessageID, e.Destination, e.Class, e.Key, e.Flags = f.u64(), f.f32(), f.u8(), f.u64(), f.u8()
		e.GiveUpAtUs, e.CostHintUs, e.Tenant = f.u64(), f.u32(), f.u32()
		if d := e.Destination; !(d >= 0 && d <= math.MaxUint16) || d != float32(uint16(d)) {
			f.fail("destination %v is no number of a destination", d)
		}
	case EventInstanceStarted:
		e.Seed, e.Data = f.u64(), f.span(1)
	case EventTimerFired:
		e.Token = f.u64()
	case EventEndpointsChanged:
		e.Kind, e.Revision, e.List = f.u8(), f.u64(), f.u32()
		if e.Kind > ListUnavailable {
			f.fail("unknown kind %d of a fleet event", e.Kind)
		}
	case EventHealthCheckCompleted:
		e.Endpoint, e.Result, e.DurationUs, e.Report = f.endpoint(), f.result(), f.u32(), f.report()
	default:
		return Event{}, fmt.Errorf("unknown event code %d", e.Code)
	}
	for _, b := range f.rest {
		if b != 0 {
			f.fail("bytes after the fields of event code %d are not zero", e.Code)
			break
		}
	}
	return e, f.err
}

// DecodeBatch reads a batch from a complete frame.
func DecodeBatch(frame []byte) (Batch, error) {
	if len(frame) < batchHeader {
		return Batch{}, fmt.Errorf("batch of %d bytes is shorter than its header", len(frame))
	}
	f := fieldReader{rest: frame}
	b := Batch{Number: f.u32()}
	size := f.u32()
	b.NowUs = f.u64()
	n := int(f.u32())
	if int(size) != len(frame)-8 {
		return Batch{}, fmt.Errorf("batch %d states %d bytes and has %d", b.Number, size, len(frame)-8)
	}
	if n > len(f.rest)/eventSize {
		return Batch{}, fmt.Errorf("batch %d states %d records and has room for %d", b.Number, n, len(f.rest)/eventSize)
	}
	tail := f.rest[n*eventSize:]
	b.Events = make([]Event, n)
	for i := range b.Events {
		e, err := decodeEvent(f.next(eventSize), tail)
		if err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
		}
		b.Events[i] = e
	}
	return b, nil
}

// ReadBatch reads the next batch. It returns io.EOF if the input ends between two frames, and another error if it ends
// within one.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("reading the header of a batch: %w", err)
	}
	size := binary.LittleEndian.Uint32(head[4:])
	if size < batchHeader-8 || size > maxBatch {
		return Batch{}, fmt.Errorf("batch states an impossible size of %d bytes", size)
	}
	// Memory grows with the bytes that arrive: the stated size may be wrong.
	frame := append(make([]byte, 0, min(int(size)+8, 1<<20)), head[:]...)
	rest, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, fmt.Errorf("reading a batch: %w", err)
	}
	if len(rest) < int(size) {
		return Batch{}, fmt.Errorf("reading a batch: %w after %d of %d bytes", io.ErrUnexpectedEOF, len(rest), size)
	}
	return DecodeBatch(append(frame, rest...))
}
