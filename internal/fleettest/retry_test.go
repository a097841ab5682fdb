package fleettest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const stormRequests = 600

// Guards against retries that multiply when a third of the engines fails permanently under load. Each
// way of failing is one that could cause them.
func TestDeadThirdCausesNoRetryStorm(t *testing.T) {
	c := Small()
	c.Engines = 6
	for name, fail := range map[string]func(f *Fleet, i int){
		"engines die":            func(f *Fleet, i int) { f.KillUpstream(i) },
		"agents die":             func(f *Fleet, i int) { f.KillAgent(i) },
		"engines stop answering": func(f *Fleet, i int) { f.Agents[i].Link.SetCut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, c, func(t *testing.T, f *Fleet) {
				var g sync.WaitGroup
				as := make([]Answer, stormRequests)
				for n := range stormRequests {
					if n == stormRequests/3 {
						fail(f, 0)
						fail(f, 1)
					}
					g.Go(func() {
						as[n] = f.Do(context.Background(), Call{
							Organisation: "a", Prompt: strings.Repeat(fmt.Sprint("request ", n, " "), 100), Tokens: 16, Entry: n % 2,
						})
					})
					time.Sleep(20 * time.Millisecond)
				}
				g.Wait()
				for _, a := range as {
					requireWhole(t, a)
				}
				t.Logf("attempts a request: %.3f", f.AttemptsPerRequest())
				require.Less(t, f.AttemptsPerRequest(), 1.2)
			})
		})
	}
}
