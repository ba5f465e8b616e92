// Package conn wraps a netpoll connection as an object with callbacks and one ring buffer a direction.
//
// netpoll fills the inbound ring; the event loop empties it. Everything but that filling
// happens on the event loop, so the callbacks need no locks.
package conn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"cherryrelay/internal/ring"
)

const (
	// inSize holds the largest message (16 KiB) and the next one's beginning.
	inSize = 32 << 10
	// outSize is what a peer that reads slowly may leave unread before it is dropped.
	outSize = 64 << 10
	// maxBacklog is what may have come beyond the ring.
	maxBacklog = 64 << 10
	// kernelSize bounds what the kernel takes in for a socket ahead of us, twice the largest message: netpoll reads all
	// that is there at once into buffers that grow to as much.
	kernelSize = 32 << 10
	// netpollSize is the first buffer that netpoll keeps for each connection.
	netpollSize = 2 << 10
	// retryAfter is the pause before a full socket is tried again.
	retryAfter = 5 * time.Millisecond
)

// ErrSlowReader closes a connection whose peer leaves too much unread.
var ErrSlowReader = errors.New("peer reads too slowly")

// ErrFlood closes a connection whose peer writes faster than it can be read.
var ErrFlood = errors.New("peer writes too fast")

// ErrRefused is the reason of a dial that the other machine has turned down: nothing listens there.
var ErrRefused = errors.New("connection refused")

// ErrNoSocket is the reason of a dial for which the process, or the machine, had no descriptor left. It says nothing of the other machine.
var ErrNoSocket = errors.New("no descriptor left")

// ErrReset is the reason of a connection that ended by a reset: unlike at an end in good order, what its peer sent last may be lost.
var ErrReset = fmt.Errorf("reset: %w", io.EOF)

// ErrClosedHere is the reason of a connection that this side closed without a fault.
var ErrClosedHere = errors.New("closed by this side")

func init() {
	// One poller. Its callbacks must run on netpoll's pool, not on the poller itself: a connection that is closed
	// during a callback there waits for the poller for ever, and every other connection with it.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: netpollSize, LoggerOutput: netpollLog{}}); err != nil {
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

	mu     sync.Mutex // guards the fields below, and the socket against a write after its close
	posted bool
	moves  bool      // what came is being put into the ring
	sought bool      // Unread has seen bytes that the loop was not told of yet
	at     time.Time // arrival of the oldest bytes that the loop has not looked at
	ended  bool      // netpoll closes or has closed the socket
	closed bool      // this side did
	reason error
	space  chan struct{}
	// The rest is the event loop's.
	retries      bool
	told         bool
	queued, left uint64 // bytes that were put into the outbound ring, and that the socket has taken
	marks        []mark
	tickets      Ticket
}

// mark is a function that waits for all bytes of a message to leave.
type mark struct {
	from, at uint64
	then     func()
	ticket   Ticket
}

// Ticket names a message that WriteThen has queued; 0 names none.
type Ticket uint64

func wrap(loop Poster, nc netpoll.Connection) *Conn {
	return &Conn{loop: loop, nc: nc, in: ring.New(inSize), out: ring.New(outSize), space: make(chan struct{}, 1)}
}

// start begins to read what a dialled connection brings. It must not run on the loop: if more has come already
// than the ring holds, it waits for the loop.
func (c *Conn) start() error {
	if err := c.nc.AddCloseCallback(func(netpoll.Connection) error { c.rest(); c.hup(); return nil }); err != nil {
		return err
	}
	err := c.nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return c.fill(nc.Reader()) })
	if !c.nc.IsActive() {
		// It closed before netpoll knew whom to tell. netpoll leaves such a socket to its owner: without the close, each
		// connection that is reset when new would keep its descriptor for good. The close has the callback run, after the one
		// that takes in what came, if that runs.
		err = errors.Join(err, c.nc.Close())
	}
	return err
}

// fill runs on netpoll's pool, once at a time for a connection. It moves what came into the ring and waits while that
// is full; the loop empties every ring each turn, so the wait is short. netpoll reads on meanwhile without bound, so a
// peer that is too far ahead is dropped.
func (c *Conn) fill(r netpoll.Reader) error {
	c.mu.Lock()
	c.moves = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.moves = false
		c.mu.Unlock()
	}()
	for n := r.Len(); n > 0; n = r.Len() {
		if n > maxBacklog {
			return errors.Join(r.Skip(n), r.Release(), c.flooded())
		}
		free := c.in.Free()
		if free == 0 {
			c.notify()
			<-c.space
			if c.isEnded() {
				return io.EOF
			}
			continue
		}
		p, err := r.Next(min(n, free))
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		c.in.Write(p)
		if err := r.Release(); err != nil {
			return fmt.Errorf("reading: %w", err)
		}
	}
	c.notify()
	return nil
}

