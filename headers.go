package hollowgrade

import (
	"net/http"
	"slices"
	"strings"
)

// hopHeaders are the standard hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of headers without the hop-by-hop ones: the standard ones and those listed in
// the Connection header.
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
