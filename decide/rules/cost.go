package rules

import (
	"math"
	"regexp/syntax"
	"strings"

	"github.com/google/cel-go/checker"
	"github.com/google/cel-go/common/ast"
	"github.com/google/cel-go/common/types"
	"github.com/google/cel-go/common/types/ref"
	"github.com/google/cel-go/common/types/traits"
)

// costFunction returns the cost of a call, in cost units, and the size of its result, given the sizes of its arguments.
// An infinite size gives an infinite cost.
//
// The estimate at compile time and the count during evaluation use the same functions, because the library's own costs
// differ between the two if evaluating an argument has failed. A call without a cost function costs 1 in both; its cost
// does not depend on a size.
type costFunction func(sizes []uint64) (cost, resultSize uint64)

// infinite represents an unbounded size or cost. The library's sums saturate at the same value.
const infinite = math.MaxUint64

const (
	// Maximum number of characters of a value that is converted to a string.
	intChars, doubleChars, boolChars = 20, 32, 5
	// charsPerUnit is the number of characters that can be read at a cost of one unit.
	charsPerUnit = 10
	// keyBytesPerChar is the maximum number of bytes of a character in a key: four bytes in UTF-8, each escaped to
	// three.
	keyBytesPerChar = 12
	// keyCallCost is the cost of a call of key, in cost units, to which the costs of its arguments are added.
	keyCallCost = 10
)

func saturatingAdd(a, b uint64) uint64 {
	if a > infinite-b {
		return infinite
	}
	return a + b
}

func saturatingMultiply(a, b uint64) uint64 {
	if a != 0 && b > infinite/a {
		return infinite
	}
	return a * b
}

// readCost returns the cost of reading a string.
func readCost(chars uint64) uint64 {
	if chars == infinite {
		return infinite
	}
	return saturatingAdd(chars/charsPerUnit, min(1, chars%charsPerUnit))
}

// transformCost is the cost of a function that reads a string and returns a string that is not longer.
func transformCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, readCost(sizes[0])), sizes[0]
}

// constantCost is the cost of a function whose cost does not depend on the sizes of its arguments.
func constantCost(resultSize uint64) costFunction {
	return func([]uint64) (uint64, uint64) { return 1, resultSize }
}

// compareCost is the cost of comparing two strings, which reads them up to the end of the shorter one.
func compareCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, readCost(min(sizes[0], sizes[1]))), 1
}

// affixCost is the cost of comparing a string with the beginning or the end of another one.
func affixCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, readCost(sizes[1])), 1
}

// concatenateCost is the cost of joining two strings.
func concatenateCost(sizes []uint64) (cost, resultSize uint64) {
	total := saturatingAdd(sizes[0], sizes[1])
	return saturatingAdd(1, readCost(total)), total
}

// containsCost is the cost of searching a string for another one.
func containsCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, saturatingMultiply(readCost(sizes[0]), readCost(sizes[1]))), 1
}

// inListCost is the cost of comparing the first argument with each item of the second. A comparison reads no more of
// an item than the length of the first argument.
func inListCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, saturatingMultiply(sizes[1], saturatingAdd(1, readCost(sizes[0])))), 1
}

// matchesCost is the cost of matching a string against a pattern. The size of the pattern is its patternStates.
func matchesCost(sizes []uint64) (cost, resultSize uint64) {
	return saturatingAdd(1, readCost(saturatingMultiply(saturatingAdd(1, sizes[0]), sizes[1]))), 1
}

// indexCost is the cost of indexing a list. During evaluation the library counts one unit for it, and another one if
// the operand is not a variable. The library itself determines the size of the item.
func indexCost([]uint64) (cost, resultSize uint64) { return 2, infinite }

// keyCost is the cost of the function key: each part is escaped, and the result may be hashed.
func keyCost(sizes []uint64) (cost, resultSize uint64) {
	cost = keyCallCost
	for _, size := range sizes {
		cost = saturatingAdd(cost, saturatingAdd(1, saturatingMultiply(keyBytesPerChar, readCost(size))))
	}
	return cost, maxKeyBytes
}

// functionCosts contains the cost functions of calls, by overload.
var functionCosts = addKeyCosts(map[string]costFunction{
	"int64_to_string":       constantCost(intChars),
	"double_to_string":      constantCost(doubleChars),
	"bool_to_string":        constantCost(boolChars),
	"string_to_string":      transformCost,
	"string_to_int64":       transformCost,
	"string_to_double":      transformCost,
	lowerOverload:           transformCost,
	upperOverload:           transformCost,
	trimOverload:            transformCost,
	leftOverload:            transformCost,
	"add_string":            concatenateCost,
	"index_list":            indexCost,
	"contains_string":       containsCost,
	"starts_with_string":    affixCost,
	"ends_with_string":      affixCost,
	"equals":                compareCost,
	"not_equals":            compareCost,
	"less_string":           compareCost,
	"less_equals_string":    compareCost,
	"greater_string":        compareCost,
	"greater_equals_string": compareCost,
	"in_list":               inListCost,
	matchesOverload:         matchesCost,
})

