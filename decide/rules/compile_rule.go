package rules

import (
	"fmt"
	"slices"
	"strings"
	"wingmount/policy"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/ast"
)

// compileRule compiles a rule for one kind of message and adds it to the kind.
func (c *compiler) compileRule(place string, index int, spec *RuleSpec, ec *expressionCompiler) {
	report := c.reportIn(place)
	errorsBefore := len(c.errs)
	r := rule{index: index, name: spec.Name}
	var class, key *ast.AST
	r.when, _ = ec.compileExpression(report, "when", spec.When, cel.BoolType)
	r.class, class = ec.compileExpression(report, "class", spec.Class, cel.StringType)
	r.key, key = ec.compileExpression(report, "key", spec.Key, cel.StringType)
	if len(c.errs) > errorsBefore {
		return
	}
	r.possibleClasses = []string{ec.kind.class}
	if class != nil {
		classes, ok := c.possibleClasses(class, ec.kind.class, report)
		if !ok {
			return
		}
		r.possibleClasses = classes
	}
	c.checkGuarantees(spec, r.possibleClasses, key, ec, report)
	if key != nil {
		ec.kind.computesKeys = true
	}
	ec.kind.rules = append(ec.kind.rules, r)
}

// possibleClasses returns the possible values of a class expression. They must be known at compile time, so the
// expression must be a literal string, msg.class, or a conditional expression of these. possibleClasses returns false
// if it reported an error.
func (c *compiler) possibleClasses(expression *ast.AST, clientClass string, report reportFunc) ([]string, bool) {
	var classes []string
	for _, branch := range branches(expression.Expr()) {
		name, known := stringLiteral(branch)
		if branch.Kind() == ast.IdentKind && branch.AsIdent() == "msg.class" {
			name, known = clientClass, true
		}
		if !known {
			report("class", "must be a literal string, msg.class, or a conditional expression of these")
			return nil, false
		}
		if _, exists := c.set.classes[name]; !exists {
			report("class", "unknown class %q", name)
			return nil, false
		}
		if !slices.Contains(classes, name) {
			classes = append(classes, name)
		}
	}
	return classes, true
}

// checkGuarantees checks that no possible class of a rule unintentionally weakens a guarantee. A class that allows
// repeats which are harmful in the client's class requires a rule marked relaxes. Different messages of a deduplicated
// class must have different keys. key is nil if the rule computes none.
func (c *compiler) checkGuarantees(spec *RuleSpec, possibleClasses []string, key *ast.AST, ec *expressionCompiler, report reportFunc) {
	from := c.set.classes[ec.kind.class]
	relaxed := false
	for _, name := range possibleClasses {
		to := c.set.classes[name]
		weaker := isWeaker(from.Repeat, to.Repeat)
		relaxed = relaxed || weaker
		if weaker && !spec.Relaxes {
			report("class", "%q allows repeats that may be harmful in %q: set relaxes = true if they are harmless", to.Name, from.Name)
		}
		if to.Repeat == policy.Deduplicated {
			ec.checkDeduplicationKey(from, to, key, report)
		}
	}
	// A rule for several kinds needs relaxes if it weakens the guarantee of at least one of them, so only a rule for one
	// kind is checked.
	if spec.Relaxes && !relaxed && len(spec.For) == 1 {
		report("relaxes", "no class of the rule gives a weaker guarantee")
	}
}

// isWeaker reports whether a class with the setting to allows repeats that may be harmful in a class with the setting
// from.
func isWeaker(from, to policy.Repeat) bool {
	byHarm := []policy.Repeat{policy.Idempotent, policy.Deduplicated, policy.AtMostOnce}
	return slices.Index(byHarm, to) < slices.Index(byHarm, from)
}

// checkDeduplicationKey checks that messages that a rule moves to a deduplicated class have a key, and that two
// different messages never have the same key: the partner would drop the second one.
func (ec *expressionCompiler) checkDeduplicationKey(from, to Class, key *ast.AST, report reportFunc) {
	if key == nil {
		if from.Repeat != policy.Deduplicated {
			report("key", "must be set: %q is a keyed class, and messages of class %q may have no key", to.Name, from.Name)
		}
		return
	}
	for _, branch := range branches(key.Expr()) {
		if reason := ec.notUniqueReason(branch, from); reason != "" {
			report("key", "%s: %q is a keyed class, whose messages are deduplicated by key", reason, to.Name)
			return
		}
	}
}

// notUniqueReason returns the reason why two different messages may have the same key, or "" if they can't.
func (ec *expressionCompiler) notUniqueReason(key ast.Expr, from Class) string {
	if key.Kind() == ast.IdentKind {
		switch key.AsIdent() {
		case "msg.id":
			return "" // each message has its own id
		case "msg.key":
			if from.Repeat == policy.Deduplicated {
				return ""
			}
			return "msg.key may be empty"
		}
	}
	if key.Kind() != ast.CallKind || key.AsCall().FunctionName() != keyFunction {
		return `the key must be msg.key, msg.id or key("IDENTITY", its fields)`
	}
	args := key.AsCall().Args()
	tag, _ := stringLiteral(args[0])
	fields, exists := ec.identities[tag]
	if !exists {
		return fmt.Sprintf("message %q has no identity %q", ec.kind.class, tag)
	}
	isField := func(arg ast.Expr, field string) bool { return arg.Kind() == ast.IdentKind && arg.AsIdent() == field }
	if !slices.EqualFunc(args[1:], fields, isField) {
		return fmt.Sprintf("the key of identity %q must be key(%q, %s)", tag, tag, strings.Join(fields, ", "))
	}
	return ""
}

// branches returns the branches of a conditional expression, those of nested ones included. For any other expression it
// returns the expression itself.
func branches(e ast.Expr) []ast.Expr {
	if e.Kind() == ast.CallKind && e.AsCall().FunctionName() == "_?_:_" {
		args := e.AsCall().Args()
		return append(branches(args[1]), branches(args[2])...)
	}
	return []ast.Expr{e}
}

// compileExpression compiles one expression of a rule. It returns nil if the source is empty or has errors, which it
// reports.
func (ec *expressionCompiler) compileExpression(report reportFunc, where, source string, want *cel.Type) (*program, *ast.AST) {
	if strings.TrimSpace(source) == "" {
		return nil, nil
	}
	compiled, issues := ec.env.Compile(source)
	if issues.Err() != nil {
		for _, e := range issues.Errors() {
			report(fmt.Sprintf("%s, line %d, column %d", where, e.Location.Line(), e.Location.Column()+1), "%s", e.Message)
		}
		return nil, nil
	}
	if !compiled.OutputType().IsExactType(want) {
		report(where, "got type %s, want %s", cel.FormatCELType(compiled.OutputType()), cel.FormatCELType(want))
		return nil, nil
	}
	checked := compiled.NativeRep()
	if reason := disallowedReason(checked); reason != "" {
		report(where, "%s", reason)
		return nil, nil
	}
	estimate, err := ec.env.EstimateCost(compiled, ec.costs)
	if err != nil {
		report(where, "estimating the cost: %v", err)
		return nil, nil
	}
	run, err := ec.env.Program(compiled, cel.EvalOptions(cel.OptOptimize),
		cel.CostTracking(newCostCounter(checked)), cel.CostLimit(estimate.Max))
	if err != nil {
		report(where, "%v", err)
		return nil, nil
	}
	return &program{run: run, costBound: estimate.Max}, checked
}
