package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"wingmount/decide/rules"
	"wingmount/internal/config"
	"wingmount/internal/message"
	"wingmount/internal/printer"
)

// rulesArgs are the arguments of 'wingmount rules'.
type rulesArgs struct {
	Config string `name:"config" required:"" placeholder:"FILE" help:"The file of this installation."`
	Rules  string `name:"rules" placeholder:"FILE" help:"The file of rules, where it is not the one that the installation names."`

	Check    struct{} `cmd:"" name:"check" help:"Say what is wrong with the rules, or what they may cost."`
	Evaluate struct {
		Class       string `name:"class" required:"" help:"The class that the client names."`
		ID          string `name:"id" default:"example" help:"The message's id."`
		Key         string `name:"key" help:"The client's own key."`
		Destination int    `name:"dest" help:"The number of the destination."`
		Body        string `arg:"" name:"body" help:"A file with the body, - for standard input."`
	} `cmd:"" name:"try" help:"Judge one message."`
	Diff struct {
		New      string `arg:"" name:"new" help:"Another file of rules."`
		Messages string `arg:"" name:"messages" help:"Messages, one JSON object a line with class, id, key, dest and body; - for standard input."`
	} `cmd:"" name:"diff" help:"Tell what other rules would change for messages."`
}

// rulesCommand runs what follows 'rules' on the command line.
func rulesCommand(args []string, in io.Reader, out io.Writer) error {
	var a rulesArgs
	command, err := parseArgs("wingmount rules", "Looks at rules for keys and classes, see docs/operate/rules.md.", &a, args, out)
	if err != nil {
		return ignoreHelp(err)
	}
	f, err := config.Load(a.Config)
	if err != nil {
		return err
	}
	path := a.Rules
	if path == "" {
		path = f.Rules.File
	}
	if path == "" {
		return fmt.Errorf("%s names no file of rules", a.Config)
	}
	classes := f.RuleClasses()
	set, _, err := config.LoadRules(path, classes)
	if err != nil {
		return err
	}
	switch command {
	case "check":
		return printCostBounds(path, set, out)
	case "try <body>":
		return evaluateMessage(a, set, in, out)
	}
	other, _, err := config.LoadRules(a.Diff.New, classes)
	if err != nil {
		return err
	}
	return diffRules(a.Diff.Messages, set, other, in, out)
}

// printCostBounds prints a table of the parts of the highest cost of a message, and their sum.
func printCostBounds(path string, set *rules.Set, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	for _, part := range set.CostBreakdown() {
		p.Printf("%s\t%s\t%d\n", part.Class, part.Name, part.Bound)
	}
	p.Printf("%s is good: %d rules, %d units at most for a message\n", path, set.RuleCount(), set.CostBound())
	return p.Err()
}

// openInput opens a file, or standard input for -.
func openInput(path string, stdin io.Reader) (io.ReadCloser, error) {
	if path == "-" {
		return io.NopCloser(stdin), nil
	}
	return os.Open(path)
}

// evaluation is the result of evaluating a message by a rule set, as operators read it.
type evaluation struct {
	Rule    string `json:"rule,omitempty"` // empty if no rule matches
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`
	Invalid string `json:"misfit,omitempty"` // why the message does not fit its declaration
	Cost    uint64 `json:"cost"`
}

func (e evaluation) valid() bool { return e.Invalid == "" }

func evaluate(set *rules.Set, in rules.Input) evaluation {
	result, err := set.Evaluate(in)
	var invalid *rules.InvalidMessageError
	if errors.As(err, &invalid) {
		return evaluation{Invalid: invalid.Error(), Cost: invalid.Cost}
	}
	e := evaluation{Rule: set.RuleName(result.Rule), Class: result.Class, Key: result.Key, Cost: result.Cost}
	if result.Invalid != nil {
		e.Invalid = result.Invalid.Error()
	}
	return e
}

// evaluateMessage evaluates the message that the arguments give, and prints the result as JSON.
func evaluateMessage(a rulesArgs, set *rules.Set, in io.Reader, out io.Writer) error {
	file, err := openInput(a.Evaluate.Body, in)
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	defer func() { _ = file.Close() }()
	body, err := io.ReadAll(io.LimitReader(file, message.MaxBodyLength+1))
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	input := rules.Input{ID: a.Evaluate.ID, Key: a.Evaluate.Key, Class: a.Evaluate.Class, Dest: a.Evaluate.Destination, Body: body}
	return json.NewEncoder(out).Encode(evaluate(set, input))
}
