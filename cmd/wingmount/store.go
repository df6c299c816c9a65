package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"wingmount/internal/config"
	"wingmount/internal/store"
	"wingmount/internal/store/sqlite"
)

var errStoreUsage = errors.New("usage: wingmount store check|stat|show ID|export|backup FILE|migrate --config FILE")

// storeCommand runs an operator's tool on the store that a file names. All but migrate work
// on a running node's store too, and change nothing in it.
func storeCommand(args []string, out io.Writer) (err error) {
	if len(args) == 0 {
		return errStoreUsage
	}
	tool, rest := args[0], args[1:]
	operand := ""
	if tool == "show" || tool == "backup" {
		if len(rest) == 0 {
			return errStoreUsage
		}
		operand, rest = rest[0], rest[1:]
	}
	path, err := configFlag("store "+tool, rest, nil)
	if err != nil {
		return err
	}
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	if f.Store.Kind != "sqlite" {
		return fmt.Errorf("%s: store.kind is %q: these tools know sqlite alone", path, f.Store.Kind)
	}
	if tool == "migrate" {
		from, to, err := sqlite.Migrate(sqlite.Config{Path: f.Store.Path})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: schema %d, was %d\n", f.Store.Path, to, from)
		return err
	}
	i, err := sqlite.Inspect(f.Store.Path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, i.Close()) }()
	encoder := json.NewEncoder(out)
	switch tool {
	case "check":
		if err := i.Check(); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s is good\n", f.Store.Path)
		return err
	case "stat":
		return printStat(i, out)
	case "show":
		found := false
		err := i.Entries(operand, func(e store.Entry) error { found = true; return encoder.Encode(e) })
		if err == nil && !found {
			err = fmt.Errorf("%s is not on record: never taken, or let go of after store.keep", operand)
		}
		return err
	case "export":
		return i.Entries("", func(e store.Entry) error { return encoder.Encode(e) })
	case "backup":
		if err := i.Backup(operand); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s is a copy of %s\n", operand, f.Store.Path)
		return err
	}
	return errStoreUsage
}

func printStat(i *sqlite.Inspector, out io.Writer) error {
	s, err := i.Stat()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	oldest := "-"
	if s.OldestRunning != nil {
		oldest = s.OldestRunning.Format("2006-01-02 15:04:05.000")
	}
	for _, row := range []struct {
		name  string
		value any
	}{
		{"schema", s.Schema}, {"commits", s.Commits}, {"last commit", s.LastCommit.Format("2006-01-02 15:04:05.000")},
		{"running", s.Running}, {"oldest running", oldest}, {"attempts at running", s.Attempts},
		{"answers owed", s.Owed}, {"answers kept", s.Kept},
		{"bytes", s.Bytes}, {"free bytes", s.FreeBytes}, {"WAL bytes", s.WALBytes}, {"intent bytes", s.IntentBytes},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}
