package rules

import (
	"fmt"
	"slices"

	"github.com/google/cel-go/cel"
)

// expressionCompiler compiles the expressions about one kind of message.
type expressionCompiler struct {
	kind       *messageKind
	env        *cel.Env // nil if the declaration has errors
	costs      costEstimator
	identities map[string][]string // names of variables, by the identity's name
}

// compileMessage compiles the declaration of one kind of message. identityOwners maps the names of the identities of
// earlier declarations to their classes: two kinds of message must not declare identities with the same name.
func (c *compiler) compileMessage(place string, m MessageSpec, identityOwners map[string]string) *expressionCompiler {
	report := c.reportIn(place)
	errorsBefore := len(c.errs)
	kind := &messageKind{class: m.Class, body: newBody(m, report)}
	c.set.kinds[m.Class] = kind
	ec := &expressionCompiler{kind: kind, costs: newCostEstimator(kind.body), identities: map[string][]string{}}
	for _, identity := range m.Identities {
		ec.addIdentity(identity, identityOwners, report)
	}
	if len(c.errs) > errorsBefore {
		return ec
	}
	env, err := newEnvironment(kind.body)
	if err != nil {
		report("field", "%v", err)
		return ec
	}
	for _, f := range kind.body.fields {
		if _, issues := env.Compile(f.variable); issues.Err() != nil {
			report(fmt.Sprintf("field %q", f.name), "name: contains a reserved word")
			return ec
		}
	}
	ec.env = env
	return ec
}

// addIdentity checks and adds an identity.
func (ec *expressionCompiler) addIdentity(identity IdentitySpec, owners map[string]string, report reportFunc) {
	where := fmt.Sprintf("identity %q", identity.Name)
	if !wordName.MatchString(identity.Name) {
		report(where, "name: must be a letter, followed by at most 31 letters, digits, _ and -")
	}
	if owner, exists := owners[identity.Name]; exists {
		report(where, "already declared for message %q", owner)
	}
	owners[identity.Name] = ec.kind.class
	if len(identity.Fields) == 0 || len(identity.Fields) > maxKeyParts {
		report(where, "must have 1 to %d fields", maxKeyParts)
	}
	var variables []string
	for i, name := range identity.Fields {
		f := ec.kind.body.field(name)
		switch {
		case f == nil:
			report(where, "field %q is not declared", name)
		case slices.Contains(identity.Fields[:i], name):
			report(where, "duplicate field %q", name)
		case f.list || f.scalarType == "double":
			report(where, "field %q must be a string, int or bool", name)
		case f.defaultValue != nil:
			report(where, "field %q has a default: a field of an identity must be required", name)
		}
		variables = append(variables, bodyVariable(name))
	}
	ec.identities[identity.Name] = variables
}
