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
	NoPendingInput() bool
	AllInputRead() bool
	HasUnreadInput() bool
	ProcessInput()
	PeerClosed() bool
	EndedAt() time.Time
	Remote() string
	Close(reason error)
}

// Listener accepts a front's connections. *conn.Listener implements it and documents the methods.
type Listener interface {
	Start() error
	Stop()
	File() (*os.File, error)
	SetShared(shared bool)
	Address() string
	SetMaxConnections(limit int)
	SocketCount() int
	Full() bool
	HasBacklog() bool
	Shutdown() error
}
