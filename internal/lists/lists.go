// Package lists is what all sources of dispatchers pass through: files, the coordinator and etcd. Its Keeper owns the pool's
// decisions, tells the event loop what changes, has good sets stored, and shows operators how the set in force came to be.
// Sources run on goroutines of their own, so that no call waits while a large set is checked.
package lists

import (
	"log/slog"
	"sync"
	"time"

	"cherryrelay/internal/decide/pool"
)

// Store keeps sets for a later process.
type Store interface {
	Keep(pool.Snapshot)
	// Failed is why the last set was not kept.
	Failed() error
}

// Keeper holds the set in force.
type Keeper struct {
	log    *slog.Logger
	notify func(pool.Update)
	store  Store // nil without

	mu   sync.Mutex
	pool *pool.Pool
}

// New returns a Keeper that gives tell what changes, in order; tell must not block.
func New(log *slog.Logger, notify func(pool.Update)) *Keeper {
	return &Keeper{log: log, notify: notify, pool: pool.New()}
}

// StoreIn has good sets of files kept from now on.
func (k *Keeper) StoreIn(s Store) { k.store = s }

// Bound sets the most dispatchers that a set may have. It comes before the first set.
func (k *Keeper) Bound(servers int) { k.pool.SetLimit(servers) }

// unixTime is the Unix clock.
func unixTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Stream takes updates of a source that is followed as it is.
func (k *Keeper) Stream(source pool.Source) func(pool.Update) {
	return func(u pool.Update) { k.Take(pool.Candidate{Source: source, Update: u}) }
}

// Take judges a candidate and puts it in force if it is good.
func (k *Keeper) Take(c pool.Candidate) pool.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.pool.Current().Number
	v := k.pool.Apply(unixTime(), c)
	k.notifyChange(v)
	if v.Accepted && c.Source == pool.FromFile {
		if v.Number != before {
			k.log.Info("pool file in force", "version", v.Label, "digest", v.Digest, "servers", v.Servers, "change", v.Change.String())
		}
		if k.store != nil && (v.Changed || v.Number != before) {
			k.store.Keep(k.pool.Snapshot())
		}
	}
	if !v.Accepted && v.Repeats == 0 {
		for i, f := range v.Faults {
			if i == maxLoggedFaults {
				k.log.Error("pool refused: further faults", "source", v.Source, "digest", v.Digest, "faults", v.FaultCount-i)
				break
			}
			k.log.Error("pool refused, the set in force stays", "source", v.Source, "digest", v.Digest, "fault", f.String())
		}
	}
	return v
}

// maxLoggedFaults faults of a refused set are logged; the rest can be asked for.
const maxLoggedFaults = 5

// Recall puts in force what an earlier process has kept.
func (k *Keeper) Recall(m pool.Snapshot) pool.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.pool.Restore(unixTime(), m)
	k.notifyChange(v)
	return v
}

func (k *Keeper) notifyChange(v pool.Verdict) {
	if v.Changed {
		k.notify(v.Update)
	}
}

// Listed reports whether any set is in force.
func (k *Keeper) Listed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool.HasSet()
}
