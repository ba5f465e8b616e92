package conn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// start begins to read what a dialled connection brings. It must not run on the loop: if more has come already
// than the ring holds, it waits for the loop.
func (c *Conn) start() error {
	if err := c.nc.AddCloseCallback(func(netpoll.Connection) error { c.readRemaining(); c.onHangup(); c.onSocketClosed(); return nil }); err != nil {
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
// is full; the loop empties every ring each turn, so the wait is short. netpoll reads on meanwhile without bound, so what a
// peer sends that is too far ahead is discarded, and its connection closed once the loop has taken in what came before.
func (c *Conn) fill(r netpoll.Reader) error {
	c.mu.Lock()
	c.filling = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.filling = false
		c.mu.Unlock()
	}()
	for n := r.Len(); n > 0; n = r.Len() {
		discards, tooMuch := c.countDiscarded(n)
		if discards {
			c.countRead(n)
			err := errors.Join(r.Skip(n), r.Release())
			if tooMuch {
				c.Abort(ErrFlood)
			}
			if tooMuch || err != nil {
				return err
			}
			continue
		}
		free := c.in.Free()
		if n > maxReadAhead && free == 0 {
			c.discardFlood() // what fits into the ring is taken in, and has its answer
			continue
		}
		if free == 0 {
			c.postInput()
			<-c.spaceFreed
			continue
		}
		p, err := r.Next(min(n, free))
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		c.in.Write(p)
		c.countRead(len(p))
		if err := r.Release(); err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		if n > maxReadAhead {
			c.discardFlood()
		}
	}
	c.postInput()
	return nil
}

func (c *Conn) postInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadReported = false
	if !c.inputPosted {
		c.inputPosted, c.inputSince = true, time.Now()
		if !c.firstArrival.IsZero() {
			c.inputSince, c.firstArrival = c.firstArrival, time.Time{}
		}
		c.loop.Post(c.deliverInput)
	}
}

func (c *Conn) deliverInput() {
	c.mu.Lock()
	at := c.inputSince
	c.inputPosted = false
	deaf := c.closedLocally
	c.mu.Unlock()
	if c.closedDelivered || deaf {
		return // what crosses a close by this side is not taken: its peer sends it again, or has forfeited it
	}
	err := c.handler.Data(c.in, at)
	select {
	case c.spaceFreed <- struct{}{}:
	default:
	}
	if err != nil {
		c.Close(err)
		return
	}
	c.closeIfFlooded()
}

func (c *Conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// readRemaining takes in what a peer that has closed sent last. netpoll hands over what comes while a callback runs in another turn of that
// callback, but not if the close comes before it begins: then the bytes are in its reader still, and would go with it. A close by
// this side leaves them: what crosses it is not taken.
func (c *Conn) readRemaining() {
	if c.hasEnded() {
		return
	}
	if r := c.nc.Reader(); r.Len() > 0 {
		if err := c.fill(r); err != nil {
			slog.Debug("what came last is lost", "err", err)
		}
	}
}

// onHangup runs when netpoll closes the connection, whoever asked for it.
func (c *Conn) onHangup() {
	c.mu.Lock()
	if c.reason == nil {
		c.reason = io.EOF
		if fd, ok := c.nc.(netpoll.Conn); ok && c.wasReset(fd.Fd()) {
			c.reason = ErrReset
		}
	}
	if !c.ended {
		c.ended, c.endedAt = true, time.Now()
	}
	c.mu.Unlock()
	c.loop.Post(c.deliverClosed)
}

// wasReset reports whether the peer of a socket that has ended reset it. A socket whose peer has only closed its side still has a peer; where both
// sides have closed there is none in either case, and the kernel has counted the peer's close as one more byte.
func (c *Conn) wasReset(fd int) bool {
	if _, err := syscall.Getpeername(fd); !errors.Is(err, syscall.ENOTCONN) {
		return false
	}
	if !c.writeClosed {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Bytes_received <= c.bytesRead
}

func (c *Conn) deliverClosed() {
	if c.closedDelivered {
		return
	}
	c.deliverInput() // what came before the close still counts
	if c.closedDelivered {
		return
	}
	c.closedDelivered = true
	c.handler.Closed(c.reason)
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
	if c.inputPosted || c.in.Len() > 0 || c.nc.Reader().Len() > 0 {
		return false
	}
	n, _, _ := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n <= 0
}

// countRead counts bytes that have been taken from netpoll.
func (c *Conn) countRead(n int) {
	c.mu.Lock()
	c.bytesRead += uint64(n)
	c.mu.Unlock()
}

// AllTaken reports whether all bytes that the kernel has received are in the ring, or were taken from there. netpoll may have read some, and
// not show them yet: its poller may have to wait for its core just then, and neither the socket nor Quiet knows of them. Where the kernel does
// not count what it has received, it is taken for so.
func (c *Conn) AllTaken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.Bytes_received <= c.bytesRead
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
	if c.nc.Reader().Len() == 0 && !c.filling {
		n, _, _ := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n <= 0 {
			return c.unreadReported // neither here nor there: netpoll has read it, and does not show it yet
		}
	}
	c.unreadReported = true
	return true
}

// Hear has the handler take in at once what has come and waits for its turn. Only the loop may call it, and no handler of callers.
func (c *Conn) Hear() {
	c.mu.Lock()
	waits := c.inputPosted
	c.mu.Unlock()
	if waits {
		c.deliverInput()
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
