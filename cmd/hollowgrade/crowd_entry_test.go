package main

import (
	"fmt"
	"strings"
	"testing"
)

const entryBegin = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key-club-1\r\nHollowgrade-Kind: segment\r\n"

// Guards against callers that fill the memory of an entry.
func TestCrowdOfCallersDoesNotFillAnEntry(t *testing.T) {
	for _, ms := range []map[string]misbehaviour{beyondLimits(), withinLimits(entryBegin)} {
		for name, m := range ms {
			t.Run(name, func(t *testing.T) {
				t.Setenv(memoryVariable, fmt.Sprint(crowdMemoryMB))
				f := startFleet(t, 1, 1, step)
				crowd(crowdClients, func() { m.send(strings.TrimPrefix(f.callers[0], "http://")) })
				requireBounds(t, f.entries[0])
				requireAnswer(t, "Afterwards", 12, f.complete(t, 0, "Afterwards", 12))
			})
		}
	}
}
