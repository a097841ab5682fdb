package answer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/hollowgrade/hollowgrade"
)

// maxStatus is the largest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// CheckHead returns an error that wraps [hollowgrade.ErrNotAnAnswer] if a head that net/http has read is that of
// no answer: net/http accepts any status of three characters that parse as a number, and names of fields with
// blanks, under which it doesn't find what it reads itself, such as the length of the body.
func CheckHead(r *http.Response) error {
	if !isStatus(r.StatusCode) {
		return fmt.Errorf("%w: its status is %.16q", hollowgrade.ErrNotAnAnswer, r.Status)
	}
	for n := range r.Header {
		if !httpguts.ValidHeaderFieldName(n) {
			return fmt.Errorf("%w: the name of a field is %.64q", hollowgrade.ErrNotAnAnswer, n)
		}
	}
	return nil
}

// isStatus reports whether a status may answer one of our requests. None asks for another protocol.
func isStatus(s int) bool {
	return s >= http.StatusContinue && s <= maxStatus && s != http.StatusSwitchingProtocols
}
