package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"cherryrelay/internal/store"
)

func init() { cases["9"] = playStoreCut }

// tracker places calls at one controller and follows each set-up to its answer, or to the end of its connection.
type tracker struct {
	s    *stage
	name string
	at   *place

	mu    sync.Mutex
	conn  *caller
	calls map[string]*try
}

// try is one set-up.
type try struct {
	id       string
	first    int
	sentAt   time.Time
	conn     *caller
	again    bool // sent a second time, as the first one crossed the close of its connection
	answerAt time.Time
	lostAt   time.Time // when its connection ended without an answer
}

const tryTime = 3150 * time.Millisecond // 35% of the 9 s

func (t *tracker) connection() (*caller, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		select {
		case <-t.conn.closed:
		default:
			return t.conn, nil
		}
	}
	c, err := dialCaller(t.s.record, t.name, t.at.listen, "", func(_ *caller, m line) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if k := t.calls[m.ID]; k != nil && k.answerAt.IsZero() && (m.Type == "answer" || m.Type == "release") {
			k.answerAt = time.Now()
		}
	})
	if err != nil {
		return nil, err
	}
	t.conn = c
	go t.follow(c)
	return c, nil
}

// follow waits for the end of a connection. What was sent on it within the last 50 ms is sent once more, on a new one; what was sent before
// and has no answer is lost.
func (t *tracker) follow(c *caller) {
	<-c.closed
	now := time.Now()
	var again []*try
	t.mu.Lock()
	for _, k := range t.calls {
		switch {
		case k.conn != c || !k.answerAt.IsZero():
		case now.Sub(k.sentAt) <= 50*time.Millisecond && !k.again:
			k.again = true
			again = append(again, k)
		case now.Sub(k.sentAt) < tryTime:
			k.lostAt = now
		}
	}
	t.mu.Unlock()
	for _, k := range again {
		t.send(k)
	}
}

func (t *tracker) send(k *try) {
	c, err := t.connection()
	if err != nil {
		t.s.say("%s: %v", t.name, err)
		return // it was sent to nobody
	}
	t.mu.Lock()
	k.conn, k.sentAt = c, time.Now()
	t.calls[k.id] = k
	t.mu.Unlock()
	if err := c.setUp(k.id, tryTime, k.first, ""); err != nil {
		t.mu.Lock()
		delete(t.calls, k.id) // its last byte was not written
		t.mu.Unlock()
	}
}

// playStoreCut cuts one of two controllers off from the store of their fleet, and from nothing else.
func playStoreCut(s *stage) error {
	const delay, hold, cut = 400 * time.Millisecond, 8 * time.Second, 5 * time.Second
	etcd := store.New(1)
	address, err := etcd.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.atEnd(etcd.Close)
	var first []entry
	for i := range 2 {
		d, err := startDispatcher(s.record, fmt.Sprintf("d%d", i+1), "127.0.0.1:0", delay, hold)
		if err != nil {
			return err
		}
		s.atEnd(d.close)
		first = append(first, entry{d.name, d.address, "active", i, 0})
	}
	list, err := startCoordinator(s.record, first)
	if err != nil {
		return err
	}
	s.atEnd(func() { _ = list.server.Close() })
	ledgers := filepath.Join(s.dir, "ledgers")
	var links []*link
	var trackers []*tracker
	for i := range 2 {
		name := fmt.Sprintf("n%d", i+1)
		l, err := startLink(address, 0)
		if err != nil {
			return err
		}
		links = append(links, l)
		p, err := newPlace(s.root, s.dir, name)
		if err != nil {
			return err
		}
		if err := p.writeOperator("[fleet]\nendpoints = " + l.address + "\nprefix = /fleet/\nledgers = " + ledgers +
			"\n[ledger]\ndirectory = " + filepath.Join(ledgers, name) + "\n"); err != nil {
			return err
		}
		if err := p.writeConfig(list.address, list.known(), smallSettings(2)); err != nil {
			return err
		}
		c, err := p.start(s.record, name)
		if err != nil {
			return err
		}
		s.atEnd(c.stop)
		if err := p.waitReady(30 * time.Second); err != nil {
			return err
		}
		trackers = append(trackers, &tracker{s: s, name: "caller of " + name, at: p, calls: map[string]*try{}})
	}
	n := 0
	serve := func(period time.Duration) { // 9 calls a second at each controller
		for until := time.Now().Add(period); time.Now().Before(until); time.Sleep(110 * time.Millisecond) {
			for _, t := range trackers {
				t.send(&try{id: newID(), first: n % 2})
			}
			n++
		}
	}
	serve(9 * time.Second)
	if s.trouble {
		s.say("n1 is cut off from the store")
		links[0].cut()
	}
	serve(cut)
	if s.trouble {
		s.say("n1 reaches the store again")
		links[0].mend()
	}
	serve(4 * time.Second)
	time.Sleep(tryTime + time.Second)
	for _, t := range trackers {
		t.mu.Lock()
		lost, silent := 0, 0
		for _, k := range t.calls {
			switch {
			case !k.answerAt.IsZero() || k.again:
			case !k.lostAt.IsZero():
				lost++
				s.say("%s: set-up %s had no answer when its connection was closed, %v after it was sent", t.name, k.id, k.lostAt.Sub(k.sentAt).Round(time.Millisecond))
			default:
				silent++
			}
		}
		s.say("%s: %d set-ups, %d lost with their connection, %d without an answer in time", t.name, len(t.calls), lost, silent)
		if lost+silent > 0 {
			s.broken("%d of %d set-ups of the %s got no final answer", lost+silent, len(t.calls), t.name)
		}
		t.mu.Unlock()
	}
	return nil
}
