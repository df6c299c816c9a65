package sqlite

import (
	"errors"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
)

// writeRecord writes one record in the transaction. The result is returned to the caller that waits for the record. If err
// is not nil, the transaction must be rolled back.
func (s *backend) writeRecord(r *group.Record) (result, err error) {
	switch r.Kind {
	case group.Accept:
		return s.accept(r)
	case group.Attempt:
		if err := exec(s.st.call, r.Endpoint, r.At.UnixMicro()); err != nil {
			return nil, err
		}
		return nil, s.recordHistories(r)
	case group.Outcome:
		if err := s.recordHistories(r); err != nil {
			return nil, err
		}
		if e := r.EndpointHealth; e != nil {
			if err := exec(s.st.endpoint, r.Endpoint, e.FailedAt.UnixMicro(), message.UnixMicros(e.RecoveredAt)); err != nil {
				return nil, err
			}
		}
		return nil, s.recordResponses(r)
	case group.Complete:
		return nil, s.recordResponses(r)
	case group.Notified:
		for _, seq := range r.Seqs {
			if err := exec(s.st.markNotified, seq, r.At.UnixMicro()); err != nil {
				return nil, err
			}
		}
	}
	return nil, nil
}

// accept persists a message. If its id is already on record, the result is a [store.DuplicateError].
func (s *backend) accept(r *group.Record) (result, err error) {
	m := r.Message
	response, err := s.findResponse(m.ID)
	if err != nil {
		return nil, err
	}
	if response != nil {
		return &store.DuplicateError{Response: response}, nil
	}
	if err := exec(s.st.accept, m.Seq, m.ID, m.Key, m.Class, m.Destination, m.Deadline.UnixMicro(), r.At.UnixMicro(), m.Body); err != nil {
		return nil, err
	}
	if s.conn.Changes() > 0 {
		return nil, nil
	}
	return &store.DuplicateError{}, nil
}

// recordHistories persists the histories of the record's messages.
func (s *backend) recordHistories(r *group.Record) error {
	for i, h := range r.Histories {
		if err := exec(s.st.history, r.Seqs[i], h.Attempts, h.Flags(), message.UnixMicros(h.RanAt), h.RanZone); err != nil {
			return err
		}
	}
	return nil
}

// recordResponses persists the record's final responses and deletes their messages.
func (s *backend) recordResponses(r *group.Record) error {
	for i, response := range r.Responses {
		var notifiedAt any
		if r.WithoutNotification {
			notifiedAt = r.At.UnixMicro()
		}
		st := s.st.recordResponse
		if err := bind(st, r.Seqs[i], int(response.Kind), response.RetryAfter.Milliseconds(), r.At.UnixMicro(), notifiedAt, s.ids.openSegment); err != nil {
			return err
		}
		for st.Step() {
			s.ids.add(st.ColumnText(0), r.Seqs[i])
		}
		if err := errors.Join(st.Reset(), exec(s.st.deleteMessage, r.Seqs[i]), exec(s.st.deleteHistory, r.Seqs[i])); err != nil {
			return err
		}
	}
	return nil
}
