package main

import (
	"fmt"
	"time"
)

func init() { cases["6"] = playSlowDiscovery }

// playSlowDiscovery has the coordinator break its streams once and then answer each request late for a while. Meanwhile a dispatcher drains.
func playSlowDiscovery(s *stage) error {
	const (
		delay, hold = 30 * time.Millisecond, 8 * time.Second
		wait        = 2500 * time.Millisecond // from a request to the beginning of its response
		told        = 7 * time.Second         // after which an event counts as told, arrived or not
		grace       = 500 * time.Millisecond  // in which sends have to end
		slack       = 100 * time.Millisecond  // 50 ms of the protocol, and as much for this machine
		drain       = 9800 * time.Millisecond
	)
	var dispatchers []*dispatcher
	var first []entry
	for i := range 3 {
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
	s.atEnd(c.stop)
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}
	d := &desk{s: s, name: "caller", at: p, calls: map[string]*callState{}}
	n := 0
	serve := func(until time.Time) {
		for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, err := d.place(n % 3); err != nil {
				s.say("caller: %v", err)
			}
			n++
		}
	}
	serve(time.Now().Add(4 * time.Second))
	if s.trouble {
		s.say("coordinator: all streams break, and each request now waits for %v", wait)
		list.breakStreams(wait)
	} else {
		s.say("coordinator: all streams break")
		list.breakStreams(0)
	}
	slowUntil := time.Now().Add(25 * time.Second)
	serve(time.Now().Add(time.Second))
	drains := dispatchers[0]
	list.add(entry{drains.name, drains.address, "leaving", 0, 0})
	at := time.Now()
	serve(at.Add(drain))
	limit := at.Add(told + grace + slack)
	drains.mu.Lock()
	late, total := 0, 0
	for _, t := range drains.setUpTimes {
		if t.After(at) {
			total++
		}
		if t.After(limit) {
			late++
			s.say("%s: a set-up arrived %v after the event", drains.name, t.Sub(at).Round(time.Millisecond))
		}
	}
	drains.mu.Unlock()
	s.say("%s: %d set-ups since it drains, %d of them later than %v after the event", drains.name, total, late, told+grace+slack)
	if late > 0 {
		s.broken("%d set-ups went to %s later than %v after the coordinator had the event that it drains", late, drains.name, told+grace+slack)
	}
	// It stops at the end of its drain, which cuts what stands there.
	s.say("%s stops", drains.name)
	drains.close()
	list.add(entry{drains.name, drains.address, "left", 0, 0})
	serve(slowUntil)
	list.setWait(0)
	serve(time.Now().Add(4 * time.Second))
	return nil
}
