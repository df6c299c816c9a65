package sqlite

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/policy"

	"github.com/cespare/xxhash/v2"
	"github.com/ncruces/go-sqlite3"
)

// Each Accept checks whether its id already has a final response on record. An index of ids in the file would write one
// random page of a large tree for each response. Responses are therefore stored in segments, in the order of their sequence
// numbers, and their ids are looked up in memory: ids of the open segment in a hash table, and ids of sealed segments in a
// Bloom filter. If a filter matches, one row of the table bucket contains the sequence numbers for the hash, and the ids of
// their responses are compared.

const (
	// maxSegmentResponses is the number of responses in a segment. A response uses 2 bytes of memory in a sealed segment, and
	// about 40 bytes in the open one.
	maxSegmentResponses = 1 << 16
	// bucketBits is the number of leading bits of a hash that select its bucket. A bucket of a full segment is expected to
	// have 32 entries of 16 bytes, which is well below the size of a page.
	bucketBits = 11
	// entryBytes is the size of an encoded entry: its hash and its sequence number, 8 bytes each.
	entryBytes = 16
)

var duringSeal = failpoint.New("store/sqlite/during-seal")

// entry identifies a final response by the hash of its id and its sequence number.
type entry struct {
	hash uint64
	seq  int64
}

// segment is a sealed segment of final responses.
type segment struct {
	n        int64 // number of the segment
	retained int64 // number of its responses that are still on record
	column   column
}

// idIndex finds final responses on record by the hash of their ids. Only the queue's writer goroutine uses it.
type idIndex struct {
	segmentSize int       // number of responses in a full segment
	seed        uint64    // of the hash, random for each file, so that clients can't choose ids that collide
	openSegment int64     // number of the open segment
	recent      hashTable // responses of the open segment
	uncommitted hashTable // responses of the transaction in progress
	sealed      []segment
	filter      signatures // of the sealed segments
	candidates  []uint64   // reused buffer for the results of filter.find
}

// hashTable finds entries by their hash. Several entries may have the same hash.
type hashTable struct {
	first map[uint64]int64
	more  []entry // further entries of hashes that are in first
}

func (t *hashTable) add(e entry) {
	if t.first == nil {
		t.first = map[uint64]int64{}
	}
	if _, ok := t.first[e.hash]; ok {
		t.more = append(t.more, e)
		return
	}
	t.first[e.hash] = e.seq
}

// remove removes an entry if the table contains it.
func (t *hashTable) remove(e entry) {
	if seq, ok := t.first[e.hash]; ok && seq == e.seq {
		delete(t.first, e.hash)
		for i, m := range t.more {
			if m.hash == e.hash {
				t.first[m.hash] = m.seq
				t.more = slices.Delete(t.more, i, i+1)
				return
			}
		}
		return
	}
	t.more = slices.DeleteFunc(t.more, func(m entry) bool { return m == e })
}

// find appends the sequence numbers of the entries with a hash, and returns the extended slice.
func (t *hashTable) find(hash uint64, to []int64) []int64 {
	if seq, ok := t.first[hash]; ok {
		to = append(to, seq)
		for _, m := range t.more {
			if m.hash == hash {
				to = append(to, m.seq)
			}
		}
	}
	return to
}

func (t *hashTable) len() int { return len(t.first) + len(t.more) }

func (t *hashTable) entries() []entry {
	all := make([]entry, 0, t.len())
	for hash, seq := range t.first {
		all = append(all, entry{hash, seq})
	}
	return append(all, t.more...)
}

func (x *idIndex) hash(id string) uint64 {
	d := xxhash.NewWithSeed(x.seed)
	_, _ = d.WriteString(id) // never fails
	return d.Sum64()
}

// begin is called before each transaction. It discards the ids that a failed transaction has added.
func (x *idIndex) begin() { x.uncommitted = hashTable{} }

// commit is called after each committed transaction. It moves the ids that the transaction has added to the open segment.
func (x *idIndex) commit() {
	for _, e := range x.uncommitted.entries() {
		x.recent.add(e)
	}
	x.uncommitted = hashTable{}
}

// loadIDs reads the segments of a file, and seals full segments that a migration has left unsealed.
func (s *backend) loadIDs() error {
	seed, err := queryInt(s.conn, "SELECT seed FROM meta")
	if err != nil {
		return err
	}
	x := &s.ids
	x.segmentSize, x.seed, x.openSegment = cmp.Or(s.cfg.segment, maxSegmentResponses), uint64(seed), 0
	x.filter = newSignatures(x.segmentSize)
	firstUnsealed := int64(0)
	if err := s.forEachRow("SELECT n, kept, next FROM segment ORDER BY n", func(st *sqlite3.Stmt) {
		x.sealed = append(x.sealed, segment{n: st.ColumnInt64(0), retained: st.ColumnInt64(1)})
		firstUnsealed = st.ColumnInt64(2)
	}); err != nil {
		return err
	}
	for i := range x.sealed {
		g := &x.sealed[i]
		var hashes []uint64
		if err := s.forEachRow(fmt.Sprintf("SELECT entries FROM bucket WHERE segment = %d", g.n), func(st *sqlite3.Stmt) {
			for b := st.ColumnRawBlob(0); len(b) >= entryBytes; b = b[entryBytes:] {
				hashes = append(hashes, binary.LittleEndian.Uint64(b))
			}
		}); err != nil {
			return err
		}
		g.column = x.filter.add(hashes)
		x.openSegment = g.n + 1
	}
	// Read the responses that are not in a sealed segment. A migration has numbered the segments in the order of the
	// responses' sequence numbers.
	st, _, err := s.conn.Prepare("SELECT seq, id, segment FROM answer WHERE seq >= ?1 AND segment >= ?2 ORDER BY seq")
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	if err := bind(st, firstUnsealed, x.openSegment); err != nil {
		return err
	}
	for st.Step() {
		if n := st.ColumnInt64(2); n > x.openSegment {
			if x.recent.len() > 0 {
				if err := s.seal(st.ColumnInt64(0)); err != nil {
					return err
				}
			}
			x.openSegment = n
		}
		x.recent.add(entry{x.hash(st.ColumnText(1)), st.ColumnInt64(0)})
	}
	return st.Err()
}

