package callers

import (
	"net/http"
	"time"
)

// writeSlack is how long after the request's deadline its last bytes may still be written to the
// caller.
const writeSlack = time.Second

// BoundWrites ensures that a caller who does not read cannot keep its request open much beyond its
// deadline. The returned function removes the bound, since the connection may have further
// requests.
func BoundWrites(w http.ResponseWriter, deadline time.Time) (end func()) {
	c := http.NewResponseController(w)
	// The error is ignored: a closed connection ends the request by itself.
	_ = c.SetWriteDeadline(deadline.Add(writeSlack))
	return func() { _ = c.SetWriteDeadline(time.Time{}) }
}
