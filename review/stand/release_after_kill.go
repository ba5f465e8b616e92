package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["10"] = playReleaseAfterKill }

// playReleaseAfterKill kills a controller and starts it again while calls stand. Their caller then ends each of them on a new connection:
// half of them with the cause of a normal end, half with another one.
func playReleaseAfterKill(s *stage) error {
	const delay, hold = 30 * time.Millisecond, 20 * time.Second
	var dispatchers []*dispatcher
	var first []entry
	for i := range 2 {
		d, err := startDispatcher(s.record, fmt.Sprintf("d%d", i+1), "127.0.0.1:0", delay, hold)
		if err != nil {
			return err
		}
		s.atEnd(d.close)
		dispatchers = append(dispatchers, d)
		first = append(first, entry{d.name, d.address, "active", i, 0})
	}
	list, err := startCoordinator(s.record, first)
	if err != nil {
		return err
	}
	s.atEnd(func() { _ = list.server.Close() })
	p, err := newPlace(s.root, s.dir, "n1")
	if err != nil {
		return err
	}
	if err := p.writeConfig(list.address, list.known(), smallSettings(1)); err != nil {
		return err
	}
	c, err := p.start(s.record, "n1")
	if err != nil {
		return err
	}
	s.atEnd(func() { c.stop() })
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}
	d := &desk{s: s, name: "caller", at: p, calls: map[string]*callState{}}
	var ids []string
	for i := range 8 {
		id, err := d.place(i % 2)
		if err != nil {
			return err
		}
		ids = append(ids, id)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		c.signal(syscall.SIGKILL)
		<-c.ended
		time.Sleep(2 * time.Second)
		if c, err = p.start(s.record, "n1-again"); err != nil {
			return err
		}
		if err := p.waitReady(30 * time.Second); err != nil {
			return err
		}
	} else {
		_ = d.conn.Close()
		<-d.conn.closed
	}
	time.Sleep(time.Second)
	conn, err := d.connect()
	if err != nil {
		return err
	}
	causes := map[string]int{}
	for i, id := range ids {
		causes[id] = []int{16, 31}[i/2%2]
		d.mu.Lock()
		d.calls[id].releasedByCaller = true
		d.mu.Unlock()
		if err := conn.release(id, causes[id]); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	for _, id := range ids {
		for _, at := range dispatchers {
			if k, ok := at.call(id); ok && k.releasedAt.IsZero() {
				s.broken("the caller released call %s (cause %d) 8 s ago; %s was not told, and the call still stands there: %v", id, causes[id], at.name, at.stands(id))
			}
		}
	}
	return nil
}
