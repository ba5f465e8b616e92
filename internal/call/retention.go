package call

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// retentionPeriod is how long a terminated call is kept, so that late and duplicate messages are recognized and not
	// forwarded.
	retentionPeriod = 20 * time.Second
	// terminatedMemoryShare is the share of the memory that terminated calls may take.
	terminatedMemoryShare = 1.0 / 8
	// terminatedCallSize is the memory in bytes that a terminated call takes.
	terminatedCallSize = 1 << 10
	// unattemptedShare is the share of the terminated calls that may be without an attempt.
	unattemptedShare = 1.0 / 8
)

// terminatedCalls are the calls that have terminated within the retention period. Callers can make any number of them.
// Beyond the limit, the oldest ones are dropped early. Those that no dispatcher has received have a limit of their own:
// nothing arrives late for them, and a caller makes them at no cost.
type terminatedCalls struct {
	attempted, unattempted       list.List // of *record, in the order of their ends
	maxAttempted, maxUnattempted int
}

// limit limits the calls for a process with this memory in bytes; 0 means no limit.
func (t *terminatedCalls) limit(memory int64) {
	t.maxAttempted, t.maxUnattempted = math.MaxInt, math.MaxInt
	if memory > 0 {
		calls := terminatedMemoryShare * float64(memory) / terminatedCallSize
		t.maxAttempted, t.maxUnattempted = int(calls), int(unattemptedShare*calls)
	}
}

// all returns all calls.
func (t *terminatedCalls) all() []*record {
	return append(records(&t.attempted), records(&t.unattempted)...)
}

// records returns the calls of a list.
func records(calls *list.List) []*record {
	all := make([]*record, 0, calls.Len())
	for e := calls.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*record))
	}
	return all
}

// add adds a terminated call, and calls drop for those that are not kept any longer.
func (t *terminatedCalls) add(k *record, drop func(*record)) {
	if k.attempts == 0 && k.Token == nil {
		t.unattempted.PushBack(k)
	} else {
		t.attempted.PushBack(k)
	}
	dropOldest(&t.attempted, t.maxAttempted, drop)
	dropOldest(&t.unattempted, t.maxUnattempted, drop)
}

// dropOldest drops the calls whose retention period is over, and those beyond the limit.
func dropOldest(calls *list.List, limit int, drop func(*record)) {
	for e := calls.Front(); e != nil; e = calls.Front() {
		k := e.Value.(*record)
		if calls.Len() <= limit && time.Since(k.terminatedAt) <= retentionPeriod {
			return
		}
		calls.Remove(e)
		drop(k)
	}
}

// addRecovered adds a call of another process, which may have ended before calls of this one.
func (t *terminatedCalls) addRecovered(k *record) { t.attempted.PushBack(k) }

// remove removes a call without dropping it.
func (t *terminatedCalls) remove(k *record) {
	for _, calls := range []*list.List{&t.attempted, &t.unattempted} {
		for e := calls.Front(); e != nil; e = e.Next() {
			if e.Value == k {
				calls.Remove(e)
				return
			}
		}
	}
}

// sort restores the order of the ends after calls of another process were added.
func (t *terminatedCalls) sort() {
	all := records(&t.attempted)
	slices.SortStableFunc(all, func(a, b *record) int { return a.terminatedAt.Compare(b.terminatedAt) })
	t.attempted.Init()
	for _, k := range all {
		t.attempted.PushBack(k)
	}
}

// retain keeps a terminated call for the retention period.
func (c *Core) retain(k *record) {
	c.recentlyTerminated.add(k, func(old *record) {
		if c.calls[old.ID] == old {
			delete(c.calls, old.ID)
		}
	})
}
