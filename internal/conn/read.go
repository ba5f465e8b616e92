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

// start registers the callbacks with netpoll, which begins to read. It must not run on the event loop, because it waits for the event
// loop if more input has arrived already than the ring holds.
func (c *Conn) start() error {
	if err := c.nc.AddCloseCallback(func(netpoll.Connection) error { c.readRemaining(); c.onHangup(); c.onSocketClosed(); return nil }); err != nil {
		return err
	}
	err := c.nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return c.fill(nc.Reader()) })
	if !c.nc.IsActive() {
		// The connection ended before the callbacks were registered. netpoll does not close such a socket itself, so without this
		// Close each connection that is reset when new would leak its descriptor. Close runs the close callback, after the
		// callback for input if that is running.
		err = errors.Join(err, c.nc.Close())
	}
	return err
}

// fill moves input from netpoll into the ring and waits while the ring is full. The wait is short, because the event loop empties every
// ring in each iteration. netpoll goes on reading meanwhile without a limit: beyond maxReadAhead, input is discarded and the connection is
// closed once the event loop has processed the input before it. fill runs on netpoll's goroutine pool, once at a time per connection.
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
		discard, overLimit := c.countDiscarded(n)
		if discard {
			c.countRead(n)
			err := errors.Join(r.Skip(n), r.Release())
			if overLimit {
				c.Abort(ErrFlood)
			}
			if overLimit || err != nil {
				return err
			}
			continue
		}
		free := c.in.Free()
		if n > maxReadAhead && free == 0 {
			c.discardFlood() // the content of the ring is still processed and answered
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

// postInput posts deliverInput to the event loop, unless it is posted already.
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

// deliverInput passes the content of the ring to the handler. It runs on the event loop.
func (c *Conn) deliverInput() {
	c.mu.Lock()
	at := c.inputSince
	c.inputPosted = false
	closedLocally := c.closedLocally
	c.mu.Unlock()
	if c.closedDelivered || closedLocally {
		return // input that crosses a close by this side is dropped: the peer sends it again or loses it
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

// readRemaining reads the last input of a peer that has closed. netpoll runs its callback again for input that arrives during the
// callback, but not if the close precedes the next run: the bytes then remain in its reader and would be lost with it. After a close by
// this side they are left there, because input that crosses such a close is dropped.
func (c *Conn) readRemaining() {
	if c.hasEnded() {
		return
	}
	if r := c.nc.Reader(); r.Len() > 0 {
		if err := c.fill(r); err != nil {
			slog.Debug("failed to read the last input of a connection", "err", err)
		}
	}
}

// onHangup records the end of the connection and its reason. It runs when netpoll closes the connection, for either side.
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

// wasReset reports whether the peer has reset the socket of an ended connection. If only the peer has closed its side, the socket still
// has a peer address; after a reset it has none. If both sides have closed, it has none in either case, but the kernel counts an orderly
// close by the peer as one more received byte.
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

// deliverClosed passes the remaining input and then the close reason to the handler, once. It runs on the event loop.
func (c *Conn) deliverClosed() {
	if c.closedDelivered {
		return
	}
	c.deliverInput() // input that arrived before the close still counts
	if c.closedDelivered {
		return
	}
	c.closedDelivered = true
	c.handler.Closed(c.reason)
}

// NoPendingInput reports whether no input waits for the handler, neither in the ring nor in netpoll nor in the socket. Otherwise closing a
// connection that is not needed any more would lose input that has arrived already.
func (c *Conn) NoPendingInput() bool {
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

// countRead adds to the number of bytes that were read from netpoll.
func (c *Conn) countRead(n int) {
	c.mu.Lock()
	c.bytesRead += uint64(n)
	c.mu.Unlock()
}

// AllInputRead reports whether all bytes that the kernel has received were read into the ring or discarded. netpoll's poller can be descheduled
// between reading bytes from the socket and making them available; in between, neither the socket nor Quiet shows them. AllInputRead returns
// true if the kernel does not count received bytes.
func (c *Conn) AllInputRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.Bytes_received <= c.bytesRead
}

// HasUnreadInput reports whether there is unread input for which the ring has space. After a pause of the process, such input may concern overdue
// timers, so it must be processed before them.
func (c *Conn) HasUnreadInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok || c.in.Free() == 0 {
		return false
	}
	if c.nc.Reader().Len() == 0 && !c.filling {
		n, _, _ := syscall.Recvfrom(fd.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n <= 0 {
			return c.unreadReported // netpoll has read the reported input but does not make it available yet
		}
	}
	c.unreadReported = true
	return true
}

// ProcessInput passes input that waits for its event loop iteration to the handler at once. It must be called on the event loop, and not from
// within a handler of a caller's connection.
func (c *Conn) ProcessInput() {
	c.mu.Lock()
	posted := c.inputPosted
	c.mu.Unlock()
	if posted {
		c.deliverInput()
	}
}

// PeerClosed reports whether the peer has closed its side or reset the connection. It asks the socket itself, because after a pause of the
// process overdue timers can run before netpoll has noticed the close.
func (c *Conn) PeerClosed() bool {
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
