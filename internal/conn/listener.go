package conn

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener accepts connections.
type Listener struct {
	loop      Poster
	handler   func(*Conn) Handler
	tcp       *net.TCPListener
	shared    atomic.Bool // another process accepts from the same socket
	accepting *acceptLoop // nil before Start and after Stop; event loop only

	mu              sync.Mutex
	capacityChanged *sync.Cond // signalled when a connection may have become acceptable
	conns           map[*Conn]struct{}
	maxConns        int
	lingering       []*Conn // closed by this side, oldest first; some may have ended since
}

// Limit bounds the connections that hold a descriptor at once; 0 is no bound. Open ones stay. What comes beyond the bound waits in the
// kernel's queue until there is room: closed at once, it would lose what it has sent.
func (l *Listener) Limit(most int) {
	l.mu.Lock()
	l.maxConns = most
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}

// Held is the number of connections that hold a descriptor, those that are being closed included.
func (l *Listener) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Full reports whether no more connections are accepted for now.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full()
}

func (l *Listener) full() bool { return l.maxConns > 0 && len(l.conns) >= l.maxConns }

// soReusePort is SO_REUSEPORT, which package syscall lacks for some machines.
const soReusePort = 0xf

// BindShared opens a socket that listens at the address. Another process may listen there too: that is how one can start
// beside its predecessor where the socket cannot be handed over.
func BindShared(address string) (*net.TCPListener, error) { return bind(address, 1) }

func bind(address string, shared int) (*net.TCPListener, error) {
	// What is accepted has the listener's bound from its first byte on.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			limitReceiveBuffer(int(fd))
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, shared)
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
	l := &Listener{loop: loop, handler: handler, tcp: tcp, maxConns: most, conns: map[*Conn]struct{}{}}
	l.capacityChanged = sync.NewCond(&l.mu)
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
	if l.accepting != nil {
		return nil
	}
	a, err := l.newAcceptLoop()
	if err != nil {
		return fmt.Errorf("listening at %s: %w", l.Address(), err)
	}
	l.accepting = a
	go a.run()
	return nil
}

// Stop accepts no more. The socket stays open, and what waits there is left to whoever shares it.
func (l *Listener) Stop() {
	if l.accepting != nil {
		l.accepting.stop()
		l.accepting = nil
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

// Shutdown stops accepting; open connections end too, after a moment in which their peers can read what was sent last. The event loop need
// not run any more.
func (l *Listener) Shutdown() error {
	if l.accepting == nil {
		return l.tcp.Close() //nolint:wrapcheck // it says what it is
	}
	var err error
	l.accepting.stopped.Store(true) // before its socket is shut down, which ends a wait there
	if !l.shared.Load() {           // a socket that another process has as well must not be shut down
		err = l.accepting.shutdownSocket()
	}
	l.Stop()
	err = errors.Join(err, l.tcp.Close())
	for _, c := range l.connections() {
		c.halfClose(ErrClosedHere)
	}
	for until := time.Now().Add(shutdownLinger); l.Held() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	for _, c := range l.connections() {
		c.Abort(ErrClosedHere)
	}
	if err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// connections are those that hold a descriptor.
func (l *Listener) connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}
