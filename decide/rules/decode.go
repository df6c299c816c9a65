package rules

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of a body.
const maxDepth = 32

// read returns the values of all declared fields, by variable name, and the cost of reading the body.
func (b *body) read(text []byte) (map[string]any, uint64, *InvalidMessageError) {
	if len(text) > b.maxBytes {
		return nil, 0, invalidBody(fmt.Sprintf("%d bytes, more than the %d that are declared", len(text), b.maxBytes))
	}
	cost := bodyReadCost(len(text))
	if !utf8.Valid(text) {
		return nil, cost, invalidBody("it is not UTF-8")
	}
	if !json.Valid(text) {
		return nil, cost, invalidBody("it is no JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	reader := bodyReader{
		body: b, decoder: decoder, values: make(map[string]any, len(b.fields)+len(variableTypes)), seen: map[string]bool{},
	}
	if err := reader.readBody(); err != nil {
		var invalid *InvalidMessageError
		if !errors.As(err, &invalid) {
			invalid = invalidBody("it is no JSON object: " + err.Error())
		}
		return nil, cost, invalid
	}
	if invalid := reader.addDefaults(); invalid != nil {
		return nil, cost, invalid
	}
	return reader.values, cost, nil
}

func invalidBody(reason string) *InvalidMessageError {
	return &InvalidMessageError{Place: "body", Reason: reason}
}

func invalidMember(name, reason string) *InvalidMessageError {
	return &InvalidMessageError{Place: bodyVariable(name), Reason: reason}
}

// bodyReader reads the declared fields of one body.
type bodyReader struct {
	body    *body
	decoder *json.Decoder
	values  map[string]any  // by variable
	seen    map[string]bool // names of the declared fields, and of the objects that contain them, found so far
}

// readBody reads one JSON object. It returns an error if anything follows the object.
func (r *bodyReader) readBody() error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return errors.New("it is something else")
	}
	if err := r.readObject("", 1); err != nil {
		return err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows it")
	}
	return nil
}

// addDefaults sets each field that is missing or null in the body to its default. It returns an error if a required
// field is missing.
func (r *bodyReader) addDefaults() *InvalidMessageError {
	for _, f := range r.body.fields {
		if _, exists := r.values[f.variable]; exists {
			continue
		}
		if f.defaultValue == nil {
			return f.invalid("it is missing")
		}
		r.values[f.variable] = f.defaultValue
	}
	return nil
}

// readObject reads the members and the closing brace of an object. objectName is "" for the body itself.
func (r *bodyReader) readObject(objectName string, depth int) error {
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // the decoder accepts only strings as names of members
		if objectName != "" {
			name = objectName + "." + name
		}
		if err := r.readMember(name, depth); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

// readMember reads the value of a member: a declared field, an object that contains declared fields, or a value to
// skip.
func (r *bodyReader) readMember(name string, depth int) error {
	f := r.body.field(name)
	if f == nil && !r.body.objects[name] {
		return r.skipValue(depth)
	}
	if r.seen[name] {
		return invalidMember(name, "it is there twice")
	}
	r.seen[name] = true
	if f == nil {
		return r.readNested(name, depth)
	}
	value, err := f.decode(r.decoder)
	if err != nil {
		return err
	}
	if value != nil {
		r.values[f.variable] = value
	}
	return nil
}

// readNested reads an object inside another one. null is treated as an object without members.
func (r *bodyReader) readNested(name string, depth int) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	switch {
	case token == nil:
		return nil
	case token != json.Delim('{'):
		return invalidMember(name, "it is no object")
	case depth >= maxDepth:
		return invalidMember(name, "it is nested too deep")
	}
	return r.readObject(name, depth+1)
}

// skipValue skips a value that is not declared.
func (r *bodyReader) skipValue(depth int) error {
	for open := 0; ; {
		token, err := r.decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			if open++; depth+open > maxDepth {
				return invalidBody("it is nested too deep")
			}
		case json.Delim('}'), json.Delim(']'):
			open--
		}
		if open == 0 {
			return nil
		}
	}
}

// decode reads the value of a field: a string, int64, float64 or bool, a slice of one of them, or nil for null.
func (f *field) decode(decoder *json.Decoder) (any, error) {
	token, err := decoder.Token()
	if err != nil || token == nil {
		return nil, err
	}
	if !f.list {
		return f.convertScalar(token)
	}
	if token != json.Delim('[') {
		return nil, f.invalid("it is no list")
	}
	switch f.scalarType {
	case "string":
		return decodeItems[string](f, decoder)
	case "int":
		return decodeItems[int64](f, decoder)
	case "double":
		return decodeItems[float64](f, decoder)
	}
	return decodeItems[bool](f, decoder)
}

// decodeItems reads the items and the closing bracket of a list. T is the Go type of the field's scalar type.
func decodeItems[T any](f *field, decoder *json.Decoder) (any, error) {
	items := []T{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if len(items) == f.maxItems {
			return nil, f.invalid(fmt.Sprintf("more than %d items", f.maxItems))
		}
		value, err := f.convertScalar(token)
		if err != nil {
			return nil, err
		}
		items = append(items, value.(T))
	}
	_, err := decoder.Token()
	return items, err
}

// convertScalar converts a token to the field's scalar type.
func (f *field) convertScalar(token json.Token) (any, error) {
	switch f.scalarType {
	case "string":
		if text, ok := token.(string); ok {
			return f.checkString(text)
		}
	case "int":
		if number, ok := token.(json.Number); ok {
			value, err := strconv.ParseInt(number.String(), 10, 64)
			if err != nil {
				return nil, f.invalid(fmt.Sprintf("%.40s is no whole number of 64 bits", number))
			}
			return value, nil
		}
	case "double":
		if number, ok := token.(json.Number); ok {
			value, err := number.Float64()
			if err != nil || math.IsInf(value, 0) {
				return nil, f.invalid(fmt.Sprintf("%.40s is out of range", number))
			}
			return value, nil
		}
	case "bool":
		if value, ok := token.(bool); ok {
			return value, nil
		}
	}
	return nil, f.invalid("it is no " + f.scalarType)
}

func (f *field) checkString(text string) (any, error) {
	if n := utf8.RuneCountInString(text); n > f.maxChars {
		return nil, f.invalid(fmt.Sprintf("%d characters, more than %d", n, f.maxChars))
	}
	// The decoder replaces an escape that is not a valid character with U+FFFD, so different strings would become
	// equal.
	if strings.ContainsRune(text, utf8.RuneError) {
		return nil, f.invalid("it holds U+FFFD")
	}
	return text, nil
}

func (f *field) invalid(reason string) *InvalidMessageError {
	return &InvalidMessageError{Place: f.variable, Reason: reason}
}
