package trial

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"cherryrelay/internal/membership"
)

// Beliefs hold what all processes say of the fleet against one another: a process that is certain of its name must be the only one, and
// must not be so after another was told of its end. Samples may come from any goroutine.
type Beliefs struct {
	mu     sync.Mutex
	gone   map[life]told
	heard  map[life]map[string]time.Time // when each process first told of an end
	sure   map[string]claim              // by name
	faults []string
	count  int
}

// life is one incarnation of a name.
type life struct {
	store       uint64
	name        string
	incarnation int64
}

// told is the first time that an end was heard of, and where.
type told struct {
	at time.Time
	by string
}

// claim is the last certainty of a name: by whom, and from when until when it stood.
type claim struct {
	by          string
	incarnation int64
	from, until time.Time
}

// maxFaults bounds what is kept; the first ones tell most.
const maxFaults = 50

// Sample takes in what a process said when it was asked at one time and answered at another. What it says held at some moment between;
// a certainty of so much time left holds at least until as long after it was asked, unless it is given up.
func (b *Beliefs) Sample(process string, asked, answered time.Time, s membership.Shown) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone == nil {
		b.gone, b.sure, b.heard = map[life]told{}, map[string]claim{}, map[life]map[string]time.Time{}
	}
	b.count++
	for _, m := range s.Gone {
		l := life{m.Store, m.Name, m.Incarnation}
		if _, known := b.gone[l]; !known {
			b.gone[l] = told{answered, process}
			b.heard[l] = map[string]time.Time{}
		}
		if b.heard[l][process].IsZero() {
			b.heard[l][process] = answered
		}
	}
	if !s.Certain {
		return
	}
	l := life{s.Store, s.Name, s.Incarnation}
	if t, gone := b.gone[l]; gone && t.at.Before(asked) {
		b.fault("%s is certain of %s as %d, %v after %s was told of its end", process, s.Name, s.Incarnation, asked.Sub(t.at), t.by)
	}
	if c := b.sure[s.Name]; c.by != "" && c.by != process && c.until.After(asked) && c.from.Before(asked) && c.incarnation != s.Incarnation {
		b.fault("%s is certain of %s as %d while %s is as %d for %v more", process, s.Name, s.Incarnation, c.by, c.incarnation, c.until.Sub(asked))
	}
	if c := b.sure[s.Name]; c.by == process || s.Incarnation > c.incarnation {
		b.sure[s.Name] = claim{process, s.Incarnation, asked, asked.Add(time.Duration(s.LeftMs) * time.Millisecond)}
	}
}

func (b *Beliefs) fault(format string, args ...any) {
	if len(b.faults) < maxFaults {
		b.faults = append(b.faults, fmt.Sprintf(format, args...))
	}
}

// Faults are what was found, and of how many samples.
func (b *Beliefs) Faults() (faults []string, samples int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.faults...), b.count
}

// Heard tells when each process first told of the end of an incarnation.
func (b *Beliefs) Heard(store uint64, name string, incarnation int64) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.heard[life{store, name, incarnation}])
}

// watchEvery is how often each process is asked.
const watchEvery = 20 * time.Millisecond

// Watch asks every controller again and again until stop is closed, each by itself, so that one that does not answer holds up none.
func (g *Ground) Watch(b *Beliefs, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, c := range g.Controllers {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(watchEvery):
				}
				var s membership.Shown
				asked := time.Now()
				if status, err := c.Ask(membership.Path, &s); err == nil && status == 200 {
					b.Sample(c.Name, asked, time.Now(), s)
				}
			}
		})
	}
	return &all
}
