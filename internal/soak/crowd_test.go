package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	crowdEvery     = 4 // one in so many seeds has callers that don't behave
	crowdCallers   = 120
	crowdBytes     = 1 << 20 // of a request
	maxCrowdHold   = 2 * time.Second
	crowdWriteTime = time.Second
)

// hasCrowd reports whether a seed has callers that don't behave.
func hasCrowd(seed uint64) bool {
	return seed%crowdEvery == 1
}

// crowdRequests are what callers send that keep to no limit, or to all of them but do not end.
func crowdRequests() []string {
	var fields strings.Builder
	for i := 0; fields.Len() < crowdBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	const begin = "POST /again/crowd HTTP/1.1\r\nHost: h\r\n"
	f := fields.String()
	within := f[:strings.LastIndex(f[:3000], "\n")+1]
	return []string{
		begin + f,
		begin + "x: " + strings.Repeat("y", crowdBytes),
		"GET /" + strings.Repeat("y", crowdBytes),
		strings.Repeat("\r", crowdBytes),
		strings.Repeat("\r\n", crowdBytes/2),
		begin + within,
		begin + within + "Attempt-Id: crowd\r\nAuthorization: Bearer key-0\r\nContent-Length: 100\r\n\r\n",
	}
}

// runCrowdCaller opens connections to one gateway until ctx ends, and sends on each what a request of the crowd
// begins with.
func (w *world) runCrowdCaller(ctx context.Context, requests []string, seed uint64, caller int) {
	r := rand.New(rand.NewPCG(seed, uint64(caller)))
	g := w.gateways[seed%uint64(len(w.gateways))]
	for ctx.Err() == nil {
		sendCrowdRequest(ctx, g.callersAddress, requests[r.IntN(len(requests))], time.Duration(r.Int64N(int64(maxCrowdHold))))
		time.Sleep(time.Duration(r.Int64N(int64(maxCrowdHold))))
	}
}

// sendCrowdRequest sends a part of a request and waits until the gateway closes the connection, for the given
// time at most. Nothing is asked of the answer, so errors are ignored.
func sendCrowdRequest(ctx context.Context, address, q string, hold time.Duration) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	_, _ = io.WriteString(c, q)
	_ = c.SetReadDeadline(time.Now().Add(hold))
	_, _ = io.Copy(io.Discard, c)
}
