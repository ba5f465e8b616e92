// Package lists receives the dispatchers from all sources: files, the coordinator and etcd. It decides with decide/pool
// which set becomes active, notifies the event loop of changes, has accepted sets stored, and reports to operators how
// the active set came about. Sources run on their own goroutines, so that no call waits while a large set is checked.
package lists

import (
	"log/slog"
	"sync"
	"time"

	"cherryrelay/internal/decide/pool"
)

// Store saves accepted sets so that the next process can restore them.
type Store interface {
	Save(pool.Snapshot)
	// LastError returns why the last set was not saved; nil if it was.
	LastError() error
}

// Registry holds the active set of dispatchers. After its setup it is safe for concurrent use.
type Registry struct {
	log    *slog.Logger
	notify func(pool.Update)
	store  Store // nil if sets are not stored

	mu        sync.Mutex
	pool      *pool.Pool
	deferring bool          // updates are deferred until Publish
	deferred  []pool.Update // in order
}

// New starts without an active set. It passes every later change of the active set to notify, in order. notify must not
// block.
func New(log *slog.Logger, notify func(pool.Update)) *Registry {
	return &Registry{log: log, notify: notify, pool: pool.New()}
}

// Defer defers updates until Publish is called, while the sources of the start are read one after the other.
func (k *Registry) Defer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deferring = true
}

// Publish passes the deferred updates to notify as one, and later ones as they come.
func (k *Registry) Publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	updates := k.deferred
	k.deferring, k.deferred = false, nil
	if len(updates) > 0 {
		k.notify(pool.Fold(updates))
	}
}

// SetStore makes s save the accepted sets of files from now on.
func (k *Registry) SetStore(s Store) { k.store = s }

// SetLimit sets the maximum number of dispatchers in a set. It must be called before the first set.
func (k *Registry) SetLimit(servers int) { k.pool.SetLimit(servers) }

// unixTime returns the time since 1970, the clock of the pool decisions.
func unixTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// UpdateHandler returns a function that applies the updates of a source that is followed without checks: the coordinator or
// etcd.
func (k *Registry) UpdateHandler(source pool.Source) func(pool.Update) {
	return func(u pool.Update) { k.Apply(pool.Candidate{Source: source, Update: u}) }
}

// Apply checks a candidate and makes it the active set if it is accepted.
func (k *Registry) Apply(c pool.Candidate) pool.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.pool.Current().Number
	v := k.pool.Apply(unixTime(), c)
	k.notifyChange(v)
	if v.Accepted && c.Source == pool.FromFile {
		if v.Number != before {
			k.log.Info("pool file is active", "version", v.Label, "digest", v.Digest, "servers", v.Servers, "change", v.Change.String())
		}
		if k.store != nil && (v.Changed || v.Number != before) {
			k.store.Save(k.pool.Snapshot())
		}
	}
	if !v.Accepted && v.Repeats == 0 {
		for i, f := range v.Faults {
			if i == maxLoggedFaults {
				k.log.Error("pool refused: more faults", "source", v.Source, "digest", v.Digest, "faults", v.FaultCount-i)
				break
			}
			k.log.Error("pool refused, the set in force stays", "source", v.Source, "digest", v.Digest, "fault", f.String())
		}
	}
	return v
}

// maxLoggedFaults bounds the faults of a refused set that are logged; the management pages list more.
const maxLoggedFaults = 5

// Restore activates the set that a previous process has stored.
func (k *Registry) Restore(m pool.Snapshot) pool.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.pool.Restore(unixTime(), m)
	k.notifyChange(v)
	return v
}

func (k *Registry) notifyChange(v pool.Verdict) {
	switch {
	case !v.Changed:
	case k.deferring:
		k.deferred = append(k.deferred, v.Update)
	default:
		k.notify(v.Update)
	}
}

// HasSet reports whether there is an active set.
func (k *Registry) HasSet() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool.HasSet()
}
