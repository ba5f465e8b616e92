package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["10"] = playHandoverEnd }

// playHandoverEnd replaces a controller by a second start at the same address. Its caller has one connection, with a call that stands and a
// set-up that waits at a slow dispatcher. The call comes to its end while the old process still serves that connection.
func playHandoverEnd(s *stage) error {
	const (
		hold  = 3 * time.Second
		wait  = 3 * time.Second         // of the set-up at its dispatcher
		limit = 1150 * time.Millisecond // 1 s, the 50 ms of the protocol, and 100 ms for this machine
	)
	quick, err := startDispatcher(s.record, "d1", "127.0.0.1:0", 30*time.Millisecond, hold)
	if err != nil {
		return err
	}
	s.atEnd(quick.close)
	slow, err := startDispatcher(s.record, "d2", "127.0.0.1:0", wait, 8*time.Second)
	if err != nil {
		return err
	}
	s.atEnd(slow.close)
	list, err := startCoordinator(s.record, []entry{{"d1", quick.address, "active", 0, 0}, {"d2", slow.address, "active", 1, 0}})
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
	s.atEnd(c.stop)
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	over, answered := map[string]time.Time{}, map[string]time.Time{}
	conn, err := dialCaller(s.record, "caller", p.listen, "", func(_ *caller, m line) {
		mu.Lock()
		defer mu.Unlock()
		switch m.Type {
		case "answer":
			answered[m.ID] = time.Now()
		case "release":
			over[m.ID] = time.Now()
		}
	})
	if err != nil {
		return err
	}
	stands, waits := newID(), newID()
	if err := conn.setUp(stands, 3600*time.Millisecond, 0, ""); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if !quick.stands(stands) {
		return fmt.Errorf("call %s does not stand at d1", stands)
	}
	if err := conn.setUp(waits, 3600*time.Millisecond, 1, ""); err != nil { // 40% of the 9 s
		return err
	}
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		p.setManagement(freeAddress()) // each process has one of its own
		next, err := p.start(s.record, "n1-next")
		if err != nil {
			return err
		}
		s.atEnd(next.stop)
	}
	var ended time.Time
	for until := time.Now().Add(hold + time.Second); ended.IsZero() && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if k, ok := quick.call(stands); ok {
			ended = k.endedAt
		}
	}
	if ended.IsZero() {
		return fmt.Errorf("call %s has not come to its end", stands)
	}
	time.Sleep(time.Until(ended.Add(limit)))
	mu.Lock()
	told := !over[stands].IsZero()
	mu.Unlock()
	open := true
	select {
	case <-conn.closed:
		open = false
	default:
	}
	s.say("%v after d1 has released %s: its caller is told: %v; the caller's connection is open: %v", limit, stands, told, open)
	if !told && open {
		s.broken("the caller of %s was not told within %v that it is over, though its connection was open all the time", stands, limit)
	}
	time.Sleep(time.Until(ended.Add(8 * time.Second)))
	mu.Lock()
	defer mu.Unlock()
	s.say("8 s after the end: told: %v; the other set-up answered: %v", !over[stands].IsZero(), !answered[waits].IsZero())
	return nil
}
