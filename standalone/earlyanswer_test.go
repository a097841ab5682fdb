package standalone_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/standalone"
)

// Guards against a part of the platform's answer that is taken for whole since the connection was reset while
// the call was being written: the write got the reset, and the read after it the end of the connection.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + `{"offset":5}`
	dialDefault(t, standin.ResetDial(answer))
	_, err := standalone.NewLog("http://platform", nil).Append(t.Context(), make([]byte, 1<<20))
	require.Error(t, err)
}
