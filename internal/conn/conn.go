// Package conn dials, accepts and closes TCP connections on top of netpoll. A connection has a handler with callbacks and
// one ring buffer for each direction.
//
// netpoll's goroutines fill the inbound ring. The callbacks and all writes run on the event loop and need no locks.
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
	// inboundCapacity is the size of the inbound ring in bytes. It holds the largest message (16 KiB) and the beginning of the next one.
	inboundCapacity = 32 << 10
	// outboundCapacity is the size of the outbound ring in bytes. A peer that leaves more unread is disconnected.
	outboundCapacity = 64 << 10
	// maxReadAhead is the number of bytes that netpoll may hold beyond the inbound ring. A peer that sends more floods the connection.
	maxReadAhead = 64 << 10
	// receiveBufferSize is the kernel's receive buffer of a socket in bytes, twice the largest message. netpoll reads all available
	// input at once, so its own buffers grow to this size.
	receiveBufferSize = 32 << 10
	// netpollBufferSize is the initial size in bytes of the buffer that netpoll keeps for each connection.
	netpollBufferSize = 2 << 10
	// writeRetryDelay is the delay before a write to a full socket is retried.
	writeRetryDelay = 5 * time.Millisecond
)

// ErrSlowReader is the close reason of a connection whose peer leaves more than the outbound ring unread.
var ErrSlowReader = errors.New("peer reads too slowly")

// ErrFlood is the close reason of a connection whose peer sends faster than the event loop reads.
var ErrFlood = errors.New("peer sends faster than its input is processed")

// ErrReset is the close reason of a connection that was reset. Unlike after an orderly close, the last bytes that the peer sent may be lost.
var ErrReset = fmt.Errorf("reset by peer: %w", io.EOF)

// ErrClosedLocally is the close reason of a connection that this side closed without a fault.
var ErrClosedLocally = errors.New("closed by this side")

func init() {
	// There is one poller. Its callbacks must run on netpoll's goroutine pool, not on the poller itself: closing a connection in a
	// callback on the poller waits for the poller and so blocks all connections for ever.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: netpollBufferSize, LoggerOutput: netpollLog{}}); err != nil {
		panic(err)
	}
}

// netpollLog passes netpoll's log output to slog, where the rate of log lines is limited.
type netpollLog struct{}

func (netpollLog) Write(p []byte) (int, error) {
	slog.Warn("netpoll", "text", string(bytes.TrimSpace(p)))
	return len(p), nil
}

// Poster runs functions on the event loop.
type Poster interface{ Post(func()) }

// committer is a Poster that must commit its decisions before messages about them leave the process.
type committer interface{ Commit() }

// Handler has the callbacks of a connection. All run on the event loop.
type Handler interface {
	// Data is called when the inbound ring has new bytes, of which the oldest arrived at the given time. An error closes the connection,
	// with the error as its reason.
	Data(in *ring.Buffer, at time.Time) error
	// Closed is called once, after the last call of Data.
	Closed(reason error)
}

// Conn is one TCP connection, dialled or accepted.
type Conn struct {
	loop    Poster
	nc      netpoll.Connection
	handler Handler
	in, out *ring.Buffer

	listener     *Listener // nil if the connection was dialled
	remote       net.Addr  // nil if the connection was dialled
	firstArrival time.Time // arrival of the first bytes if they waited in the kernel, until it is reported

	mu             sync.Mutex // guards the fields up to endedAt, and prevents writes to the socket after its close
	inputPosted    bool       // deliverInput is posted to the event loop
	filling        bool       // fill is running
	unreadReported bool       // unread input was reported and not yet posted to the event loop
	inputSince     time.Time  // arrival of the oldest bytes that were not delivered
	ended          bool       // either side has closed the connection
	closedLocally  bool       // this side has closed the connection
	writeClosed    bool       // this side has closed its writing side and still reads
	reason         error
	spaceFreed     chan struct{} // wakes a fill that waits for space in the inbound ring
	discardInput   bool          // input is discarded, after a close by this side or in a flood
	floodDetected  bool          // input was discarded before the close
	bytesDiscarded int
	bytesRead      uint64    // bytes that were read from netpoll, into the ring or to be discarded
	closedAt       time.Time // close by this side
	endedAt        time.Time // close by either side

	// The fields below are used on the event loop only.
	retryScheduled            bool
	closedDelivered           bool            // Handler.Closed was called
	bytesQueued, bytesWritten uint64          // totals of bytes put into the outbound ring and written to the socket
	writeCallbacks            []writeCallback // in the order of their messages
	lastTicket                Ticket
}

func newConn(loop Poster, nc netpoll.Connection) *Conn {
	return &Conn{loop: loop, nc: nc, in: ring.New(inboundCapacity), out: ring.New(outboundCapacity), spaceFreed: make(chan struct{}, 1)}
}

// CloseWrite half-closes the connection: it closes the writing side and goes on reading until the peer closes too. Output that the socket
// does not accept at once is discarded, since a later write would fail and end the reading as well. The connection is aborted after
// the timeout.
func (c *Conn) CloseWrite(timeout time.Duration) {
	c.Flush()
	c.mu.Lock()
	c.writeClosed = true
	if fd, ok := c.nc.(netpoll.Conn); ok && !c.ended {
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("failed to half-close a connection", "err", err)
		}
	}
	c.mu.Unlock()
	c.out.Discard(c.out.Len())
	c.writeCallbacks = nil
	time.AfterFunc(timeout, func() { c.loop.Post(func() { c.Abort(ErrClosedLocally) }) })
}

// Remote returns the peer's address.
func (c *Conn) Remote() string {
	if c.remote != nil {
		return c.remote.String()
	}
	return c.nc.RemoteAddr().String()
}
