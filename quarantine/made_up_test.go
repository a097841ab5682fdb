package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The story. One caller whose requests end the upstreams that run them, each of them a new one, takes the service from
// all others: each request is known only by itself, ends three upstreams, one for each attempt, and is not seen
// again. Nothing that is known of one says anything of the next, though all are of one organisation.
//
// The evidence, 18 upstreams that are down for 1.5 s and five gateways: at 1, 5 and 20 such requests a second 82, 286 and
// 329 upstreams ended in 30 s, and 0.975, 0.415 and 0.247 of a hundred calls a second of another organisation were
// served in these and ten seconds before. Red at 5 and 20.

// servedBeside is which part of the calls of others has to be served, as with a request that comes again.
const servedBeside = 0.95

// madeBy returns requests of an organisation that are all different, also from those of others.
func madeBy(organisation string, from int) func() Subject {
	return func() Subject {
		from++
		s := request(from)
		s.Organisation = organisation
		return s
	}
}

func TestBodiesThatAreMadeUp(t *testing.T) {
	for _, rate := range []float64{1, 5, 20} {
		t.Run(fmt.Sprintf("%.0f a second", rate), func(t *testing.T) {
			same := &stream{rate: 5, subject: madeBy("k", 200_000), most: 3}
			others := &stream{rate: 100, subject: madeBy("o", 300_000), most: 3}
			p := newPlay(t, uint64(rate), none, same, others)
			p.reaches, p.pauses = true, true
			p.run(10 * time.Second)
			p.streams = append(p.streams, &stream{rate: rate, subject: madeBy("k", 100_000), most: 3, harmful: true})
			p.run(30 * time.Second)
			t.Logf("%d upstreams ended; served %.3f of the others, %.3f of the other calls of the same organisation", len(p.ended), others.share(), same.share())
			require.GreaterOrEqual(t, others.share(), servedBeside)
		})
	}
}
