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
	// scanInterval is the pause between two scans of the shared directory if it has no ledgers.
	scanInterval = 50 * time.Millisecond
	// scanIntervalPerLedger is added to the pause for each ledger, to bound the load of the scans in a large fleet.
	scanIntervalPerLedger = 500 * time.Microsecond
)

// run scans the shared directory until the context is cancelled or another controller has sealed the own ledger.
func (p *Participant) run(ctx context.Context) {
	defer close(p.done)
	interval := scanInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(interval):
		}
		start := time.Now()
		if err := p.options.VerifyOwnership(); err != nil {
			if errors.Is(err, ledger.ErrSealed) {
				p.options.OnSealed(err)
				return
			}
			p.recordFailure(err)
			continue
		}
		ledgers := p.scan(ctx)
		p.updateStatus(func(s *Status) { s.ScanMs = time.Since(start).Milliseconds() })
		interval = scanInterval + time.Duration(ledgers)*scanIntervalPerLedger
	}
}

// scan performs all steps of the protocol that are due in the shared directory, and returns the number of ledgers there.
func (p *Participant) scan(ctx context.Context) int {
	p.writeOwner()
	p.acknowledgePersisted()
	p.transferCalls()
	p.recoverInbox()
	names, err := p.files.List(".")
	p.recordFailure(err)
	names = slices.DeleteFunc(names, func(n string) bool { return strings.HasPrefix(n, ".") })
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == p.options.Name })
	p.sealFailed(others)
	sealed, err := decide.SealedLedgers(p.files)
	p.recordFailure(err)
	sealed = p.reclaimFailed(sealed)
	holders := len(others)
	for _, s := range sealed {
		if s.Number != transferNumber {
			holders++
		}
		if s.Claimant == p.options.Name && ctx.Err() == nil {
			p.processSealed(s)
		}
	}
	p.resolveLookups(holders, others, slices.ContainsFunc(sealed, p.notUnpacked))
	p.exchangeTerminations()
	p.answerQueries()
	return len(names) + len(sealed)
}

// notUnpacked reports whether a sealed ledger may hold calls that are not unpacked yet.
func (p *Participant) notUnpacked(s decide.SealedLedger) bool {
	_, unpacked, err := decide.UnclaimedCalls(p.files, s)
	return err != nil || !unpacked
}

// recordFailure counts and logs a failed operation on the shared directory. It ignores ErrNotFound, which means that another process has moved
// or removed the file first.
func (p *Participant) recordFailure(err error) {
	if err == nil || errors.Is(err, decide.ErrNotFound) {
		return
	}
	p.updateStatus(func(s *Status) { s.Failed++ })
	p.log.Error("an operation on the shared directory of ledgers failed", "err", err)
}
