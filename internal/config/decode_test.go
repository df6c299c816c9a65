package config

import (
	"strings"
	"testing"
	"wingmount/decide/rules"
)

// Operators see the names of struct fields in decoder errors. The reported names stay when a field is renamed.
func TestDecodeTypeErrorHasReportedFieldNames(t *testing.T) {
	for name, c := range map[string]struct {
		text, want string
		into       any
	}{
		"limits.held":         {"[limits]\nheld = \"x\"", "line 2, column 8: toml: cannot decode TOML string into struct field config.Limits.Held of type int", &File{}},
		"partners.cold_share": {"[partners]\ncold_share = \"x\"", "struct field config.Partners.ColdShare of type float64", &File{}},
		"class.worth":         {"[[class]]\nworth = \"x\"", "struct field config.Class.Worth of type float64", &File{}},
		"class.late_worth":    {"[[class]]\nlate_worth = \"x\"", "struct field config.Class.LateWorth of type float64", &File{}},
		"control world":       {"world = 3", "struct field config.Control.World of type string", &Control{}},
		"rules misfit":        {"misfit = 3", "struct field rules.Spec.Misfit of type string", &rules.Spec{}},
		"rules want_misfit":   {"[[example]]\nwant_misfit = 3", "struct field rules.ExampleSpec.Misfit of type bool", &rules.Spec{}},
	} {
		t.Run(name, func(t *testing.T) {
			err := decode([]byte(c.text), c.into)
			if err == nil || !strings.HasSuffix(err.Error(), c.want) {
				t.Errorf("got error %v, want the suffix %q", err, c.want)
			}
		})
	}
}
