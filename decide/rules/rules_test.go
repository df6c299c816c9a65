package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	"wingmount/policy"
)

// classes are the classes of the tests, one for each guarantee.
var classes = []Class{
	{Name: "meter", Repeat: policy.Deduplicated, KeyRetention: 12 * time.Second},
	{Name: "line", Repeat: policy.Idempotent, Ordered: true},
	{Name: "notice", Repeat: policy.Idempotent},
	{Name: "payment", Repeat: policy.AtMostOnce},
}

// validSpec returns a valid rule file, which tests modify.
func validSpec() Spec {
	fields := []FieldSpec{
		{Name: "meter", Type: "string", Max: 32},
		{Name: "at", Type: "int"},
		{Name: "value", Type: "double", Default: 0},
		{Name: "tags", Type: "list(string)", Max: 8, MaxItem: 16, Default: []any{}},
		{Name: "customer.urgent", Type: "bool", Default: false},
	}
	reading := []IdentitySpec{{Name: "reading", Fields: []string{"meter", "at"}}}
	return Spec{
		Messages: []MessageSpec{{Class: "meter", Fields: fields, Identities: reading}, {Class: "payment", Fields: fields}},
		Rules: []RuleSpec{
			{Name: "urgent", For: []string{"meter"}, When: `body.customer.urgent || "urgent" in body.tags`, Class: `"payment"`},
			{Name: "by reading", For: []string{"meter"}, When: `body.meter.startsWith("HS-")`, Key: `key("reading", body.meter, body.at)`},
			{Name: "in line", For: []string{"meter"}, When: `body.tags.exists(t, t.matches("^line-[0-9]+$"))`, Class: `"line"`, Key: `body.meter.lower()`, Relaxes: true},
		},
	}
}

