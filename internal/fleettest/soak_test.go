package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hollowgrade/hollowgrade/config"
)

const (
	soakDuration    = 10 * time.Minute // virtual time
	requestInterval = 150 * time.Millisecond
	faultInterval   = 3 * time.Second
)

// soakFault is a fault of the soak test. Its inject function returns what ends the fault.
type soakFault struct {
	name   string
	inject func(f *Fleet, i int) (heal func())
}

var soakFaults = []soakFault{
	{"engine dies and comes back", func(f *Fleet, i int) func() {
		e := f.Agents[i].Engine
		e.Kill()
		return e.Restart
	}},
	{"engine freezes", func(f *Fleet, i int) func() {
		e := f.Agents[i].Engine
		e.Freeze(true)
		return func() { e.Freeze(false) }
	}},
	{"agent is cut from its engine", func(f *Fleet, i int) func() {
		l := f.Agents[i].Link
		l.SetCut(true)
		return func() { l.SetCut(false) }
	}},
	{"agent freezes", func(f *Fleet, i int) func() {
		z := f.Agents[i].Freezer
		z.Set(true)
		return func() { z.Set(false) }
	}},
	{"agent is killed and replaced", func(f *Fleet, i int) func() {
		f.KillAgent(i)
		return func() { f.ReplaceAgent(i) }
	}},
	{"entry is cut from an agent", func(f *Fleet, i int) func() {
		a, b := EntryName(i%2), f.Agents[i].Name
		f.Network.Cut(a, b)
		return func() { f.Network.Heal(a, b) }
	}},
	{"log is out", func(f *Fleet, _ int) func() {
		f.Log.SetOutage(true)
		return func() { f.Log.SetOutage(false) }
	}},
	{"log loses answers while an operator publishes", func(f *Fleet, i int) func() {
		f.Log.LoseAnswers(1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		o := config.Organisation{Name: "raced", Keys: []string{config.KeyDigest(fmt.Sprint(i))}}
		go func() { _, _ = config.Publish(ctx, f.Log, config.OrganisationKind, "raced", o, config.CurrentRevision) }()
		return cancel
	}},
}

// soakCall draws a request that differs from all others, so that swapped answers are detected.
func soakCall(r *rand.Rand, n int) Call {
	c := Call{Entry: r.IntN(2), Organisation: []string{"a", "b"}[r.IntN(2)], Tokens: 16, Allowed: 20 * time.Second}
	words := fmt.Sprintf("request %d. ", n)
	switch r.IntN(6) {
	case 0:
		c.Kind, c.Service, c.Prompt, c.Key = "once", true, words, fmt.Sprint("key-", n)
	case 1:
		c.Kind, c.Prompt, c.Key = "once", words, fmt.Sprint("key-", n)
	case 2:
		c.Kind, c.Service, c.Prompt = "short", true, words
	case 3:
		c.Kind, c.Prompt = "long", strings.Repeat(words, 2000)
	default:
		c.Kind, c.Prompt = "short", strings.Repeat(words, 100)
	}
	return c
}

func TestSoak(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		r := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var as []Answer
		var g sync.WaitGroup
		watched := f.watchRevisions()
		began := time.Now()
		nextFault := began.Add(faultInterval)
		faults := 0
		for n := 0; time.Since(began) < soakDuration; n++ {
			c := soakCall(r, n)
			g.Go(func() {
				a := f.Do(context.Background(), c)
				mu.Lock()
				defer mu.Unlock()
				as = append(as, a)
			})
			if time.Now().After(nextFault) {
				nextFault = nextFault.Add(faultInterval)
				x := soakFaults[r.IntN(len(soakFaults))]
				repair := x.inject(f, r.IntN(f.Config.Engines))
				time.AfterFunc(time.Duration(1+r.IntN(2))*time.Second, repair)
				faults++
			}
			time.Sleep(requestInterval)
		}
		g.Wait()
		time.Sleep(30 * time.Second)
		e := f.Collect()
		e.Answers, e.Revisions, e.LateRevisions = as, watched(), f.lateRevisions()
		for _, b := range e.Violations() {
			assert.Fail(t, b.String())
		}
		outcomes := map[string]int{}
		for _, a := range as {
			outcomes[strings.TrimSpace(string(a.Outcome)+" "+a.Code)]++
		}
		fmt.Printf("soak: %s, %d faults, %d requests: %v; breaches %d\n", soakDuration, faults, len(as), outcomes, len(e.Violations()))
	})
}
