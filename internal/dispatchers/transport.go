package dispatchers

import (
	"time"

	"cherryrelay/internal/conn"
)

// transportConn is the transport of one connection to a dispatcher. *conn.Conn implements it and documents the methods.
type transportConn interface {
	Write(p []byte)
	WriteThen(p []byte, then func()) conn.Ticket
	CancelWrite(ticket conn.Ticket) bool
	Flush()
	Unsent() int
	HasUnreadInput() bool
	EndedAt() time.Time
	CloseWrite(within time.Duration)
	Close(reason error)
	Abort(reason error)
}

// dialer opens a connection without blocking the event loop. Once it is open, opened returns the handler of its callbacks. Then, or when
// the dial has failed, done is called. Both run on the loop.
type dialer func(address string, timeout time.Duration, opened func(transportConn) conn.Handler, done func(error))

// dialTCP returns the dialer of TCP connections.
func dialTCP(loop conn.Poster) dialer {
	return func(address string, timeout time.Duration, opened func(transportConn) conn.Handler, done func(error)) {
		conn.Dial(loop, address, timeout, func(c *conn.Conn) conn.Handler { return opened(c) }, done)
	}
}
