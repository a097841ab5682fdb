package standin

import (
	"context"
	"net"
)

// Listen opens a listener for a stand-in.
func Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}
