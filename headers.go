package hollowgrade

import (
	"net/http"
	"slices"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of headers without those that end at this connection:
// the customary ones and those that the Connection header names.
func EndToEnd(h http.Header) http.Header {
	drop := slices.Clone(hopHeaders)
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	e := make(http.Header, len(h))
	for n, vs := range h {
		if !slices.Contains(drop, n) {
			e[n] = slices.Clone(vs)
		}
	}
	return e
}
