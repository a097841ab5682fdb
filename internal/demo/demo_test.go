package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// small returns a fleet size that is small enough for a test.
func small() Size {
	s := DefaultSize()
	s.Entries, s.Engines, s.Services = 2, 4, map[string]int{"push": 1, "catalogue": 1}
	return s
}

func TestRun(t *testing.T) {
	var out bytes.Buffer
	o := Options{Seed: 1, Requests: 40, Duration: time.Second, JSON: true, Size: small()}
	require.NoError(t, Run(context.Background(), o, &out, io.Discard, log.New(io.Discard)))
	var d document
	require.NoError(t, json.Unmarshal(out.Bytes(), &d))
	require.Equal(t, 40, d.Callers.Sent)
	require.Equal(t, 40, d.Callers.Ended)
	require.Zero(t, d.Callers.Wrong)
	require.Zero(t, d.Lost)
	require.Equal(t, int64(40), d.Fleet.Requests)
}
