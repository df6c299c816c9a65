package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"wingmount/internal/store"
)

// namesFile is beside the segments of a node that persists names. It counts twice for MaxBytes: for a moment a new file
// exists beside the old one.
const namesFile = "names.json"

// unknownClass is the class of a message if the name of its class is lost.
const unknownClass = -1

// loadNames reads the names on record, and persists new ones before their numbers are used. If the file can't be read the
// node starts nevertheless, with new names: the pending messages then have the unknown class.
func (j *Journal) loadNames(more store.Names) (store.Names, error) {
	var have store.Names
	if len(more.Classes)+len(more.Zones) == 0 {
		return have, nil
	}
	path := filepath.Join(j.dir, namesFile)
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &have)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		j.log.Error("journal: names unreadable, pending messages lose their classes", "file", path, "err", err)
		j.faults = append(j.faults, fmt.Sprintf("%s: unreadable: %v", namesFile, err))
		have = store.Names{}
		for _, m := range j.pending {
			m.Class = unknownClass
		}
	}
	all := have.Extend(more)
	if text, err = json.Marshal(all); err == nil {
		j.maxBytes -= 2 * bytesOnDisk(int64(len(text)))
		if reflect.DeepEqual(all, have) {
			return all, nil
		}
		if err = os.WriteFile(path+".part", text, 0o600); err == nil {
			err = os.Rename(path+".part", path)
		}
	}
	if err != nil {
		return have, fmt.Errorf("writing the names of classes and buildings: %w", err)
	}
	return all, nil
}
