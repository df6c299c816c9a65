package rules

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// generator generates random expressions from everything that rules may use.
type generator struct {
	t             *rapid.T
	vars          map[string][]string // in scope, by type
	loopDepth     int                 // loops around the current expression
	loopVariables int                 // number of loop variables so far
}

func (g *generator) pick(choices ...string) string {
	return rapid.SampledFrom(choices).Draw(g.t, "pick")
}

// expression returns an expression of a type: s (string), i (int), d (double), b (bool), S (list of strings) or I (list
// of ints). In a template, % followed by a type is replaced by an expression of that type, and %v by a new loop
// variable.
func (g *generator) expression(typ string, depth int) string {
	templates := map[string][]string{
		"s": {`"a"`, `"urgent line"`, `""`},
		"i": {"0", "7", "-3"},
		"d": {"1.5", "0.0"},
		"b": {"true", "false"},
		"S": {`["a", "line-1"]`, `[""]`},
		"I": {"[1, 2, 3]"},
	}[typ]
	templates = append(templates, g.vars[typ]...)
	if depth > 0 && rapid.IntRange(0, 9).Draw(g.t, "nested") > 0 {
		templates = map[string][]string{
			"s": {
				"%s + %s", "%b ? %s : %s", "%s.lower()", "%s.upper()", "%s.trim()", "%s.left(%i)", "string(%i)", "string(%d)", "string(%b)",
				"string(%s)", "%S[%i]", `key("k", %s, %i, %b)`, `key("k", %s)`,
			},
			"i": {"%i + %i", "%i - %i", "%i * %i", "%i / %i", "%i % %i", "-%i", "%b ? %i : %i", "size(%s)", "%S.size()", "int(%s)", "int(%d)", "%I[%i]"},
			"d": {"%d + %d", "%d * %d", "%d / %d", "double(%i)", "double(%s)", "%b ? %d : %d"},
			"b": {
				"%b && %b", "%b || %b", "!%b", "%s == %s", "%s != %s", "%i == %i", "%b == %b", "%d < %d", "%i >= %i", "%s < %s", "%s > %s", "%s in %S", "%i in %I",
				"%s.startsWith(%s)", "%s.endsWith(%s)", "%s.contains(%s)", `%s.matches("^(a|b)*[0-9]{2,5}$")`, `%s.matches("x")`,
				"%S.exists(%v, %b)", "%S.all(%v, %b)", "%I.exists_one(%v, %b)", "%b ? %b : %b",
			},
			"S": {"[%s, %s]", "%S + %S", "%b ? %S : %S", "%S.filter(%v, %b)", "%S.map(%v, %s)", "%I.map(%v, %s)", "%S.map(%v, %b, %s)"},
			"I": {"[%i, %i, %i]", "%I + %I", "%I.filter(%v, %b)", "%S.map(%v, %i)"},
		}[typ]
	}
	template := g.pick(templates...)
	if strings.Contains(template, "%v") && g.loopDepth > 2 {
		template = map[string]string{"b": "true", "S": `["a"]`, "I": "[1]"}[typ]
	}
	var out strings.Builder
	variable, itemType, listType := "", "", "" // of the loop
	for i := 0; i < len(template); i++ {
		if template[i] != '%' || i+1 == len(template) || template[i+1] == ' ' {
			out.WriteByte(template[i])
			continue
		}
		i++
		switch c := template[i : i+1]; c {
		case "v":
			g.loopVariables++
			variable = fmt.Sprint("v", g.loopVariables)
			itemType = strings.ToLower(listType)
			out.WriteString(variable)
			g.vars[itemType] = append(g.vars[itemType], variable)
			g.loopDepth++
		default:
			if listType == "" { // a loop's list comes first
				listType = c
			}
			out.WriteString("(" + g.expression(c, depth-1) + ")")
		}
	}
	if variable != "" {
		g.vars[itemType] = g.vars[itemType][:len(g.vars[itemType])-1]
		g.loopDepth--
	}
	return out.String()
}

