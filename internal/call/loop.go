package call

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

const (
	// pauseThreshold is how late a timer must be for the process to count as paused, or as having got no CPU time.
	pauseThreshold = 50 * time.Millisecond
	// catchUpStep and catchUpTimeout bound the wait for input that arrived during a pause. The wait ends once nothing
	// has been posted for catchUpIdleSteps steps and no input is known to be unread. For unread input it lasts up to
	// catchUpUnreadTimeout, as a busy machine may be slow to read. That is less than the time after which no set-up of
	// a disconnected caller may be sent.
	catchUpStep, catchUpIdleSteps        = time.Millisecond, 3
	catchUpTimeout, catchUpUnreadTimeout = 20 * time.Millisecond, 250 * time.Millisecond
	// catchUpInterval is the least time between two such waits: an overloaded loop is late all the time.
	catchUpInterval = 100 * time.Millisecond
)

// Loop is the event loop that owns the module and all call state. Only functions passed to Post or After may access
// them.
type Loop struct {
	mu       sync.Mutex
	queue    []func()
	wake     chan struct{}
	quit     chan struct{}
	quitOnce sync.Once
	timers   timers
	// caughtUp is when the loop last processed the input that arrived during a pause.
	caughtUp    time.Time
	onIteration func()
	idleChecks  []func() bool
	commit      func() // nil if nothing has to be persisted before messages are sent
}

// NewLoop returns a Loop. It calls onIteration at the end of each iteration, when everything that was ready has been
// processed.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), quit: make(chan struct{})}
}

// Post schedules f to run on the loop; any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of posted functions that have not run; any goroutine may call it.
func (l *Loop) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// OnCommit registers f to run before any message leaves the process that depends on events since its last run. It must
// do nothing if there were none.
func (l *Loop) OnCommit(f func()) { l.commit = f }

// AddIdleCheck adds a check for unread input, which runs on the loop after a pause: it reports whether all input has
// been posted to the loop.
func (l *Loop) AddIdleCheck(idle func() bool) { l.idleChecks = append(l.idleChecks, idle) }

// Commit runs the function registered with OnCommit; anything that writes to a socket must call it first. Only the loop
// may call it.
func (l *Loop) Commit() {
	if l.commit != nil {
		l.commit()
	}
}

// Timer is a scheduled function.
type Timer struct {
	at    time.Time
	f     func()
	index int
}

// After schedules f to run on the loop after d; only the loop may call it.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{at: time.Now().Add(d), f: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels a timer that has not fired; only the loop may call it.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// Quit makes Run return after the current iteration.
func (l *Loop) Quit() { l.quitOnce.Do(func() { close(l.quit) }) }

// Run runs the loop until Quit.
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

// catchUp waits for input that arrived during a pause to be posted before overdue timers fire. Both become ready at the
// same moment after a pause: a set-up that was held back would otherwise be sent although its caller has disconnected,
// or its dispatcher drains, and the message that says so is still unread in a socket. It reports whether there was a
// pause.
func (l *Loop) catchUp() bool {
	if len(l.timers) == 0 || time.Since(l.timers[0].at) < pauseThreshold || time.Since(l.caughtUp) < catchUpInterval {
		return false
	}
	defer func() { l.caughtUp = time.Now() }()
	hasUnread := func(idle func() bool) bool { return !idle() }
	unread := false
	started, idleSteps, queued := time.Now(), 0, 0
	for elapsed := time.Duration(0); idleSteps < catchUpIdleSteps &&
		(elapsed < catchUpTimeout || unread && elapsed < catchUpUnreadTimeout); elapsed = time.Since(started) {
		if elapsed > 0 { // the first check is immediate: later, input may have been read and not show as unread any more
			time.Sleep(catchUpStep)
		}
		unread = slices.ContainsFunc(l.idleChecks, hasUnread)
		posted := l.Pending()
		if idleSteps++; posted != queued || unread {
			idleSteps, queued = 0, posted
		}
	}
	return true
}

// runPosted runs all posted functions, and reports whether there were any.
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

// iterate processes everything that is ready and then calls onIteration. It reports whether there was anything. A pause
// may have occurred before the iteration or while posted functions ran, so catchUp is called after these.
func (l *Loop) iterate() bool {
	ran := l.runPosted()
	if l.catchUp() {
		ran = l.runPosted() || ran
	}
	now, due := time.Now(), 0
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		t, ok := heap.Pop(&l.timers).(*Timer)
		if ok {
			t.f()
		}
		due++
	}
	if !ran && due == 0 {
		return false
	}
	if l.onIteration != nil {
		l.onIteration()
	}
	return true
}

// timers is a heap of timers, ordered by their times.
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