// seal writes the buckets of the open segment in a separate transaction, and opens the next segment. next must not exceed
// the sequence number of any response of a later segment: loadIDs reads the unsealed responses from there.
func (s *backend) seal(next int64) (err error) {
	x := &s.ids
	all := x.recent.entries()
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.seq, b.seq)) })
	hashes := make([]uint64, len(all))
	for i, e := range all {
		hashes[i] = e.hash
	}
	if err := s.begin(); err != nil {
		return err
	}
	defer func() {
		if err != nil && !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
	}()
	if err := exec(s.st.segment, x.openSegment, len(all), next); err != nil {
		return err
	}
	for i := 0; i < len(all); {
		bucket := all[i].hash >> (64 - bucketBits)
		var b []byte
		for ; i < len(all) && all[i].hash>>(64-bucketBits) == bucket; i++ {
			b = binary.LittleEndian.AppendUint64(b, all[i].hash)
			b = binary.LittleEndian.AppendUint64(b, uint64(all[i].seq))
		}
		if err := exec(s.st.bucket, x.openSegment, int64(bucket), b); err != nil {
			return err
		}
	}
	if err := duringSeal.At(); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return err
	}
	x.sealed = append(x.sealed, segment{x.openSegment, int64(len(all)), x.filter.add(hashes)})
	x.openSegment++
	x.recent = hashTable{}
	return nil
}

// findResponse returns the final response of an id, or nil if none is on record.
func (s *backend) findResponse(id string) (*message.FinalResponse, error) {
	seqs, err := s.seqsWithHash(s.ids.hash(id))
	if err != nil {
		return nil, err
	}
	for _, seq := range seqs {
		response, err := s.responseBySeq(seq, id)
		if err != nil || response != nil {
			return response, err
		}
	}
	return nil, nil
}

// seqsWithHash returns the sequence numbers of the responses whose ids have a hash.
func (s *backend) seqsWithHash(h uint64) ([]int64, error) {
	x := &s.ids
	seqs := x.recent.find(h, x.uncommitted.find(h, nil))
	x.candidates = x.filter.find(h, x.candidates[:0])
	for _, g := range x.sealed {
		if x.candidates[g.column.block]&(1<<g.column.bit) == 0 {
			continue
		}
		st := s.st.bucketEntries
		if err := bind(st, g.n, int64(h>>(64-bucketBits))); err != nil {
			return nil, err
		}
		if st.Step() {
			for b := st.ColumnRawBlob(0); len(b) >= entryBytes; b = b[entryBytes:] {
				if binary.LittleEndian.Uint64(b) == h {
					seqs = append(seqs, int64(binary.LittleEndian.Uint64(b[8:])))
				}
			}
		}
		if err := st.Reset(); err != nil {
			return nil, err
		}
	}
	return seqs, nil
}

// responseBySeq returns the final response with a sequence number. It returns nil if there is none or its id differs.
func (s *backend) responseBySeq(seq int64, id string) (*message.FinalResponse, error) {
	st := s.st.findResponse
	if err := bind(st, seq); err != nil {
		return nil, err
	}
	var response *message.FinalResponse
	if st.Step() && st.ColumnText(0) == id {
		response = message.StoredResponse(st.ColumnInt64(1), st.ColumnInt64(2))
	}
	return response, st.Reset()
}

// expiredResponse is a final response whose retention has ended, to be deleted by a sweep.
type expiredResponse struct {
	seq, segment int64
	hash         uint64
}

// deleteResponses deletes responses, and segments without remaining responses, in the current transaction. The caller must
// call applyDeletions, which updates the index in memory, after the transaction is committed.
func (s *backend) deleteResponses(expired []expiredResponse) (applyDeletions func(), err error) {
	x := &s.ids
	deleted := map[int64]int64{} // number of responses by segment
	for _, o := range expired {
		if err := exec(s.st.deleteResponse, o.seq); err != nil {
			return nil, err
		}
		deleted[o.segment]++
	}
	for _, g := range x.sealed {
		n := deleted[g.n]
		if n == 0 {
			continue
		}
		if g.retained-n > 0 {
			err = exec(s.st.reduceRetained, g.n, n)
		} else if err = exec(s.st.deleteSegment, g.n); err == nil {
			err = exec(s.st.deleteBuckets, g.n)
		}
		if err != nil {
			return nil, err
		}
	}
	return func() {
		for i := range x.sealed {
			if x.sealed[i].retained -= deleted[x.sealed[i].n]; x.sealed[i].retained <= 0 {
				x.filter.remove(x.sealed[i].column)
			}
		}
		x.sealed = slices.DeleteFunc(x.sealed, func(g segment) bool { return g.retained <= 0 })
		for _, o := range expired {
			if o.segment == x.openSegment {
				x.recent.remove(entry{o.hash, o.seq})
			}
		}
	}, nil
}

// add adds the id of a message whose final response is recorded by the current transaction.
func (x *idIndex) add(id string, seq policy.MessageID) {
	x.uncommitted.add(entry{x.hash(id), int64(seq)})
}
