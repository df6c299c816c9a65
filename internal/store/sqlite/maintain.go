package sqlite

import "time"

// Idle implements [group.Backend]: it deletes a slice of what is too old to be kept.
func (s *file) Idle(now time.Time) error {
	olds, err := s.oldAnswers(now)
	if err != nil {
		return err
	}
	if len(olds) == 0 && now.Before(s.sweepAt) {
		return nil
	}
	s.sweepAt = now.Add(sweepGap)
	return s.sweep(now, olds)
}

// oldAnswers finds answers that are too old among the next sweepMax.
func (s *file) oldAnswers(now time.Time) (olds []old, err error) {
	st := s.st.oldAnswers
	if err := bind(st, s.swept, sweepMax); err != nil {
		return nil, err
	}
	seen := 0
	for st.Step() {
		seen++
		s.swept = st.ColumnInt64(0)
		if told := st.ColumnInt64(1); told != 0 && told < now.Add(-s.cfg.Keep).UnixMicro() {
			olds = append(olds, old{seq: s.swept, segment: st.ColumnInt64(2), hash: s.ids.hash(st.ColumnText(3))})
		}
	}
	if err := st.Reset(); err != nil {
		return nil, err
	}
	if seen < sweepMax || len(olds) == 0 {
		s.swept = 0 // from the oldest again: what is behind a slice of young ones is young
	}
	return olds, nil
}

// sweep deletes old answers, calls and endpoints in a transaction.
func (s *file) sweep(now time.Time, olds []old) (err error) {
	if err := s.begin(); err != nil {
		return err
	}
	defer func() {
		if err != nil && !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
	}()
	done, err := s.drop(olds)
	if err != nil {
		return err
	}
	if err := exec(s.st.oldCalls, now.Add(-callsKept).UnixMicro(), sweepMax); err != nil {
		return err
	}
	if err := exec(s.st.oldEndpoints, now.Add(-endpointsKept).UnixMicro(), sweepMax); err != nil {
		return err
	}
	if err := atSweep.At(); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return err
	}
	done()
	return nil
}
