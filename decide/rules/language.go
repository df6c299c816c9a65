package rules

import (
	"fmt"
	"strings"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/types"
	"github.com/google/cel-go/common/types/ref"
)

const (
	// maxRecursion is the maximum nesting depth of an expression.
	maxRecursion = 64
	// keyFunction is the name of the function that computes a key from a literal tag and parts.
	keyFunction = "key"
	// maxKeyParts is the maximum number of parts of a key.
	maxKeyParts = 6
)

// Overloads of the string functions that rules add to CEL.
const (
	lowerOverload = "rules_lower"
	upperOverload = "rules_upper"
	trimOverload  = "rules_trim"
	leftOverload  = "rules_left"
)

// keyOverloads contains the overloads of the function key, for 1 to maxKeyParts parts.
var keyOverloads = func() []string {
	ids := make([]string, maxKeyParts)
	for i := range ids {
		ids[i] = fmt.Sprintf("rules_key_%d", i+1)
	}
	return ids
}()

// variableTypes contains the types of the variables that every message has in addition to its body's fields.
var variableTypes = map[string]*cel.Type{
	"msg.id": cel.StringType, "msg.key": cel.StringType, "msg.class": cel.StringType,
	"msg.dest": cel.IntType, "msg.size": cel.IntType,
}

// newEnvironment returns the CEL environment for expressions about one kind of message.
func newEnvironment(b *body) (*cel.Env, error) {
	options := []cel.EnvOption{
		cel.StdLib(),
		cel.Macros(cel.ExistsMacro, cel.AllMacro, cel.ExistsOneMacro, cel.MapMacro, cel.MapFilterMacro, cel.FilterMacro),
		cel.ParserExpressionSizeLimit(MaxExpressionChars),
		cel.ParserRecursionLimit(maxRecursion),
		stringFunction("lower", lowerOverload, mapASCIILetters('A', 'a')),
		stringFunction("upper", upperOverload, mapASCIILetters('a', 'A')),
		stringFunction("trim", trimOverload, strings.TrimSpace),
		cel.Function("left", cel.MemberOverload(leftOverload, []*cel.Type{cel.StringType, cel.IntType}, cel.StringType,
			cel.BinaryBinding(callLeft))),
		cel.Function(keyFunction, keyFunctionOptions()...),
	}
	for name, celType := range variableTypes {
		options = append(options, cel.Variable(name, celType))
	}
	for _, f := range b.fields {
		options = append(options, cel.Variable(f.variable, f.celType))
	}
	return cel.NewCustomEnv(options...)
}

// stringFunction declares a member function that takes and returns a string.
func stringFunction(name, overload string, f func(string) string) cel.EnvOption {
	call := func(v ref.Val) ref.Val { return types.String(f(string(v.(types.String)))) }
	return cel.Function(name,
		cel.MemberOverload(overload, []*cel.Type{cel.StringType}, cel.StringType, cel.UnaryBinding(call)))
}

// mapASCIILetters returns a function that replaces the 26 letters starting at from with the 26 letters starting at to.
// Only ASCII letters change, so a string never becomes longer.
func mapASCIILetters(from, to byte) func(string) string {
	return func(s string) string {
		b := []byte(s)
		for i, c := range b {
			if from <= c && c <= from+25 {
				b[i] = c - from + to
			}
		}
		return string(b)
	}
}

func callLeft(s, n ref.Val) ref.Val {
	return types.String(left(string(s.(types.String)), int64(n.(types.Int))))
}

// left returns the first n characters of s.
func left(s string, n int64) string {
	if n <= 0 {
		return ""
	}
	for i := range s {
		if n == 0 {
			return s[:i]
		}
		n--
	}
	return s
}

func keyFunctionOptions() []cel.FunctionOpt {
	var options []cel.FunctionOpt
	for i, id := range keyOverloads {
		args := []*cel.Type{cel.StringType}
		for range i + 1 {
			args = append(args, cel.DynType)
		}
		options = append(options, cel.Overload(id, args, cel.StringType, cel.FunctionBinding(callKey)))
	}
	return options
}

func callKey(args ...ref.Val) ref.Val {
	parts := make([]string, 0, maxKeyParts)
	for _, arg := range args[1:] {
		part, ok := formatKeyPart(arg.Value())
		if !ok {
			return types.NewErr("key: each part must be a string, int or bool")
		}
		parts = append(parts, part)
	}
	return types.String(joinKey(string(args[0].(types.String)), parts))
}
