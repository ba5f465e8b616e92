package conn

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the pause after a failed accept, which usually means that the process is out of descriptors or memory.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop accepts connections from Start to Stop and registers them with netpoll. netpoll's own server is not used because it
// cannot pause without closing the connections that arrive meanwhile.
type acceptLoop struct {
	listener *Listener
	socket   *os.File // duplicate of the listener's descriptor
	raw      syscall.RawConn
	stopped  atomic.Bool
	paused   bool // the limit was reached and the backlog has not been empty since, so the next connection may have waited long
}

// newAcceptLoop returns an acceptLoop with a duplicate of the listener's descriptor.
func (l *Listener) newAcceptLoop() (*acceptLoop, error) {
	socket, err := l.tcp.File()
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller adds the address
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &acceptLoop{listener: l, socket: socket, raw: raw}, nil
}

// run accepts connections one at a time, up to the listener's limit.
func (a *acceptLoop) run() {
	for a.waitForCapacity() {
		fd, remote, err := a.accept()
		switch {
		case a.stopped.Load() && err != nil:
			return
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED): // interrupted, or reset by the peer while in the backlog
		case err != nil:
			slog.Warn("failed to accept a connection", "address", a.listener.Address(), "err", err)
			time.Sleep(acceptRetryDelay)
		default:
			a.listener.addConn(fd, remote, a.paused)
		}
	}
}

// accept waits for a connection. It fails once the listener has stopped.
func (a *acceptLoop) accept() (fd int, remote netip.AddrPort, err error) {
	var from syscall.Sockaddr
	waitErr := a.raw.Read(func(listenerFD uintptr) bool {
		fd, from, err = syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EAGAIN) {
			a.paused = false
			return false
		}
		return true
	})
	if waitErr != nil {
		return 0, remote, waitErr //nolint:wrapcheck // it either ends the loop or is logged with the address
	}
	if err != nil {
		return 0, remote, fmt.Errorf("accept: %w", err)
	}
	return fd, toAddrPort(from), nil
}

// toAddrPort converts a socket address, or returns the zero AddrPort if it is no IP address.
func toAddrPort(from syscall.Sockaddr) netip.AddrPort {
	switch from := from.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(from.Addr), uint16(from.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(from.Addr).Unmap(), uint16(from.Port))
	}
	return netip.AddrPort{}
}

// waitForCapacity waits until the limit allows one more connection, and returns false once the listener has stopped. Connections that
// linger after a close by this side are aborted early, after minLinger, to free their descriptors.
func (a *acceptLoop) waitForCapacity() bool {
	l := a.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && !a.stopped.Load() {
		a.paused = true
		if oldest := l.oldestLingering(); oldest != nil {
			if remaining := minLinger - time.Since(oldest.halfClosedAt()); remaining > 0 {
				time.AfterFunc(remaining, l.capacityChanged.Broadcast)
			} else {
				l.lingering = l.lingering[1:]
				l.mu.Unlock()
				oldest.Abort(ErrClosedLocally)
				l.mu.Lock()
				continue
			}
		}
		l.capacityChanged.Wait()
	}
	return !a.stopped.Load()
}

// oldestLingering returns the connection that this side closed first among those that still hold a descriptor, or nil. It drops
// ended connections from the head of the list.
func (l *Listener) oldestLingering() *Conn {
	for len(l.lingering) > 0 {
		oldest := l.lingering[0]
		if _, open := l.conns[oldest]; open {
			return oldest
		}
		l.lingering = l.lingering[1:]
	}
	return nil
}

// stop ends run. Connections in the kernel's backlog stay there.
func (a *acceptLoop) stop() {
	a.listener.mu.Lock() // otherwise waitForCapacity could miss the broadcast between its check and its wait
	a.stopped.Store(true)
	a.listener.mu.Unlock()
	a.listener.capacityChanged.Broadcast()
	if err := a.socket.Close(); err != nil {
		slog.Warn("failed to close a listener", "address", a.listener.Address(), "err", err)
	}
}

// shutdownSocket makes the kernel reject further connections to the socket.
func (a *acceptLoop) shutdownSocket() error {
	var err error
	return errors.Join(a.raw.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), syscall.SHUT_RD) }), err)
}

// hasBacklog reports whether a connection waits in the kernel's backlog.
func (a *acceptLoop) hasBacklog() bool {
	n := 0
	err := a.raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// HasBacklog reports whether connections wait to be accepted. It must be called on the event loop.
func (l *Listener) HasBacklog() bool { return l.accepting != nil && l.accepting.hasBacklog() }

// lastReceiveTime returns when the socket last received data, or the zero time if no input is readable or the kernel does not report it.
func lastReceiveTime(fd int) time.Time {
	n, _, _ := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if n <= 0 {
		return time.Time{}
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// addConn starts to serve an accepted connection. After a pause, the arrival time of its first bytes is taken from the kernel.
func (l *Listener) addConn(fd int, remote netip.AddrPort, paused bool) {
	var arrived time.Time
	if paused {
		arrived = lastReceiveTime(fd)
	}
	if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1); err != nil {
		slog.Debug("failed to set TCP_NODELAY", "err", err)
	}
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		slog.Warn("failed to register a connection with netpoll", "err", err)
		return
	}
	c := newConn(l.loop, nc)
	c.listener, c.remote, c.firstArrival = l, net.TCPAddrFromAddrPort(remote), arrived
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.loop.Post(func() { c.handler = l.handler(c) })
	if err := c.start(); err != nil {
		l.loop.Post(func() { c.Close(err) })
	}
}

// addLingering records that this side has closed the connection.
func (l *Listener) addLingering(c *Conn) {
	l.mu.Lock()
	l.oldestLingering() // drops ended connections
	l.lingering = append(l.lingering, c)
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}

// removeConn records that the connection has released its descriptor.
func (l *Listener) removeConn(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}
