package rules

import (
	"errors"
	"fmt"
)

// defaultExampleID is the message id of an example that does not set one.
const defaultExampleID = "example"

// checkExamples evaluates the examples of the file and reports each whose result is not the expected one.
func (c *compiler) checkExamples() {
	for i, example := range c.set.spec.Examples {
		place := fmt.Sprintf("example %d (%q)", i+1, example.Name)
		if _, exists := c.set.classes[example.Class]; !exists {
			c.report(place, "class: unknown class %q", example.Class)
			continue
		}
		if example.ID == "" {
			example.ID = defaultExampleID
		}
		if example.WantClass == "" {
			example.WantClass = example.Class
		}
		c.checkExample(place, example)
	}
}

func (c *compiler) checkExample(place string, example ExampleSpec) {
	result, err := c.set.Evaluate(Input{
		ID: example.ID, Key: example.Key, Class: example.Class, Dest: example.Dest, Body: []byte(example.Body),
	})
	invalid := result.Invalid
	errors.As(err, &invalid)
	ruleName := c.set.RuleName(result.Rule)
	switch {
	case invalid != nil && !example.WantInvalid:
		c.report(place, "the message is invalid: %v", invalid)
	case invalid != nil:
	case example.WantInvalid:
		c.report(place, "the message is valid, want it invalid")
	case ruleName != example.WantRule:
		c.report(place, "got rule %q, want %q", ruleName, example.WantRule)
	case result.Class != example.WantClass:
		c.report(place, "got class %q, want %q", result.Class, example.WantClass)
	case example.WantKey != "" && result.Key != example.WantKey:
		c.report(place, "got key %q, want %q", result.Key, example.WantKey)
	}
}
