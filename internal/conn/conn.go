// Package conn wraps a netpoll connection as an object with callbacks and one ring buffer a direction.
//
// netpoll fills the inbound ring; the event loop empties it. Everything but that filling
// happens on the event loop, so the callbacks need no locks.
package conn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"cherryrelay/internal/ring"
)

const (
	// inboundCapacity holds the largest message (16 KiB) and the next one's beginning.
	inboundCapacity = 32 << 10
	// outboundCapacity is what a peer that reads slowly may leave unread before it is dropped.
	outboundCapacity = 64 << 10
	// maxReadAhead is what may have come beyond the ring.
	maxReadAhead = 64 << 10
	// receiveBufferSize bounds what the kernel takes in for a socket ahead of us, twice the largest message: netpoll reads all
	// that is there at once into buffers that grow to as much.
	receiveBufferSize = 32 << 10
	// netpollBufferSize is the first buffer that netpoll keeps for each connection.
	netpollBufferSize = 2 << 10
	// writeRetryDelay is the pause before a full socket is tried again.
	writeRetryDelay = 5 * time.Millisecond
)

// ErrSlowReader closes a connection whose peer leaves too much unread.
var ErrSlowReader = errors.New("peer reads too slowly")

// ErrFlood closes a connection whose peer writes faster than it can be read.
var ErrFlood = errors.New("peer writes too fast")

// ErrReset is the reason of a connection that ended by a reset: unlike at an end in good order, what its peer sent last may be lost.
var ErrReset = fmt.Errorf("reset: %w", io.EOF)

// ErrClosedHere is the reason of a connection that this side closed without a fault.
var ErrClosedHere = errors.New("closed by this side")

func init() {
	// One poller. Its callbacks must run on netpoll's pool, not on the poller itself: a connection that is closed
	// during a callback there waits for the poller for ever, and every other connection with it.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: netpollBufferSize, LoggerOutput: netpollLog{}}); err != nil {
		panic(err)
	}
}

// netpollLog has what netpoll logs go the way of all logs, where it is bounded.
type netpollLog struct{}

func (netpollLog) Write(p []byte) (int, error) {
	slog.Warn("netpoll", "text", string(bytes.TrimSpace(p)))
	return len(p), nil
}

// Poster runs functions on the event loop.
type Poster interface{ Post(func()) }

// committer is a Poster that has something to do before words leave the process.
type committer interface{ Commit() }

// Handler has the callbacks of a connection; all run on the event loop.
type Handler interface {
	// Data tells that the ring has new bytes. An error closes the connection with that reason.
	Data(in *ring.Buffer, at time.Time) error
	// Closed comes once, last.
	Closed(reason error)
}

// Conn is one connection.
type Conn struct {
	loop    Poster
	nc      netpoll.Connection
	handler Handler
	in, out *ring.Buffer

	listener     *Listener // that accepted it; nil if it was dialled
	remote       net.Addr  // of one that was accepted
	firstArrival time.Time // when the first bytes came, if they waited in the kernel

	mu             sync.Mutex // guards the fields below, and the socket against a write after its close
	inputPosted    bool
	filling        bool      // what came is being put into the ring
	unreadReported bool      // Unread has seen bytes that the loop was not told of yet
	inputSince     time.Time // arrival of the oldest bytes that the loop has not looked at
	ended          bool      // netpoll closes or has closed the socket
	closedLocally  bool      // this side did
	writeClosed    bool      // this side has ended its part, and reads on
	reason         error
	spaceFreed     chan struct{}
	// What comes after the close, or in a flood, is discarded.
	discardInput   bool
	floodDetected  bool // discarded since before the close
	bytesDiscarded int
	bytesRead      uint64    // bytes that were put into the ring, or discarded
	closedAt       time.Time // when this side was closed
	endedAt        time.Time // when either was
	// The rest is the event loop's.
	retryScheduled            bool
	closedDelivered           bool
	bytesQueued, bytesWritten uint64 // bytes that were put into the outbound ring, and that the socket has taken
	writeCallbacks            []writeCallback
	lastTicket                Ticket
}

func newConn(loop Poster, nc netpoll.Connection) *Conn {
	return &Conn{loop: loop, nc: nc, in: ring.New(inboundCapacity), out: ring.New(outboundCapacity), spaceFreed: make(chan struct{}, 1)}
}

// Finish ends this side of the connection and goes on reading: what the peer has sent, or sends before it closes too, still
// comes. What its socket has not taken by now is dropped: it can't be written any more, and the fault would end the reading too. One that does
// not close is closed after the time.
func (c *Conn) Finish(within time.Duration) {
	c.Flush()
	c.mu.Lock()
	c.writeClosed = true
	if fd, ok := c.nc.(netpoll.Conn); ok && !c.ended {
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("finishing a connection", "err", err)
		}
	}
	c.mu.Unlock()
	c.out.Discard(c.out.Len())
	c.writeCallbacks = nil
	time.AfterFunc(within, func() { c.loop.Post(func() { c.Abort(ErrClosedHere) }) })
}

// Remote is the peer's address.
func (c *Conn) Remote() string {
	if c.remote != nil {
		return c.remote.String()
	}
	return c.nc.RemoteAddr().String()
}
