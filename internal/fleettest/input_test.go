package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/entry"
	"github.com/hollowgrade/hollowgrade/fault"
)

// rawRequest is a request with an arbitrary path, body and headers.
type rawRequest struct {
	path, body string
	header     map[string]string
}

func (f *Fleet) sendRaw(t *testing.T, q rawRequest) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://entry-0:80"+q.path, strings.NewReader(q.body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+Bearer+"a")
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	res, err := f.client.Do(r)
	require.NoError(t, err)
	return res
}

// requireRefusal checks that a response is a refusal in the documented format.
func requireRefusal(t *testing.T, c fault.Code, res *http.Response) {
	t.Helper()
	defer res.Body.Close()
	var b entry.ErrorBody
	require.NoError(t, json.NewDecoder(res.Body).Decode(&b))
	require.Equal(t, c, b.Error.Code, b.Error.Message)
	require.Equal(t, hollowgrade.NotRun, b.Error.Outcome)
	require.NotEmpty(t, b.Error.Message)
	require.Equal(t, res.Header.Get(entry.RequestHeader), b.Error.RequestID)
	require.Equal(t, fault.Lookup(c).Status, res.StatusCode)
}

func TestBadInput(t *testing.T) {
	const completions = entry.CompletionsPath
	good := `{"model":"m","prompt":"p","max_tokens":2}`
	cases := []struct {
		name string
		q    rawRequest
		code fault.Code
	}{
		{"no JSON", rawRequest{completions, `{"model":`, nil}, fault.MalformedBody},
		{"wrong type", rawRequest{completions, `{"model":7,"prompt":"p"}`, nil}, fault.MalformedBody},
		{"no prompt", rawRequest{completions, `{"model":"m"}`, nil}, fault.MalformedBody},
		{"negative max_tokens", rawRequest{completions, `{"model":"m","prompt":"p","max_tokens":-1}`, nil}, fault.MalformedBody},
		{"no messages", rawRequest{entry.ChatPath, `{"model":"m"}`, nil}, fault.MalformedBody},
		{"unknown model", rawRequest{completions, `{"model":"x","prompt":"p"}`, nil}, fault.UnknownModel},
		{"unknown service", rawRequest{"/services/x/y", ``, nil}, fault.UnknownService},
		{"unknown path", rawRequest{"/v2", ``, nil}, fault.NoSuchPath},
		{"body over the limit", rawRequest{completions, `{"model":"m","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, nil}, fault.BodyTooLarge},
		{"no key", rawRequest{completions, good, map[string]string{"Authorization": ""}}, fault.NoKey},
		{"wrong key", rawRequest{completions, good, map[string]string{"Authorization": "Bearer nobody"}}, fault.WrongKey},
		{"negative allowed time", rawRequest{completions, good, map[string]string{entry.AllowedHeader: "-1s"}}, fault.BadHeader},
		{"allowed time that is none", rawRequest{completions, good, map[string]string{entry.AllowedHeader: "soon"}}, fault.BadHeader},
		{"kind too long", rawRequest{completions, good, map[string]string{entry.KindHeader: strings.Repeat("k", 65)}}, fault.BadHeader},
		{"no idempotency key", rawRequest{completions, good, map[string]string{entry.KindHeader: "once"}}, fault.KeyNeeded},
		{"prompt no group can hold", rawRequest{completions, `{"model":"m","prompt":"` + strings.Repeat("x", 300_000) + `"}`, nil}, fault.PromptTooLong},
		{"no time for the answer", rawRequest{completions, `{"model":"m","prompt":"p","max_tokens":15000}`, nil}, fault.CannotMakeIt},
	}
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		for _, c := range cases {
			t.Log(c.name)
			requireRefusal(t, c.code, f.sendRaw(t, c.q))
		}
		requireNothingRan(t, f)
		// The entry still serves valid requests.
		requireWhole(t, f.Do(context.Background(), Call{Organisation: "a", Prompt: "hello", Tokens: 4}))
	})
}

func requireNothingRan(t *testing.T, f *Fleet) {
	t.Helper()
	e := f.Collect()
	require.Empty(t, e.Runs)
	require.Empty(t, e.checkMemory())
}

// slowBody is a request body that arrives slowly and never ends.
type slowBody struct{}

// Read implements [io.Reader].
func (slowBody) Read(b []byte) (int, error) {
	time.Sleep(700 * time.Millisecond)
	b[0] = ' '
	return 1, nil
}

func TestSlowBody(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		r, err := http.NewRequest(http.MethodPost, "http://entry-0:80"+entry.CompletionsPath, io.NopCloser(slowBody{}))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+Bearer+"a")
		res, err := f.client.Do(r)
		require.NoError(t, err)
		requireRefusal(t, fault.SlowBody, res)
	})
}

func TestCallerGoesAway(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		a := f.Do(ctx, Call{Organisation: "a", Prompt: strings.Repeat("x", 4000), Tokens: 200})
		require.Empty(t, a.Outcome)
		time.Sleep(100 * time.Millisecond)
		e := f.Collect()
		require.Len(t, e.Runs, 1, "it ran until its caller disconnected")
		require.Empty(t, e.checkMemory(), "its memory is released before the next sweep")
	})
}

func TestOrganisationsCannotUseEachOthersKeys(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		c := Call{Organisation: "a", Kind: "once", Prompt: "receipt", Service: true, Key: "k"}
		requireWhole(t, f.Do(context.Background(), c))
		c.Organisation, c.Prompt = "b", "another"
		requireWhole(t, f.Do(context.Background(), c))
	})
}

// Guards against a planned stop of an entry that waits for a caller which never reads its long
// answer: the request ends at its deadline.
func TestCallerThatDoesNotRead(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		c, err := f.Network.Dial(Caller)(context.Background(), EntryName(0))
		require.NoError(t, err)
		defer c.Close()
		// The first request gives the entry an estimate of the engines' rate.
		requireWhole(t, f.Do(context.Background(), Call{Organisation: "a", Prompt: "p", Tokens: 300}))
		time.Sleep(time.Second)
		body := `{"model":"m","prompt":"p","max_tokens":1500,"stream":true}`
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %sa\r\n%s: 18s\r\nContent-Length: %d\r\n\r\n%s",
			entry.CompletionsPath, Bearer, entry.AllowedHeader, len(body), body)
		require.NoError(t, err)
		time.Sleep(22 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(t, f.Entries[0].Stop(ctx))
		require.Empty(t, f.Collect().checkMemory())
	})
}
