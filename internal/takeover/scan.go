package takeover

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

const (
	// scanInterval is the pause between two scans of the shared directory.
	scanInterval = 50 * time.Millisecond
	// scanIntervalPerLedger is added for each ledger in it, to bound the load of scanning in a large fleet.
	scanIntervalPerLedger = 500 * time.Microsecond
)

// run scans the shared directory until the context ends or the own ledger is sealed by another controller.
func (r *Room) run(ctx context.Context) {
	defer close(r.done)
	interval := scanInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(interval):
		}
		begun := time.Now()
		if err := r.options.Still(); err != nil {
			if errors.Is(err, ledger.ErrSealed) {
				r.options.Taken(err)
				return
			}
			r.recordFailure(err)
			continue
		}
		ledgers := r.scan(ctx)
		r.updateStatus(func(s *Shown) { s.LookMs = time.Since(begun).Milliseconds() })
		interval = scanInterval + time.Duration(ledgers)*scanIntervalPerLedger
	}
}

// scan does all that is due in the shared directory, and returns the number of ledgers there.
func (r *Room) scan(ctx context.Context) int {
	r.writeOwner()
	r.acknowledgePersisted()
	r.transferCalls()
	r.recoverInbox()
	names, err := r.files.List(".")
	r.recordFailure(err)
	names = slices.DeleteFunc(names, func(n string) bool { return strings.HasPrefix(n, ".") })
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == r.options.Name })
	r.sealFailed(others)
	sealed, err := decide.SealedLedgers(r.files)
	r.recordFailure(err)
	sealed = r.reclaimFailed(sealed)
	holders := len(others)
	for _, s := range sealed {
		if s.Number != transferNumber {
			holders++
		}
		if s.Claimant == r.options.Name && ctx.Err() == nil {
			r.processSealed(s)
		}
	}
	r.resolveLookups(holders, others, slices.ContainsFunc(sealed, r.notUnpacked))
	r.exchangeTerminations()
	r.answerQueries()
	return len(names) + len(sealed)
}

// notUnpacked reports whether a sealed ledger may hold calls that are not unpacked yet.
func (r *Room) notUnpacked(s decide.SealedLedger) bool {
	_, unpacked, err := decide.UnclaimedCalls(r.files, s)
	return err != nil || !unpacked
}

// recordFailure counts and logs an error of the shared directory. ErrNotFound is none: another process was quicker.
func (r *Room) recordFailure(err error) {
	if err == nil || errors.Is(err, decide.ErrNotFound) {
		return
	}
	r.updateStatus(func(s *Shown) { s.Failed++ })
	r.log.Error("the directory of the fleet's ledgers", "err", err)
}