// drawFieldValue draws a value of a field, often of the maximum size.
func drawFieldValue(t *rapid.T, f FieldSpec) any {
	text := func(maxChars int) string {
		if rapid.Bool().Draw(t, "long") {
			return strings.Repeat(rapid.SampledFrom([]string{"a", "é", "1", "\n"}).Draw(t, "character"), maxChars)
		}
		return rapid.StringOfN(rapid.RuneFrom([]rune("ab19- é%:")), 0, maxChars, -1).Draw(t, "text")
	}
	items := f.Max
	if !rapid.Bool().Draw(t, "full") {
		items = rapid.IntRange(0, max(0, f.Max)).Draw(t, "items")
	}
	switch f.Type {
	case "string":
		return text(f.Max)
	case "int":
		return rapid.SampledFrom([]int64{0, 1, 2, -9223372036854775808, 9223372036854775807}).Draw(t, "int")
	case "double":
		return rapid.SampledFrom([]float64{0, 1.5, -1e300}).Draw(t, "double")
	case "bool":
		return rapid.Bool().Draw(t, "bool")
	case "list(string)":
		all := []string{}
		for range items {
			all = append(all, text(f.MaxItem))
		}
		return all
	}
	all := []int64{}
	for i := range items {
		all = append(all, int64(i))
	}
	return all
}

// Evaluating any message by any rules costs at most the bound computed at compile time.
func TestCostNeverExceedsItsBound(t *testing.T) {
	fields := []FieldSpec{
		{Name: "s", Type: "string", Max: 40},
		{Name: "o.t", Type: "string", Max: 9},
		{Name: "i", Type: "int"},
		{Name: "d", Type: "double"},
		{Name: "b", Type: "bool"},
		{Name: "ss", Type: "list(string)", Max: 6, MaxItem: 12},
		{Name: "ii", Type: "list(int)", Max: 9},
	}
	compiled, rejected, evaluated, failed, highestRatio := 0, 0, 0, 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		g := &generator{t: t, vars: map[string][]string{
			"s": {"body.s", "body.o.t", "msg.id", "msg.key", "msg.class"}, "i": {"body.i", "msg.dest", "msg.size"},
			"d": {"body.d"}, "b": {"body.b"}, "S": {"body.ss"}, "I": {"body.ii"},
		}}
		spec := Spec{MaxCost: MaxCostLimit, Messages: []MessageSpec{{Class: "notice", Fields: fields}}}
		for i := range rapid.IntRange(1, 3).Draw(t, "rules") {
			spec.Rules = append(spec.Rules, RuleSpec{Name: fmt.Sprint(i), For: []string{"notice"}, When: g.expression("b", 4), Key: g.expression("s", 3)})
		}
		set, err := Compile(spec, classes)
		if err != nil {
			// The expression is too expensive or too long, or evaluating a constant part of it fails.
			expected := func(s string) bool { return strings.Contains(err.Error(), s) }
			if !slices.ContainsFunc([]string{"may cost", "size exceeds", "recursion", "type conversion error", "by zero", "overflow", "out of range", "range error"}, expected) {
				t.Fatalf("%+v: %v", spec.Rules, err)
			}
			rejected++
			return
		}
		compiled++
		for range 8 {
			body := map[string]any{"o": map[string]any{"t": drawFieldValue(t, fields[1])}}
			for _, f := range fields {
				if f.Name != "o.t" {
					body[f.Name] = drawFieldValue(t, f)
				}
			}
			text, err := json.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			in := Input{ID: strings.Repeat("i", rapid.SampledFrom([]int{1, maxKeyBytes}).Draw(t, "id")), Class: "notice", Body: text}
			r, err := set.Evaluate(in)
			cost := r.Cost
			var invalid *InvalidMessageError
			if errors.As(err, &invalid) {
				failed++
				cost = invalid.Cost
				if strings.Contains(invalid.Reason, "limit") {
					t.Fatalf("evaluation stopped at the cost bound: %v, want it within the bound\n%+v\n%s", invalid, spec.Rules, text)
				}
			}
			if cost > set.CostBound() {
				t.Fatalf("got cost %d, want at most %d\n%+v\n%s", cost, set.CostBound(), spec.Rules, text)
			}
			evaluated++
			highestRatio = max(highestRatio, float64(cost)/float64(set.CostBound()))
		}
	})
	t.Logf("%d files compiled, %d rejected; %d messages evaluated, %d of them invalid; highest ratio of cost to bound: %.2f", compiled, rejected, evaluated, failed, highestRatio)
	if evaluated == 0 {
		t.Error("no message was evaluated, want some")
	}
}