func addKeyCosts(costs map[string]costFunction) map[string]costFunction {
	for _, id := range keyOverloads {
		costs[id] = keyCost
	}
	return costs
}

// patternStates returns the number of states of a compiled pattern, or 0 if the pattern is not valid.
func patternStates(pattern string) uint64 {
	re, err := syntax.Parse(pattern, syntax.Perl)
	if err != nil {
		return 0
	}
	prog, err := syntax.Compile(re.Simplify())
	if err != nil {
		return 0
	}
	return uint64(len(prog.Inst))
}

// costEstimator estimates the cost of expressions at compile time from the declared sizes.
type costEstimator struct {
	stringChars map[string]uint64 // by variable
	listItems   map[string]uint64 // by variable
	itemChars   map[string]uint64 // of a list's strings, by variable
}

// newCostEstimator returns the estimator for messages whose bodies match a declaration.
func newCostEstimator(b *body) costEstimator {
	e := costEstimator{
		stringChars: map[string]uint64{"msg.id": maxKeyBytes, "msg.key": maxKeyBytes, "msg.class": maxKeyBytes},
		listItems:   map[string]uint64{},
		itemChars:   map[string]uint64{},
	}
	for _, f := range b.fields {
		switch {
		case f.list:
			e.listItems[f.variable], e.itemChars[f.variable] = uint64(f.maxItems), uint64(f.maxChars)
		case f.scalarType == "string":
			e.stringChars[f.variable] = uint64(f.maxChars)
		}
	}
	return e
}

// EstimateSize implements [checker.CostEstimator].
func (e costEstimator) EstimateSize(node checker.AstNode) *checker.SizeEstimate {
	path := strings.Join(node.Path(), ".")
	switch node.Type().Kind() {
	case types.StringKind:
		if list, isItem := strings.CutSuffix(path, ".@items"); isItem {
			return declaredSize(e.itemChars, list)
		}
		return declaredSize(e.stringChars, path)
	case types.ListKind:
		return declaredSize(e.listItems, path)
	case types.BoolKind, types.IntKind, types.DoubleKind:
		return &checker.SizeEstimate{Min: 1, Max: 1}
	}
	return nil
}

// declaredSize returns the range of the size that is declared for a variable, or nil if none is declared.
func declaredSize(sizes map[string]uint64, variable string) *checker.SizeEstimate {
	size, declared := sizes[variable]
	if !declared {
		return nil
	}
	return sizeUpTo(size)
}

func sizeUpTo(size uint64) *checker.SizeEstimate { return &checker.SizeEstimate{Max: size} }

// EstimateCallCost implements [checker.CostEstimator].
func (e costEstimator) EstimateCallCost(_, overload string, target *checker.AstNode, args []checker.AstNode) *checker.CallEstimate {
	callCost := functionCosts[overload]
	if callCost == nil {
		return nil
	}
	if target != nil {
		args = append([]checker.AstNode{*target}, args...)
	}
	sizes := make([]uint64, len(args))
	for i, arg := range args {
		sizes[i] = estimateArgumentSize(overload, i, arg)
	}
	cost, resultSize := callCost(sizes)
	return &checker.CallEstimate{CostEstimate: checker.CostEstimate{Max: cost}, ResultSize: sizeUpTo(resultSize)}
}

// estimateArgumentSize returns the maximum size of an argument of a call.
func estimateArgumentSize(overload string, index int, arg checker.AstNode) uint64 {
	if isPattern(overload, index) {
		if pattern, ok := stringLiteral(arg.Expr()); ok {
			return patternStates(pattern)
		}
		return infinite
	}
	if size := arg.ComputedSize(); size != nil {
		return size.Max
	}
	return infinite
}

// isPattern reports whether an argument is a pattern, whose size is its patternStates.
func isPattern(overload string, index int) bool { return overload == matchesOverload && index == 1 }

// costCounter counts the cost of an expression during its evaluation.
type costCounter struct {
	states map[string]uint64 // patternStates of the expression's literal strings
}

// newCostCounter returns a counter for an expression.
func newCostCounter(checked *ast.AST) costCounter {
	states := map[string]uint64{}
	ast.PostOrderVisit(checked.Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		if text, ok := stringLiteral(e); ok {
			states[text] = patternStates(text)
		}
	}))
	return costCounter{states}
}

// CallCost implements [interpreter.ActualCostEstimator].
func (c costCounter) CallCost(_, overload string, args []ref.Val, _ ref.Val) *uint64 {
	callCost := functionCosts[overload]
	if callCost == nil {
		return nil
	}
	sizes := make([]uint64, len(args))
	for i, arg := range args {
		sizes[i] = c.argumentSize(overload, i, arg)
	}
	cost, _ := callCost(sizes)
	return &cost
}

// argumentSize returns the size of an argument of a call.
func (c costCounter) argumentSize(overload string, index int, arg ref.Val) uint64 {
	if text, isString := arg.(types.String); isString && isPattern(overload, index) {
		return c.states[string(text)]
	}
	switch value := arg.(type) {
	case traits.Sizer: // strings and lists
		return uint64(value.Size().(types.Int))
	case *types.Err: // evaluating the argument has failed
		return 0
	default:
		return 1
	}
}
