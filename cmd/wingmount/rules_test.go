package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"wingmount/internal/testkit"
)

// The commands for rules work on the project's samples, and on changed ones.
func TestRulesCommand(t *testing.T) {
	const gateway, sample = "../../deploy/gateway.toml", "../../deploy/rules.toml"
	dir := t.TempDir()
	text, err := os.ReadFile(sample)
	testkit.Must(t, err)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		testkit.Must(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	// The other rules treat corrections as readings, and are stricter about bodies.
	other := write("other.toml", strings.NewReplacer(`when = '!body.flags.exists(f, f == "correction")'`, "", `max = 32 `, `max = 8 `,
		"[[example]]\nname = \"a correction", "[[example]]\nwant_rule = \"a reading is known by its meter and time\"\nname = \"a correction", `want_key = "c-1"`, "").Replace(string(text)))
	loops := write("loops.toml", strings.ReplaceAll(string(text), `f == "correction"`, `body.flags.exists(g, body.flags.exists(h, f.contains(g) && g.contains(h)))`))
	typo := write("typo.toml", string(text)+"\n[[rule]]\nnmae = \"x\"\n")
	wrong := write("wrong.toml", strings.ReplaceAll(string(text), `"correction")'`, `7)'`))
	messages := write("messages", `{"class":"meter-message","id":"1","key":"c","body":{"meter":"HS-1","read_at":1,"flags":["correction"]}}
{"class":"meter-message","id":"2","key":"c","body":{"meter":"HS-1","read_at":1}}
{"class":"meter-message","id":"3","key":"c","body":{"meter":"HS-123456789","read_at":1}}
`)
	for _, c := range []struct {
		name string
		args []string
		in   string
		out  string // part of it
		err  string // part of it
	}{
		{"good rules", []string{"check", "--rules", sample}, "", "1 rules, 556 units at most", ""},
		{"no rules", []string{"check"}, "", "", "names no file of rules"},
		{"too costly", []string{"check", "--rules", loops}, "", "", `message "meter-message": evaluating its rules may cost`},
		{"unknown key", []string{"check", "--rules", typo}, "", "", "unknown key"},
		{"type error", []string{"check", "--rules", wrong}, "", "", `rule 1 ("a reading is known by its meter and time"), when, line 1, column 25: found no matching overload for '_==_' applied to '(string, int)'`},
		{"no such file", []string{"check", "--rules", dir + "/nothing"}, "", "", "reading the rules"},
		{"valid message", []string{"try", "--rules", sample, "--class", "meter-message", "-"}, `{"meter":"a","read_at":5}`, `"key":"=reading:a:5"`, ""},
		{"invalid message", []string{"try", "--rules", sample, "--class", "meter-message", "-"}, `{"meter":"a"}`, `"misfit":"body.read_at: it is missing"`, ""},
		{"difference", []string{"diff", "--rules", sample, other, messages}, "", "3 messages: 0 of another class, 1 with another key, 1 would not fit any more, 0 would fit now", ""},
		{"malformed message", []string{"diff", "--rules", sample, other, "-"}, "{", "", "line 1"},
		{"help", []string{"--help"}, "", "check", ""},
		{"unknown command", []string{"dance"}, "", "", "dance"},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if args[0] != "--help" {
				args = append(args, "--config", gateway)
			}
			var out bytes.Buffer
			err := rulesCommand(args, strings.NewReader(c.in), &out)
			if !strings.Contains(out.String(), c.out) || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %q, %v; want %q, %q", out.String(), err, c.out, c.err)
			}
		})
	}
	// A node's file is checked with its rules.
	text, err = os.ReadFile(gateway)
	testkit.Must(t, err)
	for path, good := range map[string]bool{other: true, wrong: false} {
		file := write("gateway.toml", "rules = { file = \""+path+"\" }\n"+string(text))
		if err := runCommand(t.Context(), []string{"check", "--config", file}, nil, &bytes.Buffer{}, nil); (err == nil) != good {
			t.Errorf("check with %s: got %v, want it accepted: %t", path, err, good)
		}
	}
}
