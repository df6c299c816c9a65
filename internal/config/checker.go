package config

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// checker collects the errors of a file.
type checker struct{ errs []error }

// err returns an error that joins all reported errors, or nil.
func (c *checker) err() error { return errors.Join(c.errs...) }

// report adds an error for the setting at where.
func (c *checker) report(where, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", where, fmt.Sprintf(format, args...)))
}

// required checks that a setting is not empty.
func (c *checker) required(where, value string) {
	if value == "" {
		c.report(where, "is missing")
	}
}

// oneOf checks that a setting has one of the allowed values.
func (c *checker) oneOf(where, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(where, "got %q, want one of %q", value, allowed)
	}
}

// within checks that a number is between low and high, inclusive.
func (c *checker) within(where string, value, low, high int) {
	if value < low || value > high {
		c.report(where, "%d is not between %d and %d", value, low, high)
	}
}

// address checks that a setting is HOST:PORT. The host may be empty.
func (c *checker) address(where, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		c.report(where, "%q is not HOST:PORT", value)
	}
}
