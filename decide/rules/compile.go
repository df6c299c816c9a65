package rules

import (
	"fmt"
	"slices"
)

// reportFunc records an error at a place in the rule file.
type reportFunc func(where, format string, args ...any)

// compiler compiles one rule file and collects its errors.
type compiler struct {
	set  *Set
	errs CompileErrors
}

// Compile compiles a rule file and, if it has no errors, evaluates its examples. The error is [CompileErrors].
func Compile(spec Spec, classes []Class) (*Set, error) {
	c := compiler{set: &Set{spec: spec, classes: map[string]Class{}, kinds: map[string]*messageKind{}}}
	for _, class := range classes {
		c.set.classes[class.Name] = class
	}
	c.compileFile()
	if len(c.errs) == 0 {
		c.checkExamples()
	}
	if len(c.errs) > 0 {
		return nil, c.errs
	}
	return c.set, nil
}

// report implements reportFunc.
func (c *compiler) report(where, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", where, fmt.Sprintf(format, args...)))
}

// reportIn returns a reportFunc for places inside another place, which it prepends.
func (c *compiler) reportIn(place string) reportFunc {
	return func(where, format string, args ...any) { c.report(place+", "+where, format, args...) }
}

func (c *compiler) compileFile() {
	c.checkSettings()
	if !c.checkCounts() {
		return
	}
	compilers := c.compileMessages()
	c.compileRules(compilers)
	c.checkCosts()
}

// checkSettings sets the defaults of the file's top-level settings and checks the settings.
func (c *compiler) checkSettings() {
	spec := &c.set.spec
	if spec.OnInvalid == "" {
		spec.OnInvalid = RejectInvalid
	}
	if spec.OnInvalid != RejectInvalid && spec.OnInvalid != AcceptInvalid {
		c.report("misfit", "%q is neither %q nor %q", spec.OnInvalid, RejectInvalid, AcceptInvalid)
	}
	if spec.MaxCost == 0 {
		spec.MaxCost = DefaultMaxCost
	}
	if spec.MaxCost > MaxCostLimit {
		c.report("max_cost", "%d exceeds the limit of %d", spec.MaxCost, MaxCostLimit)
	}
}

// checkCounts checks the number of tables of each kind against its limit. It returns false if it reported an error.
func (c *compiler) checkCounts() bool {
	for _, tables := range []struct {
		name         string
		count, limit int
	}{
		{"message", len(c.set.spec.Messages), MaxMessageKinds},
		{"rule", len(c.set.spec.Rules), MaxRules},
		{"example", len(c.set.spec.Examples), MaxExamples},
	} {
		if tables.count > tables.limit {
			c.report(tables.name, "got %d, want at most %d", tables.count, tables.limit)
			return false
		}
	}
	return true
}

// compileMessages compiles the declarations of messages. It returns the expression compiler of each kind, by class.
func (c *compiler) compileMessages() map[string]*expressionCompiler {
	compilers := map[string]*expressionCompiler{}
	identityOwners := map[string]string{}
	for i, m := range c.set.spec.Messages {
		place := fmt.Sprintf("message %d (%q)", i+1, m.Class)
		if _, exists := c.set.classes[m.Class]; !exists {
			c.report(place, "class: unknown class %q", m.Class)
		}
		if compilers[m.Class] != nil {
			c.report(place, "class: duplicate declaration")
			continue
		}
		compilers[m.Class] = c.compileMessage(place, m, identityOwners)
	}
	return compilers
}

// compileRules compiles each rule for each kind of message that it names.
func (c *compiler) compileRules(compilers map[string]*expressionCompiler) {
	names := map[string]bool{}
	for i := range c.set.spec.Rules {
		spec := &c.set.spec.Rules[i]
		place := fmt.Sprintf("rule %d (%q)", i+1, spec.Name)
		c.checkRule(place, spec, names)
		for j, class := range spec.For {
			ec := compilers[class]
			switch {
			case slices.Contains(spec.For[:j], class):
				c.report(place, "for: duplicate message %q", class)
			case ec == nil:
				c.report(place, "for: no message %q is declared", class)
			case ec.env != nil:
				c.compileRule(place, i, spec, ec)
			}
		}
	}
}

// checkRule checks the settings of a rule that do not depend on a kind of message. names is the set of names of earlier
// rules, to which checkRule adds the rule's name.
func (c *compiler) checkRule(place string, spec *RuleSpec, names map[string]bool) {
	if spec.Name == "" {
		c.report(place, "name: must not be empty")
	}
	if names[spec.Name] {
		c.report(place, "name: duplicate rule name")
	}
	names[spec.Name] = true
	if spec.Class == "" && spec.Key == "" {
		c.report(place, "class or key must be set")
	}
	if len(spec.For) == 0 {
		c.report(place, "for: must not be empty")
	}
}

// checkCosts sets the cost bound of each kind of message and checks it against max_cost.
func (c *compiler) checkCosts() {
	s := c.set
	for _, m := range s.spec.Messages {
		kind := s.kinds[m.Class]
		if kind == nil || len(kind.rules) == 0 {
			continue
		}
		kind.costBound = kind.highestCost()
		s.costBound = max(s.costBound, kind.costBound)
		if kind.costBound > s.spec.MaxCost {
			c.report(fmt.Sprintf("message %q", m.Class), "evaluating its rules may cost %s units, over max_cost %d; most expensive part: %s",
				formatCost(kind.costBound), s.spec.MaxCost, kind.describeMostExpensivePart())
		}
	}
}

// highestCost returns the cost of the most expensive evaluation: reading the body, evaluating the conditions of the
// rules up to and including the one that matches, and evaluating the class and key of that rule. It is not the sum over
// all rules, since only one rule gives a result.
func (k *messageKind) highestCost() uint64 {
	conditions, highest := k.body.costBound(), uint64(0)
	for _, r := range k.rules {
		if r.when != nil {
			conditions = saturatingAdd(conditions, r.when.costBound)
		}
		total := conditions
		for _, p := range []*program{r.class, r.key} {
			if p != nil {
				total = saturatingAdd(total, p.costBound)
			}
		}
		highest = max(highest, total)
	}
	return highest
}

// describeMostExpensivePart names the most expensive part of an evaluation, with its cost: reading the body or one
// expression.
func (k *messageKind) describeMostExpensivePart() string {
	name, highest := "reading the body", k.body.costBound()
	for _, r := range k.rules {
		for _, p := range r.programs() {
			if p.costBound > highest {
				name, highest = fmt.Sprintf("%s of rule %q", p.setting, r.name), p.costBound
			}
		}
	}
	return fmt.Sprintf("%s, %s", name, formatCost(highest))
}

func formatCost(units uint64) string {
	if units == infinite {
		return "infinitely many"
	}
	return fmt.Sprint(units)
}
