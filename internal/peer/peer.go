// Package peer has the other ends of a call controller, written from the protocol pages: a caller and a dispatcher
// that do as they are told. Tests script them, and the example's toy is made of them.
package peer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// Patience is how long a peer waits for what must come. Only what has gone wrong ever takes as long.
const Patience = 20 * time.Second

// Path is where the call-control API is served and dispatched to.
const Path = "/v1/calls"

// Free is a local address that nobody listens at by now. Its host is one of the loopback range that no connection goes out from: at
// 127.0.0.1 the port may be taken for one before who asked listens there.
func Free() (string, error) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	l, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
