package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = playRestartWithLedger }

// callState is what a caller knows of one call.
type callState struct {
	answeredAt, overAt time.Time
}

// desk is a caller that keeps placing calls at one controller, on one connection at a time.
type desk struct {
	s      *stage
	name   string
	at     *place
	mu     sync.Mutex
	calls  map[string]*callState
	conn   *caller
	onOver func(id string, m line)
}

// connect opens a connection, if none is open.
func (d *desk) connect() (*caller, error) {
	d.mu.Lock()
	c := d.conn
	d.mu.Unlock()
	if c != nil {
		select {
		case <-c.closed:
		default:
			return c, nil
		}
	}
	c, err := dialCaller(d.s.record, d.name, d.at.listen, "", d.handle)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.conn = c
	d.mu.Unlock()
	return c, nil
}

func (d *desk) handle(_ *caller, m line) {
	d.mu.Lock()
	k := d.calls[m.ID]
	over := false
	if k != nil {
		switch m.Type {
		case "answer":
			k.answeredAt = time.Now()
		case "release":
			over = !k.answeredAt.IsZero() && k.overAt.IsZero()
			k.overAt = time.Now()
		}
	}
	d.mu.Unlock()
	if over && d.onOver != nil {
		d.onOver(m.ID, m)
	}
}

// place places one call.
func (d *desk) place(first int) (string, error) {
	c, err := d.connect()
	if err != nil {
		return "", err
	}
	id := newID()
	d.mu.Lock()
	d.calls[id] = &callState{}
	d.mu.Unlock()
	// A try is given up after 30 to 40% of the 9 s.
	return id, c.setUp(id, 3150*time.Millisecond, first, "")
}

// playRestartWithLedger kills one of three controllers, which keep ledgers, and starts it again. The list has had two events by then: the
// first with the whole list, and one that added a dispatcher.
func playRestartWithLedger(s *stage) error {
	const delay, hold = 30 * time.Millisecond, 9600 * time.Millisecond
	var dispatchers []*dispatcher
	var first []entry
	for i := range 3 {
		d, err := startDispatcher(s.record, fmt.Sprintf("d%d", i+1), "127.0.0.1:0", delay, hold)
		if err != nil {
			return err
		}
		s.atEnd(d.close)
		dispatchers = append(dispatchers, d)
		if i < 2 {
			first = append(first, entry{d.name, d.address, "active", i, 0})
		}
	}
	list, err := startCoordinator(s.record, first)
	if err != nil {
		return err
	}
	s.atEnd(func() { _ = list.server.Close() })
	var desks []*desk
	var controllers []*controller
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		p, err := newPlace(s.root, s.dir, name)
		if err != nil {
			return err
		}
		if err := p.writeOperator("[ledger]\ndirectory = " + filepath.Join(p.dir, "ledger") + "\n"); err != nil {
			return err
		}
		if err := p.writeConfig(list.address, list.known(), smallSettings(3)); err != nil {
			return err
		}
		c, err := p.start(s.record, name)
		if err != nil {
			return err
		}
		controllers = append(controllers, c)
		s.atEnd(func() { controllers[i].stop() })
		if err := p.waitReady(30 * time.Second); err != nil {
			return err
		}
		d := &desk{s: s, name: "caller of " + name, at: p, calls: map[string]*callState{}}
		d.onOver = func(id string, m line) {
			for _, at := range dispatchers {
				if k, ok := at.call(id); ok && k.endedAt.IsZero() {
					s.broken("%s is told that call %s is over (cause %d), but it stands at %s, which has not ended it", d.name, id, m.cause(), at.name)
				}
			}
		}
		desks = append(desks, d)
	}
	down := false // whether n1 is not served
	serve := func(until time.Duration) {
		for i := 0; time.Since(s.start) < until; i++ {
			for k, d := range desks {
				if k == 0 && down {
					continue
				}
				if _, err := d.place(i % 3); err != nil {
					s.say("%s: %v", d.name, err)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	serve(3 * time.Second)
	d3 := dispatchers[2]
	list.add(entry{d3.name, d3.address, "active", 2, time.Now().UnixMilli()})
	serve(17 * time.Second)
	if s.trouble {
		controllers[0].signal(syscall.SIGKILL)
		<-controllers[0].ended
		down = true
		serve(19 * time.Second) // it comes back after 2 s
		if err := desks[0].at.writeConfig(list.address, list.known(), smallSettings(3)); err != nil {
			return err
		}
		if controllers[0], err = desks[0].at.start(s.record, "n1-again"); err != nil {
			return err
		}
		if err := desks[0].at.waitReady(30 * time.Second); err != nil {
			return err
		}
		down = false
	}
	serve(25 * time.Second)
	time.Sleep(12 * time.Second) // until the last call has come to its end
	counts := map[string]int{}
	for _, d := range desks {
		d.mu.Lock()
		for _, k := range d.calls {
			counts["placed"]++
			if !k.answeredAt.IsZero() {
				counts["answered"]++
			}
			if !k.answeredAt.IsZero() && !k.overAt.IsZero() {
				counts["over"]++
			}
		}
		d.mu.Unlock()
	}
	s.say("calls: %v; set-ups at d1, d2, d3: %d, %d, %d", counts, dispatchers[0].setUps, dispatchers[1].setUps, dispatchers[2].setUps)
	if dispatchers[2].setUps == 0 {
		return fmt.Errorf("no call went to d3")
	}
	return nil
}
