package config

import (
	"os"
	"strings"
	"testing"
	"time"
	"wingmount/internal/directory"
	"wingmount/policy"
)

// deployedGateway returns the text of deploy/gateway.toml.
func deployedGateway(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/gateway.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestLoadDeployedGatewayReturnsItsSettings(t *testing.T) {
	f, err := Load("../../deploy/gateway.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, w := f.Settings(f.ClassNames(), f.ZoneNames())
	c := s.Classes[w.Classes["meter-message"]]
	if c.Repeat != policy.Deduplicated || !c.GroupZone || c.GroupAll || c.DedupWindow != 12*time.Second || c.Deadline != 28*time.Second || c.Value != 1 {
		t.Errorf("got class %+v, want the settings of the file", c)
	}
	l := f.List()
	if len(l.Members) != 2 || !l.Complete || !l.Live || l.Members[1].Phase != directory.Active {
		t.Fatalf("got list %+v, want two active members", l)
	}
	if _, ok := w.Kinds[l.Members[0].Kind]; !ok || w.Zones[l.Members[0].Zone] == w.Zones[l.Members[1].Zone] {
		t.Errorf("got numbers %+v, want those of the kinds and zones of the list", w)
	}
	if !strings.HasSuffix(f.Store.Path, "deploy/wingmount.db") {
		t.Errorf("got path %s, want it in the folder of the file", f.Store.Path)
	}
}

// The section [partners] sets how endpoints drain and recover. Without the section, the defaults apply.
func TestSettingsHavePartnersOrDefaults(t *testing.T) {
	for _, c := range []struct {
		section string
		want    policy.Settings
	}{
		{"", policy.Settings{DrainGrace: time.Second, InitialCapacity: 0.2, WarmUp: 15 * time.Second, OverloadFactor: 2, OverloadWindow: 1500 * time.Millisecond}},
		{
			"[partners]\ndrain = \"3s\"\ncold_share = 1.0\nwarm_up = \"1s\"\nfalls_at = 4.0\nfalls_in = \"2s\"\n",
			policy.Settings{DrainGrace: 3 * time.Second, InitialCapacity: 1, WarmUp: time.Second, OverloadFactor: 4, OverloadWindow: 2 * time.Second},
		},
	} {
		before, after, _ := strings.Cut(deployedGateway(t), "[partners]")
		_, after, _ = strings.Cut(after, "\n[[class]]")
		f, err := Parse([]byte(before + c.section + "\n[[class]]" + after))
		if err != nil {
			t.Fatal(err)
		}
		s, _ := f.Settings(f.ClassNames(), f.ZoneNames())
		if s.DrainGrace != c.want.DrainGrace || s.InitialCapacity != c.want.InitialCapacity || s.WarmUp != c.want.WarmUp || s.OverloadFactor != c.want.OverloadFactor || s.OverloadWindow != c.want.OverloadWindow {
			t.Errorf("%q: got %+v, want %+v", c.section, s, c.want)
		}
	}
}

func TestParseInvalidFileReportsErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":    {"keep =", "keeps =", "line 14, column 1: unknown key store.keeps"},
		"syntax":         {"max_mb = 1024", "max_mb = ", "line 13"},
		"type":           {"max_mb = 1024", `max_mb = "much"`, "line 13"},
		"duration":       {`"12s"`, `"12"`, "not a duration"},
		"kind":           {`kind = "sqlite"`, `kind = "paper"`, `store.kind: got "paper", want one of`},
		"no url":         {`kind = "sqlite"`, `kind = "postgres"`, "store.url"},
		"url of sqlite":  {`kind = "sqlite"`, "kind = \"sqlite\"\nurl = \"postgres://a:b@c/d\"", "only allowed with store.kind = \"postgres\""},
		"short lease":    {`kind = "sqlite"`, "kind = \"postgres\"\nurl = \"postgres://a:b@c/d\"\nlease = \"10ms\"", "store.lease"},
		"journal":        {`kind = "sqlite"`, `kind = "journal"`, "store.durability"},
		"class twice":    {"[[destination]]", "[[class]]\nname=\"meter-message\"\nrepeat=\"unsafe\"\nwanted=\"1s\"\ndeadline=\"2s\"\n[[destination]]", "name: is used by another class"},
		"window":         {`repeat = "keyed"`, `repeat = "unsafe"`, "window"},
		"wanted":         {`wanted = "3s"`, `wanted = "30s"`, "wanted at most deadline"},
		"attempts":       {"attempts = 6", "attempts = 7", "limits.attempts: 7 is not between 1 and 6"},
		"same name":      {`"billing-2"`, `"billing-1"`, "has the same name"},
		"address":        {`"127.0.0.1:9102"`, `"nowhere"`, `"billing-2").address`},
		"no building":    {`building = "annex"`, `building = ""`, "building"},
		"answers":        {`"http://127.0.0.1:9000/answers"`, `"ftp://x"`, "answers.url"},
		"number":         {"number = 7", "number = 4294967296", "destination 1 (\"billing partner\").number: 4294967296 is not between 0 and 4294967295"},
		"drain":          {`drain = "1s"`, `drain = "1ms"`, "partners.drain: 1ms is not between"},
		"cold share":     {"cold_share = 0.2", "cold_share = 1.5", "partners.cold_share: 1.5 is not between"},
		"cold nan":       {"cold_share = 0.2", "cold_share = nan", "partners.cold_share"},
		"warm up":        {`warm_up = "15s"`, `warm_up = "-1s"`, "partners.warm_up"},
		"falls at":       {"falls_at = 2.0", "falls_at = 1.0", "partners.falls_at: 1 is not above 1"},
		"falls in":       {`falls_in = "1500ms"`, `falls_in = "2m"`, "partners.falls_in"},
		"rules' record":  {"[answers]", "[rules]\nrecord = \"x\"\n[answers]", "rules.file: is missing"},
		"no record":      {"[answers]", "[rules]\nfile = \"x\"\nrecord = \"x\"\n[answers]", "rules.record: must differ from rules.file"},
		"no destination": {"[[destination]]", "[[destinations]]", "unknown key"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(deployedGateway(t), c.old, c.new, 1)
			_, err := Parse([]byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q in it", err, c.want)
			}
		})
	}
	_, err := Parse([]byte(`name = "x"`))
	if err == nil || strings.Count(err.Error(), "\n") < 4 {
		t.Errorf("got error %v, want all errors of the file", err)
	}
}

