package rules

import (
	"errors"
	"fmt"
	"strings"
)

// Evaluate returns the class and the key of a message, as set by the first rule whose condition is true. It returns the
// client's class or key if that rule does not set it, and both if no condition is true. The error is always an
// [*InvalidMessageError].
func (s *Set) Evaluate(in Input) (Result, error) {
	kind := s.kinds[in.Class]
	if kind == nil || len(kind.rules) == 0 {
		return unchanged(in), nil
	}
	result, err := kind.evaluate(in)
	var invalid *InvalidMessageError
	if errors.As(err, &invalid) && !invalid.reservedKey && s.spec.OnInvalid == AcceptInvalid {
		result = unchanged(in)
		result.Cost, result.Invalid = invalid.Cost, invalid
		return result, nil
	}
	return result, err
}

// unchanged returns the result for a message that keeps the class and the key of its client.
func unchanged(in Input) Result { return Result{Class: in.Class, Key: in.Key, Rule: NoRule} }

// evaluate returns the result of the first rule that matches. After an error the result contains the cost so far and,
// if the class or the key of a matched rule failed, the index of that rule.
func (k *messageKind) evaluate(in Input) (Result, error) {
	e := evaluation{result: unchanged(in)}
	if k.computesKeys && strings.HasPrefix(in.Key, computedKeyPrefix) {
		return e.result, &InvalidMessageError{
			Place: "Idempotency-Key", Reason: "it begins with " + computedKeyPrefix + ", as computed keys do", reservedKey: true,
		}
	}
	variables, cost, invalid := k.body.read(in.Body)
	e.result.Cost = cost
	if invalid != nil {
		invalid.Cost = cost
		return e.result, invalid
	}
	variables["msg.id"], variables["msg.key"], variables["msg.class"] = in.ID, in.Key, in.Class
	variables["msg.dest"], variables["msg.size"] = int64(in.Dest), int64(len(in.Body))
	e.variables = variables
	for i := range k.rules {
		r := &k.rules[i]
		matched, err := e.matches(r)
		if err != nil {
			return e.result, err
		}
		if matched {
			err := e.apply(r)
			return e.result, err
		}
	}
	return e.result, nil
}

// evaluation is the state of evaluating one message.
type evaluation struct {
	variables map[string]any // by the names that expressions use
	result    Result
}

// matches reports whether the condition of a rule is true.
func (e *evaluation) matches(r *rule) (bool, error) {
	if r.when == nil {
		return true, nil
	}
	value, err := e.run(r, "when", r.when)
	if err != nil {
		return false, err
	}
	return value == true, nil
}

// apply sets the class and the key of the result to those of a matched rule.
func (e *evaluation) apply(r *rule) error {
	e.result.Rule = r.index
	if err := e.runString(r, "class", r.class, &e.result.Class); err != nil {
		return err
	}
	if err := e.runString(r, "key", r.key, &e.result.Key); err != nil {
		return err
	}
	if r.key != nil && !validKey(e.result.Key) {
		reason := fmt.Sprintf("%.60q is no key: 1 to %d printable characters without spaces", e.result.Key, maxKeyBytes)
		return e.invalid(r, "key", reason)
	}
	return nil
}

// runString evaluates an expression of type string and stores its value in text. It leaves text unchanged if p is nil.
func (e *evaluation) runString(r *rule, setting string, p *program, text *string) error {
	if p == nil {
		return nil
	}
	value, err := e.run(r, setting, p)
	if err != nil {
		return err
	}
	*text = value.(string) // Compile checked the type of the expression
	return nil
}

// run evaluates one expression of a rule and adds its cost to the result.
func (e *evaluation) run(r *rule, setting string, p *program) (any, error) {
	value, details, err := p.run.Eval(e.variables)
	if details != nil && details.ActualCost() != nil {
		e.result.Cost += *details.ActualCost()
	}
	if err != nil {
		return nil, e.invalid(r, setting, err.Error())
	}
	return value.Value(), nil
}

func (e *evaluation) invalid(r *rule, setting, reason string) error {
	return &InvalidMessageError{Place: fmt.Sprintf("rule %q, %s", r.name, setting), Reason: reason, Cost: e.result.Cost}
}
