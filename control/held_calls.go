package control

import (
	"cmp"
	"slices"
	"time"
)

// This file holds the calls that wait for an attempt, and sends or refuses them.

// maxUnservedCalls limits the calls that were not answered and whose callers' first tries are kept. Callers
// can make any number of them, each to another number.
const maxUnservedCalls = 1 << 13

// call is a pending call: one without a final answer.
type call struct {
	id           CallID
	class        *Class // as configured when the call arrived
	maxAttempts  int    // 0 for no limit
	firstCell    int    // cell of the servers of first choice
	transit      bool   // may only go to firstCell
	calledNumber string
	firstTriedAt time.Duration // time of the caller's first try
	aimDeadline  time.Duration // when the aim is missed
	deadline     time.Duration // when the caller's try ends
	notBefore    time.Duration // earliest time of the next attempt
	attempts     int           // attempts so far
	server       *server       // server of the attempt in progress; nil for none
	sentAt       time.Duration // start of the latest attempt
	cancelSent   bool          // the attempt in progress has been cancelled
	ranOn        *server       // first server that may have run the set-up; nil for none
	ranSentAt    time.Duration // start of the attempt at ranOn
}

// callerKey identifies the repeated calls of one caller.
type callerKey struct {
	calledNumber string
	class        string
	firstCell    int
}

func (c *Controller) handleCallOffered(e CallOffered) {
	if c.calls[e.ID] != nil || e.Class < 0 || e.Class >= len(c.settings.Classes) {
		return
	}
	class := &c.settings.Classes[e.Class]
	k := &call{
		id: e.ID, class: class, maxAttempts: c.settings.MaxAttempts, firstCell: e.FirstCell, transit: e.Transit,
		calledNumber: e.Called, firstTriedAt: c.now,
		deadline: c.now + e.Budget, notBefore: max(c.now, e.NotBefore), attempts: e.Attempts,
	}
	// The aim counts from the caller's first try. Not every caller marks a redial, so a call to the number
	// of an unserved call counts as a redial until the deadline of the first try.
	if firstTry, ok := c.firstTries[k.callerKey()]; ok && c.now-firstTry < class.Deadline {
		k.firstTriedAt = firstTry
	} else if e.Redial {
		k.firstTriedAt = c.now - class.Aim
	}
	k.aimDeadline = k.firstTriedAt + class.Aim
	c.offeredCalls++
	c.calls[k.id] = k
	c.held = append(c.held, k)
}

func (k *call) callerKey() callerKey { return callerKey{k.calledNumber, k.class.Name, k.firstCell} }

// removeUnserved removes a call that was not answered and keeps the time of its caller's first try.
func (c *Controller) removeUnserved(k *call) {
	c.removeCall(k)
	if k.calledNumber == "" {
		return
	}
	c.firstTries[k.callerKey()] = k.firstTriedAt
	c.unservedCalls = append(c.unservedCalls, k)
	for len(c.unservedCalls) > 0 {
		old := c.unservedCalls[0]
		if len(c.unservedCalls) <= maxUnservedCalls && c.now-old.firstTriedAt <= old.class.Deadline {
			break
		}
		if c.firstTries[old.callerKey()] == old.firstTriedAt {
			delete(c.firstTries, old.callerKey())
		}
		c.unservedCalls[0] = nil
		c.unservedCalls = c.unservedCalls[1:]
	}
}

// removeCall removes a call that is no longer pending.
func (c *Controller) removeCall(k *call) {
	delete(c.calls, k.id)
	k.server.removeAttempt(k)
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
}

// value returns what the call is worth if it is sent now.
func (c *Controller) value(k *call) float64 {
	if c.late(k) {
		return k.class.Worth * k.class.LateShare
	}
	return k.class.Worth
}

// late reports whether the call can no longer be answered within its aim.
func (c *Controller) late(k *call) bool {
	return c.now+c.minSetUpTime > k.aimDeadline
}

// sendHeld sends held calls as far as the windows allow, in the order of their value. Among equals, the
// newest comes first: in an overload, the oldest calls would all be answered just too late.
func (c *Controller) sendHeld() {
	queue := slices.Clone(c.held)
	slices.Reverse(queue)
	slices.SortStableFunc(queue, func(a, b *call) int { return cmp.Compare(c.value(b), c.value(a)) })
	for _, k := range queue {
		if k.notBefore <= c.now && c.now < k.deadline-2*c.settings.Tick && !k.attemptsExhausted() {
			if s := c.selectServer(k); s != nil {
				c.send(k, s)
			}
		}
	}
}

// refuseExpired refuses held calls without time, attempts or a permitted server left. It also refuses calls
// that are late while others that are not late wait.
func (c *Controller) refuseExpired() {
	timelyHeld := false
	for _, k := range c.held {
		timelyHeld = timelyHeld || k.notBefore <= c.now && !c.late(k)
	}
	for _, k := range slices.Clone(c.held) {
		if k.attemptsExhausted() || c.now >= k.deadline-2*c.settings.Tick || !c.hasPermittedServer(k) ||
			timelyHeld && c.late(k) {
			c.refuse(k)
		}
	}
}

// attemptsExhausted reports whether the call has used all its attempts.
func (k *call) attemptsExhausted() bool { return k.maxAttempts > 0 && k.attempts >= k.maxAttempts }

// hasPermittedServer reports whether any known server is permitted for the call.
func (c *Controller) hasPermittedServer(k *call) bool {
	for _, s := range c.servers {
		if c.permitted(k, s) {
			return true
		}
	}
	return false
}

// refuse sends the final answer of the call: a refusal, with a hold-off where callers support it, or a
// failure if the class does not allow a refusal any more.
func (c *Controller) refuse(k *call) {
	c.removeUnserved(k)
	if !k.class.MayRefuse(k.ranOn != nil) {
		c.emit(Fail{ID: k.id})
		return
	}
	refusal := Refuse{ID: k.id}
	if c.settings.MayHoldOff {
		refusal.HoldOff = c.settings.MaxHoldOff
	}
	c.emit(refusal)
}
