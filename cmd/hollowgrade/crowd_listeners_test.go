package main

import (
	"fmt"
	"testing"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// Guards against clients of the readiness and operators' listeners that fill the memory of a gateway.
func TestCrowdAtOtherListenersDoesNotFillAGateway(t *testing.T) {
	for name, m := range beyondLimits() {
		for _, listener := range []string{"readiness", "operators"} {
			t.Run(listener+": "+name, func(t *testing.T) {
				g := startCrowdGateway(t)
				address := g.readiness
				if listener == "operators" {
					address = g.operators
				}
				crowd(crowdClients, func() { m.send(address) })
				requireBounds(t, g.process)
				g.awaitReady(t)
				g.requireAnswered(t)
			})
		}
	}
}

// Guards against clients of the operators' listeners that fill the memory of an entry or an agent.
func TestCrowdAtOperatorsDoesNotFillEntriesAndAgents(t *testing.T) {
	m := beyondLimits()["short fields"]
	for _, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			t.Setenv(memoryVariable, fmt.Sprint(crowdMemoryMB))
			o := platformtest.FreeAddress(t)
			f := startFleetOf(t, map[string]string{role: o})
			p := f.entries[0]
			if role == "agent" {
				p = f.agents[0]
			}
			crowd(crowdClients, func() { m.send(o) })
			requireBounds(t, p)
			requireAnswer(t, "Afterwards", 12, f.complete(t, 0, "Afterwards", 12))
		})
	}
}

// startFleetOf starts an entry and an engine with its agent. Roles in the map serve operators on the address
// there.
func startFleetOf(t *testing.T, operators map[string]string) *fleet {
	t.Helper()
	const variable = "HOLLOWGRADE_OPERATORS"
	f := newFleet(t)
	t.Setenv(variable, operators["agent"])
	f.addEngine(t, 0, step)
	f.publish(t)
	t.Setenv(variable, operators["entry"])
	f.addEntry(t, 0)
	f.awaitReady(t)
	return f
}