// flooded closes the connection at once: until the loop came to it, netpoll would read on, megabytes in a moment.
func (c *Conn) flooded() error {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil
	}
	c.reason, c.ended, c.closed = ErrFlood, true, true
	c.mu.Unlock()
	c.loop.Post(c.tell)
	return c.nc.Close()
}

func (c *Conn) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sought = false
	if !c.posted {
		c.posted, c.at = true, time.Now()
		c.loop.Post(c.read)
	}
}

func (c *Conn) read() {
	c.mu.Lock()
	at := c.at
	c.posted = false
	deaf := c.closed
	c.mu.Unlock()
	if c.told || deaf {
		return // what crosses a close by this side is not taken: its peer sends it again, or has forfeited it
	}
	err := c.handler.Data(c.in, at)
	select {
	case c.space <- struct{}{}:
	default:
	}
	if err != nil {
		c.Close(err)
	}
}

func (c *Conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// rest takes in what a peer that has closed sent last. netpoll hands over what comes while a callback runs in another turn of that
// callback, but not if the close comes before it begins: then the bytes are in its reader still, and would go with it. A close by
// this side leaves them: what crosses it is not taken.
func (c *Conn) rest() {
	if c.isEnded() {
		return
	}
	if r := c.nc.Reader(); r.Len() > 0 {
		if err := c.fill(r); err != nil {
			slog.Debug("what came last is lost", "err", err)
		}
	}
}

// hup runs when netpoll closes the connection, whoever asked for it.
func (c *Conn) hup() {
	c.mu.Lock()
	if c.reason == nil {
		c.reason = io.EOF
		if fd, ok := c.nc.(netpoll.Conn); ok {
			if _, err := syscall.Getpeername(fd.Fd()); errors.Is(err, syscall.ENOTCONN) {
				c.reason = ErrReset // a socket whose peer has only closed its side still has one
			}
		}
	}
	c.ended = true
	c.mu.Unlock()
	c.loop.Post(c.tell)
}

func (c *Conn) tell() {
	if c.told {
		return
	}
	c.read() // what came before the close still counts
	if c.told {
		return
	}
	c.told = true
	c.handler.Closed(c.reason)
}

// Write queues a whole message for Flush. The connection is closed if the peer has left too much unread.
func (c *Conn) Write(p []byte) {
	if c.told {
		return
	}
	if c.out.Free() < len(p) {
		c.Flush()
	}
	if c.out.Free() < len(p) {
		c.Close(ErrSlowReader)
		return
	}
	c.out.Write(p)
	c.queued += uint64(len(p))
}

// WriteThen is Write with a function that runs once the last byte has gone to the socket, if it ever does. The ticket is what
// Recall takes.
func (c *Conn) WriteThen(p []byte, then func()) Ticket {
	before := c.queued
	if c.Write(p); c.queued == before {
		return 0
	}
	c.tickets++
	c.marks = append(c.marks, mark{before, c.queued, then, c.tickets})
	return c.tickets
}

// Recall takes back a message of which no byte has left yet, and reports whether it was one. Its function does not run then.
func (c *Conn) Recall(t Ticket) bool {
	i := slices.IndexFunc(c.marks, func(m mark) bool { return m.ticket == t })
	if t == 0 || i < 0 || c.told || c.marks[i].from < c.left {
		return false
	}
	m := c.marks[i]
	n := m.at - m.from
	c.out.Cut(int(m.from-c.left), int(n))
	c.queued -= n
	c.marks = slices.Delete(c.marks, i, i+1)
	for j := range c.marks[i:] {
		c.marks[i+j].from -= n
		c.marks[i+j].at -= n
	}
	return true
}

// took notes that the socket has taken bytes.
func (c *Conn) took(n int) {
	c.out.Discard(n)
	c.left += uint64(n)
	for len(c.marks) > 0 && c.marks[0].at <= c.left {
		then := c.marks[0].then
		c.marks = c.marks[1:]
		then()
	}
}

// Flush writes what is queued as far as the socket takes it. netpoll's own Flush waits for the peer to read;
// here one slow reader would hold up every call, so the socket is written without waiting and tried again.
func (c *Conn) Flush() {
	if c.told || c.out.Len() == 0 {
		return
	}
	c.commit()
	for c.out.Len() > 0 {
		n, err := c.write()
		c.took(max(n, 0))
		switch {
		case err == nil || errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			if !c.retries {
				c.retries = true
				time.AfterFunc(retryAfter, func() { c.loop.Post(func() { c.retries = false; c.Flush() }) })
			}
			return
		default:
			c.Close(fmt.Errorf("writing: %w", err))
			return
		}
	}
	c.out.Empty()
}

// commit has what was decided kept, if it is to be, before it is told.
func (c *Conn) commit() {
	if l, ok := c.loop.(committer); ok {
		l.Commit()
	}
}

func (c *Conn) write() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return 0, net.ErrClosed
	}
	first, _ := c.out.Parts()
	return syscall.Write(fd.Fd(), first)
}

