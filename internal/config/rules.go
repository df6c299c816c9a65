package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"wingmount/decide/rules"
	"wingmount/policy"
)

// MaxRulesFile is the maximum size of a rule file in bytes.
const MaxRulesFile = 1 << 20

// ReadRules reads the text of a rule file.
func ReadRules(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("reading the rules: %w", err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, MaxRulesFile+1))
	if err != nil {
		return "", fmt.Errorf("reading the rules: %w", err)
	}
	if len(text) > MaxRulesFile {
		return "", fmt.Errorf("reading the rules: %s has more than %d bytes", path, MaxRulesFile)
	}
	return string(text), nil
}

// ParseRules compiles the text of a rule file. If the text contains no rules, the set leaves each message unchanged.
func ParseRules(text string, classes []rules.Class) (*rules.Set, error) {
	var spec rules.Spec
	if err := decode([]byte(text), &spec); err != nil {
		return nil, err
	}
	return rules.Compile(spec, classes)
}

// LoadRules reads and compiles a rule file, and returns the rule set and the file's text. Errors name the file.
func LoadRules(path string, classes []rules.Class) (*rules.Set, string, error) {
	text, err := ReadRules(path)
	if err != nil {
		return nil, "", err
	}
	set, err := ParseRules(text, classes)
	if err != nil {
		var compileErrors rules.CompileErrors
		if errors.As(err, &compileErrors) {
			return nil, text, fmt.Errorf("%s:\n%w", path, err)
		}
		return nil, text, fmt.Errorf("%s: %w", path, err)
	}
	return set, text, nil
}

// RuleClasses returns the classes of the file as inputs of the compilation of rules.
func (f *File) RuleClasses() []rules.Class {
	settings, numbers := f.Settings(f.ClassNames(), f.ZoneNames())
	var classes []rules.Class
	for _, c := range f.Classes {
		s := settings.Classes[numbers.Classes[c.Name]]
		class := rules.Class{Name: c.Name, Repeat: s.Repeat, Ordered: s.Ordered}
		if s.Repeat == policy.Deduplicated {
			class.KeyRetention = s.DedupWindow
		}
		if s.Ordered {
			class.KeyRetention = max(class.KeyRetention, settings.KeyCooldown)
		}
		classes = append(classes, class)
	}
	return classes
}
