package fault

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// fillTimeout is the time without an answer to a dial after which the backlog of a listener is full.
const fillTimeout = 200 * time.Millisecond

// Vanish simulates the loss of the server's machine: the open connections of the link stay open and transfer nothing any more, not even
// closes, and new connections get no response. Replace starts another server at the address.
func (n *Net) Vanish(name string) error {
	n.mu.Lock()
	l := n.links[name]
	if l == nil {
		n.mu.Unlock()
		return fmt.Errorf("fault: no link %s", name)
	}
	for p := range l.conns {
		if !p.hasVanished() {
			close(p.vanished)
		}
	}
	n.logf(name, "vanished with %d connections", len(l.conns))
	n.mu.Unlock()
	if err := l.setBacklog(0, time.Unix(0, 0)); err != nil {
		return err
	}
	return l.fillBacklog()
}

// Replace makes a link that has vanished accept connections again, to another target. The old connections remain silent.
func (n *Net) Replace(name, target string) error {
	n.mu.Lock()
	l := n.links[name]
	if l == nil {
		n.mu.Unlock()
		return fmt.Errorf("fault: no link %s", name)
	}
	l.target = target
	n.logf(name, "replaced by %s", target)
	n.mu.Unlock()
	if err := l.setBacklog(syscall.SOMAXCONN, time.Time{}); err != nil {
		return err
	}
	l.acceptAgain <- struct{}{}
	return nil
}

// setBacklog sets the backlog of the listener, and the deadline of its Accept calls.
func (l *Link) setBacklog(backlog int, deadline time.Time) error {
	tcp, ok := l.ln.(*net.TCPListener)
	if !ok {
		return errors.New("fault: not a TCP listener")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("fault: listener: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("fault: listener: %w", err)
	}
	return errors.Join(listenErr, tcp.SetDeadline(deadline))
}

// fillBacklog dials the listener, which accepts nothing, until it does not respond.
func (l *Link) fillBacklog() error {
	for {
		filler, err := net.DialTimeout("tcp", l.ln.Addr().String(), fillTimeout)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			return nil
		case err != nil:
			return fmt.Errorf("fault: filling the backlog: %w", err)
		}
		l.net.mu.Lock()
		l.fillers[filler.LocalAddr().String()] = true
		l.net.mu.Unlock()
		defer filler.Close()
	}
}

// isFiller reports whether a connection was opened to fill the backlog.
func (l *Link) isFiller(c net.Conn) bool {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.fillers[c.RemoteAddr().String()]
}

// currentTarget returns the address to which new connections are forwarded.
func (l *Link) currentTarget() string {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.target
}

// hasVanished reports whether the machine of the server has vanished since the connection was opened.
func (p *proxiedConn) hasVanished() bool {
	select {
	case <-p.vanished:
		return true
	default:
		return false
	}
}