// Unsent is the number of bytes that wait for the socket.
func (c *Conn) Unsent() int { return c.out.Len() }

// Close ends the connection; the handler is told the reason on this or a later turn of the loop.
func (c *Conn) Close(reason error) {
	if !c.told && c.out.Len() > 0 {
		c.commit()
	}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if fd, ok := c.nc.(netpoll.Conn); ok && c.out.Len() > 0 { // last words, as far as the socket takes them
		first, _ := c.out.Parts()
		if n, err := syscall.Write(fd.Fd(), first); err == nil {
			c.took(n)
			if first, _ = c.out.Parts(); len(first) > 0 {
				n, _ = syscall.Write(fd.Fd(), first)
				c.took(max(n, 0))
			}
		}
	}
	c.reason, c.ended, c.closed = reason, true, true
	c.mu.Unlock()
	select {
	case c.space <- struct{}{}: // let a waiting fill go
	default:
	}
	if err := c.nc.Close(); err != nil {
		slog.Debug("closing a connection", "err", err)
	}
	c.loop.Post(c.tell)
}

// Finish ends this side of the connection and goes on reading: what the peer has sent, or sends before it closes too, still
// comes. One that does not close is closed after the time.
func (c *Conn) Finish(within time.Duration) {
	c.Flush()
	c.mu.Lock()
	if fd, ok := c.nc.(netpoll.Conn); ok && !c.ended {
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("finishing a connection", "err", err)
		}
	}
	c.mu.Unlock()
	time.AfterFunc(within, func() { c.loop.Post(func() { c.Close(ErrClosedHere) }) })
}

// Quiet reports whether nothing of the peer's is on its way to the handler, nor waits in the socket. A connection that is
// of no use may be closed then; else what has come already would be lost with it.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return true
	}
	if c.posted || c.in.Len() > 0 || c.nc.Reader().Len() > 0 {
		return false
	}
	n, _, _ := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n <= 0
}

// Unread reports whether bytes wait that the ring could take and has not. After a pause they may tell what must be known before what is
// overdue is done.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok || c.in.Free() == 0 {
		return false
	}
	if c.nc.Reader().Len() == 0 && !c.moves {
		n, _, _ := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n <= 0 {
			return c.sought // neither here nor there: netpoll has read it, and does not show it yet
		}
	}
	c.sought = true
	return true
}

// Hear has the handler take in at once what has come and waits for its turn. Only the loop may call it, and no handler of callers.
func (c *Conn) Hear() {
	c.mu.Lock()
	waits := c.posted
	c.mu.Unlock()
	if waits {
		c.read()
	}
}

// Left reports whether the peer has closed its side or reset the connection, also where nobody has looked at that yet: after a
// pause, what is overdue runs beside what has come meanwhile.
func (c *Conn) Left() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return true
	}
	n, _, err := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0 || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false
	}
	return true
}

// Remote is the peer's address.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

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
			bound(fd.Fd())
		}
		c := wrap(loop, nc)
		loop.Post(func() {
			c.handler = handler(c)
			done(nil)
		})
		if err := c.start(); err != nil {
			c.loop.Post(func() { c.Close(err) })
		}
	}()
}

// bound bounds what the kernel takes in ahead for a socket.
func bound(fd int) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelSize); err != nil {
		slog.Warn("bounding a socket", "err", err)
	}
}

// Listener accepts connections.
type Listener struct {
	loop    Poster
	handler func(*Conn) Handler
	tcp     *net.TCPListener
	open    atomic.Int64
	most    atomic.Int64
	shared  atomic.Bool // another process accepts from the same socket
	serving *accepting  // nil before Start and after Stop; event loop only
}

// accepting is the time between a Start and a Stop.
type accepting struct {
	netpoll.Listener
	of      *Listener
	serve   netpoll.EventLoop
	stopped atomic.Bool
}

// Accept closes what comes beyond the limit at once: a descriptor that callers take is one that dispatchers and the
// list may lack, and netpoll accepts whatever the process can hold.
func (a *accepting) Accept() (net.Conn, error) {
	if a.stopped.Load() {
		return nil, net.ErrClosed // netpoll then leaves the socket alone, and what waits there to the other process
	}
	nc, err := a.Listener.Accept()
	if nc == nil || err != nil {
		return nil, err //nolint:wrapcheck // netpoll looks at the very error, and takes nil for nothing to accept
	}
	if most := a.of.most.Load(); most > 0 && a.of.open.Load() >= most {
		return nil, nc.Close() //nolint:nilnil // as above
	}
	return nc, nil
}

