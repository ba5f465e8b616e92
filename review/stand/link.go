package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy between a controller and the store. All bytes take some time one way. The link can be cut: then nothing passes, in neither
// direction, and nothing is lost.
type link struct {
	address string
	delay   time.Duration
	mu      sync.Mutex
	open    chan struct{} // closed while the link is whole
}

func startLink(target string, delay time.Duration) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), delay: delay, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				l.wait()
				to, err := net.Dial("tcp", target)
				if err != nil {
					_ = from.Close()
					return
				}
				go l.pass(from, to)
				go l.pass(to, from)
			}()
		}
	}()
	return l, nil
}

// wait waits until the link is whole.
func (l *link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

// pass passes bytes in one direction until either side ends its connection.
func (l *link) pass(from, to net.Conn) {
	type piece struct {
		due   time.Time
		bytes []byte
	}
	pieces := make(chan piece, 1<<12)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			l.wait()
			if _, err := to.Write(p.bytes); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		for range pieces {
			continue // until the reader has ended, too
		}
	}()
	defer close(pieces)
	for {
		p := make([]byte, 16<<10)
		n, err := from.Read(p)
		if n > 0 {
			pieces <- piece{time.Now().Add(l.delay), p[:n]}
		}
		if err != nil {
			return
		}
	}
}

// cut cuts the link, and mend makes it whole again.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}
