package call

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

const (
	// pauseThreshold is how late a timer is after which the process counts as having been paused, or kept from its core.
	pauseThreshold = 50 * time.Millisecond
	// catchUpStep and catchUpTimeout bound how long what came meanwhile is waited for; it is all in once nothing more comes for
	// catchUpIdleSteps steps, and nothing is known to be unread. What is known is waited for longer, up to catchUpUnreadTimeout, on a machine that is
	// too busy to read: less than the time after which nothing may be sent on for one who has left.
	catchUpStep, catchUpIdleSteps        = time.Millisecond, 3
	catchUpTimeout, catchUpUnreadTimeout = 20 * time.Millisecond, 250 * time.Millisecond
	// catchUpInterval is the least time between two: a loop that has more to do than it can is late all the time.
	catchUpInterval = 100 * time.Millisecond
)

// Loop is the event loop that owns the module and all call state. Everything that touches them runs in a
// function given to Post or After.
type Loop struct {
	mu       sync.Mutex
	queue    []func()
	wake     chan struct{}
	quit     chan struct{}
	quitOnce sync.Once
	timers   timers
	// caughtUp is when the loop last took in what came during a pause.
	caughtUp    time.Time
	onIteration func()
	idleChecks  []func() bool
	commit      func() // nil if nothing need be kept before words leave
}

// NewLoop returns a Loop that calls turn at the end of each round, when all that was ready has been taken in.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), quit: make(chan struct{})}
}

// Post has f run on the loop; any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Pending is the number of functions that were posted and have not run; any goroutine may call it.
func (l *Loop) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// OnCommit has f run before anything leaves the process that was decided since it ran last. It must do nothing if nothing was.
func (l *Loop) OnCommit(f func()) { l.commit = f }

// AddIdleCheck names what tells whether all that has come is with the loop, for a loop that goes on after a pause. It runs on the loop.
func (l *Loop) AddIdleCheck(quiet func() bool) { l.idleChecks = append(l.idleChecks, quiet) }

// Commit runs what OnCommit was given; whatever writes to a socket calls it first. Only the loop may call it.
func (l *Loop) Commit() {
	if l.commit != nil {
		l.commit()
	}
}

// Timer is a function that is due at some time.
type Timer struct {
	at    time.Time
	f     func()
	index int
}

// After has f run on the loop after d; only the loop may call it.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{at: time.Now().Add(d), f: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop drops a timer that has not run; only the loop may call it.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Quit ends Run after the round under way.
func (l *Loop) Quit() { l.quitOnce.Do(func() { close(l.quit) }) }

// Run serves the loop until Quit.
func (l *Loop) Run() {
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	for {
		for l.iterate() {
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = time.Until(l.timers[0].at)
		}
		if wait > 0 {
			idle.Reset(wait)
			select {
			case <-l.quit:
				return
			case <-l.wake:
			case <-idle.C:
			}
		}
		select {
		case <-l.quit:
			return
		default:
		}
	}
}

// catchUp has what came during a pause taken in before what is overdue runs. Both wait in the same instant after it, and a set-up that
// was held would go out though its caller has left, or its dispatcher drains, with the word of that unread in a socket. It reports
// whether there was a pause.
func (l *Loop) catchUp() bool {
	if len(l.timers) == 0 || time.Since(l.timers[0].at) < pauseThreshold || time.Since(l.caughtUp) < catchUpInterval {
		return false
	}
	defer func() { l.caughtUp = time.Now() }()
	unread := func(quiet func() bool) bool { return !quiet() }
	known := false
	begun, still, waits := time.Now(), 0, 0
	for took := time.Duration(0); still < catchUpIdleSteps && (took < catchUpTimeout || known && took < catchUpUnreadTimeout); took = time.Since(begun) {
		if took > 0 { // the first look is at once: what is read from a socket by then is not seen there
			time.Sleep(catchUpStep)
		}
		known = slices.ContainsFunc(l.idleChecks, unread)
		n := l.Pending()
		if still++; n != waits || known {
			still, waits = 0, n
		}
	}
	return true
}

// runPosted runs what was posted, and reports whether there was anything.
func (l *Loop) runPosted() bool {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, f := range queue {
		f()
	}
	return len(queue) > 0
}

// iterate takes in all that is ready, then gives the core its turn. It reports whether there was anything. A pause may have come before or
// while what was ready was taken in.
func (l *Loop) iterate() bool {
	came := l.runPosted()
	if l.catchUp() {
		came = l.runPosted() || came
	}
	now, due := time.Now(), 0
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t, ok := heap.Pop(&l.timers).(*Timer)
		if ok {
			t.f()
		}
		due++
	}
	if !came && due == 0 {
		return false
	}
	if l.onIteration != nil {
		l.onIteration()
	}
	return true
}

type timers []*Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	if timer, ok := x.(*Timer); ok {
		timer.index = len(*t)
		*t = append(*t, timer)
	}
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	timer.index = -1
	return timer
}
