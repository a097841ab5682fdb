package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

const (
	fewDescriptors = 120
	// answerTime is how long a listener may take to answer once descriptors are free again.
	answerTime = 3 * time.Second
)

// descriptorCount returns how many descriptors a process has open.
func descriptorCount(t *testing.T, pid int) int {
	t.Helper()
	es, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err)
	return len(es)
}

// answers reports whether a listener takes a connection: it answers or closes one whose first bytes are
// an HTTP request, or no frame of a peer.
func answers(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "GET /live HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(answerTime))
	_, err = c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// exhaust opens connections to all listeners of a process until it has no descriptor left and each of the
// listeners has one that it can't accept.
func exhaust(t *testing.T, pid int, listeners []string) (cs []net.Conn) {
	t.Helper()
	for i := range 2 * fewDescriptors {
		c, err := net.Dial("tcp", listeners[i%len(listeners)])
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		cs = append(cs, c)
	}
	require.Eventually(t, func() bool { return descriptorCount(t, pid) >= fewDescriptors-1 }, answerTime, 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	return cs
}

// Guards against a listener that accepts nothing any more once the process had no descriptor left for a connection.
func TestListenersGoOnAfterTheLimitOfDescriptors(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	for role, args := range map[string]string{
		"gateway": "--callers %s --operators %s --readiness %s --peers %s --store " + store.Address(),
		"entry":   "--callers %s --operators %s --platform-log http://127.0.0.1:1 --agents 127.0.0.1:1",
		"agent":   "--peers %s --operators %s --platform-log http://127.0.0.1:1 --engine http://127.0.0.1:1 --models copy-1",
	} {
		t.Run(role, func(t *testing.T) {
			listeners := make([]any, strings.Count(args, "%s"))
			addresses := make([]string, len(listeners))
			for i := range listeners {
				addresses[i] = platformtest.FreeAddress(t)
				listeners[i] = addresses[i]
			}
			p := start(t, "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s %s --box b --hall z ", fewDescriptors, binaries.hollowgrade, role)+fmt.Sprintf(args, listeners...))
			for _, a := range addresses {
				require.Eventually(t, func() bool { return answers(a) }, 2*answerTime, 50*time.Millisecond, a)
			}
			for range 2 {
				for _, c := range exhaust(t, p.Process.Pid, addresses) {
					_ = c.Close()
				}
				for i, a := range addresses {
					require.True(t, answers(a), "listener %d of %q", i, args)
				}
			}
		})
	}
}
