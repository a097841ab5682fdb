// Command hollowgrade-standin runs a stand-in for one of the systems around hollowgrade, for
// examples and tests. It is not part of the product.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/standalone"
)

const headerTimeout = 5 * time.Second

type commands struct {
	Platform platformCommand `cmd:"" help:"Log, box list and weight store on one address."`
	Engine   engineCommand   `cmd:"" help:"A model engine."`
	Service  serviceCommand  `cmd:"" help:"A plain service."`
}

type listen struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0"`
}

// serve prints its address, so that the caller needn't choose a port.
func (l listen) serve(h http.Handler) error {
	n, err := standin.Listen(l.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("http://%s\n", n.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	return s.Serve(n)
}

type platformCommand struct {
	listen
	Retention time.Duration `help:"How long the log keeps records; for ever if 0."`
	Lag       time.Duration `help:"Age of what the box list shows."`
}

const (
	weightsInterval = 500 * time.Millisecond
	weightsBurst    = 3
)

// Run runs the command.
func (c *platformCommand) Run() error {
	k := hollowgrade.SystemClock()
	m := http.NewServeMux()
	l := standin.NewLog(c.Retention, k)
	m.Handle(standalone.PathAppend, l)
	m.Handle(standalone.PathRead, l)
	m.Handle(standalone.PathBoxes, standin.NewBoxes(c.Lag, k))
	m.Handle(standalone.PathFetch, standin.NewWeights(weightsInterval, weightsBurst, k))
	return c.serve(m)
}

type engineCommand struct {
	listen
	Models []string      `help:"Models it serves." default:"copy-1"`
	Step   time.Duration `help:"Time of a step without prefill." default:"8ms"`
}

// Run runs the command.
func (c *engineCommand) Run() error {
	d := standin.DefaultEngine(c.Models...)
	d.StepBase = c.Step
	e := standin.NewEngine(d, hollowgrade.SystemClock())
	defer e.Stop()
	return c.serve(e)
}

type serviceCommand struct {
	listen
	Delay time.Duration `help:"Time of a call." default:"5ms"`
}

// Run runs the command.
func (c *serviceCommand) Run() error {
	return c.serve(standin.NewService(c.Delay, hollowgrade.SystemClock()))
}

func main() {
	k := kong.Parse(&commands{}, kong.Name("hollowgrade-standin"))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hollowgrade-standin:", err)
		os.Exit(1)
	}
}
