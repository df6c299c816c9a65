package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"wingmount/internal/store/frame"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Kinds of records in the log file. Each record is a frame; the first byte of its payload is the kind.
const (
	recordSnapshot  = byte(iota + 1) // index of the snapshot that the log begins at; the first record
	recordHardState                  // the latest one applies
	recordEntry
)

// readRecords loads the records of a log into memory and returns the length in bytes of its valid part. It returns
// ErrDamaged if the checksum of a frame other than the last one does not match its payload, or if a record is invalid.
//
// A frame whose length was changed to end past the end of the file can't be distinguished from a frame that a crash has
// cut off. The valid part ends before it, and the loss of the hard states and entries after it is not logged.
func (d *disk) readRecords(text []byte, memory *raft.MemoryStorage) (int64, error) {
	rest := text
	for len(rest) > 0 {
		payload, next, err := frame.Next(rest)
		if err != nil {
			if errors.Is(err, frame.ErrChecksum) && !isLastFrame(rest) {
				return 0, fmt.Errorf("%w: at byte %d: %w", ErrDamaged, len(text)-len(rest), err)
			}
			break
		}
		if err := d.readRecord(payload, memory); err != nil {
			return 0, fmt.Errorf("%w: at byte %d: %w", ErrDamaged, len(text)-len(rest), err)
		}
		rest = next
	}
	return int64(len(text) - len(rest)), nil
}

// isLastFrame reports whether data contains nothing after its first frame, which a crash may then have cut off.
func isLastFrame(data []byte) bool {
	size := int64(binary.LittleEndian.Uint32(data))
	return size+frame.HeaderSize >= int64(len(data))
}

// errInvalidRecord reports a record with an unknown kind or with content that is invalid at its position in the log.
var errInvalidRecord = errors.New("invalid record")

// readRecord decodes one record and applies it to memory.
func (d *disk) readRecord(payload []byte, memory *raft.MemoryStorage) error {
	if len(payload) == 0 {
		return errInvalidRecord
	}
	body := payload[1:]
	switch payload[0] {
	case recordSnapshot:
		if len(body) != 8 {
			return errInvalidRecord
		}
		snapshot, err := d.readSnapshot(binary.LittleEndian.Uint64(body))
		if err != nil {
			return err
		}
		return memory.ApplySnapshot(snapshot)
	case recordHardState:
		state := &pb.HardState{}
		if err := proto.Unmarshal(body, state); err != nil {
			return err
		}
		return memory.SetHardState(state)
	case recordEntry:
		return readEntry(body, memory)
	}
	return errInvalidRecord
}

// readEntry appends an entry to memory and replaces the existing entries from its index on.
func readEntry(body []byte, memory *raft.MemoryStorage) error {
	entry := &pb.Entry{}
	if err := proto.Unmarshal(body, entry); err != nil {
		return err
	}
	last, err := memory.LastIndex()
	if err != nil {
		return err
	}
	first, err := memory.FirstIndex()
	if err != nil {
		return err
	}
	if entry.GetIndex() < first || entry.GetIndex() > last+1 {
		return fmt.Errorf("%w: got entry %d, want %d to %d", errInvalidRecord, entry.GetIndex(), first, last+1)
	}
	return memory.Append([]*pb.Entry{entry})
}

// readSnapshot reads the snapshot at index.
func (d *disk) readSnapshot(index uint64) (*pb.Snapshot, error) {
	text, err := os.ReadFile(d.path(snapshotName(index)))
	if err != nil {
		return nil, err
	}
	payload, _, err := frame.Next(text)
	if err != nil {
		return nil, fmt.Errorf("reading snapshot %d: %w", index, err)
	}
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("reading snapshot %d: %w", index, err)
	}
	if snapshot.GetMetadata().GetIndex() != index {
		return nil, fmt.Errorf("%w: the file of snapshot %d has snapshot %d", errInvalidRecord, index, snapshot.GetMetadata().GetIndex())
	}
	return snapshot, nil
}

// appendRecords appends the records of a hard state, unless it is empty, and of entries to text.
func appendRecords(text []byte, state *pb.HardState, entries []*pb.Entry) ([]byte, error) {
	if !raft.IsEmptyHardState(state) {
		body, err := proto.Marshal(state)
		if err != nil {
			return nil, fmt.Errorf("writing the log: %w", err)
		}
		text = appendRecord(text, recordHardState, body)
	}
	for _, entry := range entries {
		body, err := proto.Marshal(entry)
		if err != nil {
			return nil, fmt.Errorf("writing the log: %w", err)
		}
		text = appendRecord(text, recordEntry, body)
	}
	return text, nil
}

func appendRecord(text []byte, kind byte, body []byte) []byte {
	return frame.Append(text, append([]byte{kind}, body...))
}
