package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"wingmount/internal/store/frame"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// File names in a member's folder. The name of a snapshot ends with its index in hexadecimal.
const (
	logName        = "quorum.log"
	snapshotPrefix = "quorum.snapshot-"
	nextSuffix     = ".next"
)

// disk stores a member's log and snapshots in its folder. Its methods are called by one goroutine.
type disk struct {
	dir  string
	file logFile
	size int64 // length of the log file in bytes
	// create opens a file for writing. Tests may replace it to inject faults.
	create func(path string) (logFile, error)
}

// logFile is the subset of *os.File that disk uses.
type logFile interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// storedLog is the log read from a folder. Empty reports that the folder has no log file.
type storedLog struct {
	memory *raft.MemoryStorage
	empty  bool
}

// openDisk opens a folder, creates it if it does not exist, and reads its log. It truncates the log after the valid
// part (see readRecords) and does not log the truncation. A frame that a crash has cut off was never acknowledged. If
// the length field of a frame is damaged, the acknowledged records after it are lost: if committed entries are among
// them, the member stops with ErrRegressed when a heartbeat of the leader reports them as committed.
func openDisk(dir string) (*disk, storedLog, error) {
	d := &disk{dir: dir, create: createFile}
	stored := storedLog{memory: raft.NewMemoryStorage(), empty: true}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, stored, fmt.Errorf("opening the log: %w", err)
	}
	text, err := os.ReadFile(d.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return d, stored, nil
	}
	if err != nil {
		return nil, stored, fmt.Errorf("opening the log: %w", err)
	}
	stored.empty = false
	validBytes, err := d.readRecords(text, stored.memory)
	if err != nil {
		return nil, stored, err
	}
	if validBytes < int64(len(text)) {
		if err := os.Truncate(d.path(logName), validBytes); err != nil {
			return nil, stored, fmt.Errorf("opening the log: %w", err)
		}
	}
	file, err := os.OpenFile(d.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, stored, fmt.Errorf("opening the log: %w", err)
	}
	d.file, d.size = file, validBytes
	return d, stored, errors.Join(file.Sync(), d.removeStaleSnapshots(stored.memory))
}

func createFile(path string) (logFile, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

func (d *disk) path(name string) string { return filepath.Join(d.dir, name) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// writeSnapshot writes a snapshot. The log refers to it only after replaceLog.
func (d *disk) writeSnapshot(snapshot *pb.Snapshot) error {
	text, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return d.writeFile(snapshotName(snapshot.GetMetadata().GetIndex()), frame.Append(nil, text))
}

// replaceLog writes a new log that begins at a snapshot on disk, and removes all other snapshots.
func (d *disk) replaceLog(snapshot uint64, state *pb.HardState, entries []*pb.Entry) error {
	text := appendRecord(nil, recordSnapshot, binary.LittleEndian.AppendUint64(nil, snapshot))
	text, err := appendRecords(text, state, entries)
	if err != nil {
		return err
	}
	if err := d.writeFile(logName, text); err != nil {
		return err
	}
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			return fmt.Errorf("writing the log: %w", err)
		}
	}
	file, err := os.OpenFile(d.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("writing the log: %w", err)
	}
	d.file, d.size = file, int64(len(text))
	return d.removeSnapshotsExcept(snapshot)
}

// writeFile replaces a file atomically and syncs it and the folder before it returns.
func (d *disk) writeFile(name string, text []byte) error {
	next := d.path(name + nextSuffix)
	file, err := d.create(next)
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	_, err = file.Write(text)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	if err := os.Rename(next, d.path(name)); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	dir, err := os.Open(d.dir)
	if err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// removeStaleSnapshots removes snapshots that the log does not refer to, such as one left by a crash before replaceLog.
func (d *disk) removeStaleSnapshots(memory *raft.MemoryStorage) error {
	snapshot, err := memory.Snapshot()
	if err != nil {
		return err
	}
	return d.removeSnapshotsExcept(snapshot.GetMetadata().GetIndex())
}

// removeSnapshotsExcept removes all snapshots except the one at index.
func (d *disk) removeSnapshotsExcept(index uint64) error {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return fmt.Errorf("removing snapshots: %w", err)
	}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasPrefix(name, snapshotPrefix) || name == snapshotName(index) {
			continue
		}
		if err := os.Remove(d.path(name)); err != nil {
			return fmt.Errorf("removing snapshots: %w", err)
		}
	}
	return nil
}

// append appends a hard state and entries to the log file, and syncs it if sync is set.
func (d *disk) append(state *pb.HardState, entries []*pb.Entry, sync bool) error {
	if raft.IsEmptyHardState(state) && len(entries) == 0 {
		return nil
	}
	if d.file == nil { // a member that has not been added yet has no log file
		if err := d.writeFile(logName, nil); err != nil {
			return err
		}
		file, err := os.OpenFile(d.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return fmt.Errorf("writing the log: %w", err)
		}
		d.file = file
	}
	text, err := appendRecords(nil, state, entries)
	if err != nil {
		return err
	}
	if _, err := d.file.Write(text); err != nil {
		return fmt.Errorf("writing the log: %w", err)
	}
	d.size += int64(len(text))
	if !sync {
		return nil
	}
	if err := d.file.Sync(); err != nil {
		return fmt.Errorf("writing the log: %w", err)
	}
	return nil
}

func (d *disk) close() error {
	if d.file == nil {
		return nil
	}
	return d.file.Close()
}
