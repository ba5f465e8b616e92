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

// Listener accepts connections from a TCP socket, up to a limit.
type Listener struct {
	loop      Poster
	handler   func(*Conn) Handler
	tcp       *net.TCPListener
	shared    atomic.Bool // another process accepts from the same socket
	accepting *acceptLoop // nil before Start and after Stop; used on the event loop only

	mu              sync.Mutex
	capacityChanged *sync.Cond         // signalled when another connection may fit within the limit
	conns           map[*Conn]struct{} // connections that hold a descriptor
	maxConns        int                // 0 for no limit
	lingering       []*Conn            // closed by this side, oldest first; some may have ended since
}

// SetMaxConnections sets the maximum number of connections that hold a descriptor at once; 0 means no limit. Open connections are kept. Connections
// beyond the limit wait in the kernel's backlog instead of being closed, which would lose what their peers have sent.
func (l *Listener) SetMaxConnections(maxConns int) {
	l.mu.Lock()
	l.maxConns = maxConns
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}

// SocketCount returns the number of connections that hold a descriptor, including connections that linger after a close.
func (l *Listener) SocketCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Full reports whether the limit on connections is reached.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full()
}

func (l *Listener) full() bool { return l.maxConns > 0 && len(l.conns) >= l.maxConns }

// soReusePort is SO_REUSEPORT, which package syscall does not define for every architecture.
const soReusePort = 0xf

// BindShared opens a listening socket with SO_REUSEPORT, so that another process can listen at the same address. A successor uses it to
// start beside its predecessor when the socket cannot be handed over.
func BindShared(address string) (*net.TCPListener, error) { return bind(address, 1) }

func bind(address string, reusePort int) (*net.TCPListener, error) {
	// Accepted connections inherit the receive buffer size of the listener, so that it holds from their first byte on.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			limitReceiveBuffer(int(fd))
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, reusePort)
		}), err)
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", address, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("listening at %s: the listener is not TCP", address), ln.Close())
	}
	return tcp, nil
}

// NewListener returns a Listener for the socket that accepts nothing until Start. At most maxConns connections are open at once; 0 means
// no limit. The function handler is called on the event loop for each connection.
func NewListener(loop Poster, tcp *net.TCPListener, maxConns int, handler func(*Conn) Handler) *Listener {
	l := &Listener{loop: loop, handler: handler, tcp: tcp, maxConns: maxConns, conns: map[*Conn]struct{}{}}
	l.capacityChanged = sync.NewCond(&l.mu)
	return l
}

// Listen binds the address and returns a started Listener.
func Listen(loop Poster, address string, maxConns int, handler func(*Conn) Handler) (*Listener, error) {
	tcp, err := bind(address, 0)
	if err != nil {
		return nil, err
	}
	l := NewListener(loop, tcp, maxConns, handler)
	if err := l.Start(); err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	return l, nil
}

// Start starts to accept connections, also after Stop.
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

// Stop stops accepting connections. The socket stays open, and another process that shares it can accept the connections in its backlog.
func (l *Listener) Stop() {
	if l.accepting != nil {
		l.accepting.stop()
		l.accepting = nil
	}
}

// File returns a file with a duplicate of the socket's descriptor, to be passed to a process that accepts from the same socket.
func (l *Listener) File() (*os.File, error) {
	f, err := l.tcp.File()
	if err != nil {
		return nil, fmt.Errorf("duplicating the socket of %s: %w", l.Address(), err)
	}
	return f, nil
}

// SetShared sets whether another process accepts from the same socket. Shutdown then leaves the socket usable for that process.
func (l *Listener) SetShared(shared bool) { l.shared.Store(shared) }

// Address returns the address of the listening socket.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// Shutdown stops accepting connections and closes the open ones. It waits up to shutdownLinger for their peers to read the last output.
// It does not need a running event loop.
func (l *Listener) Shutdown() error {
	if l.accepting == nil {
		return l.tcp.Close() //nolint:wrapcheck // the error names the operation and the address
	}
	var err error
	l.accepting.stopped.Store(true) // before the shutdown of the socket, which ends a pending accept
	if !l.shared.Load() {           // shutting down a shared socket would stop the other process from accepting
		err = l.accepting.shutdownSocket()
	}
	l.Stop()
	err = errors.Join(err, l.tcp.Close())
	for _, c := range l.connections() {
		c.halfClose(ErrClosedLocally)
	}
	for deadline := time.Now().Add(shutdownLinger); l.SocketCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	for _, c := range l.connections() {
		c.Abort(ErrClosedLocally)
	}
	if err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// connections returns the connections that hold a descriptor.
func (l *Listener) connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}
