// Command review-second plays one case of the second review: review-second CASE FOLDER BINARY. It writes
// record.txt into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hollowgrade/hollowgrade/review/second/standin"
)

// play is what a case gets.
type play struct {
	ctx     context.Context
	log     *standin.Record
	world   *standin.World
	trouble bool
}

// cases are the cases by name. Each returns how often its rule was broken.
var cases = map[string]func(p *play) (broken int, err error){
	"silence":     silence,
	"late-reuse":  lateReuse,
	"silent-conn": silentConnections,
	"no-answer":   noAnswer,
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-second CASE FOLDER BINARY")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, binary string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	log, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer log.Close()
	stopped, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(stopped, maxTime)
	defer cancel()
	w, err := standin.NewWorld(binary, log)
	if err != nil {
		log.Say("not run: %v", err)
		return exitNotRun
	}
	defer w.Close(os.Getenv("KEEP") != "")
	p := &play{ctx: ctx, log: log, world: w, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := f(p)
	switch {
	case err != nil:
		log.Say("not run: %v", err)
		return exitNotRun
	case broken > 0:
		log.Say("rule broken: %d times, trouble=%v", broken, p.trouble)
		return exitBroken
	default:
		log.Say("rule held, trouble=%v", p.trouble)
		return exitHeld
	}
}