// Close stops listening. netpoll's own Close closes the descriptor that it made of the socket twice, and by the second
// time the number may be another connection's; here that is left to the collector, which does it once. A socket that
// another process has as well must not be shut down.
func (a *accepting) Close() error {
	var err error
	if !a.of.shared.Load() {
		err = syscall.Shutdown(a.Fd(), syscall.SHUT_RD)
	}
	return errors.Join(err, a.of.tcp.Close())
}

// Limit bounds the connections that are open at once; 0 is no bound. Open ones stay.
func (l *Listener) Limit(most int) { l.most.Store(int64(most)) }

// reusePort is SO_REUSEPORT, which package syscall lacks for some machines.
const reusePort = 0xf

// BindShared opens a socket that listens at the address. Another process may listen there too: that is how one can start
// beside its predecessor where the socket cannot be handed over.
func BindShared(address string) (*net.TCPListener, error) { return bind(address, 1) }

func bind(address string, shared int) (*net.TCPListener, error) {
	// What is accepted has the listener's bound from its first byte on.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			bound(int(fd))
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, shared)
		}), err)
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", address, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("listening at %s: not TCP", address), ln.Close())
	}
	return tcp, nil
}

// NewListener prepares to accept connections from a socket, of which at most so many are open at once if most is above
// 0; handler is called on the loop for each one.
func NewListener(loop Poster, tcp *net.TCPListener, most int, handler func(*Conn) Handler) *Listener {
	l := &Listener{loop: loop, handler: handler, tcp: tcp}
	l.Limit(most)
	return l
}

// Listen accepts connections at the address until Shutdown.
func Listen(loop Poster, address string, most int, handler func(*Conn) Handler) (*Listener, error) {
	tcp, err := bind(address, 0)
	if err != nil {
		return nil, err
	}
	l := NewListener(loop, tcp, most, handler)
	if err := l.Start(); err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	return l, nil
}

// Start begins to accept, or does so again after a Stop.
func (l *Listener) Start() error {
	if l.serving != nil {
		return nil
	}
	ln, err := netpoll.ConvertListener(l.tcp)
	if err != nil {
		return fmt.Errorf("listening at %s: %w", l.Address(), err)
	}
	a := &accepting{Listener: ln, of: l}
	type key struct{}
	prepare := func(nc netpoll.Connection) context.Context {
		c := wrap(l.loop, nc)
		l.open.Add(1)
		l.loop.Post(func() { c.handler = l.handler(c) })
		if err := nc.AddCloseCallback(func(netpoll.Connection) error { l.open.Add(-1); c.rest(); c.hup(); return nil }); err != nil {
			slog.Warn("accepting a connection", "err", err)
		}
		return context.WithValue(context.Background(), key{}, c)
	}
	fill := func(ctx context.Context, nc netpoll.Connection) error {
		c, ok := ctx.Value(key{}).(*Conn)
		if !ok {
			return errors.New("connection without its object")
		}
		return c.fill(nc.Reader())
	}
	if a.serve, err = netpoll.NewEventLoop(fill, netpoll.WithOnPrepare(prepare)); err != nil {
		return fmt.Errorf("listening at %s: %w", l.Address(), err)
	}
	l.serving = a
	go func() {
		if err := a.serve.Serve(a); err != nil && !a.stopped.Load() {
			slog.Error("accepting connections ended", "address", l.Address(), "err", err)
		}
	}()
	return nil
}

// Stop accepts no more. The socket stays open, and what waits there is left to whoever shares it.
func (l *Listener) Stop() {
	if l.serving != nil {
		l.serving.stopped.Store(true)
		l.serving = nil
	}
}

// Share is another descriptor of the socket, for a process that is to accept from it as well.
func (l *Listener) Share() (*os.File, error) {
	f, err := l.tcp.File()
	if err != nil {
		return nil, fmt.Errorf("sharing %s: %w", l.Address(), err)
	}
	return f, nil
}

// Shared tells whether another process accepts from the socket as well. Then its end here leaves it as it is.
func (l *Listener) Shared(shared bool) { l.shared.Store(shared) }

// Address is where the listener listens.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// Shutdown stops accepting; open connections end too.
func (l *Listener) Shutdown() error {
	a := l.serving
	if a == nil {
		return l.tcp.Close() //nolint:wrapcheck // it says what it is
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := a.serve.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}
