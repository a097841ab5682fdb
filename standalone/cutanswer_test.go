package standalone_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// Guards against an answer of the platform that ends early, in its head or its body, and is taken for whole.
func TestAnswerThatEndsEarlyIsNotWhole(t *testing.T) {
	r := standin.NewRaw()
	t.Cleanup(r.Close)
	for name, k := range map[string]struct {
		body string
		call func() error
	}{
		"boxes": {`[{"name":"a","role":"entry","state":"live"}]`, func() error {
			_, err := standalone.NewBoxes(r.URL(), nil).List(t.Context())
			return err
		}},
		"page": {`{"records":[{"offset":7,"body":"YQ=="}],"earliest":3,"next":8}`, func() error {
			_, err := standalone.NewLog(r.URL(), nil).Read(t.Context(), 7, 10)
			return err
		}},
		"append": {`{"offset":5}`, func() error {
			_, err := standalone.NewLog(r.URL(), nil).Append(t.Context(), []byte("a"))
			return err
		}},
		"weights": {`{}`, func() error { return standalone.NewWeights(r.URL(), nil).Fetch(t.Context(), "b", "m") }},
	} {
		t.Run(name, func(t *testing.T) {
			framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(k.body), k.body)
			unframed := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + k.body
			for _, answer := range []string{framed, unframed} {
				for n := range len(answer) {
					r.Set(answer[:n], n%2 == 1)
					require.Error(t, k.call(), "%d bytes of %q taken for whole", n, answer)
				}
				r.Set(answer, false)
				require.NoError(t, k.call(), answer)
			}
		})
	}
}
