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

// acceptAgain is the pause after a connection could not be accepted, as the process is short of something.
const acceptAgain = 10 * time.Millisecond

// accepting is the time between a Start and a Stop. netpoll's own server can't pause without closing what comes meanwhile, so connections
// are accepted here and handed to netpoll.
type accepting struct {
	of      *Listener
	socket  *os.File // another descriptor of the listener's socket
	raw     syscall.RawConn
	stopped atomic.Bool
	paused  bool // since there was no room, no connection has been waited for: the next one may have waited for long
}

func (l *Listener) newAccepting() (*accepting, error) {
	socket, err := l.tcp.File()
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller says what for
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &accepting{of: l, socket: socket, raw: raw}, nil
}

// run accepts connections, one at a time, while there is room for them.
func (a *accepting) run() {
	for a.awaitRoom() {
		fd, remote, err := a.accept()
		switch {
		case a.stopped.Load() && err != nil:
			return
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED): // its peer has reset it while it waited
		case err != nil:
			slog.Warn("accepting a connection", "address", a.of.Address(), "err", err)
			time.Sleep(acceptAgain)
		default:
			a.of.take(fd, remote, a.paused)
		}
	}
}

// accept waits for a connection. It ends with an error once the listener has stopped.
func (a *accepting) accept() (fd int, remote netip.AddrPort, err error) {
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
	return fd, addressOf(from), nil
}

func addressOf(from syscall.Sockaddr) netip.AddrPort {
	switch from := from.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(from.Addr), uint16(from.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(from.Addr).Unmap(), uint16(from.Port))
	}
	return netip.AddrPort{}
}

// awaitRoom waits until one more connection may be open, and reports whether it is to be accepted. Those that this side has closed make
// room before their time is up.
func (a *accepting) awaitRoom() bool {
	l := a.of
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && !a.stopped.Load() {
		a.paused = true
		if oldest := l.oldestLingering(); oldest != nil {
			if rest := lingerLeast - time.Since(oldest.halfClosedAt()); rest > 0 {
				time.AfterFunc(rest, l.room.Broadcast)
			} else {
				l.lingering = l.lingering[1:]
				l.mu.Unlock()
				oldest.Abort(ErrClosedHere)
				l.mu.Lock()
				continue
			}
		}
		l.room.Wait()
	}
	return !a.stopped.Load()
}

// oldestLingering is the connection that was closed by this side first and still holds a descriptor.
func (l *Listener) oldestLingering() *Conn {
	for len(l.lingering) > 0 {
		oldest := l.lingering[0]
		if _, open := l.open[oldest]; open {
			return oldest
		}
		l.lingering = l.lingering[1:]
	}
	return nil
}

// stop has run end; what waits in the kernel's queue is left there.
func (a *accepting) stop() {
	a.of.mu.Lock() // whoever has seen that it goes on waits by then
	a.stopped.Store(true)
	a.of.mu.Unlock()
	a.of.room.Broadcast()
	if err := a.socket.Close(); err != nil {
		slog.Warn("closing a listener", "address", a.of.Address(), "err", err)
	}
}

// refuse has the kernel take no more connections at the socket.
func (a *accepting) refuse() error {
	var err error
	return errors.Join(a.raw.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), syscall.SHUT_RD) }), err)
}

// waiting reports whether a connection waits in the kernel's queue.
func (a *accepting) waiting() bool {
	n := 0
	err := a.raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// Waiting reports whether connections wait to be accepted. Only the loop may call it.
func (l *Listener) Waiting() bool { return l.serving != nil && l.serving.waiting() }

// lastArrival is when the last bytes came that can be read from a socket; zero if there are none, or it can't be told.
func lastArrival(fd int) time.Time {
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

// take serves a connection that was accepted, after a pause or not.
func (l *Listener) take(fd int, remote netip.AddrPort, paused bool) {
	var arrived time.Time
	if paused {
		arrived = lastArrival(fd)
	}
	if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1); err != nil {
		slog.Debug("accepting a connection", "err", err)
	}
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		slog.Warn("accepting a connection", "err", err)
		return
	}
	c := wrap(l.loop, nc)
	c.listener, c.remote, c.arrived = l, net.TCPAddrFromAddrPort(remote), arrived
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	l.loop.Post(func() { c.handler = l.handler(c) })
	if err := c.start(); err != nil {
		l.loop.Post(func() { c.Close(err) })
	}
}

// lingers notes that this side has closed a connection.
func (l *Listener) lingers(c *Conn) {
	l.mu.Lock()
	l.oldestLingering() // drops those that have ended
	l.lingering = append(l.lingering, c)
	l.mu.Unlock()
	l.room.Broadcast()
}

// ended notes that a connection holds no descriptor any more.
func (l *Listener) ended(c *Conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.room.Broadcast()
}
