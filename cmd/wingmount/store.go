package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"wingmount/internal/config"
	"wingmount/internal/node"
	"wingmount/internal/printer"
	"wingmount/internal/store"
)

var errStoreUsage = errors.New("usage: wingmount store check|stat|show ID|export|backup FILE|migrate --config FILE")

// storeCommand runs what follows 'store' on the command line, on the store that a node's file names. All tools but
// migrate may be used on the store of a running node, and change nothing in it.
func storeCommand(ctx context.Context, args []string, out io.Writer) (err error) {
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
	path, err := parseConfigFlag("store "+tool, rest, nil)
	if err != nil {
		return err
	}
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	if tool == "migrate" {
		return migrateStore(ctx, f, out)
	}
	inspector, err := node.InspectStore(ctx, f)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, inspector.Close()) }()
	return inspectStore(ctx, inspector, tool, operand, out)
}

// migrateStore migrates a store to the schema of this build.
func migrateStore(ctx context.Context, f *config.File, out io.Writer) error {
	from, to, err := node.MigrateStore(ctx, f)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "the store has schema %d, was %d\n", to, from)
	return err
}

// inspectStore runs a tool that changes nothing in the store.
func inspectStore(ctx context.Context, inspector store.Inspector, tool, operand string, out io.Writer) error {
	encoder := json.NewEncoder(out)
	switch tool {
	case "check":
		if err := inspector.Check(ctx); err != nil {
			return err
		}
		_, err := fmt.Fprintln(out, "the store is good")
		return err
	case "stat":
		return printStat(ctx, inspector, out)
	case "show":
		found := false
		err := inspector.Entries(ctx, operand, func(e store.Entry) error { found = true; return encoder.Encode(e) })
		if err == nil && !found {
			err = fmt.Errorf("%s is not on record: never taken, or let go of since", operand)
		}
		return err
	case "export":
		return inspector.Entries(ctx, "", func(e store.Entry) error { return encoder.Encode(e) })
	case "backup":
		if err := inspector.Backup(ctx, operand); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s is a copy of the store\n", operand)
		return err
	}
	return errStoreUsage
}

// printStat prints the figures of a store as a table.
func printStat(ctx context.Context, inspector store.Inspector, out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	figures, err := inspector.Stat(ctx)
	if err != nil {
		return err
	}
	for _, f := range figures {
		p.Printf("%s\t%v\n", f.Name, f.Value)
	}
	return p.Err()
}
