package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/frame"
)

// Failure points of tests: between all changes to the folder.
var (
	beforeWrite  = failpoint.New("store/journal/before-write")
	afterWrite   = failpoint.New("store/journal/after-write")
	afterRoll    = failpoint.New("store/journal/after-roll")
	beforeRemove = failpoint.New("store/journal/before-remove")
)

// segment is one file of the journal.
type segment struct {
	number uint64
	size   int64
}

// segmentPath returns the path of a segment's file.
func segmentPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("journal-%016d", n))
}

// bytesOnDisk returns the bytes that the platform counts for a file of n bytes.
func bytesOnDisk(n int64) int64 { return (n + blockBytes - 1) / blockBytes * blockBytes }

// append writes one record, after compacting segments if there is no capacity for it. Accepted is the message if it is a
// recordAccepted, and nil otherwise. It returns [store.ErrFull] if the folder has no capacity.
func (j *Journal) append(payload []byte, accepted *message.Message) error {
	size := int64(len(payload) + frame.HeaderSize)
	if err := j.ensureCapacity(size); err != nil {
		return err
	}
	return j.write(payload, accepted)
}

// write writes one record to the newest segment, or to a new one if it does not fit.
func (j *Journal) write(payload []byte, accepted *message.Message) error {
	size := int64(len(payload) + frame.HeaderSize)
	if last := &j.segments[len(j.segments)-1]; last.size > 0 && last.size+size > j.maxSegmentBytes {
		if err := j.roll(); err != nil {
			return err
		}
	}
	last := &j.segments[len(j.segments)-1]
	j.buf = frame.Append(j.buf[:0], payload)
	if err := beforeWrite.At(); err != nil {
		return fmt.Errorf("writing the journal: %w", err)
	}
	if n, err := j.file.Write(j.buf); err != nil {
		// A part of the record may be in the file: it is cut off, or the segment ends here, so that later records can be
		// read.
		last.size += int64(n)
		if n > 0 {
			if t := j.file.Truncate(last.size - int64(n)); t == nil {
				last.size -= int64(n)
			} else if r := j.roll(); r != nil {
				err = errors.Join(err, r)
			}
		}
		return fmt.Errorf("writing the journal: %w", err)
	}
	last.size += size
	if accepted != nil {
		j.segmentOf[accepted.Seq] = last.number
	}
	_ = afterWrite.At() // the record is written, so an injected error changes nothing
	return nil
}

// roll starts a new segment.
func (j *Journal) roll() error {
	n := uint64(1)
	if len(j.segments) > 0 {
		n = j.segments[len(j.segments)-1].number + 1
	}
	f, err := os.OpenFile(segmentPath(j.dir, n), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("starting a segment of the journal: %w", err)
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			j.log.Warn("journal: closing a segment failed", "err", err)
		}
	}
	j.file = f
	j.segments = append(j.segments, segment{number: n})
	_ = afterRoll.At() // the segment has begun, so an injected error changes nothing
	return nil
}

// diskSize returns the bytes of the segments, as the platform counts them.
func (j *Journal) diskSize() int64 {
	sum := int64(0)
	for _, s := range j.segments {
		sum += bytesOnDisk(s.size)
	}
	return sum
}

// ensureCapacity compacts the oldest segments until a record of some bytes fits and the capacity of a segment remains: a
// compacted segment and its copies exist together for a moment. It returns [store.ErrFull] if that can't be reached.
func (j *Journal) ensureCapacity(size int64) error {
	for tries := 2 * len(j.segments); j.diskSize()+size+j.maxSegmentBytes+2*blockBytes > j.maxBytes; tries-- {
		if tries <= 0 || len(j.segments) < 2 {
			return store.ErrFull
		}
		if err := j.compact(); err != nil {
			return err
		}
	}
	return nil
}

// compact copies the pending messages of the oldest segment to the newest, and removes the oldest.
func (j *Journal) compact() error {
	oldest := j.segments[0]
	var moved []*message.Message
	for seq, n := range j.segmentOf {
		if n == oldest.number {
			moved = append(moved, j.pending[seq])
		}
	}
	sort.Slice(moved, func(a, b int) bool { return moved[a].Seq < moved[b].Seq })
	for _, m := range moved {
		if err := j.write(acceptedRecord(m), m); err != nil {
			return err
		}
	}
	if err := beforeRemove.At(); err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	if err := os.Remove(segmentPath(j.dir, oldest.number)); err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	j.segments = j.segments[1:]
	for id, a := range j.completed {
		if a.segment <= oldest.number {
			delete(j.completed, id)
		}
	}
	return nil
}

// openSegments opens the segments of a folder, in their order. They stay readable if a node removes them later. It returns
// [os.ErrNotExist] if one is removed before it is opened.
func openSegments(dir string) (files []*os.File, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if _, ok := segmentNumber(e.Name()); !ok {
			continue
		}
		f, err := os.Open(filepath.Join(dir, e.Name()))
		if err != nil {
			closeAll(files)
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// closeAll closes files that were only read; their errors do not matter.
func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// segmentNumber returns the number of a segment by the name of its file, and reports whether it is a segment.
func segmentNumber(name string) (n uint64, ok bool) {
	_, err := fmt.Sscanf(name, "journal-%016d", &n)
	return n, err == nil && filepath.Base(segmentPath("", n)) == name
}
