package conn

import (
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrRefused is the error of a dial to an address at which nothing listens.
var ErrRefused = errors.New("connection refused")

// ErrNoSocket is the error of a dial for which this process or this machine had no file descriptor left. It is no sign of a fault of the
// peer.
var ErrNoSocket = errors.New("no file descriptor left")

// Dial connects to the address without blocking the event loop. When the connection is established, handler returns its Handler and
// done is called with nil; if the dial fails or times out, only done is called. Both run on the event loop.
func Dial(loop Poster, address string, timeout time.Duration, handler func(*Conn) Handler, done func(error)) {
	go func() {
		nc, err := netpoll.DialConnection("tcp", address, timeout)
		if errors.Is(err, netpoll.ErrConnClosed) || errors.Is(err, syscall.ECONNREFUSED) {
			err = ErrRefused // netpoll reports a refused connection as closed by the peer
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err = errors.Join(ErrNoSocket, err)
		}
		if err != nil {
			loop.Post(func() { done(fmt.Errorf("dialing %s: %w", address, err)) })
			return
		}
		if fd, ok := nc.(netpoll.Conn); ok {
			limitReceiveBuffer(fd.Fd())
		}
		c := newConn(loop, nc)
		loop.Post(func() {
			c.handler = handler(c)
			done(nil)
		})
		if err := c.start(); err != nil {
			c.loop.Post(func() { c.Close(err) })
		}
	}()
}

// limitReceiveBuffer sets the size of the kernel's receive buffer to receiveBufferSize.
func limitReceiveBuffer(fd int) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize); err != nil {
		slog.Warn("failed to set the receive buffer of a socket", "err", err)
	}
}
