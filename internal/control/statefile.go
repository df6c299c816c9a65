package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// maxStateBytes is the maximum size of a state file.
const maxStateBytes = 1 << 20

// ErrLocked reports that a file is locked, by this process or another.
var ErrLocked = errors.New("locked by another process")

// lockFile locks a file, and creates it if it does not exist. The lock ends when the file is closed or the process
// exits.
func lockFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening lock file: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	return file, nil
}

// readState decodes a JSON file into a value. If the file does not exist, the value is unchanged.
func readState(path string, into any) error {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading the state: %w", err)
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	text, err := io.ReadAll(io.LimitReader(file, maxStateBytes+1))
	if err != nil {
		return fmt.Errorf("reading the state: %w", err)
	}
	if len(text) > maxStateBytes {
		return fmt.Errorf("state file %s exceeds %d bytes", path, maxStateBytes)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decoding state file %s: %w", path, err)
	}
	return nil
}

// writeState writes a value atomically as a JSON file. The file is on disk when writeState returns without an error.
func writeState(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	temporary := path + ".next"
	if err := writeSynced(temporary, append(text, '\n')); err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	return syncFolder(filepath.Dir(path))
}

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	return errors.Join(err, file.Sync(), file.Close())
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}
