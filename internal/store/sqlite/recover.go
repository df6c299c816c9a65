package sqlite

import (
	"errors"
	"fmt"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
)

// mergeNames persists the configured names that are not on record yet, and returns all names on record. It writes nothing,
// and so needs no lock, if there are no such names.
func (s *backend) mergeNames() (_ store.Names, err error) {
	var stored store.Names
	lists := stored.Lists()
	if err := s.forEachRow("SELECT kind, name FROM name ORDER BY kind, n", func(st *sqlite3.Stmt) {
		if kind := st.ColumnInt(0); kind >= 0 && kind < len(lists) {
			*lists[kind] = append(*lists[kind], st.ColumnText(1))
		}
	}); err != nil {
		return stored, err
	}
	all := stored.Extend(s.cfg.Names)
	added := false
	for kind, list := range all.Lists() {
		added = added || len(*list) > len(*lists[kind])
	}
	if !added {
		return all, nil
	}
	return all, s.insertNames(all, stored)
}

// insertNames persists the names of all that are not in stored.
func (s *backend) insertNames(all, stored store.Names) (err error) {
	tx, err := s.conn.BeginImmediate()
	if err != nil {
		return err
	}
	defer tx.End(&err)
	st, _, err := s.conn.Prepare("INSERT INTO name VALUES (?1, ?2, ?3, row_checksum(?1, ?2, ?3))")
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	lists := stored.Lists()
	for kind, list := range all.Lists() {
		for n := len(*lists[kind]); n < len(*list); n++ {
			if err := exec(st, kind, n, (*list)[n]); err != nil {
				return err
			}
		}
	}
	return nil
}

// readRecovered reads the pending messages, the health of endpoints, the ids and the names. It also returns the highest
// sequence number ever assigned. It is called before the queue starts.
func (s *backend) readRecovered() (store.Recovered, policy.MessageID, error) {
	r := store.Recovered{EndpointHealth: map[string]*store.EndpointHealth{}}
	var latest, last int64
	err := errors.Join(
		s.forEachRow(`SELECT m.seq, id, key, class, dest, deadline, body, coalesce(attempts, 0), coalesce(flags, 0), coalesce(ran, 0), coalesce(zone, 0),
				-1, 0 FROM message m LEFT JOIN past p ON p.seq = m.seq
			UNION ALL SELECT seq, id, '', 0, dest, 0, x'', attempts, 0, 0, 0, kind, retry FROM answer WHERE told IS NULL
			ORDER BY 1`, func(st *sqlite3.Stmt) {
			m := &message.Message{
				Seq: policy.MessageID(st.ColumnInt64(0)), ID: st.ColumnText(1), Key: st.ColumnText(2),
				Class: st.ColumnInt(3), Destination: st.ColumnInt(4), Deadline: time.UnixMicro(st.ColumnInt64(5)), Body: st.ColumnBlob(6, nil),
			}
			m.History = message.History{Attempts: st.ColumnInt(7), RanAt: message.FromUnixMicros(st.ColumnInt64(9)), RanZone: st.ColumnInt(10)}
			m.History.SetFlags(st.ColumnInt64(8))
			m.History.RecordInterruption()
			if kind := st.ColumnInt64(11); kind >= 0 {
				m.FinalResponse = message.StoredResponse(kind, st.ColumnInt64(12))
			}
			r.Pending = append(r.Pending, m)
		}),
		s.forEachRow(`SELECT name, failed, back FROM endpoint`, func(st *sqlite3.Stmt) {
			e := store.EndpointHealth{FailedAt: message.FromUnixMicros(st.ColumnInt64(1)), RecoveredAt: message.FromUnixMicros(st.ColumnInt64(2))}
			r.EndpointHealth[st.ColumnText(0)] = &e
		}),
		s.forEachRow(`SELECT endpoint, at FROM call ORDER BY n`, func(st *sqlite3.Stmt) {
			name := st.ColumnText(0)
			if r.EndpointHealth[name] == nil {
				r.EndpointHealth[name] = &store.EndpointHealth{}
			}
			r.EndpointHealth[name].CallTimes = append(r.EndpointHealth[name].CallTimes, time.UnixMicro(st.ColumnInt64(1)))
		}),
		s.forEachRow(`SELECT latest FROM meta`, func(st *sqlite3.Stmt) { latest = st.ColumnInt64(0) }),
		// A sequence number is never reused, even after its message was deleted.
		s.forEachRow(`SELECT max(coalesce((SELECT seq FROM sqlite_sequence WHERE name = 'message'), 0), coalesce((SELECT max(seq) FROM answer), 0))`,
			func(st *sqlite3.Stmt) { last = st.ColumnInt64(0) }))
	if err == nil {
		err = s.loadIDs()
	}
	if err == nil {
		r.Names, err = s.mergeNames()
	}
	if err != nil {
		return store.Recovered{}, 0, fmt.Errorf("reading the pending messages: %w", err)
	}
	r.Rebase(message.FromUnixMicros(latest), time.Now())
	return r, policy.MessageID(last), nil
}