// The rule file in deploy is valid. The default record file is the rule file's name with a suffix. Errors contain their
// line and column.
func TestLoadRulesReturnsSetOrErrorWithPosition(t *testing.T) {
	f, err := Parse([]byte(strings.Replace(deployedGateway(t), "[answers]", "[rules]\nfile = \"rules.toml\"\n[answers]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if f.Rules.Record != "rules.toml.active" {
		t.Errorf("got record %q, want rules.toml.active", f.Rules.Record)
	}
	classes := f.RuleClasses()
	if len(classes) != 1 || classes[0].KeyRetention != 12*time.Second || !classes[0].GuaranteesKeys() {
		t.Errorf("got classes %+v, want one with a key retention of 12 s", classes)
	}
	set, text, err := LoadRules("../../deploy/rules.toml", classes)
	if err != nil || set.RuleCount() != 1 {
		t.Fatalf("got error %v, want one rule", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"max_cost", "most_cost", "line 5, column 1: unknown key most_cost"},
		{"[[rule]]", "[[rule]", "line 39, column"},
		{`for = ["meter-message"]`, `for = ["x"]`, `rule 1 ("a reading is known by its meter and time"): for: no message "x"`},
	} {
		if _, err := ParseRules(strings.Replace(text, c.old, c.new, 1), classes); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q in it", c.new, err, c.want)
		}
	}
	tooLong := t.TempDir() + "/rules"
	if err := os.WriteFile(tooLong, make([]byte, MaxRulesFile+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := LoadRules(tooLong, classes); err == nil || !strings.Contains(err.Error(), "more than") {
		t.Errorf("got error %v for a file that is too long, want its limit", err)
	}
}

// Persisted numbers of classes and zones do not depend on the order in the current file. A class that the file no
// longer contains keeps its number and is not used.
func TestSettingsKeepPersistedNumbers(t *testing.T) {
	f, err := Load("../../deploy/gateway.toml")
	if err != nil {
		t.Fatal(err)
	}
	class := f.ClassNames()[0]
	s, w := f.Settings([]string{"removed", class}, append([]string{"removed"}, f.ZoneNames()...))
	if len(s.Classes) != 2 || w.Classes[class] != 1 || s.Classes[1].Deadline != time.Duration(f.Classes[0].Deadline) {
		t.Errorf("got classes %+v and numbers %v, want the class of the file as number 1", s.Classes, w.Classes)
	}
	if _, ok := w.Classes["removed"]; ok || s.Classes[0].Repeat != policy.AtMostOnce {
		t.Errorf("got %+v for a class that the file lacks, want it unused", s.Classes[0])
	}
	for i, z := range f.ZoneNames() {
		if w.Zones[z] != i+1 {
			t.Errorf("%s: got number %d, want %d", z, w.Zones[z], i+1)
		}
	}
	if len(s.ZoneFee) != len(f.ZoneNames())+1 {
		t.Errorf("got %d fees, want one for each zone", len(s.ZoneFee))
	}
}
