package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"time"

	"cherryrelay/internal/config"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/lists/files"
)

const (
	// beginWithin bounds the first snapshot: 100,000 calls take well below a second.
	beginWithin = 10 * time.Second
	// ownedAgain and ownedFor are the pace and the time in which a ledger is asked for again that another process has still.
	ownedAgain, ownedFor = 20 * time.Millisecond, 5 * time.Second
)

// kept is what the calls of an earlier process are read from.
type kept struct {
	ledger *ledger.Ledger
	book   *recovery.CallTable
	damage []string
	key    []byte
	still  func() error // whether the directory is this process's still
}

// openLedger reads a ledger and begins with what is left of it. It does not run on the loop.
func openLedger(l *config.Ledger, name string, log *slog.Logger) (*kept, error) {
	var key []byte
	var err error
	if l.KeyFile != "" {
		if key, err = files.Key(l.KeyFile); err != nil {
			return nil, fmt.Errorf("ledger: key: %w", err)
		}
	}
	d, err := directoryOf(l.Directory, log)
	if err != nil {
		return nil, err
	}
	found, err := ledger.Read(d, name, key)
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	k := &kept{damage: found.Damage, key: key, still: watchLedger(d)}
	var bad error
	if k.book, bad = recovery.Replay(found.Records, found.Gaps); bad != nil {
		k.damage = append(k.damage, bad.Error())
	}
	now := time.Duration(time.Now().UnixNano())
	k.book.Prune(now)
	k.ledger = ledger.New(d, ledger.Options{
		Name: name, Key: key, Sync: config.Syncs[l.Sync], SegmentSize: l.SegmentMB << 20, MaxSize: l.MostMB << 20,
		AfterWrite: k.still,
		Compact: func(records [][]byte, gaps map[int]bool) ([][]byte, error) {
			return recovery.Compact(records, gaps, time.Duration(time.Now().UnixNano()))
		},
	}, found)
	return k, nil
}

// takeLedger takes up the calls of an earlier process, and keeps those of this one. It runs on the loop, or before it.
func (n *node) takeLedger(k *kept, wait time.Duration) {
	l := n.config.Ledger
	n.ledger = k.ledger
	n.core.Recover(k.book, k.damage)
	n.core.UseLedger(k.ledger, l.OnFailure == "refuse")
	n.core.BeginLedger(wait)
	n.kept = k
	n.seek()
	n.core.LedgerAvailable()
}

// startLedger opens the ledger at a start. While a predecessor serves it is that one's, and this process's once it has ended.
func (n *node) startLedger() error {
	l := n.config.Ledger
	n.core.AddMetrics(n.core.RecoveryMetrics)
	if n.upgrade.predecessor != nil {
		n.core.AwaitLedger()
		return nil
	}
	k, err := openLedger(l, n.config.Name, n.log)
	if err != nil {
		return err
	}
	n.takeLedger(k, beginWithin)
	return nil
}

// inheritLedger takes the ledger that a predecessor had. If it can't be had, calls are served without.
func (n *node) inheritLedger() {
	if n.config.Ledger == nil || n.ledger != nil {
		return
	}
	go func() {
		var k *kept
		var err error
		for until := time.Now().Add(ownedFor); ; time.Sleep(ownedAgain) {
			if k, err = openLedger(n.config.Ledger, n.config.Name, n.log); !errors.Is(err, ledger.ErrLocked) || time.Now().After(until) {
				break
			}
		}
		n.loop.Post(func() {
			if err != nil {
				n.log.Error("THE STATE OF CALLS IS NOT KEPT: the ledger of the predecessor cannot be had", "err", err)
				n.core.LedgerAvailable()
				return
			}
			n.takeLedger(k, 0)
		})
	}()
}

// recoveryPage is what operators are shown.
func (n *node) recoveryPage(url.Values) (any, error) { return n.core.RecoveryStatus(), nil }
