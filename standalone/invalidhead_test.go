package standalone_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// requireNoAnswer checks that a client of the platform does not take an answer for one after it was changed.
func requireNoAnswer(t *testing.T, change func(answer string) string) {
	t.Helper()
	const body = `[{"name":"a","role":"entry","state":"live"}]`
	r := standin.NewRaw()
	t.Cleanup(r.Close)
	b := standalone.NewBoxes(r.URL(), nil)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	r.Set(answer, false)
	_, err := b.List(t.Context())
	require.NoError(t, err)
	r.Set(change(answer), false)
	_, err = b.List(t.Context())
	require.Error(t, err)
}

// Guards against a status that is none.
func TestAnswerWithAnInvalidStatusIsNone(t *testing.T) {
	for _, s := range standin.InvalidStatuses() {
		t.Run(s, func(t *testing.T) {
			requireNoAnswer(t, func(answer string) string { return standin.WithStatus(answer, s) })
		})
	}
}

// Guards against a field whose name is none.
func TestAnswerWithAnInvalidFieldIsNone(t *testing.T) {
	for _, l := range standin.InvalidFields() {
		t.Run(l, func(t *testing.T) {
			requireNoAnswer(t, func(answer string) string { return standin.WithField(answer, l) })
		})
	}
}
