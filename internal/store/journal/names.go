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

// namesFile is beside the segments of a node that keeps names. It is a part of MaxBytes, twice: a new one lies beside the old
// one for a moment.
const namesFile = "names.json"

// names reads the names on record, and puts new ones on record before their numbers are used.
func (j *Journal) names(more store.Names) (store.Names, error) {
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
		return have, fmt.Errorf("reading the names of classes and buildings: %s: %w", path, err)
	}
	all := have.With(more)
	if text, err = json.Marshal(all); err == nil {
		j.limit -= 2 * onDisk(int64(len(text)))
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
