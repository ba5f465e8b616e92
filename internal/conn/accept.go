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

// acceptRetryDelay is the pause after a connection could not be accepted, as the process is short of something.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop is the time between a Start and a Stop. netpoll's own server can't pause without closing what comes meanwhile, so connections
// are accepted here and handed to netpoll.
type acceptLoop struct {
	listener *Listener
	socket   *os.File // another descriptor of the listener's socket
	raw      syscall.RawConn
	stopped  atomic.Bool
	paused   bool // since there was no room, no connection has been waited for: the next one may have waited for long
}

func (l *Listener) newAcceptLoop() (*acceptLoop, error) {
	socket, err := l.tcp.File()
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller says what for
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &acceptLoop{listener: l, socket: socket, raw: raw}, nil
}

// run accepts connections, one at a time, while there is room for them.
func (a *acceptLoop) run() {
	for a.waitForCapacity() {
		fd, remote, err := a.accept()
		switch {
		case a.stopped.Load() && err != nil:
			return
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED): // its peer has reset it while it waited
		case err != nil:
			slog.Warn("accepting a connection", "address", a.listener.Address(), "err", err)
			time.Sleep(acceptRetryDelay)
		default:
			a.listener.addConn(fd, remote, a.paused)
		}
	}
}

// accept waits for a connection. It ends with an error once the listener has stopped.
func (a *acceptLoop) accept() (fd int, remote netip.AddrPort, err error) {
	var from syscall.Sockaddr
	waitErr := a.raw.Read(func(listener uintptr) bool {
		fd, from, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EAGAIN) {
			a.paused = false
			return false
		}
		return true
	})
	if waitErr != nil {
		return 0, remote, waitErr //nolint:wrapcheck // it ends the loop, or is logged
	}
	if err != nil {
		return 0, remote, fmt.Errorf("accept: %w", err)
	}
	return fd, toAddrPort(from), nil
}

func toAddrPort(from syscall.Sockaddr) netip.AddrPort {
	switch from := from.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(from.Addr), uint16(from.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(from.Addr).Unmap(), uint16(from.Port))
	}
	return netip.AddrPort{}
}

// waitForCapacity waits until one more connection may be open, and reports whether it is to be accepted. Those that this side has closed make
// room before their time is up.
func (a *acceptLoop) waitForCapacity() bool {
	l := a.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && !a.stopped.Load() {
		a.paused = true
		if oldest := l.oldestLingering(); oldest != nil {
			if rest := minLinger - time.Since(oldest.halfClosedAt()); rest > 0 {
				time.AfterFunc(rest, l.capacityChanged.Broadcast)
			} else {
				l.lingering = l.lingering[1:]
				l.mu.Unlock()
				oldest.Abort(ErrClosedHere)
				l.mu.Lock()
				continue
			}
		}
		l.capacityChanged.Wait()
	}
	return !a.stopped.Load()
}

// oldestLingering is the connection that was closed by this side first and still holds a descriptor.
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

// stop has run end; what waits in the kernel's queue is left there.
func (a *acceptLoop) stop() {
	a.listener.mu.Lock() // whoever has seen that it goes on waits by then
	a.stopped.Store(true)
	a.listener.mu.Unlock()
	a.listener.capacityChanged.Broadcast()
	if err := a.socket.Close(); err != nil {
		slog.Warn("closing a listener", "address", a.listener.Address(), "err", err)
	}
}

// shutdownSocket has the kernel take no more connections at the socket.
func (a *acceptLoop) shutdownSocket() error {
	var err error
	return errors.Join(a.raw.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), syscall.SHUT_RD) }), err)
}

// hasBacklog reports whether a connection waits in the kernel's queue.
func (a *acceptLoop) hasBacklog() bool {
	n := 0
	err := a.raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// Waiting reports whether connections wait to be accepted. Only the loop may call it.
func (l *Listener) Waiting() bool { return l.accepting != nil && l.accepting.hasBacklog() }

// lastReceiveTime is when the last bytes came that can be read from a socket; zero if there are none, or it can't be told.
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

// addConn serves a connection that was accepted, after a pause or not.
func (l *Listener) addConn(fd int, remote netip.AddrPort, paused bool) {
	var arrived time.Time
	if paused {
		arrived = lastReceiveTime(fd)
	}
	if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1); err != nil {
		slog.Debug("accepting a connection", "err", err)
	}
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		slog.Warn("accepting a connection", "err", err)
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

// addLingering notes that this side has closed a connection.
func (l *Listener) addLingering(c *Conn) {
	l.mu.Lock()
	l.oldestLingering() // drops those that have ended
	l.lingering = append(l.lingering, c)
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}

// removeConn notes that a connection holds no descriptor any more.
func (l *Listener) removeConn(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.capacityChanged.Broadcast()
}
