package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cherryrelay/internal/peer"
)

const (
	// callerConnections is how many connections callers hold at most.
	callerConnections = 24
	// hangUps is the part of calls that stand which their callers end themselves.
	hangUps = 0.15
	// leastLeft and mostLeft bound how long callers wait for an answer.
	leastLeft, mostLeft = 300 * time.Millisecond, 6 * time.Second
)

// replacementCallers are the callers of a play: they use some connections for their calls, whose ends may come on any, and close those that have
// had none for a while.
type replacementCallers struct {
	play    *replacementPlay
	meter   *schedulerMeter
	running sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	all     []*replacementCaller
	calls   map[string]*replacementCall
	placed  int
	crossed int
}

// replacementCaller is one connection.
type replacementCaller struct {
	*peer.Caller
	open   int // calls of it that are owed something
	usedAt time.Time
}

// replacementCall is one call at its caller's end.
type replacementCall struct {
	on       *replacementCaller
	counted  bool // it keeps its connection open
	answered bool
	left     bool // its caller has given it up, or ended it
	over     bool
}

func newReplacementCallers(p *replacementPlay) *replacementCallers {
	return &replacementCallers{play: p, meter: startMeter(), calls: map[string]*replacementCall{}, rng: rand.New(rand.NewPCG(p.seed, 4))}
}

// run places calls until no more are to come.
func (c *replacementCallers) run(rng *rand.Rand) {
	p := c.play
	perSecond := p.load * float64(p.each*p.work.Lines) / (p.work.Holds / 2).Seconds()
	for {
		pause := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-p.over:
			return
		case <-time.After(pause):
		}
		c.place(rng)
		c.closeIdle()
	}
}

// connection is the one for the next call: often one that is open, else another.
func (c *replacementCallers) connection(rng *rand.Rand) *replacementCaller {
	c.mu.Lock()
	if n := len(c.all); n > 0 && (n >= callerConnections || rng.Float64() < 0.8) {
		defer c.mu.Unlock()
		return c.all[rng.IntN(n)]
	}
	c.mu.Unlock()
	connection, err := peer.Call("tcp", c.play.front)
	if err != nil {
		c.play.Error(err)
		return nil
	}
	one := &replacementCaller{Caller: connection, usedAt: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, one)
	c.mu.Unlock()
	go c.hear(one)
	return one
}

func (c *replacementCallers) place(rng *rand.Rand) {
	on := c.connection(rng)
	if on == nil {
		return
	}
	left := leastLeft + time.Duration(rng.Int64N(int64(mostLeft-leastLeft)))
	c.mu.Lock()
	c.placed++
	id := fmt.Sprintf("%04x%012x", c.play.seed&0xffff, c.placed)
	k := &replacementCall{on: on, counted: true}
	c.calls[id] = k
	on.open++
	on.usedAt = time.Now()
	c.mu.Unlock()
	c.play.judge.Placed(id, time.Now())
	if err := on.SetUp(id, left, rng.IntN(c.play.each), "x"); err != nil {
		c.play.Errorf("a set-up on an open connection: %v", err)
	}
	time.AfterFunc(left, func() { c.leave(id, false) })
}

// leave gives a call up that has no answer, or ends one that stands.
func (c *replacementCallers) leave(id string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	if k.over || k.left || k.answered != answered {
		return
	}
	k.left = true
	k.uncount()
	c.play.judge.CallerLeft(id, time.Now())
	_ = k.on.Release(id, 16)
}

// hear takes in what a connection is told until it ends.
func (c *replacementCallers) hear(on *replacementCaller) {
	for {
		m, err := on.NextWithin(time.Hour)
		if err != nil {
			c.ended(on)
			return
		}
		c.told(on, m.ID, m.Type, m.Description(), m.CauseOr(0))
	}
}

func (c *replacementCallers) told(on *replacementCaller, id, kind, text string, cause int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	on.usedAt = time.Now()
	k := c.calls[id]
	if k == nil {
		c.play.Errorf("%s of %s, which nobody placed", kind, id)
		return
	}
	if k.left {
		if kind == "answer" {
			c.crossed++
		}
		return
	}
	if c.play.judge.Heard(id, kind, text, cause, time.Now()) {
		k.answered = true
		if !c.play.bound {
			k.uncount()
		}
		if c.rng.Float64() < hangUps {
			time.AfterFunc(time.Duration(c.rng.Int64N(int64(c.play.work.Holds))), func() { c.leave(id, true) })
		}
		return
	}
	k.over = true
	k.uncount()
}

// uncount has the call keep its connection open no longer.
func (k *replacementCall) uncount() {
	if k.counted {
		k.counted = false
		k.on.open--
		k.on.usedAt = time.Now()
	}
}

// closeIdle closes connections that have had no call for a while, but for the last one: the ends of calls may come on any.
func (c *replacementCallers) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(c.all) && len(c.all) > 1; i++ {
		if one := c.all[i]; one.open == 0 && time.Since(one.usedAt) > c.play.callerIdle {
			c.all = append(c.all[:i:i], c.all[i+1:]...)
			_ = one.Close()
			i--
		}
	}
}

// ended takes in the end of a connection.
func (c *replacementCallers) ended(on *replacementCaller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, one := range c.all {
		if one == on {
			c.all = append(c.all[:i:i], c.all[i+1:]...)
		}
	}
	_ = on.Close()
}

// owed is the number of calls that have no answer yet.
func (c *replacementCallers) owed() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if !k.answered && !k.left && !k.over {
			n++
		}
	}
	return n
}

func (c *replacementCallers) crossings() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossed
}

func (c *replacementCallers) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.all {
		_ = one.Close()
	}
}
