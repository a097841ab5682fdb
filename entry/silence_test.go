package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
)

// serveOneStatus is an agent that reports its status once, and answers each call with parts at an interval.
func serveOneStatus(parts int, interval time.Duration) peer.Handler {
	return func(ctx context.Context, s *peer.Stream, f *wire.Frame) error {
		if f.GetHello() != nil {
			if err := s.Send(&wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{Box: "a", Incarnation: "i", Hall: "h", Service: "s"}}}); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		}
		if err := s.Send(&wire.Frame{Body: &wire.Frame_ServiceHead{ServiceHead: &wire.ServiceHead{Status: http.StatusOK}}}); err != nil {
			return err
		}
		for range parts {
			time.Sleep(interval)
			if err := s.Send(peer.Chunk([]byte("x"), false)); err != nil {
				return err
			}
		}
		return s.Send(&wire.Frame{Body: &wire.Frame_Final{Final: &wire.Final{Outcome: string(hollowgrade.Finished)}}})
	}
}

// startBefore starts an entry in front of an agent that is played by a handler.
func startBefore(t *testing.T, h peer.Handler) (e *Entry, url string) {
	t.Helper()
	al, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := peer.NewServer(h, func(net.Addr, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.Serve(ctx, al) }()
	t.Cleanup(func() {
		cancel()
		_ = al.Close()
		p.Close()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := hollowgrade.Box{Name: "a", Role: hollowgrade.AgentRole, Peer: al.Addr().String(), State: hollowgrade.BoxLive}
	agents := func(context.Context) []hollowgrade.Box { return []hollowgrade.Box{b} }
	e = New(hollowgrade.Box{Name: "e", Hall: "h"}, "i", l, agents, WithLogger(log.New(io.Discard)))
	e.SetConfig(compiledConfig(t))
	require.NoError(t, e.Start(t.Context(), nil))
	require.Eventually(t, func() bool { ok, _ := e.Ready(); return ok }, 10*time.Second, time.Millisecond)
	return e, "http://" + l.Addr().String()
}

// Guards against answers that are cut while they come, since their agent's reports do not.
func TestAnswerOfAnAgentWithoutReportsIsNotCut(t *testing.T) {
	const parts = 20
	e, url := startBefore(t, serveOneStatus(parts, statusTimeout/10))
	st, body, err := callEntry(t, url, "/long")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, st)
	require.Equal(t, strings.Repeat("x", parts), body)
	t.Run("but it gets no new ones", func(t *testing.T) {
		ok, _ := e.Ready()
		require.False(t, ok)
	})
}

// Guards against requests that stay with an agent from which nothing comes any more.
func TestConnectionOnWhichNothingComesIsClosed(t *testing.T) {
	_, url := startBefore(t, func(ctx context.Context, s *peer.Stream, f *wire.Frame) error {
		if f.GetHello() != nil {
			return serveOneStatus(0, 0)(ctx, s, f)
		}
		<-ctx.Done()
		return nil
	})
	begin := time.Now()
	st, _, err := callEntry(t, url, "/never")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, st)
	require.Less(t, time.Since(begin), 2*statusTimeout)
}
