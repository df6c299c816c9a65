// Command review2 drives the cases of the second review: it starts the project's programs as processes, has
// stand-ins of partners, receivers and the platform, and checks one rule a case. It is built by review/build-2.sh.
//
// It exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sort"
	"time"
)

// limit is when a run ends that has not ended by itself.
const limit = 116 * time.Second

// errBroken wraps each breach of a rule.
var errBroken = errors.New("the rule is broken")

// A scenario plays a case and returns nil, an error that wraps errBroken, or another error if it couldn't run.
type scenario func(r *run) error

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		names := []string{}
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: review2 SCENARIO TEMPORARY-FOLDER RECORD-FILE; scenarios:", names)
		os.Exit(2)
	}
	play, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no scenario", os.Args[1])
		os.Exit(2)
	}
	r, err := newRun(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes that this thread starts end with it
	time.AfterFunc(limit, func() {
		r.endProcesses()
		r.logf("result: the case couldn't run: it had not ended after %v", limit)
		os.Exit(2)
	})
	err = play(r)
	r.endProcesses()
	switch {
	case err == nil:
		r.logf("result: the rule held")
	case errors.Is(err, errBroken):
		r.logf("result: %v", err)
		os.Exit(1)
	default:
		r.logf("result: the case couldn't run: %v", err)
		os.Exit(2)
	}
}
