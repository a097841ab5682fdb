// Command cases plays one case of the review with gateways as separate processes. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime is after which a case is given up, with all processes that it started.
const maxTime = 110 * time.Second

// outcome is the result of a case.
type outcome struct {
	broken []string // one line for each breach
	notes  []string
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE BINARY FOLDER")
		os.Exit(failed)
	}
	cases := map[string]func(*world) (outcome, error){"hangup": hangup, "leaving": leaving, "grace": longerGrace}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(play func(*world) (outcome, error), binary, folder string) int {
	w, err := newWorld(binary, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	overdue := time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes longer than", maxTime)
		w.close()
		os.Exit(failed)
	})
	o, err := play(w)
	overdue.Stop()
	w.close()
	for _, n := range o.notes {
		w.say("note: %s", n)
	}
	for _, b := range o.broken {
		w.say("broken: %s", b)
	}
	code := held
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		code = failed
	case len(o.broken) > 0:
		w.say("rule broken %d times", len(o.broken))
		code = broken
	default:
		w.say("rule held")
	}
	if err = w.record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record not written:", err)
		return failed
	}
	return code
}
