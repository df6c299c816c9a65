package rules

import (
	"fmt"
	"slices"
	"strings"

	"github.com/google/cel-go/common/ast"
	"github.com/google/cel-go/common/types"
)

// matchesOverload is the overload of the function matches.
const matchesOverload = "matches_string"

// allowedOverloads contains the CEL overloads that rules may use: those whose cost is known. An overload that a newer
// version of the library adds is rejected until it is added here.
var allowedOverloads = func() map[string]bool {
	all := map[string]bool{}
	for _, id := range strings.Fields(`
		conditional logical_and logical_or logical_not not_strictly_false equals not_equals
		add_int64 add_double add_string subtract_int64 subtract_double multiply_int64 multiply_double
		divide_int64 divide_double modulo_int64 negate_int64 negate_double
		less_bool less_int64 less_double less_string less_equals_bool less_equals_int64 less_equals_double less_equals_string
		greater_bool greater_int64 greater_double greater_string
		greater_equals_bool greater_equals_int64 greater_equals_double greater_equals_string
		less_int64_double less_double_int64 less_equals_int64_double less_equals_double_int64
		greater_int64_double greater_double_int64 greater_equals_int64_double greater_equals_double_int64
		size_string size_list string_size list_size index_list in_list add_list
		starts_with_string ends_with_string contains_string matches_string
		int64_to_string double_to_string bool_to_string string_to_string
		string_to_int64 double_to_int64 int64_to_int64 string_to_double int64_to_double double_to_double`) {
		all[id] = true
	}
	for id := range functionCosts {
		all[id] = true
	}
	return all
}()

// disallowedReason returns the first reason, in post-order, why a rule must not contain an expression. It returns "" if
// the expression is allowed.
func disallowedReason(checked *ast.AST) string {
	var reason string
	ast.PostOrderVisit(checked.Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		if reason != "" {
			return
		}
		switch e.Kind() {
		case ast.MapKind, ast.StructKind:
			reason = "maps are not allowed in rules"
		case ast.LiteralKind:
			switch e.AsLiteral().(type) {
			case types.String, types.Int, types.Double, types.Bool:
			default:
				reason = "a literal must be a string, int, double or bool"
			}
		case ast.CallKind:
			reason = callDisallowedReason(checked, e)
		}
	}))
	return reason
}

// callDisallowedReason returns the reason why a rule must not contain a call, or "" if the call is allowed.
func callDisallowedReason(checked *ast.AST, e ast.Expr) string {
	call := e.AsCall()
	for _, overload := range checked.GetOverloadIDs(e.ID()) {
		var reason string
		switch {
		case !allowedOverloads[overload]:
			reason = fmt.Sprintf("%s is not allowed in rules (%s)", call.FunctionName(), overload)
		case overload == "equals" || overload == "not_equals":
			reason = comparisonDisallowedReason(checked, call.Args()[0])
		case overload == matchesOverload:
			args := call.Args()
			reason = patternDisallowedReason(args[len(args)-1])
		case slices.Contains(keyOverloads, overload):
			reason = keyCallDisallowedReason(checked, call.Args())
		}
		if reason != "" {
			return reason
		}
	}
	return ""
}

func comparisonDisallowedReason(checked *ast.AST, operand ast.Expr) string {
	switch checked.GetType(operand.ID()).Kind() {
	case types.ListKind, types.DynKind:
		return "lists can't be compared"
	}
	return ""
}

func patternDisallowedReason(arg ast.Expr) string {
	pattern, isLiteral := stringLiteral(arg)
	if !isLiteral {
		return "the pattern of matches must be a literal string"
	}
	if patternStates(pattern) == 0 {
		return fmt.Sprintf("%q is not a valid pattern", pattern)
	}
	return ""
}

func keyCallDisallowedReason(checked *ast.AST, args []ast.Expr) string {
	if tag, isLiteral := stringLiteral(args[0]); !isLiteral || !wordName.MatchString(tag) {
		return "the first argument of key must be a literal word"
	}
	for _, part := range args[1:] {
		switch checked.GetType(part.ID()).Kind() {
		case types.StringKind, types.IntKind, types.BoolKind:
		default:
			return "a part of key must be a string, an int or a bool"
		}
	}
	return ""
}

// stringLiteral returns the value of a literal string. It returns false for any other expression.
func stringLiteral(e ast.Expr) (string, bool) {
	if e.Kind() != ast.LiteralKind {
		return "", false
	}
	text, ok := e.AsLiteral().Value().(string)
	return text, ok
}
