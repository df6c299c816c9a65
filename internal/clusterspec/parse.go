package clusterspec

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxBytes is the maximum size of a spec file, and of a change of a spec.
const MaxBytes = 128 << 20

// Load reads a spec file, sets defaults and validates it: see Parse.
func Load(path string) (*Spec, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("reading the world: %w", err)
	}
	if info.Size() > MaxBytes {
		return nil, fmt.Errorf("%s: more than %d bytes", path, MaxBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the world: %w", err)
	}
	spec, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return spec, nil
}

// Parse decodes the text of a spec file (TOML), sets defaults, and validates it. An unknown key is an error. The
// returned error joins up to maxErrors faults.
func Parse(text []byte) (*Spec, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("more than %d bytes", MaxBytes)
	}
	spec := &Spec{}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, withPosition(err)
	}
	spec.setDefaults()
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	return spec, nil
}

// withPosition adds lines and columns to decoder errors.
func withPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, unknown := range strict.Errors[:min(len(strict.Errors), maxErrors)] {
			row, column := unknown.Position()
			key := strings.Join(unknown.Key(), ".")
			errs = append(errs, fmt.Errorf("line %d, column %d: unknown key %s", row, column, key))
		}
		return errors.Join(errs...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, typeError{err})
	}
	return err
}

// typeError wraps a decoder error of any kind. Its text contains the former names of Go types and fields: see
// reportedNames.
type typeError struct{ err error }

func (e typeError) Error() string { return reportedNames.Replace(e.err.Error()) }
func (e typeError) Unwrap() error { return e.err }

// reportedNames replaces names of Go types and fields in decoder errors with their former names. Operators see these
// texts, so renaming the types and fields must not change them.
var reportedNames = strings.NewReplacer(
	"clusterspec.Endpoint.Zone of", "control.Endpoint.Building of",
	"clusterspec.Endpoint.Draining of", "control.Endpoint.Drains of",
	"clusterspec.Spec.", "control.World.",
	"clusterspec.", "control.",
)
