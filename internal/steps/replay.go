package steps

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"reflect"
	"wingmount/policy"
)

// Replay replays a recording with the decision module of this build. It calls visit with each step and the actions that
// this build decides in it, and returns the first error of visit. A recording that is cut off is replayed up to there.
func Replay(recording io.Reader, visit func(recorded Step, decided []policy.Action) error) error {
	decoder := gob.NewDecoder(bufio.NewReader(recording))
	var h header
	if err := decoder.Decode(&h); err != nil {
		return fmt.Errorf("reading the head of a record of steps: %w", err)
	}
	if h.Version != formatVersion {
		return fmt.Errorf("a record of version %d, this program reads %d", h.Version, formatVersion)
	}
	sender := policy.New(settingsOf(h.Settings), h.Seed)
	for n := 1; ; n++ {
		var p packed
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("reading step %d of a record: %w", n, err)
		}
		step, err := p.unpack()
		if err != nil {
			return fmt.Errorf("reading step %d of a record: %w", n, err)
		}
		if err := visit(step, sender.Step(step.Now, step.Events, nil)); err != nil {
			return err
		}
	}
}

// sameActions reports whether two lists of actions are equal. An empty list equals nil.
func sameActions(a, b []policy.Action) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}
