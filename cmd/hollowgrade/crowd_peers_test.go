package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	crowdPeers     = 20
	crowdExchanges = 64 // of each of them
	crowdPeerBytes = 200 << 10
)

// announceFrames opens exchanges and sends in each a part of a first frame that announces its largest size.
func announceFrames(address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	g := yamux.DefaultConfig()
	g.LogOutput = io.Discard
	y, err := yamux.Client(c, g)
	if err != nil {
		_ = c.Close()
		return
	}
	defer y.Close()
	frame := append(binary.AppendUvarint(nil, 1<<20), bytes.Repeat([]byte{0x0a}, crowdPeerBytes)...)
	crowd(crowdExchanges, func() {
		s, err := y.OpenStream()
		if err != nil {
			return
		}
		_ = s.SetWriteDeadline(time.Now().Add(crowdWriteTime))
		_, _ = s.Write(frame)
		_ = s.SetReadDeadline(time.Now().Add(crowdHold))
		_, _ = io.Copy(io.Discard, s)
	})
}

// Guards against peers that fill the memory of a process by frames that they announce.
func TestCrowdOfPeersDoesNotFillAProcess(t *testing.T) {
	t.Run("gateway", func(t *testing.T) {
		g := startCrowdGateway(t)
		crowd(crowdPeers, func() { announceFrames(g.peers) })
		requireBounds(t, g.process)
		g.requireAnswered(t)
	})
	t.Run("agent", func(t *testing.T) {
		t.Setenv(memoryVariable, fmt.Sprint(crowdMemoryMB))
		f := newFleet(t)
		address := f.addEngine(t, 0, step)
		f.publish(t)
		f.addEntry(t, 0)
		f.awaitReady(t)
		crowd(crowdPeers, func() { announceFrames(address) })
		requireBounds(t, f.agents[0])
		requireAnswer(t, "Afterwards", 12, f.complete(t, 0, "Afterwards", 12))
	})
}
