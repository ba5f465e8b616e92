package conn

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// mark is a function that waits for all bytes of a message to leave.
type mark struct {
	from, at uint64
	then     func()
	ticket   Ticket
}

// Ticket names a message that WriteThen has queued; 0 names none.
type Ticket uint64

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
		case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
			c.dropQueued()
			return
		default:
			c.Close(fmt.Errorf("writing: %w", err))
			return
		}
	}
	c.out.Empty()
}

// dropQueued drops what is queued, as the peer has ended the connection. Its end follows from netpoll, behind what the peer sent before it: a close by
// this side would have that discarded.
func (c *Conn) dropQueued() {
	c.out.Discard(c.out.Len())
	c.marks, c.left = nil, c.queued
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
