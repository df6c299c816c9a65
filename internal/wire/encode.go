package wire

import (
	"encoding/binary"
	"fmt"
)

// AppendReply appends the reply to the batch with a number to buf.
func AppendReply(buf []byte, number uint32, actions []Action) ([]byte, error) {
	le := binary.LittleEndian
	start := len(buf)
	buf = le.AppendUint32(buf, number)
	buf = le.AppendUint32(buf, uint32(len(actions)))
	buf = le.AppendUint32(buf, 0)
	var tail []byte
	span := func(data []byte) {
		buf = le.AppendUint32(buf, uint32(len(tail)))
		buf = le.AppendUint32(buf, uint32(len(data)))
		tail = append(tail, data...)
	}
	for i, a := range actions {
		at := len(buf)
		buf = append(buf, a.Code)
		switch a.Code {
		case ActionCancelAttempt:
			buf = append(le.AppendUint64(buf, a.MessageID), a.Attempt)
		case ActionReject:
			buf = le.AppendUint32(le.AppendUint64(buf, a.MessageID), a.RetryAfterUs)
		case ActionSelectInstance:
			buf = le.AppendUint16(buf, a.Instance)
		case ActionHealthCheck, ActionCloseIdle:
			buf = appendEndpoint(buf, a.Endpoint)
		case ActionSend:
			buf = appendEndpoint(le.AppendUint32(le.AppendUint64(buf, a.MessageID), a.TimeoutUs), a.Endpoint)
		case ActionFetchList:
		case ActionCrash, ActionLog:
			span(a.Data)
		case ActionNotifyPeers:
			buf = le.AppendUint32(buf, a.Recipient)
			span(a.Data)
		case ActionSubscribe:
			on := byte(0)
			if a.Enabled {
				on = 1
			}
			buf = append(buf, on)
		case ActionSetTimer:
			buf = le.AppendUint64(le.AppendUint64(buf, a.AtUs), a.Token)
		case ActionFail:
			buf = le.AppendUint64(buf, a.MessageID)
		default:
			return nil, fmt.Errorf("action %d: unknown action code %d", i, a.Code)
		}
		buf = append(buf, make([]byte, actionSize-(len(buf)-at))...)
	}
	buf = append(buf, tail...)
	le.PutUint32(buf[start+8:], uint32(len(buf)-start-12))
	return buf, nil
}

func appendEndpoint(buf []byte, e Endpoint) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(e>>16))
	return binary.LittleEndian.AppendUint16(buf, uint16(e))
}
