package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/fault"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/lists/etcd"
	"cherryrelay/internal/membership"
	"cherryrelay/internal/store"
	"cherryrelay/internal/takeover"
)

const (
	prefix = "/capacity/members/"
	lease  = membership.DefaultLease
	// joinWithin bounds the time until all members see all.
	joinWithin = time.Minute
	// storeLink is the link on which all that members and store say to one another passes.
	storeLink = "members>store"
)

// fleet is a store with members, all in this process. They are the real members' code with a client each.
type fleet struct {
	store   *store.Store
	net     *fault.Net
	address string // of the store, as members reach it
	members []*membership.Fleet
	clients []*clientv3.Client
}

func newFleet() (*fleet, error) {
	f := &fleet{store: store.New(1), net: fault.New(1)}
	own, err := f.store.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	f.address, err = f.net.Between("members", "store", own)
	return f, err //nolint:wrapcheck // it says what it is
}

func (f *fleet) join(name string) error {
	client, err := etcd.Dial([]string{f.address})
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	m := membership.Start(client, membership.Options{Name: name, Address: "127.0.0.1:5060", Prefix: prefix, Lease: lease}, slog.New(slog.DiscardHandler))
	m.Say(members.Serving)
	f.members, f.clients = append(f.members, m), append(f.clients, client)
	return nil
}

