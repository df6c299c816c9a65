package sqlite

import "time"

const (
	// maxSweptRows is the maximum number of rows of each table that one sweep reads or deletes, so that it does not delay
	// commits for long.
	maxSweptRows = 2500
	// sweepInterval is the minimum time between two sweeps if no response has expired.
	sweepInterval = 10 * time.Second
	// callRetention is how long calls are retained. The node's next process counts them in its rate windows.
	callRetention = 5 * time.Minute
	// endpointRetention is how long the failures of endpoints are retained.
	endpointRetention = time.Hour
)

// Maintain implements [group.Backend]. It deletes a limited number of the records whose retention has ended.
func (s *backend) Maintain(now time.Time) error {
	expired, err := s.findExpired(now)
	if err != nil {
		return err
	}
	if len(expired) == 0 && now.Before(s.nextSweep) {
		return nil
	}
	s.nextSweep = now.Add(sweepInterval)
	return s.sweep(now, expired)
}

// findExpired reads the next maxSweptRows responses after lastSwept and returns those whose retention has ended.
func (s *backend) findExpired(now time.Time) (expired []expiredResponse, err error) {
	st := s.st.scanResponses
	if err := bind(st, s.lastSwept, maxSweptRows); err != nil {
		return nil, err
	}
	read := 0
	for st.Step() {
		read++
		s.lastSwept = st.ColumnInt64(0)
		if notifiedAt := st.ColumnInt64(1); notifiedAt != 0 && notifiedAt < now.Add(-s.cfg.ResponseRetention).UnixMicro() {
			expired = append(expired, expiredResponse{seq: s.lastSwept, segment: st.ColumnInt64(2), hash: s.ids.hash(st.ColumnText(3))})
		}
	}
	if err := st.Reset(); err != nil {
		return nil, err
	}
	if read < maxSweptRows || len(expired) == 0 {
		// Start again from the oldest: there are no more rows, or they are newer than these, none of which has expired.
		s.lastSwept = 0
	}
	return expired, nil
}

// sweep deletes the expired responses, old calls and old failures of endpoints in one transaction.
func (s *backend) sweep(now time.Time, expired []expiredResponse) (err error) {
	if err := s.begin(); err != nil {
		return err
	}
	defer func() {
		if err != nil && !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
	}()
	applyDeletions, err := s.deleteResponses(expired)
	if err != nil {
		return err
	}
	if err := exec(s.st.deleteOldCalls, now.Add(-callRetention).UnixMicro(), maxSweptRows); err != nil {
		return err
	}
	if err := exec(s.st.deleteOldEndpoints, now.Add(-endpointRetention).UnixMicro(), maxSweptRows); err != nil {
		return err
	}
	if err := duringRetention.At(); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return err
	}
	applyDeletions()
	return nil
}
