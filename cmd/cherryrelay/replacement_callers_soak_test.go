package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cherryrelay/internal/peer"
)

const (
	// maxCallerConnections limits the open connections of all callers.
	maxCallerConnections = 24
	// hangUpShare is the share of established calls that their callers end.
	hangUpShare = 0.15
	// minTimeLeft and maxTimeLeft limit the time left of a set-up.
	minTimeLeft, maxTimeLeft = 300 * time.Millisecond, 6 * time.Second
)

// replacementCallers are the callers of a run. They place their calls on a few connections, receive ends on any of them, and close
// connections that were idle for a while.
type replacementCallers struct {
	run     *replacementRun
	meter   *schedulerMeter
	running sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	all     []*replacementCaller
	calls   map[string]*replacementCall
	placed  int
	crossed int
}

// replacementCaller is one connection of the callers.
type replacementCaller struct {
	*peer.Caller
	openCalls int // pending calls, and established ones if they keep the connection open
	usedAt    time.Time
}

// replacementCall is the caller's state of one call.
type replacementCall struct {
	connection *replacementCaller
	keepsOpen  bool // the call keeps its connection open
	answered   bool
	cancelled  bool // the caller has cancelled or ended it
	terminated bool
}

func newReplacementCallers(p *replacementRun) *replacementCallers {
	return &replacementCallers{run: p, meter: startMeter(), calls: map[string]*replacementCall{}, rng: rand.New(rand.NewPCG(p.seed, 4))}
}

// placeCalls places calls until the run accepts no more.
func (c *replacementCallers) placeCalls(rng *rand.Rand) {
	p := c.run
	perSecond := p.load * float64(p.dispatcherCount*p.work.Lines) / (p.work.MaxCallDuration / 2).Seconds()
	for {
		pause := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-p.callsDone:
			return
		case <-time.After(pause):
		}
		c.place(rng)
		c.closeIdle()
	}
}

// connection returns the connection for the next call: often an open one, otherwise a new one.
func (c *replacementCallers) connection(rng *rand.Rand) *replacementCaller {
	c.mu.Lock()
	if n := len(c.all); n > 0 && (n >= maxCallerConnections || rng.Float64() < 0.8) {
		defer c.mu.Unlock()
		return c.all[rng.IntN(n)]
	}
	c.mu.Unlock()
	connection, err := peer.DialCaller("tcp", c.run.front)
	if err != nil {
		c.run.Error(err)
		return nil
	}
	caller := &replacementCaller{Caller: connection, usedAt: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, caller)
	c.mu.Unlock()
	go c.read(caller)
	return caller
}

func (c *replacementCallers) place(rng *rand.Rand) {
	caller := c.connection(rng)
	if caller == nil {
		return
	}
	left := minTimeLeft + time.Duration(rng.Int64N(int64(maxTimeLeft-minTimeLeft)))
	c.mu.Lock()
	c.placed++
	id := fmt.Sprintf("%04x%012x", c.run.seed&0xffff, c.placed)
	k := &replacementCall{connection: caller, keepsOpen: true}
	c.calls[id] = k
	caller.openCalls++
	caller.usedAt = time.Now()
	c.mu.Unlock()
	c.run.checker.CallPlaced(id, time.Now())
	if err := caller.SetUp(id, left, rng.IntN(c.run.dispatcherCount), "x"); err != nil {
		c.run.Errorf("sending a set-up on an open connection: %v", err)
	}
	time.AfterFunc(left, func() { c.cancel(id, false) })
}

// cancel cancels a pending call or ends an established one.
func (c *replacementCallers) cancel(id string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[id]
	if k.terminated || k.cancelled || k.answered != answered {
		return
	}
	k.cancelled = true
	k.releaseConnection()
	c.run.checker.CallerFinished(id, time.Now())
	_ = k.connection.Release(id, 16)
}

// read handles the messages of a connection until it ends.
func (c *replacementCallers) read(caller *replacementCaller) {
	for {
		m, err := caller.NextWithin(time.Hour)
		if err != nil {
			c.connectionEnded(caller)
			return
		}
		c.handleMessage(caller, m.ID, m.Type, m.Description(), m.CauseOr(0))
	}
}

func (c *replacementCallers) handleMessage(caller *replacementCaller, id, kind, text string, cause int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller.usedAt = time.Now()
	k := c.calls[id]
	if k == nil {
		c.run.Errorf("%s for %s, which no caller placed", kind, id)
		return
	}
	if k.cancelled {
		if kind == "answer" {
			c.crossed++
		}
		return
	}
	if c.run.checker.MessageReceived(id, kind, text, cause, time.Now()) {
		k.answered = true
		if !c.run.keepsConnections {
			k.releaseConnection()
		}
		if c.rng.Float64() < hangUpShare {
			time.AfterFunc(time.Duration(c.rng.Int64N(int64(c.run.work.MaxCallDuration))), func() { c.cancel(id, true) })
		}
		return
	}
	k.terminated = true
	k.releaseConnection()
}

// releaseConnection stops the call from keeping its connection open.
func (k *replacementCall) releaseConnection() {
	if k.keepsOpen {
		k.keepsOpen = false
		k.connection.openCalls--
		k.connection.usedAt = time.Now()
	}
}

// closeIdle closes connections that were idle for a while, except the last one: ends of calls may come on any connection.
func (c *replacementCallers) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(c.all) && len(c.all) > 1; i++ {
		if caller := c.all[i]; caller.openCalls == 0 && time.Since(caller.usedAt) > c.run.callerIdle {
			c.all = append(c.all[:i:i], c.all[i+1:]...)
			_ = caller.Close()
			i--
		}
	}
}

// connectionEnded removes a connection that has ended.
func (c *replacementCallers) connectionEnded(ended *replacementCaller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, caller := range c.all {
		if caller == ended {
			c.all = append(c.all[:i:i], c.all[i+1:]...)
		}
	}
	_ = ended.Close()
}

// pendingCalls returns the number of calls without an answer.
func (c *replacementCallers) pendingCalls() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.calls {
		if !k.answered && !k.cancelled && !k.terminated {
			n++
		}
	}
	return n
}

func (c *replacementCallers) countCrossed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crossed
}

func (c *replacementCallers) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, caller := range c.all {
		_ = caller.Close()
	}
}
