package ruleset

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"wingmount/internal/testkit"
)

// The record's format is stable: the written bytes equal those of earlier versions, and the texts read from them are
// unchanged. Otherwise a node could not start with the record of an earlier version.
func TestGoldenRecordFormatIsStable(t *testing.T) {
	for name, texts := range map[string][]string{
		"none":   {""},
		"one":    {"[[rule]]\nname = \"a\"\nkey = 'body.a + \"<é>\"'\n"},
		"change": {"body.a", "body.b"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "rules-active")
			testkit.Must(t, writeActiveRules(path, texts))
			written, err := os.ReadFile(path)
			testkit.Must(t, err)
			file := "golden/" + name + ".json"
			testkit.Golden(t, file, written)
			testkit.CopyGolden(t, file, path)
			got, err := readActiveRules(path)
			testkit.Must(t, err)
			if !reflect.DeepEqual(got, texts) {
				t.Errorf("got %q, want %q", got, texts)
			}
		})
	}
}

// A process that finds a record with two rule sets resumes their change. A process that finds a record with one rule
// set starts with that set.
func TestGoldenRecordRestoresRulesAndResumesChange(t *testing.T) {
	for name, changing := range map[string]bool{"one_set": false, "change": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, t.TempDir())
			f.ruleFile = "body.b"
			file := map[bool]string{false: "golden/one_set.json", true: "golden/change.json"}[changing]
			if !changing {
				testkit.Must(t, writeActiveRules(f.record, []string{"body.b"}))
				written, err := os.ReadFile(f.record)
				testkit.Must(t, err)
				testkit.Golden(t, file, written)
			}
			testkit.CopyGolden(t, file, f.record)
			m := f.start(false)
			if m.ChangeInProgress() != changing {
				t.Errorf("got change in progress %t, want %t", m.ChangeInProgress(), changing)
			}
			expectKey(t, m, input("m", "x", "y"), map[bool]string{false: "y", true: ""}[changing])
		})
	}
}
