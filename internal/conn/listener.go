package conn

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

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
