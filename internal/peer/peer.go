// Package peer provides the peers of a call controller for tests and examples: a caller and a dispatcher that are controlled step by step. They
// implement the protocols as documented.
package peer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Timeout is the timeout of a peer that waits for an expected message or connection. It expires only after a failure.
const Timeout = 20 * time.Second

// Path is the URL path of the call-control API, on controllers and on dispatchers.
const Path = "/v1/calls"

// FreeAddress returns a loopback address on which nothing listens at the moment. Its host is a random one of the loopback range, which no outgoing
// connection uses as its source: on 127.0.0.1 an outgoing connection could occupy the port before a listener is opened there.
func FreeAddress() (string, error) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
