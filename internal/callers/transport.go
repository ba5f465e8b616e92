package callers

import (
	"os"
	"time"

	"cherryrelay/internal/conn"
)

// connection is the transport of one connection from callers. *conn.Conn implements it and documents the methods.
type connection interface {
	Write(p []byte)
	WriteThen(p []byte, then func()) conn.Ticket
	Flush()
	Unsent() int
	Quiet() bool
	AllTaken() bool
	Unread() bool
	Hear()
	Left() bool
	EndedAt() time.Time
	Remote() string
	Close(reason error)
}

// Listener accepts a front's connections. *conn.Listener implements it and documents the methods.
type Listener interface {
	Start() error
	Stop()
	Share() (*os.File, error)
	Shared(shared bool)
	Address() string
	Limit(limit int)
	Held() int
	Full() bool
	Waiting() bool
	Shutdown() error
}
