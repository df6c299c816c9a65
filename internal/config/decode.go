package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decode decodes TOML into a struct. An unknown key is an error.
func decode(text []byte, into any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return addPosition(err)
	}
	return nil
}

// addPosition adds lines and columns to decoder errors.
func addPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for _, e := range strict.Errors {
			row, col := e.Position()
			errs = append(errs, fmt.Errorf("line %d, column %d: unknown key %s", row, col, strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, col := e.Position()
		return fmt.Errorf("line %d, column %d: %w", row, col, typeError{err})
	}
	return err
}

// typeError wraps a decoder error of any kind. Its text contains the former names of struct fields: see reportedFields.
type typeError struct{ err error }

func (e typeError) Error() string { return reportedFields.Replace(e.err.Error()) }
func (e typeError) Unwrap() error { return e.err }

// reportedFields replaces the names of struct fields in decoder errors with their former names. Operators see these
// texts, so renaming the fields must not change them.
var reportedFields = strings.NewReplacer(
	"struct field config.Limits.MaxInFlight of", "struct field config.Limits.Held of",
	"struct field config.Partners.InitialCapacity of", "struct field config.Partners.ColdShare of",
	"struct field config.Class.Value of", "struct field config.Class.Worth of",
	"struct field config.Class.LateValue of", "struct field config.Class.LateWorth of",
	"struct field config.Control.SpecFile of", "struct field config.Control.World of",
	"struct field rules.Spec.OnInvalid of", "struct field rules.Spec.Misfit of",
	"struct field rules.ExampleSpec.WantInvalid of", "struct field rules.ExampleSpec.Misfit of",
)
