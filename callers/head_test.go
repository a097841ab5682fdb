package callers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/memory"
)

const (
	testHeadBytes = 16 << 10
	awaitTime     = 10 * time.Second
)

func headLimit() Limits {
	return Limits{HeadBytes: testHeadBytes}
}

// manyFields returns n header fields that are as short as fields can be.
func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// requireStatus requires an answer of the given status.
func requireStatus(t *testing.T, c net.Conn, in *bufio.Reader, status int) *http.Response {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(awaitTime)))
	r, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	require.Equal(t, status, r.StatusCode)
	return r
}

func TestHeadBeyondTheLimitIsRefusedBeforeItIsWhole(t *testing.T) {
	for name, sent := range map[string]string{
		"a field":          request[:len(request)-2] + "x: " + strings.Repeat("y", 2*testHeadBytes),
		"fields":           request[:len(request)-2] + manyFields(testHeadBytes/3),
		"a request line":   "GET /" + strings.Repeat("y", 2*testHeadBytes),
		"carriage returns": strings.Repeat("\r", 2*testHeadBytes),
	} {
		t.Run(name, func(t *testing.T) {
			b := memory.NewBudget(1 << 20)
			s, a := start(t, ok, WithLimits(headLimit), WithBudget(b))
			c, in := dial(t, a)
			_, err := io.WriteString(c, sent)
			require.NoError(t, err)
			require.True(t, requireStatus(t, c, in, http.StatusRequestHeaderFieldsTooLarge).Close)
			requireEnd(t, in)
			require.Eventually(t, func() bool { return s.Connections() == 0 && b.Held() == 0 }, awaitTime, time.Millisecond)
			require.Equal(t, 1, s.LargeHeads())
		})
	}
}

func TestHeadsArriveInAnyParts(t *testing.T) {
	const body = "a\n\nb"
	fields := manyFields(1000)
	plain := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	all := []string{
		plain,
		"GET /b HTTP/1.1\nHost: h\n\n",
		"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" + body,
		"\r\n" + plain, // an empty line after a POST
		"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + body + "\r\n0\r\n\r\n",
		"GET /e HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
		"POST /f HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: 4\r\n\r\n" + body,
	}
	want := []string{"/a", "/b", "/c" + body, "/a", "/d" + body, "/e", "/f" + body}
	b := memory.NewBudget(1 << 20)
	_, a := start(t, func(w http.ResponseWriter, r *http.Request) {
		in, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		fmt.Fprint(w, r.URL.Path+string(in))
	}, WithLimits(headLimit), WithBudget(b))
	for _, size := range []int{1, 2, 3, 7, 100, 4000, 4096, 5000, 1 << 20} {
		t.Run(fmt.Sprint("parts of ", size), func(t *testing.T) {
			c, in := dial(t, a)
			go func() {
				for p := []byte(strings.Join(all, "")); len(p) > 0; p = p[min(size, len(p)):] {
					if _, err := c.Write(p[:min(size, len(p))]); err != nil {
						return
					}
				}
			}()
			for _, w := range want {
				require.NoError(t, c.SetReadDeadline(time.Now().Add(awaitTime)))
				r, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				got, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				require.Equal(t, w, string(got))
			}
			require.Eventually(t, func() bool { return b.Held() == 0 }, awaitTime, time.Millisecond)
		})
	}
}

func TestIncompleteHeadsGiveWay(t *testing.T) {
	b := memory.NewBudget(64 << 10)
	s, a := start(t, ok, WithLimits(headLimit), WithBudget(b))
	incomplete := "GET / HTTP/1.1\r\nHost: h\r\nx: " + strings.Repeat("y", testHeadBytes-100)
	c, in := dial(t, a)
	fmt.Fprint(c, incomplete)
	require.Eventually(t, func() bool { return b.Held() > uncountedHeadBytes }, awaitTime, time.Millisecond)
	large := request[:len(request)-2] + manyFields(300) + "\r\n"
	l, lin := dial(t, a)
	fmt.Fprint(l, large)
	requireStatus(t, l, lin, http.StatusOK)
	require.NotEmpty(t, requireStatus(t, c, in, http.StatusServiceUnavailable).Header.Get("Retry-After"))
	requireEnd(t, in)
	require.Equal(t, 1, s.HeadsWithoutMemory())
	require.Eventually(t, func() bool { return b.Held() == 0 }, awaitTime, time.Millisecond)
}

func TestRequestsWhoseBodiesDoNotComeGiveWay(t *testing.T) {
	const bodyBytes = 40 << 10
	b := memory.NewBudget(64 << 10)
	_, a := start(t, func(w http.ResponseWriter, r *http.Request) {
		require.True(t, Claim(r, nil).Add(r.ContentLength, memory.Waiting))
		by := time.Now().Add(time.Minute)
		BoundBody(w, r, by)
		_, err := ReadBody(w, r, 0, by)
		if err != nil {
			RefuseBody(w, r, by)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		require.Equal(t, err != nil, IsRevoked(r))
	}, WithLimits(headLimit), WithBudget(b))
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	waiting, waitingIn := dial(t, a)
	fmt.Fprint(waiting, head+"begin")
	require.Eventually(t, func() bool { return b.Held() >= bodyBytes }, awaitTime, time.Millisecond)
	c, in := dial(t, a)
	fmt.Fprint(c, head+strings.Repeat("b", bodyBytes))
	requireStatus(t, c, in, http.StatusOK)
	require.True(t, requireStatus(t, waiting, waitingIn, http.StatusServiceUnavailable).Close)
	require.Eventually(t, func() bool { return b.Held() == 0 }, awaitTime, time.Millisecond)
}

func TestRequestsAtWorkDoNotGiveWay(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	b := memory.NewBudget(16 << 10)
	_, a := start(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}, WithLimits(headLimit), WithBudget(b))
	c, in := dial(t, a)
	fmt.Fprint(c, request[:len(request)-2]+manyFields(100)+"\r\n")
	<-entered
	refused, refusedIn := dial(t, a)
	fmt.Fprint(refused, request[:len(request)-2]+manyFields(100)+"\r\n")
	requireStatus(t, refused, refusedIn, http.StatusServiceUnavailable)
	close(release)
	requireStatus(t, c, in, http.StatusOK)
}

// The cost of a head is taken before it is parsed, so it has to cover what the parser makes of it.
func TestCostCoversWhatAParsedHeadTakes(t *testing.T) {
	const heads = 200
	for name, fields := range map[string]string{
		"many fields":  manyFields(2000),
		"one field":    "x: " + strings.Repeat("y", testHeadBytes) + "\r\n",
		"usual fields": strings.Repeat("X-Usual: "+strings.Repeat("y", 40)+"\r\n", 20),
	} {
		t.Run(name, func(t *testing.T) {
			h := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n")
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			rs := make([]*http.Request, heads)
			for i := range rs {
				r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(h)))
				require.NoError(t, err)
				rs[i] = r
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			const fixed = 8 << 10 // of a request without fields, which the connections are bounded for
			taken := int64(after.HeapAlloc-before.HeapAlloc) / heads
			t.Logf("%d bytes take %d, %d are counted", len(h), taken, headCost(len(h), bytes.Count(h, []byte("\n"))))
			require.LessOrEqual(t, taken, headCost(len(h), bytes.Count(h, []byte("\n")))+fixed)
			runtime.KeepAlive(rs)
		})
	}
}
