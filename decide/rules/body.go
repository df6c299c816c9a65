package rules

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/google/cel-go/cel"
)

// Defaults of sizes that a declaration does not set.
const (
	defaultMaxBodyBytes = 4096
	defaultStringChars  = 64
	defaultListItems    = 16
)

// bytesPerUnit is the number of body bytes that can be read at a cost of one unit.
const bytesPerUnit = 10

var (
	fieldName = regexp.MustCompile(`^[a-zA-Z_][a-zA-Z0-9_]*(\.[a-zA-Z_][a-zA-Z0-9_]*){0,7}$`)
	wordName  = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9_-]{0,31}$`)
)

// scalarTypes contains the types of list items, and of fields other than lists, by their names in the file.
var scalarTypes = map[string]*cel.Type{
	"string": cel.StringType, "int": cel.IntType, "double": cel.DoubleType, "bool": cel.BoolType,
}

// body is the compiled declaration of the JSON body of one kind of message.
type body struct {
	maxBytes   int
	fields     []*field
	fieldIndex map[string]int  // in fields, by name
	objects    map[string]bool // names of objects that contain declared fields
}

// field is a declared field.
type field struct {
	name         string // path in the body
	variable     string // name in expressions
	celType      *cel.Type
	scalarType   string // of the value, or of a list's items
	list         bool
	maxItems     int // of a list
	maxChars     int // of a string, or of a string in a list
	defaultValue any // nil if the field is required
}

// bodyVariable returns the name that expressions use for a field.
func bodyVariable(fieldName string) string { return "body." + fieldName }

// field returns the field with a name, or nil.
func (b *body) field(name string) *field {
	index, exists := b.fieldIndex[name]
	if !exists {
		return nil
	}
	return b.fields[index]
}

// costBound returns the highest cost of reading a body, in cost units.
func (b *body) costBound() uint64 { return bodyReadCost(b.maxBytes) }

// bodyReadCost returns the cost of reading a body, in cost units.
func bodyReadCost(bytes int) uint64 { return uint64((bytes + bytesPerUnit - 1) / bytesPerUnit) }

// newBody compiles the declaration of a body. It reports all errors, and omits fields without a valid name and type.
func newBody(m MessageSpec, report reportFunc) *body {
	b := &body{maxBytes: m.MaxBody, fieldIndex: map[string]int{}, objects: map[string]bool{}}
	if b.maxBytes == 0 {
		b.maxBytes = defaultMaxBodyBytes
	}
	if b.maxBytes < 1 || b.maxBytes > MaxBodyBytes {
		report("max_body", "%d is not between 1 and %d", m.MaxBody, MaxBodyBytes)
	}
	if len(m.Fields) > MaxFields {
		report("field", "got %d, want at most %d", len(m.Fields), MaxFields)
		return b
	}
	for _, spec := range m.Fields {
		b.addField(spec, report)
	}
	b.addObjects(report)
	return b
}

// addField checks the declaration of a field and adds the field.
func (b *body) addField(spec FieldSpec, report reportFunc) {
	where := fmt.Sprintf("field %q", spec.Name)
	if !fieldName.MatchString(spec.Name) {
		report(where, "name: must be at most eight words of letters, digits and _, separated by dots")
		return
	}
	if b.field(spec.Name) != nil {
		report(where, "duplicate name")
		return
	}
	f := &field{name: spec.Name, variable: bodyVariable(spec.Name)}
	if !f.setType(spec.Type) {
		report(where, "unknown type %q, want string, int, double, bool or list(one of them)", spec.Type)
		return
	}
	f.setSizes(spec, where, report)
	if spec.Default != nil {
		value, err := f.parseDefault(spec.Default)
		if err != nil {
			report(where, "default: %v", err)
		}
		f.defaultValue = value
	}
	b.fieldIndex[spec.Name] = len(b.fields)
	b.fields = append(b.fields, f)
}

// addObjects adds the names of the objects that contain declared fields. It reports objects that are also declared as
// fields.
func (b *body) addObjects(report reportFunc) {
	for _, f := range b.fields {
		for i := range f.name {
			if f.name[i] != '.' {
				continue
			}
			object := f.name[:i]
			if b.field(object) != nil {
				report(fmt.Sprintf("field %q", f.name), "%q is also declared as a field", object)
			}
			b.objects[object] = true
		}
	}
}

// setType sets the type of a field. It returns false if the type is unknown.
func (f *field) setType(name string) bool {
	f.scalarType = name
	if item, isList := strings.CutPrefix(name, "list("); isList && strings.HasSuffix(item, ")") {
		f.list, f.scalarType = true, strings.TrimSuffix(item, ")")
	}
	f.celType = scalarTypes[f.scalarType]
	if f.celType == nil {
		return false
	}
	if f.list {
		f.celType = cel.ListType(f.celType)
	}
	return true
}

// setSizes checks and sets the maximum sizes of a field.
func (f *field) setSizes(spec FieldSpec, where string, report reportFunc) {
	size := func(setting string, given, defaultSize, limit int) int {
		if given < 0 || given > limit {
			report(where, "%s: %d is not between 1 and %d", setting, given, limit)
		}
		if given == 0 {
			return defaultSize
		}
		return given
	}
	if f.list {
		f.maxItems = size("max", spec.Max, defaultListItems, MaxListItems)
		f.maxChars = size("max_item", spec.MaxItem, defaultStringChars, MaxStringChars)
	} else {
		f.maxChars = size("max", spec.Max, defaultStringChars, MaxStringChars)
		if spec.MaxItem != 0 {
			report(where, "max_item is only allowed for lists")
		}
	}
	if f.scalarType != "string" && (spec.MaxItem != 0 || spec.Max != 0 && !f.list) {
		report(where, "max is only allowed for strings and lists, max_item only for lists of strings")
	}
}

// parseDefault converts the default of a field as decode converts a value in a body.
func (f *field) parseDefault(value any) (any, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	parsed, err := f.decode(decoder)
	if err == nil && parsed == nil {
		err = errors.New("must not be null")
	}
	return parsed, err
}
