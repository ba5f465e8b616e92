package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = playUpgradeResume }

// playUpgradeResume replaces a controller by a second start at the same address while calls of a client of the call-control API stand. The
// client's connection ends, and it comes back and resumes its calls, as the API asks. Without the disruption the client's connection ends
// by itself, and it does the same.
func playUpgradeResume(s *stage) error {
	const delay, hold, wsPath = 30 * time.Millisecond, 9600 * time.Millisecond, "/v1/calls"
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
	api := freeAddress()
	if err := p.writeOperator("[websocket]\nlisten = " + api + "\npath = " + wsPath + "\n"); err != nil {
		return err
	}
	if err := p.writeConfig(list.address, list.known(), smallSettings(1)); err != nil {
		return err
	}
	old, err := p.start(s.record, "n1")
	if err != nil {
		return err
	}
	s.atEnd(old.stop)
	if err := p.waitReady(30 * time.Second); err != nil {
		return err
	}

	var mu sync.Mutex
	answered, over := map[string]time.Time{}, map[string]time.Time{}
	token := map[string]string{}
	handle := func(c *caller, m line) {
		mu.Lock()
		defer mu.Unlock()
		switch m.Type {
		case "answer":
			answered[m.ID] = time.Now()
		case "release":
			if _, stood := answered[m.ID]; !stood || !over[m.ID].IsZero() {
				return
			}
			over[m.ID] = time.Now()
			for _, d := range dispatchers {
				if k, ok := d.call(m.ID); ok && k.endedAt.IsZero() {
					s.broken("the client is told that call %s is over (cause %d, %v); %s has not ended it", m.ID, m.cause(), m.Fields["error"], d.name)
				}
			}
		}
	}
	client, err := dialCaller(s.record, "client", api, wsPath, handle)
	if err != nil {
		return err
	}
	const calls = 6
	for i := range calls {
		id := newID()
		mu.Lock()
		token[id] = "token-of-" + newID()
		secret := token[id]
		mu.Unlock()
		if err := client.setUp(id, 3150*time.Millisecond, i%2, secret); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	placed := len(answered)
	mu.Unlock()
	if placed != calls {
		return fmt.Errorf("%d of %d calls stand", placed, calls)
	}
	if s.trouble {
		p.setManagement(freeAddress()) // each process has one of its own
		successor, err := p.start(s.record, "n1-next")
		if err != nil {
			return err
		}
		s.atEnd(successor.stop)
	} else {
		_ = client.Close()
	}
	// The client comes back whenever its connection ends, and resumes each call that has no end yet.
	stop := time.Now().Add(14 * time.Second)
	for time.Now().Before(stop) {
		select {
		case <-client.closed:
		case <-time.After(100 * time.Millisecond):
			continue
		}
		c, err := dialCaller(s.record, "client", api, wsPath, handle)
		if err != nil {
			s.say("client: %v", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		client = c
		mu.Lock()
		for id := range answered {
			if over[id].IsZero() {
				_ = client.tell(line{Type: "resume", ID: id, Fields: map[string]any{"token": token[id], "answered": "1"}})
			}
		}
		mu.Unlock()
	}
	for id := range answered {
		for _, d := range dispatchers {
			if k, ok := d.call(id); ok && !k.releasedAt.IsZero() {
				s.broken("call %s stood at %s for %v of its %v, and was cut there by the controller, which nobody had asked to", id, d.name,
					k.releasedAt.Sub(k.at).Round(time.Millisecond), hold)
			}
		}
	}
	if s.trouble {
		old.signal(syscall.SIGTERM)
	}
	return nil
}
