package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// EndlessDial returns a function for a transport that opens connections in memory to a server that answers with a
// start and then a piece again and again until the client closes. It counts the bytes that the client has read.
func EndlessDial(start, piece string, read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		c, s := net.Pipe()
		go serveEndless(s, start, piece, read)
		return c, nil
	}
}

func serveEndless(c net.Conn, start, piece string, read *atomic.Int64) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	for s := start; ; s = piece {
		n, err := io.WriteString(c, s)
		read.Add(int64(n))
		if err != nil {
			return
		}
	}
}
