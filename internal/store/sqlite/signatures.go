package sqlite

import "math/bits"

const (
	// signatureBits is the number of bits that a segment's column has for each of its ids, and signatureKeys the number of
	// bits that an id sets. The rate of false positives is 1 in 1,700: of the ids that are not in a segment, one in 1,700
	// matches its column.
	signatureBits = 16
	signatureKeys = 8
	// columns is the number of columns in a block: the bits of a row.
	columns = 64
)

// signatures is a bit-sliced set of Bloom filters, one for each segment. Each row has one bit for each of 64 segments, so a
// lookup in all 64 reads the same signatureKeys rows. With separate filters, each segment would cost signatureKeys cache
// misses.
type signatures struct {
	mask   uint64 // number of rows in a block minus 1; the number is a power of two
	blocks []*block
}

// block contains the filters of up to 64 segments.
type block struct {
	rows []uint64
	used uint64 // bit set of the assigned columns
}

// column is the position of a segment's filter.
type column struct{ block, bit int }

// newSignatures returns filters for segments with the given number of ids.
func newSignatures(ids int) signatures {
	return signatures{mask: 1<<bits.Len(uint(max(1, ids)*signatureBits-1)) - 1}
}

// row returns the index of the i-th row of a hash.
func (s *signatures) row(hash uint64, i uint64) uint64 { return (hash + i*(hash>>32|1)) & s.mask }

// add assigns a column to a segment with the given hashes, and returns it.
func (s *signatures) add(hashes []uint64) column {
	at := 0
	for at < len(s.blocks) && s.blocks[at].used == 1<<columns-1 {
		at++
	}
	if at == len(s.blocks) {
		s.blocks = append(s.blocks, &block{rows: make([]uint64, s.mask+1)})
	}
	b := s.blocks[at]
	c := column{at, bits.TrailingZeros64(^b.used)}
	b.used |= 1 << c.bit
	for _, h := range hashes {
		for i := range uint64(signatureKeys) {
			b.rows[s.row(h, i)] |= 1 << c.bit
		}
	}
	return c
}

// remove frees a column, and releases unused blocks at the end of the list.
func (s *signatures) remove(c column) {
	b := s.blocks[c.block]
	b.used &^= 1 << c.bit
	if b.used != 0 {
		for i := range b.rows {
			b.rows[i] &^= 1 << c.bit
		}
		return
	}
	clear(b.rows)
	for n := len(s.blocks); n > 0 && s.blocks[n-1].used == 0; n-- {
		s.blocks = s.blocks[:n-1]
	}
}

// find appends, for each block, a bit set of the columns that may contain a hash.
func (s *signatures) find(hash uint64, to []uint64) []uint64 {
	for _, b := range s.blocks {
		matches := b.used
		for i := range uint64(signatureKeys) {
			matches &= b.rows[s.row(hash, i)]
		}
		to = append(to, matches)
	}
	return to
}
