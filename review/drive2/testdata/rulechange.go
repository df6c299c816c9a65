package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
	"wingmount/internal/fake/pgserver"
)

func init() { scenarios["rulechange"] = playRuleChange }

// ruleFile returns a rule file that gives each reading a key by some of its fields.
func ruleFile(identity, fields, key string) string {
	return fmt.Sprintf(`
max_cost = 3000
misfit = "refuse"
[[message]]
class = "meter-message"
max_body = 4096
  [[message.field]]
  name = "meter"
  type = "string"
  max = 32
  [[message.field]]
  name = "read_at"
  type = "int"
  [[message.field]]
  name = "account"
  type = "string"
  max = 24
  [[message.identity]]
  name = %q
  fields = [%s]
[[rule]]
name = "a reading is known by its fields"
for = ["meter-message"]
key = %q
`, identity, fields, key)
}

// playRuleChange: two nodes on one PostgreSQL use one rule file. Readings are handed in at the first node and run. Then the
// file is changed and both nodes get SIGHUP; the same readings are handed in under other ids at the second node.
func playRuleChange(r *run) error {
	const (
		window   = 12 * time.Second
		readings = 5
	)
	before := ruleFile("reading", `"meter", "read_at"`, `key("reading", body.meter, body.read_at)`)
	after := ruleFile("account-reading", `"account", "meter", "read_at"`, `key("account-reading", body.account, body.meter, body.read_at)`)
	p := newPartner(r, window)
	p.wide = true
	var at [2]string
	var err error
	for i, building := range []string{"ops-building", "annex"} {
		if at[i], err = p.endpoint("billing-"+building, building, func([]string) (int, time.Duration, time.Duration) { return 0, 0, 100 * time.Millisecond }); err != nil {
			return err
		}
	}
	answers, err := newReceiver(r, 0)
	if err != nil {
		return err
	}
	database, err := pgserver.New(pgserver.Config{Path: filepath.Join(r.dir, "pg.db"), User: "wing", Password: "mount"})
	if err != nil {
		return err
	}
	var listen [2]string
	var nodes [2]*process
	for i := range nodes {
		if listen[i], err = freeAddress(); err != nil {
			return err
		}
		name := fmt.Sprint("gateway-", i+1)
		if _, err := r.write(name+".rules.toml", before); err != nil {
			return err
		}
		config, err := r.write(name+".toml", fmt.Sprintf(`
name = %q
listen = %q
[store]
kind = "postgres"
url = %q
lease = "10s"
[answers]
url = "http://%s/answers"
[rules]
file = %q
[limits]
nodes = 2
[[class]]
name = "meter-message"
repeat = "keyed"
window = "12s"
group = "destination"
wanted = "3s"
deadline = "28s"
late_worth = 0.5
[[destination]]
number = 7
name = "billing partner"
  [[destination.endpoint]]
  name = "billing-ops"
  address = %q
  building = "ops-building"
  [[destination.endpoint]]
  name = "billing-annex"
  address = %q
  building = "annex"
`, name, listen[i], database.URL(), answers.address, name+".rules.toml", at[0], at[1]))
		if err != nil {
			return err
		}
		if nodes[i], err = r.start(name, "bin/wingmount run --config "+config); err != nil {
			return err
		}
		if err := awaitReady(nodes[i], listen[i], 20*time.Second); err != nil {
			return err
		}
	}
	r.until(window + 4*time.Second) // the keys of earlier processes of the nodes can't be in use any more
	body := func(i int) []byte {
		return []byte(fmt.Sprintf(`{"meter":"HS-%04d","read_at":1764547200,"account":"A%d"}`, i, i))
	}
	for i := range readings {
		id := fmt.Sprint("first-", i)
		status, err := submit(listen[0], handIn{id, "meter-message", "", 7, 28 * time.Second, body(i)})
		r.logf("client: reading %d as %s at gateway-1 is answered %d, %v", i, id, status, err)
		if status != 202 {
			return fmt.Errorf("%s was not taken on", id)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		for i := range nodes {
			if _, err := r.write(fmt.Sprintf("gateway-%d.rules.toml", i+1), after); err != nil {
				return err
			}
			if err := nodes[i].signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
		r.logf("the rule file is changed, and both nodes got SIGHUP")
		time.Sleep(time.Second)
	}
	for i := range readings {
		id := fmt.Sprint("second-", i)
		status, err := submit(listen[1], handIn{id, "meter-message", "", 7, 28 * time.Second, body(i)})
		r.logf("client: reading %d as %s at gateway-2 is answered %d, %v", i, id, status, err)
	}
	// For comparison: the same readings once more at the first node.
	for i := range readings {
		id := fmt.Sprint("third-", i)
		status, err := submit(listen[0], handIn{id, "meter-message", "", 7, 28 * time.Second, body(i)})
		r.logf("client: reading %d as %s at gateway-1 is answered %d, %v", i, id, status, err)
	}
	time.Sleep(4 * time.Second)
	twice := 0
	for i := range readings {
		runs := 0
		for _, turn := range []string{"first", "second", "third"} {
			id := fmt.Sprint(turn, "-", i)
			for _, e := range p.effects(id) {
				runs++
				r.logf("reading %d: ran as %s at %.3f in %s", i, id, e.at.Sub(r.begin).Seconds(), e.building)
			}
		}
		if runs > 1 {
			twice++
		}
	}
	r.keepLogs("gateway-1", 20)
	r.keepLogs("gateway-2", 20)
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d readings ran twice within the window of their key", errBroken, twice, readings)
	}
	return nil
}