func compile(t *testing.T, s Spec) *Set {
	t.Helper()
	set, err := Compile(s, classes)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A message gets the class and key of the first rule that matches it. An invalid message gets an error with its place.
// The cost stays within the bound in both cases.
func TestEvaluateAppliesFirstMatchingRuleOrReportsInvalidMessage(t *testing.T) {
	set := compile(t, validSpec())
	for _, c := range []struct {
		class, body, wantRule, wantClass, wantKey, wantErr string
	}{
		{"meter", `{"meter":"HS-1 a","at":7}`, "by reading", "meter", "=reading:HS-1%20a:7", ""},
		{"meter", `{"meter":"HS-1","at":7,"tags":["x","urgent"]}`, "urgent", "payment", "own", ""},
		{"meter", `{"meter":"HS-1","at":7,"customer":{"urgent":true,"more":[{}]}}`, "urgent", "payment", "own", ""},
		{"meter", `{"meter":"AB-1","at":-7,"tags":["line-77"]}`, "in line", "line", "ab-1", ""},
		{"meter", `{"meter":"AB-1","at":7,"customer":null}`, "", "meter", "own", ""},
		{"meter", `{"meter":"","at":7,"tags":["line-77"]}`, "", "", "", `rule "in line", key: "" is no key`},
		{"meter", `{"meter":"AB-1"}`, "", "", "", "body.at: it is missing"},
		{"meter", `{"meter":"AB-1","at":null}`, "", "", "", "body.at: it is missing"},
		{"meter", `{"meter":"AB-1","at":7.5}`, "", "", "", "body.at: 7.5 is no whole number"},
		{"meter", `{"meter":"AB-1","at":9223372036854775808}`, "", "", "", "body.at: 9223372036854775808 is no whole number"},
		{"meter", `{"meter":"AB-1","at":"7"}`, "", "", "", "body.at: it is no int"},
		{"meter", `{"meter":7,"at":7}`, "", "", "", "body.meter: it is no string"},
		{"meter", `{"meter":"` + strings.Repeat("x", 33) + `","at":7}`, "", "", "", "body.meter: 33 characters, more than 32"},
		{"meter", `{"meter":"\ud800","at":7}`, "", "", "", "body.meter: it holds U+FFFD"},
		{"meter", `{"meter":"a","meter":"b","at":7}`, "", "", "", "body.meter: it is there twice"},
		{"meter", `{"meter":"a","at":7,"customer":{},"customer":{}}`, "", "", "", "body.customer: it is there twice"},
		{"meter", `{"meter":"a","at":7,"customer":7}`, "", "", "", "body.customer: it is no object"},
		{"meter", `{"meter":"a","at":7,"tags":"x"}`, "", "", "", "body.tags: it is no list"},
		{"meter", `{"meter":"a","at":7,"tags":["x",7]}`, "", "", "", "body.tags: it is no string"},
		{"meter", `{"meter":"a","at":7,"tags":[1,2,3,4,5,6,7,8,9]}`, "", "", "", "body.tags: it is no string"},
		{"meter", `{"meter":"a","at":7,"tags":["","","","","","","","",""]}`, "", "", "", "body.tags: more than 8 items"},
		{"meter", `{"meter":"a","at":7,"value":1e999}`, "", "", "", "body.value: 1e999 is out of range"},
		{"meter", `[]`, "", "", "", "body: it is no JSON object"},
		{"meter", `{"meter":"a","at":7} {}`, "", "", "", "body: it is no JSON"},
		{"meter", "{\"meter\":\"\xff\",\"at\":7}", "", "", "", "body: it is not UTF-8"},
		{"meter", `{"x":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}`, "", "", "", "body: it is nested too deep"},
		{"meter", strings.Repeat(" ", 4097), "", "", "", "body: 4097 bytes"},
		{"payment", "any bytes", "", "payment", "own", ""}, // no rule applies to this class
		{"notice", "any bytes", "", "notice", "own", ""},
	} {
		t.Run(fmt.Sprintf("%s %.60s", c.class, c.body), func(t *testing.T) {
			got, err := set.Evaluate(Input{ID: "id", Key: "own", Class: c.class, Body: []byte(c.body)})
			var invalid *InvalidMessageError
			if errors.As(err, &invalid) != (c.wantErr != "") || invalid != nil && !strings.HasPrefix(invalid.Error(), c.wantErr) {
				t.Errorf("got error %v, want %q", err, c.wantErr)
			}
			gotRule := set.RuleName(got.Rule)
			if err == nil && (gotRule != c.wantRule || got.Class != c.wantClass || got.Key != c.wantKey) {
				t.Errorf("got %+v by rule %q, want class %q, key %q by rule %q", got, gotRule, c.wantClass, c.wantKey, c.wantRule)
			}
			cost := got.Cost
			if invalid != nil {
				cost = max(cost, invalid.Cost)
			}
			if cost > set.CostBound() {
				t.Errorf("got cost %d, want at most %d", cost, set.CostBound())
			}
		})
	}
}

// AcceptInvalid keeps the class and key of an invalid message, except if the client's key has the form of a computed
// key: it could collide with one.
func TestAcceptInvalidKeepsClientValuesButRejectsReservedKey(t *testing.T) {
	s := validSpec()
	s.OnInvalid = AcceptInvalid
	set := compile(t, s)
	got, err := set.Evaluate(Input{ID: "id", Key: "own", Class: "meter", Body: []byte("{}")})
	if err != nil || got.Invalid == nil || got.Class != "meter" || got.Key != "own" || got.Rule != NoRule {
		t.Errorf("got %+v, error %v, want the client's class and key", got, err)
	}
	got, err = set.Evaluate(Input{ID: "id", Key: "=reading:HS-1:7", Class: "meter", Body: []byte("{}")})
	if err == nil {
		t.Errorf("got %+v for a client's key in the form of a computed key, want an error", got)
	}
}

// Compile rejects an invalid file and reports the place of the error.
func TestCompileInvalidFileReportsPlaceOfError(t *testing.T) {
	when := func(x string) func(*Spec) { return func(s *Spec) { s.Rules[0].When = x } }
	key := func(x string) func(*Spec) { return func(s *Spec) { s.Rules[1].Key = x } }
	field := func(f FieldSpec) func(*Spec) {
		return func(s *Spec) { s.Messages[0].Fields = append(s.Messages[0].Fields, f) }
	}
	nestedLoops := strings.Repeat(`body.tags.all(x, `, 6) + "true" + strings.Repeat(")", 6)
	for _, c := range []struct {
		change func(*Spec)
		want   string
	}{
		// Types.
		{when(`body.meter == 3`), `rule 1 ("urgent"), when, line 1, column 12: found no matching overload`},
		{when(`body.meter`), `rule 1 ("urgent"), when: got type string, want bool`},
		{when(`body.nothing`), `rule 1 ("urgent"), when, line 1, column 1: undeclared reference`},
		{when("true &&\n  7"), `rule 1 ("urgent"), when, line 2, column 3: `},
		{key(`body.at`), `rule 2 ("by reading"), key: got type int, want string`},
		{func(s *Spec) { s.Rules[0].Class = `7` }, `rule 1 ("urgent"), class: got type int`},
		// Loops, growing values and unbounded costs.
		{when(nestedLoops), `message "meter": evaluating its rules may cost `},
		{when(`body.tags.exists(t, t.matches("(a{30}){30}"))`), `message "meter": evaluating its rules may cost `},
		{when(`[body.meter].map(x, [x+x].map(y, y)).size() == dyn(1)`), "is not allowed in rules (to_dyn)"},
		{when(strings.Repeat("(", 80) + "true" + strings.Repeat(")", 80)), "recursion"},
		{when("true" + strings.Repeat(" && true", 1000)), "size"},
		{when(`body.tags == ["a"]`), "lists can't be compared"},
		{when(`{"a": 1}.size() == 1`), "maps are not allowed in rules"},
		{when(`body.meter.matches(body.meter)`), "the pattern of matches must be a literal string"},
		{when(`body.meter.matches("(")`), `"(" is not a valid pattern`},
		{when(`timestamp(body.at) < timestamp(0)`), "timestamp is not allowed in rules"},
		{when(`b"a".size() == 1`), "a literal must be a string, int, double or bool"},
		{when(`size(bytes(body.meter)) == 1`), "bytes is not allowed in rules"},
		// Keys that may be the same for two different messages.
		{key(`body.meter`), `rule 2 ("by reading"), key: the key must be msg.key, msg.id or key(`},
		{key(`body.meter + ":" + string(body.at)`), "the key must be msg.key"},
		{key(`key("reading", body.meter)`), `the key of identity "reading" must be key("reading", body.meter, body.at)`},
		{key(`key("reading", body.at, body.meter)`), `the key of identity "reading" must be`},
		{key(`key("reading", body.meter, body.at + 1)`), `the key of identity "reading" must be`},
		{key(`key("other", body.meter, body.at)`), `message "meter" has no identity "other"`},
		{key(`body.at > 5 ? key("reading", body.meter, body.at) : "x"`), "the key must be msg.key"},
		{key(`key(body.meter, body.at)`), "the first argument of key must be a literal word"},
		{key(`key("reading", body.meter, body.value)`), "a part of key must be a string, an int or a bool"},
		{func(s *Spec) { s.Messages[0].Identities[0].Fields = []string{"value"} }, `field "value" must be a string, int or bool`},
		{func(s *Spec) { s.Messages[0].Identities[0].Fields = []string{"customer.urgent"} }, "has a default"},
		{func(s *Spec) { s.Messages[1].Identities = s.Messages[0].Identities }, `already declared for message "meter"`},
		// Classes.
		{func(s *Spec) { s.Rules[0].Class = `body.meter` }, "class: must be a literal string"},
		{func(s *Spec) { s.Rules[0].Class = `body.at > 5 ? "payment" : "nothing"` }, `unknown class "nothing"`},
		{func(s *Spec) { s.Rules[2].Relaxes = false }, `"line" allows repeats that may be harmful in "meter"`},
		{func(s *Spec) { s.Rules[0].Relaxes = true }, "no class of the rule gives a weaker guarantee"},
		{func(s *Spec) {
			s.Rules[0] = RuleSpec{Name: "x", For: []string{"payment"}, Class: `"meter"`, Relaxes: true}
		}, `key: must be set: "meter" is a keyed class`},
		{func(s *Spec) {
			s.Rules[0] = RuleSpec{Name: "x", For: []string{"payment"}, Class: `"meter"`, Key: "msg.key", Relaxes: true}
		}, "msg.key may be empty"},
		// The file.
		{field(FieldSpec{Name: "meter", Type: "int"}), `field "meter": duplicate name`},
		{field(FieldSpec{Name: "meter.x", Type: "int"}), `field "meter.x": "meter" is also declared as a field`},
		{field(FieldSpec{Name: "a b", Type: "int"}), `field "a b": name`},
		{field(FieldSpec{Name: "in", Type: "int"}), `field "in": name: contains a reserved word`},
		{field(FieldSpec{Name: "x", Type: "list(list(int))"}), `unknown type "list(list(int))", want`},
		{field(FieldSpec{Name: "x", Type: "string", Max: MaxStringChars + 1}), "max: 4097 is not between 1 and 4096"},
		{field(FieldSpec{Name: "x", Type: "list(int)", Max: MaxListItems + 1}), "max: 1025 is not between"},
		{field(FieldSpec{Name: "x", Type: "int", Max: 3}), "max is only allowed for strings and lists"},
		{field(FieldSpec{Name: "x", Type: "string", MaxItem: 3}), "max_item is only allowed for lists"},
		{field(FieldSpec{Name: "x", Type: "int", Default: "7"}), "default: body.x: it is no int"},
		{field(FieldSpec{Name: "x", Type: "string", Max: 2, Default: "abc"}), "default: body.x: 3 characters"},
		{func(s *Spec) { s.Messages[0].MaxBody = MaxBodyBytes + 1 }, "max_body: 65537 is not between"},
		{func(s *Spec) { s.Messages[0].Class = "nothing" }, `class: unknown class "nothing"`},
		{func(s *Spec) { s.Messages[1].Class = "meter" }, "class: duplicate declaration"},
		{func(s *Spec) { s.Rules[1].Name = "urgent" }, "name: duplicate rule name"},
		{func(s *Spec) { s.Rules[0].For = []string{"notice"} }, `for: no message "notice" is declared`},
		{func(s *Spec) { s.Rules[0].For = nil }, "for: must not be empty"},
		{func(s *Spec) { s.Rules[0].Class = "" }, "class or key must be set"},
		{func(s *Spec) { s.OnInvalid = "drop" }, "misfit: "},
		{func(s *Spec) { s.MaxCost = MaxCostLimit + 1 }, "max_cost: "},
		{func(s *Spec) { s.Rules = make([]RuleSpec, MaxRules+1) }, "rule: got 257, want at most 256"},
		{func(s *Spec) { s.Messages[0].Fields = make([]FieldSpec, MaxFields+1) }, "field: got 65, want at most 64"},
		// Examples.
		{
			func(s *Spec) {
				s.Examples = []ExampleSpec{{Name: "e", Class: "meter", Key: "k", Body: `{"meter":"HS-1","at":7}`}}
			},
			`example 1 ("e"): got rule "by reading", want ""`,
		},
		{func(s *Spec) {
			s.Examples = []ExampleSpec{{Name: "e", Class: "meter", Body: `{"meter":"HS-1","at":7}`, WantRule: "by reading", WantKey: "k"}}
		}, `got key "=reading:HS-1:7", want "k"`},
		{func(s *Spec) { s.Examples = []ExampleSpec{{Name: "e", Class: "meter", Body: `{}`}} }, `the message is invalid: body.meter: it is missing`},
		{func(s *Spec) { s.Examples = []ExampleSpec{{Name: "e", Class: "notice", WantInvalid: true}} }, `the message is valid, want it invalid`},
	} {
		t.Run(c.want, func(t *testing.T) {
			s := validSpec()
			c.change(&s)
			if _, err := Compile(s, classes); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// The bound is the cost of the most expensive evaluation, not the sum over all rules: only one rule gives a result.
func TestCostBoundIsHighestCost(t *testing.T) {
	set := compile(t, validSpec())
	var conditions, highestResult, body, total uint64
	for _, item := range set.CostBreakdown() {
		switch {
		case strings.HasSuffix(item.Name, "when"):
			conditions += item.Bound
		case strings.HasPrefix(item.Name, "rule"):
			highestResult = max(highestResult, item.Bound)
		case item.Name == "in all":
			total = item.Bound
		default:
			body = item.Bound
		}
	}
	if total != set.CostBound() || total < body+conditions || total > body+conditions+2*highestResult {
		t.Errorf("got bound %d, total %d; want them equal, at least the body's %d and the conditions' %d, and at most twice the result's %d more",
			set.CostBound(), total, body, conditions, highestResult)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	set, err := Compile(validSpec(), classes)
	if err != nil {
		b.Fatal(err)
	}
	for _, body := range []string{`{"meter":"HS-1","at":7}`, `{"meter":"AB-1","at":7,"tags":["line-1","b","c","d"]}`} {
		b.Run(fmt.Sprint(len(body), " bytes"), func(b *testing.B) {
			b.ReportAllocs()
			var cost uint64
			for b.Loop() {
				r, err := set.Evaluate(Input{ID: "id", Key: "own", Class: "meter", Body: []byte(body)})
				if err != nil {
					b.Fatal(err)
				}
				cost = r.Cost
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(cost), "ns/unit")
		})
	}
}

// ChangedClasses returns exactly the kinds of message for which two sets may give different results. A missing kind
// would break key guarantees during a change of rules, and an additional one would make messages wait.
func TestChangedClassesReturnsKindsWithDifferentResults(t *testing.T) {
	base := compile(t, validSpec())
	for _, c := range []struct {
		name   string
		change func(*Spec)
		want   string
	}{
		{"no change", func(*Spec) {}, "[]"},
		{"name of a rule and cost limit", func(s *Spec) { s.Rules[0].Name, s.MaxCost = "other", 9000 }, "[]"},
		{"declaration without a rule", func(s *Spec) { s.Messages[1].MaxBody = 9 }, "[]"},
		{"key of a rule", func(s *Spec) { s.Rules[1].Key = "msg.id" }, "[meter]"},
		{"order of rules", func(s *Spec) { s.Rules[0], s.Rules[1] = s.Rules[1], s.Rules[0] }, "[meter]"},
		{"size of a field", func(s *Spec) { s.Messages[0].Fields[0].Max = 31 }, "[meter]"},
		{"treatment of invalid messages", func(s *Spec) { s.OnInvalid = AcceptInvalid }, "[meter]"},
		{"rule for another kind", func(s *Spec) { s.Rules[0].For = []string{"meter", "payment"} }, "[payment]"},
		{"no rules", func(s *Spec) { *s = Spec{} }, "[meter]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := validSpec()
			c.change(&s)
			other := compile(t, s)
			forward, backward := fmt.Sprint(base.ChangedClasses(other)), fmt.Sprint(other.ChangedClasses(base))
			if forward != c.want || backward != c.want {
				t.Errorf("got %s and %s, want %s", forward, backward, c.want)
			}
		})
	}
	if got := fmt.Sprint(base.PossibleClasses("meter"), base.PossibleClasses("notice"), Empty().PossibleClasses("meter")); got != "[meter payment line] [notice] [meter]" {
		t.Errorf("got possible classes %s, want [meter payment line] [notice] [meter]", got)
	}
}
