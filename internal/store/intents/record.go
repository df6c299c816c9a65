package intents

import (
	"encoding/binary"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store/frame"
	"wingmount/policy"
)

// The kinds of intent. They are stored on disk, so their meaning must never change.
const (
	kindAttempt            = 1 // an attempt may be outstanding; only earlier versions write it, without the history
	kindDelivered          = 2 // the last attempt delivered the message
	kindResponse           = 3 // the client may be notified of a final response
	kindAttemptWithHistory = 4 // an attempt may be outstanding, with the message's history
)

const (
	// numericFields is the number of fields that every intent stores as numbers.
	numericFields = 6
	// historyFields is the number of further such fields of kindAttemptWithHistory.
	historyFields = 3
)

// intent is one record of the log: an action that the node may take before the store has persisted the record of it.
type intent struct {
	kind     byte
	seq      policy.MessageID
	history  message.History // kindAttemptWithHistory: with this attempt outstanding; kindAttempt: only Attempts
	zone     int
	at       time.Time // stored in microseconds
	endpoint string
	response message.FinalResponse // set for kindResponse
}

// isAttempt reports whether the intent is an attempt.
func (i intent) isAttempt() bool { return i.kind == kindAttemptWithHistory || i.kind == kindAttempt }

// append appends a frame with the encoded intent to b and returns the extended slice.
func (i intent) append(b []byte) []byte {
	payload := []byte{i.kind}
	fields := []uint64{
		uint64(i.seq), uint64(i.history.Attempts), uint64(i.zone), uint64(max(0, i.at.UnixMicro())),
		uint64(i.response.Kind), uint64(i.response.RetryAfter.Milliseconds()),
	}
	if i.kind == kindAttemptWithHistory {
		fields = append(fields, uint64(i.history.Flags()), uint64(max(0, message.UnixMicros(i.history.RanAt))), uint64(i.history.RanZone))
	}
	for _, v := range fields {
		payload = binary.AppendUvarint(payload, v)
	}
	return frame.Append(b, append(payload, i.endpoint...))
}

// decode decodes the first intent of data and returns the data after it. It returns false if data does not start with a
// complete and valid intent.
func decode(data []byte) (i intent, rest []byte, ok bool) {
	payload, rest, err := frame.Next(data)
	if err != nil || len(payload) == 0 {
		return i, nil, false
	}
	i.kind = payload[0]
	if i.kind < kindAttempt || i.kind > kindAttemptWithHistory {
		return i, nil, false
	}
	v, endpoint, ok := decodeNumbers(payload[1:], numericFields)
	if !ok {
		return i, nil, false
	}
	i.seq, i.history.Attempts, i.zone, i.at = policy.MessageID(v[0]), int(v[1]), int(v[2]), time.UnixMicro(int64(v[3]))
	i.response = *message.StoredResponse(int64(v[4]), int64(v[5]))
	if i.kind == kindAttemptWithHistory {
		if v, endpoint, ok = decodeNumbers(endpoint, historyFields); !ok {
			return i, nil, false
		}
		i.history.SetFlags(int64(v[0]))
		i.history.RanAt, i.history.RanZone = message.FromUnixMicros(int64(v[1])), int(v[2])
	}
	i.endpoint = string(endpoint)
	return i, rest, true
}

// decodeNumbers decodes count numbers at the start of data and returns the data after them.
func decodeNumbers(data []byte, count int) (numbers []uint64, rest []byte, ok bool) {
	for range count {
		number, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, nil, false
		}
		numbers = append(numbers, number)
		data = data[size:]
	}
	return numbers, data, true
}
