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
	// firstSnapshotTimeout limits the time for the first snapshot: 100,000 calls take well below a second.
	firstSnapshotTimeout = 10 * time.Second
	// lockRetryInterval and lockRetryTimeout are the interval and the timeout for retries while another process still has the ledger locked.
	lockRetryInterval, lockRetryTimeout = 20 * time.Millisecond, 5 * time.Second
)

// openedLedger is an open ledger together with the calls of the previous process that were read from it.
type openedLedger struct {
	ledger *ledger.Ledger
	calls  *recovery.CallTable
	damage []string
	key    []byte
	verify func() error // returns an error if the directory no longer belongs to this process
}

// openLedger reads a ledger, replays its records and opens it for writing. It does not run on the loop.
func openLedger(l *config.Ledger, name string, log *slog.Logger) (*openedLedger, error) {
	var key []byte
	var err error
	if l.KeyFile != "" {
		if key, err = files.ReadKey(l.KeyFile); err != nil {
			return nil, fmt.Errorf("ledger: key: %w", err)
		}
	}
	d, err := openLedgerDirectory(l.Directory, log)
	if err != nil {
		return nil, err
	}
	found, err := ledger.Read(d, name, key)
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	k := &openedLedger{damage: found.Damage, key: key, verify: ledgerVerifier(d)}
	var replayErr error
	if k.calls, replayErr = recovery.Replay(found.Records, found.Gaps); replayErr != nil {
		k.damage = append(k.damage, replayErr.Error())
	}
	now := time.Duration(time.Now().UnixNano())
	k.calls.Prune(now)
	k.ledger = ledger.New(d, ledger.Options{
		Name: name, Key: key, Sync: config.SyncModes[l.Sync], SegmentSize: l.SegmentMB << 20, MaxSize: l.MaxMB << 20,
		AfterWrite: k.verify,
		Compact: func(records [][]byte, gaps map[int]bool) ([][]byte, error) {
			return recovery.Compact(records, gaps, time.Duration(time.Now().UnixNano()))
		},
	}, found)
	return k, nil
}

// useLedger recovers the calls of the previous process and records the calls of this one. It runs on the loop, or before the loop starts.
func (n *node) useLedger(k *openedLedger, wait time.Duration) {
	l := n.config.Ledger
	n.ledger = k.ledger
	n.core.Recover(k.calls, k.damage)
	n.core.UseLedger(k.ledger, l.OnFailure == "refuse")
	n.core.BeginLedger(wait)
	n.opened = k
	n.startTakeovers()
	n.core.LedgerAvailable()
}

// startLedger opens the ledger when the process starts. While a predecessor serves, the predecessor keeps the ledger, and this process
// opens it after the predecessor has ended.
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
	n.useLedger(k, firstSnapshotTimeout)
	return nil
}

// inheritLedger opens the ledger of the ended predecessor. If that fails, calls are served without a ledger.
func (n *node) inheritLedger() {
	if n.config.Ledger == nil || n.ledger != nil {
		return
	}
	go func() {
		var k *openedLedger
		var err error
		for until := time.Now().Add(lockRetryTimeout); ; time.Sleep(lockRetryInterval) {
			if k, err = openLedger(n.config.Ledger, n.config.Name, n.log); !errors.Is(err, ledger.ErrLocked) || time.Now().After(until) {
				break
			}
		}
		n.loop.Post(func() {
			if err != nil {
				n.log.Error("THE STATE OF CALLS IS NOT KEPT: the ledger of the predecessor cannot be opened", "err", err)
				n.core.LedgerAvailable()
				return
			}
			n.useLedger(k, 0)
		})
	}()
}

// recoveryPage returns the state of the recovery for operators.
func (n *node) recoveryPage(url.Values) (any, error) { return n.core.RecoveryStatus(), nil }
