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
	kindAttempt   = 1 // an attempt may be outstanding
	kindDelivered = 2 // the last attempt delivered the message
	kindResponse  = 3 // the client may be notified of a final response
)

// numericFields is the number of fields of an intent that are stored as numbers.
const numericFields = 6

// intent is one record of the log: an action that the node may take before the store has persisted the record of it.
type intent struct {
	kind     byte
	seq      policy.MessageID
	attempts int // kindAttempt: number of the message's attempts, including this one
	zone     int
	at       time.Time // stored in microseconds
	endpoint string
	response message.FinalResponse // set for kindResponse
}

// append appends a frame with the encoded intent to b and returns the extended slice.
func (i intent) append(b []byte) []byte {
	payload := []byte{i.kind}
	for _, v := range []uint64{
		uint64(i.seq), uint64(i.attempts), uint64(i.zone), uint64(max(0, i.at.UnixMicro())),
		uint64(i.response.Kind), uint64(i.response.RetryAfter.Milliseconds()),
	} {
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
	fields := payload[1:]
	var v [numericFields]uint64
	for n := range v {
		value, size := binary.Uvarint(fields)
		if size <= 0 {
			return i, nil, false
		}
		v[n] = value
		fields = fields[size:]
	}
	i.seq, i.attempts, i.zone, i.at = policy.MessageID(v[0]), int(v[1]), int(v[2]), time.UnixMicro(int64(v[3]))
	i.response = *message.StoredResponse(int64(v[4]), int64(v[5]))
	i.endpoint = string(fields)
	return i, rest, i.kind >= kindAttempt && i.kind <= kindResponse
}
