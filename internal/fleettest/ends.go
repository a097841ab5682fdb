package fleettest

import (
	"context"
	"slices"
	"time"

	"github.com/hollowgrade/hollowgrade/ledger"
)

// KillEntry ends an entry as SIGKILL does: it stops executing and its connections break.
func (f *Fleet) KillEntry(i int) {
	e := f.Entries[i]
	f.setFlag(&e.killed)
	e.Freezer.Set(true)
	f.Network.Kill(e.Name)
}

// KillAgent ends an agent as SIGKILL does. Its upstream continues.
func (f *Fleet) KillAgent(i int) {
	a := f.Agents[i]
	f.setFlag(&a.killed)
	a.Freezer.Set(true)
	f.Network.Kill(a.Name)
	if a.Link != nil {
		a.Link.SetCut(true)
	}
}

// KillUpstream ends an agent's engine or plain service.
func (f *Fleet) KillUpstream(i int) {
	a := f.Agents[i]
	if a.Engine != nil {
		a.Engine.Kill()
		return
	}
	a.Service.SetDown(true)
	f.Network.Kill(UpstreamOf(a.Name))
}

// Unlist removes a box from the platform's list.
func (f *Fleet) Unlist(name string) {
	f.Boxes.Remove(name)
}

// Stop stops all processes and connections, so that the bubble can end.
func (f *Fleet) Stop() {
	for _, e := range f.Entries {
		e.Freezer.Set(false)
	}
	for _, a := range f.Agents {
		a.Freezer.Set(false)
		f.Network.Freezer(UpstreamOf(a.Name)).Set(false)
	}
	f.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, e := range f.Entries {
		_ = e.Stop(ctx)
		_ = e.follower.Stop(ctx)
	}
	for _, a := range f.Agents {
		_ = a.Stop(ctx)
		_ = a.keeper.Stop(ctx)
		if a.preparer != nil {
			_ = a.preparer.Stop(ctx)
		}
		_ = a.follower.Stop(ctx)
	}
	for _, s := range f.cleanups {
		s()
	}
	for _, a := range f.Agents {
		f.Network.Kill(a.Name)
	}
	for _, e := range f.Entries {
		f.Network.Kill(e.Name)
	}
	f.Network.Kill(Caller)
	time.Sleep(connCloseDelay)
}

// connCloseDelay is how long net/http keeps a connection open after a response to a request whose
// body it hasn't read.
const connCloseDelay = time.Second

// ReplaceAgent starts another process for the upstream, at the address of a killed agent, and puts it
// in that agent's place in Agents. The evidence keeps what the upstream ran before.
func (f *Fleet) ReplaceAgent(i int) {
	old := f.Agents[i]
	f.setFlag(&old.replaced)
	f.Network.ResetFreezer(old.Name)
	a := f.startProcess(old)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Agents = append(slices.Clone(f.Agents), old)
	f.Agents[i] = a
}

// StopAgent stops an agent and its key keeper gracefully.
func (f *Fleet) StopAgent(ctx context.Context, a *AgentBox) {
	_ = a.Stop(ctx)
	f.setFlag(&a.stopped)
	_ = a.keeper.Stop(ctx)
}

// keeperOf returns the index of the agent that owns a key.
func (f *Fleet) keeperOf(organisation, key string) int {
	if box, _, _, ok := ledger.ParseMinted(key); ok {
		return slices.IndexFunc(f.Agents, func(a *AgentBox) bool { return a.Name == box })
	}
	id := ledger.KeyID{Organisation: organisation, Key: key}
	return id.Range() % (f.Config.Engines + f.Config.Services)
}
