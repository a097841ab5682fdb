package callers

import (
	"net/http"
	"time"
)

// writeSlack is how much longer than the request may take its last bytes may be
// on their way to the caller.
const writeSlack = time.Second

// BoundWrites makes sure that a caller who does not read cannot hold its request
// open much beyond its deadline. The function that it returns ends the bound,
// since the connection may carry further requests.
func BoundWrites(w http.ResponseWriter, deadline time.Time) (end func()) {
	c := http.NewResponseController(w)
	// A connection that is gone already ends the request by itself.
	_ = c.SetWriteDeadline(deadline.Add(writeSlack))
	return func() { _ = c.SetWriteDeadline(time.Time{}) }
}
