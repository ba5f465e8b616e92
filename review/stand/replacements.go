package main

import (
	"fmt"
	"sync"
	"time"

	"cherryrelay/internal/store"
)

func init() { cases["8"] = playReplacements }

// playReplacements replaces a controller of a fleet some times, each time by a second start at the same address, while calls come and go. Its
// store is in the other district.
func playReplacements(s *stage) error {
	const (
		hold         = 8 * time.Second
		oneWay       = 20 * time.Millisecond   // between the districts
		limit        = 1150 * time.Millisecond // 1 s, the 50 ms of the protocol, and 100 ms for this machine
		replacements = 17
		pause        = 2 * time.Second // from the end of a process to the start of the next one
	)
	etcd := store.New(1)
	address, err := etcd.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.atEnd(etcd.Close)
	far, err := startLink(address, oneWay)
	if err != nil {
		return err
	}
	var dispatchers []*dispatcher
	var first []entry
	for i := range 2 {
		d, err := startDispatcher(s.record, fmt.Sprintf("d%d", i+1), "127.0.0.1:0", 30*time.Millisecond, hold)
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
	if err := p.writeOperator("[fleet]\nendpoints = " + far.address + "\nprefix = /fleet/\n"); err != nil {
		return err
	}
	if err := p.writeConfig(list.address, list.known(), smallSettings(1)); err != nil {
		return err
	}
	serving, err := p.start(s.record, "n1")
	if err != nil {
		return err
	}
	s.atEnd(serving.stop)
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}

	var mu sync.Mutex
	answered, told := map[string]bool{}, map[string]time.Time{}
	handle := func(_ *caller, m line) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case m.Type == "answer":
			answered[m.ID] = true
		case m.Type == "release" && told[m.ID].IsZero():
			told[m.ID] = time.Now()
		}
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // nine calls a second; a caller whose connection has ended connects again with its next call
		defer close(stopped)
		var conn *caller
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(110 * time.Millisecond):
			}
			if conn != nil {
				select {
				case <-conn.closed:
					conn = nil
				default:
				}
			}
			if conn == nil {
				c, err := dialCaller(s.record, "caller", p.listen, "", handle)
				if err != nil {
					s.say("caller: %v", err)
					continue
				}
				conn = c
			}
			_ = conn.setUp(newID(), tryTime, n%2, "")
		}
	}()
	time.Sleep(hold)
	for i := range replacements {
		if !s.trouble {
			time.Sleep(pause)
			continue
		}
		p.setManagement(freeAddress())
		next, err := p.start(s.record, fmt.Sprintf("n1, replacement %d", i+1))
		if err != nil {
			return err
		}
		s.atEnd(next.stop)
		if err := p.waitReady(30 * time.Second); err != nil {
			return err
		}
		select {
		case <-serving.ended:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("%s has not ended", serving.name)
		}
		serving = next
		time.Sleep(pause)
	}
	time.Sleep(hold + limit) // with calls, so that the caller has a connection for the ends
	close(stop)
	<-stopped

	mu.Lock()
	defer mu.Unlock()
	ends, late, never := 0, 0, 0
	for _, d := range dispatchers {
		d.mu.Lock()
		for id, k := range d.calls {
			if k.endedAt.IsZero() || !answered[id] || time.Since(k.endedAt) < limit {
				continue
			}
			ends++
			switch at := told[id]; {
			case at.IsZero():
				never++
				s.say("%s released %s at %.3f: its caller was never told", d.name, id, k.endedAt.Sub(s.start).Seconds())
			case at.Sub(k.endedAt) > limit:
				late++
				s.say("%s released %s at %.3f: its caller was told after %v", d.name, id, k.endedAt.Sub(s.start).Seconds(), at.Sub(k.endedAt).Round(time.Millisecond))
			}
		}
		d.mu.Unlock()
	}
	s.say("%d ends of calls, %d told later than %v, %d not at all", ends, late, limit, never)
	if late+never > 0 {
		s.broken("of %d ends of calls %d were told later than %v after the release by the dispatcher, and %d not at all", ends, late, limit, never)
	}
	return nil
}