// The library's own cost functions count more than they estimate for a call with an argument whose evaluation failed,
// and for an index into an expression that is not a variable. The functions of this package must not.
func TestEvaluateFailedArgumentOrIndexStaysWithinCostBound(t *testing.T) {
	fields := []FieldSpec{{Name: "s", Type: "string"}, {Name: "ss", Type: "list(string)"}}
	for _, when := range []string{
		`msg.id.contains([""][7])`, `body.s.startsWith([""][7])`, `body.s == [""][7]`, `"" < [""][7]`, `("" + [""][7]) == ""`,
		`(body.ss + body.ss)[0] == ""`, `body.ss.filter(x, true)[0] == ""`, `[""][7] in body.ss`, `[""][7].matches("")`, `key("k", [""][7]) == ""`,
	} {
		set, err := Compile(Spec{
			Messages: []MessageSpec{{Class: "notice", Fields: fields}},
			Rules:    []RuleSpec{{Name: "r", For: []string{"notice"}, When: when, Key: "msg.id"}},
		}, classes)
		if err != nil {
			t.Errorf("%s: %v", when, err)
			continue
		}
		_, err = set.Evaluate(Input{ID: strings.Repeat("i", maxKeyBytes), Class: "notice", Body: []byte(`{"s":"","ss":[]}`)})
		if err != nil && strings.Contains(err.Error(), "limit") {
			t.Errorf("%s: evaluation stopped at the cost bound of %d: %v, want it within the bound", when, set.CostBound(), err)
		}
	}
}

func TestPatternStatesCountsRepetitionsAndReturnsZeroIfInvalid(t *testing.T) {
	for pattern, limit := range map[string]uint64{"x": 5, "a{100}": 110, "(a{30}){30}": 1000, "(": 0} {
		if n := patternStates(pattern); n > limit || n == 0 && limit > 0 {
			t.Errorf("%q: got %d states, want at most %d, and 0 only if the pattern is invalid", pattern, n, limit)
		}
	}
	if n := patternStates("(a{30}){30}"); n < 900 {
		t.Errorf("got %d states, want at least 900", n)
	}
}

// Two keys are equal only if their tags and all their parts are equal.
func TestKeysAreInjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (string, []string) {
			part := rapid.OneOf(rapid.String(), rapid.StringOfN(rapid.RuneFrom([]rune(`:%#=a1`)), 0, 5, -1), rapid.SampledFrom([]string{strings.Repeat("x", 200), strings.Repeat("x", 201)}))
			return rapid.SampledFrom([]string{"a", "b"}).Draw(t, name+" tag"), rapid.SliceOfN(part, 1, 3).Draw(t, name)
		}
		tagA, a := draw("one")
		tagB, b := draw("other")
		same := tagA == tagB && fmt.Sprintf("%q", a) == fmt.Sprintf("%q", b)
		one, other := joinKey(tagA, a), joinKey(tagB, b)
		if (one == other) != same {
			t.Fatalf("%q and %q: got keys %q and %q, want them equal: %t", a, b, one, other, same)
		}
		if !validKey(one) || !strings.HasPrefix(one, computedKeyPrefix) {
			t.Fatalf("got key %q, want a valid key with the prefix of computed keys", one)
		}
	})
}

// Evaluating any body terminates within the cost bound. An error names its place, and an accepted body is valid JSON.
func FuzzBody(f *testing.F) {
	set, err := Compile(validSpec(), classes)
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []string{`{"meter":"a","at":7}`, `{"meter":"a","at":7,"tags":["x"],"customer":{"urgent":true}}`, `{"at":1e3}`, `{"\u006deter":"a","at":7}`, `{"a":[{"b":{}}]}`, `{`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := set.Evaluate(Input{ID: "id", Key: "own", Class: "meter", Body: text})
		var invalid *InvalidMessageError
		if err != nil && !errors.As(err, &invalid) || invalid != nil && invalid.Place == "" {
			t.Fatalf("got error %v, want one with a place", err)
		}
		if r.Cost > set.CostBound() {
			t.Fatalf("got cost %d, want at most %d", r.Cost, set.CostBound())
		}
		if err != nil {
			return
		}
		// A plain decoder must accept the body too.
		var plain struct {
			Meter *string
			At    *int64
		}
		if err := json.Unmarshal(text, &plain); err != nil && !strings.Contains(err.Error(), "cannot unmarshal") {
			t.Fatalf("a body that is not valid JSON was accepted: %v", err)
		}
	})
}
