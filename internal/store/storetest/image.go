package storetest

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Image copies the files of a folder as a process that is killed now would leave them. A store may be writing
// meanwhile: a file that records how far others have been written is copied before them.
func Image(from, to string) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	files, err := os.ReadDir(from)
	if err != nil {
		return err
	}
	slices.SortStableFunc(files, func(a, b os.DirEntry) int {
		witness := func(f os.DirEntry) int { return strings.Count(f.Name(), "-witness") }
		return witness(b) - witness(a)
	})
	for _, f := range files {
		// Shared memory does not outlast the process.
		if f.IsDir() || filepath.Ext(f.Name()) == ".db-shm" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, f.Name()))
		if errors.Is(err, os.ErrNotExist) {
			continue // removed meanwhile
		}
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, f.Name()), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
