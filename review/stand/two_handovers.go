package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["10"] = playTwoHandovers }

// playTwoHandovers replaces a controller twice, less than a second apart, while its first process still has a slow set-up. The new configuration moves
// discovery. Later a dispatcher drains.
func playTwoHandovers(s *stage) error {
	const (
		hold  = 3 * time.Second
		wait  = 3500 * time.Millisecond // of a set-up at the slow dispatcher
		busy  = 1400 * time.Millisecond // of one at the busy dispatcher
		apart = 800 * time.Millisecond  // between the two replacements
		told  = 7 * time.Second
		grace = 500 * time.Millisecond
		slack = 100 * time.Millisecond // 50 ms of the protocol, and as much for this machine
		drain = 9800 * time.Millisecond
	)
	var dispatchers []*dispatcher
	var first []entry
	for i, delay := range []time.Duration{30 * time.Millisecond, 30 * time.Millisecond, wait, busy} {
		d, err := startDispatcher(s.record, fmt.Sprintf("d%d", i+1), "127.0.0.1:0", delay, hold)
		if err != nil {
			return err
		}
		s.atEnd(d.close)
		dispatchers = append(dispatchers, d)
		first = append(first, entry{d.name, d.address, "active", i, 0})
	}
	oldList, err := startCoordinator(s.record, first)
	if err != nil {
		return err
	}
	s.atEnd(func() { _ = oldList.server.Close() })
	newList, err := startCoordinator(s.record, first)
	if err != nil {
		return err
	}
	s.atEnd(func() { _ = newList.server.Close() })
	p, err := newPlace(s.root, s.dir, "n1")
	if err != nil {
		return err
	}
	if err := p.writeConfig(oldList.address, oldList.known(), smallSettings(1)); err != nil {
		return err
	}
	processes := []*controller{}
	start := func(name string) error {
		c, err := p.start(s.record, name)
		if err != nil {
			return err
		}
		s.atEnd(c.stop)
		processes = append(processes, c)
		return p.waitReady(30 * time.Second)
	}
	if err := start("n1, first process"); err != nil {
		return err
	}
	ignore := func(*caller, line) {}
	trunk, err := dialCaller(s.record, "trunk", p.listen, "", ignore)
	if err != nil {
		return err
	}
	const left = 3600 * time.Millisecond // 40% of the 9 s
	// The trunk always has a set-up that waits, so its connection stays in use: first at the busy dispatcher, then at the slow one.
	if err := trunk.setUp(newID(), left, 3, ""); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if err := p.writeConfig(newList.address, newList.known(), smallSettings(1)); err != nil {
		return err
	}
	s.say("the configuration names the new coordinator")
	p.setManagement(freeAddress())
	if err := start("n1, second process"); err != nil {
		return err
	}
	served := time.Now()
	time.Sleep(apart - 150*time.Millisecond) // before the first process refuses set-ups, 1.2 s after it was replaced
	if err := trunk.setUp(newID(), left, 2, ""); err != nil {
		return err
	}
	time.Sleep(150 * time.Millisecond)
	if s.trouble {
		p.setManagement(freeAddress())
		if err := start("n1, third process"); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(served.Add(7 * time.Second)))
	if err := oldList.server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	s.say("the old coordinator has ended")
	d1 := dispatchers[0]
	newList.add(entry{d1.name, d1.address, "leaving", 0, 0})
	at := time.Now()
	// Nine calls a second, each on a connection of its own, with the draining dispatcher as their first choice.
	for n := 0; time.Since(at) < drain; n++ {
		if c, err := dialCaller(s.record, fmt.Sprintf("caller %d", n), p.listen, "", ignore); err != nil {
			s.say("caller %d: %v", n, err)
		} else {
			_ = c.setUp(newID(), left, 0, "")
			time.AfterFunc(hold+2*time.Second, func() { _ = c.Close() })
		}
		time.Sleep(110 * time.Millisecond)
	}
	for _, c := range processes {
		select {
		case <-c.ended:
			s.say("%s has ended", c.name)
		default:
			s.say("%s runs", c.name)
		}
	}
	limit := at.Add(told + grace + slack)
	d1.mu.Lock()
	late, total := 0, 0
	for _, t := range d1.setUpTimes {
		if t.After(at) {
			total++
		}
		if t.After(limit) {
			late++
		}
	}
	d1.mu.Unlock()
	s.say("d1: %d set-ups since it drains, %d of them later than %v after the event", total, late, told+grace+slack)
	if late > 0 {
		s.broken("%d set-ups went to d1 later than %v after the coordinator had the event that it drains", late, told+grace+slack)
	}
	return nil
}