// whole waits until every member is certain and sees all.
func (f *fleet) whole(ctx context.Context) error {
	from := 0 // those before it see all
	return until(ctx, joinWithin, 2*time.Millisecond, func() bool {
		for ; from < len(f.members); from++ {
			if v := f.members[from].Show(); !v.Certain || len(v.Members)+v.More != len(f.members) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) close() {
	f.store.Close() // first: nobody need say good-bye
	for i, m := range f.members {
		go func() {
			m.Close()
			_ = f.clients[i].Close() // its store has gone
		}()
	}
	f.net.Close()
}

// bytes is all that has passed between members and store.
func (f *fleet) bytes() int64 {
	forth, back := f.net.Passed(storeLink)
	return forth + back
}

func ownProcessorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it can't fail with these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// playMembers has members join one store and measures them at rest, and then what one more that joins makes of it.
func playMembers(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	begun := time.Now()
	for i := range size {
		if err := f.join(fmt.Sprint("n", i)); err != nil {
			return nil, err
		}
	}
	if err := f.whole(ctx); err != nil {
		return nil, err
	}
	joined, joinBytes := time.Since(begun), f.bytes()
	if err := pause(ctx, b.settleFor()); err != nil {
		return nil, err
	}
	requests, bytes, cpu := f.store.Counts().Sum(), f.bytes(), ownProcessorTime()
	if err := pause(ctx, b.lasting); err != nil {
		return nil, err
	}
	seconds := b.lasting.Seconds()
	figures := []Figure{
		{"all see all after", "s", joined.Seconds()},
		{"bytes until all see all", "", float64(joinBytes)},
		{"requests at the store", "a second", float64(f.store.Counts().Sum()-requests) / seconds},
		{"bytes", "a second", float64(f.bytes()-bytes) / seconds},
		{"processor, store and members together", "% of a core", 100 * (ownProcessorTime() - cpu).Seconds() / seconds},
	}
	// The bytes at rest are taken off what one that joins makes.
	bytes, begun = f.bytes(), time.Now()
	if err := f.join("late"); err != nil {
		return nil, err
	}
	if err := f.whole(ctx); err != nil {
		return nil, err
	}
	known := time.Since(begun)
	if err := pause(ctx, b.settleFor()); err != nil {
		return nil, err
	}
	more := float64(f.bytes()-bytes) - figures[3].Value*time.Since(begun).Seconds()
	return append(figures, Figure{"one joins: known to all after", "ms", milliseconds(known)}, Figure{"one joins: bytes", "", max(more, 0)}), nil
}

// operator is the part of a controller's file for this fleet.
func (f *fleet) operator() string {
	return fmt.Sprintf("[fleet]\nendpoints = %s\nprefix = %s\nledgers = ledgers\n[ledger]\ndirectory = ledgers/n1\nlines = true\n", f.address, prefix)
}

// playLedgers has a controller watch the ledgers of others, whose owners live.
func playLedgers(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	for i := range size {
		disk, err := ledger.OpenDirectory(filepath.Join(b.directory, "ledgers", fmt.Sprintf("other%d", i)))
		if err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
		defer disk.Close()
	}
	d, err := dispatch(1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := b.control(ctx, site{known: entries(0, d.addresses()), operator: f.operator()})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := errors.Join(c.ready(ctx), pause(ctx, b.settleFor())); err != nil {
		return nil, err
	}
	share, err := c.share(ctx, b.lasting)
	if err != nil {
		return nil, err
	}
	var shown takeover.Shown
	_, text, err := c.ask(ctx, takeover.Path)
	if err := errors.Join(err, json.Unmarshal(text, &shown)); err != nil {
		return nil, err
	}
	return c.withHoldings([]Figure{{"processor", "% of a core", share}, {"a look takes", "ms", float64(shown.LookMs)}, {"ledgers taken that live", "", float64(shown.Sealed)}})
}

// lostName is the controller whose ledger is taken over.
const lostName = "n0"

// writeLedger leaves the ledger of a controller that is gone, with so many calls, nine in ten of which stand.
func writeLedger(directory string, calls int, server, address string) (size uint64, err error) {
	disk, err := ledger.OpenDirectory(directory)
	if err != nil {
		return 0, err //nolint:wrapcheck // it says what it is
	}
	l := ledger.New(disk, ledger.Options{Name: lostName, CommitTimeout: time.Minute, MaxSize: 1 << 30, SegmentSize: 1 << 30}, nil)
	if err := l.BeginEpochAndWait(nil, time.Minute); err != nil {
		return 0, err //nolint:wrapcheck // it says what it is
	}
	now := time.Now().UnixMicro()
	for i := range calls {
		id := fmt.Sprintf("%016x", i+1)
		events := []recovery.Event{
			{Kind: recovery.KindAccepted, ID: id, AtUs: now, DeadlineUs: now + time.Minute.Microseconds(), Class: "send-setup", Called: "k", Description: description, Token: recovery.HashToken("token")},
			{Kind: recovery.KindAttemptSent, ID: id, AtUs: now, Server: server, Address: address},
			{Kind: recovery.KindEstablished, ID: id, AtUs: now, Server: server, Address: address, Description: description},
		}
		if i%10 == 0 {
			events = events[:2]
		}
		for _, e := range events {
			text, err := e.Encode()
			if err := errors.Join(err, l.Append(text)); err != nil {
				return 0, err
			}
		}
		if i%1000 == 999 {
			if err := l.Commit(); err != nil {
				return 0, err //nolint:wrapcheck // it says what it is
			}
		}
	}
	if err := l.Commit(); err != nil {
		return 0, err //nolint:wrapcheck // it says what it is
	}
	size = l.Metrics().Bytes
	return size, l.Close() //nolint:wrapcheck // it says what it is
}

// playTakeover has a controller take over the calls of one that is gone. Nobody comes for them, so the taker takes all.
func playTakeover(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	d, err := dispatch(1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	listed := entries(0, d.addresses())
	ledgers := filepath.Join(b.directory, "ledgers")
	bytes, err := writeLedger(filepath.Join(ledgers, lostName), size, listed[0].Name, listed[0].Address)
	if err != nil {
		return nil, err
	}
	c, err := b.control(ctx, site{known: listed, operator: f.operator()})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	begun := time.Now()
	sealed, taken := time.Duration(0), time.Duration(0)
	var shown takeover.Shown
	used, _, err := c.cpuDuring(func() error {
		return until(ctx, time.Minute, 5*time.Millisecond, func() bool {
			_, text, err := c.ask(ctx, takeover.Path)
			if err != nil || json.Unmarshal(text, &shown) != nil {
				return c.over()
			}
			if shown.Sealed > 0 && sealed == 0 {
				sealed = time.Since(begun)
			}
			taken = time.Since(begun)
			return c.over() || int(shown.Found+shown.Left) >= size
		})
	})
	if err != nil {
		return nil, fmt.Errorf("%w; taken %d of %d, %d steps failed, logged: %s", err, shown.Left, size, shown.Failed, c.lastLine())
	}
	if c.over() {
		return nil, fmt.Errorf("capacity: the controller has ended: %s", strings.TrimSpace(c.lastLine()))
	}
	var layMs int64
	for _, t := range shown.Told {
		layMs = max(layMs, t.TookMs)
	}
	return c.withHoldings([]Figure{
		{"ledger", "bytes", float64(bytes)},
		{"ledger sealed after", "ms", milliseconds(sealed)},
		{"calls laid out in", "ms", float64(layMs)},
		{"all calls taken after", "ms", milliseconds(taken)},
		{"processor", "ms", milliseconds(used)},
	})
}
