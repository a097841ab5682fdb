// Command hollowgrade is the serving layer: entry, agent, gateway and the operators' tools in one
// binary. See the README and 'hollowgrade --help'.
package main

import (
	"os"

	"github.com/hollowgrade/hollowgrade/internal/cli"
)

func main() {
	ctx, h := cli.NotifySignals()
	os.Exit(cli.Run(ctx, h, os.Args[1:], os.Stdout, os.Stderr))
}
