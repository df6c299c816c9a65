package ruleset

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecordBytes is the maximum size of a record that is read, in bytes: two rule files, escaped as JSON.
	maxRecordBytes = 16 << 20
	// recordVersion is the version of the record's format.
	recordVersion = 1
	// recordMode is the file mode of a record.
	recordMode = 0o600
)

// record is the content of the file that persists the active rule set. During a change it contains the previous and the
// active rule set, in this order.
type record struct {
	Version  int      `json:"form"` // recordVersion
	Texts    []string `json:"sets"` // an empty text represents a set without rules
	Checksum uint64   `json:"sum"`  // of the texts
}

func checksum(texts []string) uint64 {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = fmt.Fprintf(digest, "%d:", len(text)) // writing to a digest never fails
		_, _ = digest.WriteString(text)
	}
	return digest.Sum64()
}

// valid reports whether the record was written by this version and is undamaged.
func (r *record) valid() bool {
	return r.Version == recordVersion && len(r.Texts) >= 1 && len(r.Texts) <= 2 && r.Checksum == checksum(r.Texts)
}

// readActiveRules returns the texts of the persisted rule sets, or nil if there is no record.
func readActiveRules(path string) ([]string, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the record of active rules: %w", err)
	}
	if info.Size() > maxRecordBytes {
		return nil, fmt.Errorf("reading the record of active rules: %s has %d bytes, want at most %d", path, info.Size(), maxRecordBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the record of active rules: %w", err)
	}
	var r record
	if err := json.Unmarshal(content, &r); err != nil {
		return nil, fmt.Errorf("reading the record of active rules: %s: %w", path, err)
	}
	if !r.valid() {
		return nil, fmt.Errorf("reading the record of active rules: %s is corrupt or has an unsupported format", path)
	}
	return r.Texts, nil
}

// writeActiveRules replaces the record. The new record is durable when writeActiveRules returns nil. After an error or
// a crash the file is either the old or the new record.
func writeActiveRules(path string, texts []string) error {
	content, err := json.Marshal(record{Version: recordVersion, Texts: texts, Checksum: checksum(texts)})
	if err == nil {
		err = replaceFile(path, content)
	}
	if err != nil {
		return fmt.Errorf("writing the record of active rules: %w", err)
	}
	return nil
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames it, and syncs the folder.
func replaceFile(path string, content []byte) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close(), afterWrite.At()); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	if err := afterRename.At(); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
