package sqlite

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
)

// witness is a small file next to the database that contains the number of its commits. It lets the store detect lost
// commits: SQLite accepts a truncated WAL, as a crash may leave it, and an older copy of the database as valid, so that the
// missing messages would be lost without notice.
//
// The witness is written after each commit, without a sync. It survives the end of the process, but may lack the last
// commits after a crash of the machine. Its fields are a magic number, the number of commits, the boot ID and a CRC-32.
type witness struct{ f *os.File }

const (
	witnessMagic = 0x7773656e // 'wsen'
	witnessSize  = 24
)

// bootID returns a number that identifies the current boot of the machine, or 0 if it is unknown.
func bootID() uint64 {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(text) // never fails
	return h.Sum64()
}

// openWitness opens the witness, or creates it, and reads it; commits and boot are 0 if it is new or torn.
func openWitness(path string) (w *witness, commits int64, boot uint64, err error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("opening the witness: %w", err)
	}
	commits, boot = readWitness(path)
	return &witness{f: f}, commits, boot, nil
}

// readWitness reads the witness; commits and boot are 0 if it does not exist, is new or torn.
func readWitness(path string) (commits int64, boot uint64) {
	b, err := os.ReadFile(path)
	if err != nil || len(b) < witnessSize {
		return 0, 0
	}
	if binary.LittleEndian.Uint32(b) != witnessMagic || crc32.ChecksumIEEE(b[:20]) != binary.LittleEndian.Uint32(b[20:]) {
		return 0, 0
	}
	return int64(binary.LittleEndian.Uint64(b[4:])), binary.LittleEndian.Uint64(b[12:])
}

func (w *witness) write(commits int64, boot uint64) error {
	var b [witnessSize]byte
	binary.LittleEndian.PutUint32(b[:], witnessMagic)
	binary.LittleEndian.PutUint64(b[4:], uint64(commits))
	binary.LittleEndian.PutUint64(b[12:], boot)
	binary.LittleEndian.PutUint32(b[20:], crc32.ChecksumIEEE(b[:20]))
	if _, err := w.f.WriteAt(b[:], 0); err != nil {
		return fmt.Errorf("writing the witness: %w", err)
	}
	return nil
}

func (w *witness) close() error { return w.f.Close() }

// errLostCommits is returned for a database that has fewer commits than its witness.
var errLostCommits = errors.New("the database has lost commits")
