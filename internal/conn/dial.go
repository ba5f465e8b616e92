package conn

import (
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrRefused is the reason of a dial that the other machine has turned down: nothing listens there.
var ErrRefused = errors.New("connection refused")

// ErrNoSocket is the reason of a dial for which the process, or the machine, had no descriptor left. It says nothing of the other machine.
var ErrNoSocket = errors.New("no descriptor left")

// Dial connects without holding up the loop. Once the connection is up, handler makes what takes its callbacks;
// then, or if it does not come up in time, done is called. Both run on the loop.
func Dial(loop Poster, address string, timeout time.Duration, handler func(*Conn) Handler, done func(error)) {
	go func() {
		nc, err := netpoll.DialConnection("tcp", address, timeout)
		if errors.Is(err, netpoll.ErrConnClosed) || errors.Is(err, syscall.ECONNREFUSED) {
			err = ErrRefused // netpoll tells a refusal as a close by the peer
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

// limitReceiveBuffer bounds what the kernel takes in ahead for a socket.
func limitReceiveBuffer(fd int) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize); err != nil {
		slog.Warn("bounding a socket", "err", err)
	}
}
