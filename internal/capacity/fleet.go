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
	keyPrefix = "/capacity/members/"
	leaseTime = membership.DefaultLease
	// joinTimeout is the time by which every member must see all members.
	joinTimeout = time.Minute
	// storeLink names the fault link that carries all traffic between the members and the store.
	storeLink = "members>store"
)

// fleet is a fake store with members that run the real membership code, each with its own client, all in this process.
type fleet struct {
	store   *store.Store
	net     *fault.Net
	address string // of the store, through the fault link
	members []*membership.Fleet
	clients []*clientv3.Client
}

// newFleet starts a store that is reached through a fault link, without members.
func newFleet() (*fleet, error) {
	f := &fleet{store: store.New(1), net: fault.New(1)}
	own, err := f.store.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	f.address, err = f.net.AddLink("members", "store", own)
	return f, err //nolint:wrapcheck // the error names its operation
}

// join starts a member that is serving.
func (f *fleet) join(name string) error {
	client, err := etcd.Dial([]string{f.address})
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	m := membership.Start(client, membership.Options{Name: name, Address: "127.0.0.1:5060", Prefix: keyPrefix, Lease: leaseTime}, slog.New(slog.DiscardHandler))
	m.SetState(members.Serving)
	f.members, f.clients = append(f.members, m), append(f.clients, client)
	return nil
}

// waitComplete waits until every member holds its lease and sees all members.
func (f *fleet) waitComplete(ctx context.Context) error {
	next := 0 // members before this index see all members
	return waitUntil(ctx, joinTimeout, 2*time.Millisecond, func() bool {
		for ; next < len(f.members); next++ {
			if v := f.members[next].Status(); !v.HoldsLease || len(v.Members)+v.OmittedMembers != len(f.members) {
				return false
			}
		}
		return true
	})
}

// close closes the store, the members and their clients. It does not wait for the members.
func (f *fleet) close() {
	f.store.Close() // first, so that the members need not leave one by one
	for i, m := range f.members {
		go func() {
			m.Close()
			_ = f.clients[i].Close() // the store is closed already
		}()
	}
	f.net.Close()
}

// bytesPassed returns the bytes transferred between the members and the store, in both directions.
func (f *fleet) bytesPassed() int64 {
	sent, received := f.net.ForwardedBytes(storeLink)
	return sent + received
}

// ownCPUTime returns the processor time of this process.
func ownCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it cannot fail with these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureMembers measures a fleet while it forms, while it is idle, and while one more member joins.
func measureMembers(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	start := time.Now()
	for i := range size {
		if err := f.join(fmt.Sprint("n", i)); err != nil {
			return nil, err
		}
	}
	if err := f.waitComplete(ctx); err != nil {
		return nil, err
	}
	joined, joinBytes := time.Since(start), f.bytesPassed()
	if err := pause(ctx, b.settleTime()); err != nil {
		return nil, err
	}
	requests, bytes, cpu := f.store.Counts().Total(), f.bytesPassed(), ownCPUTime()
	if err := pause(ctx, b.window); err != nil {
		return nil, err
	}
	seconds := b.window.Seconds()
	figures := []Figure{
		{"all see all after", "s", joined.Seconds()},
		{"bytes until all see all", "", float64(joinBytes)},
		{"requests at the store", "a second", float64(f.store.Counts().Total()-requests) / seconds},
		{"bytes", "a second", float64(f.bytesPassed()-bytes) / seconds},
		{"processor, store and members together", "% of a core", 100 * (ownCPUTime() - cpu).Seconds() / seconds},
	}
	// The bytes of the join exclude the traffic of the idle fleet.
	bytes, start = f.bytesPassed(), time.Now()
	if err := f.join("late"); err != nil {
		return nil, err
	}
	if err := f.waitComplete(ctx); err != nil {
		return nil, err
	}
	known := time.Since(start)
	if err := pause(ctx, b.settleTime()); err != nil {
		return nil, err
	}
	more := float64(f.bytesPassed()-bytes) - figures[3].Value*time.Since(start).Seconds()
	return append(figures, Figure{"one joins: known to all after", "ms", milliseconds(known)}, Figure{"one joins: bytes", "", max(more, 0)}), nil
}

// operatorSections returns the operator's file of a controller in this fleet.
func (f *fleet) operatorSections() string {
	return fmt.Sprintf("[fleet]\nendpoints = %s\nprefix = %s\nledgers = ledgers\n[ledger]\ndirectory = ledgers/n1\nlines = true\n", f.address, keyPrefix)
}

// measureLedgers measures a controller that scans the ledgers of other controllers, all of which are live.
func measureLedgers(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	for i := range size {
		disk, err := ledger.OpenDirectory(filepath.Join(b.directory, "ledgers", fmt.Sprintf("other%d", i)))
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names its operation
		}
		defer disk.Close()
	}
	d, err := startDispatchers(1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := b.startController(ctx, controllerOptions{dispatchers: entries(0, d.addresses()), operatorSections: f.operatorSections()})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := errors.Join(c.waitReady(ctx), pause(ctx, b.settleTime())); err != nil {
		return nil, err
	}
	share, err := c.cpuPercent(ctx, b.window)
	if err != nil {
		return nil, err
	}
	var shown takeover.Status
	_, text, err := c.get(ctx, takeover.Path)
	if err := errors.Join(err, json.Unmarshal(text, &shown)); err != nil {
		return nil, err
	}
	return c.withResourceUsage([]Figure{{"processor", "% of a core", share}, {"a look takes", "ms", float64(shown.ScanMs)}, {"ledgers taken that live", "", float64(shown.Sealed)}})
}

// lostController is the name of the controller whose ledger is taken over.
const lostController = "n0"

// writeLedger writes the ledger of a failed controller. Nine in ten of its calls are established, the others have an attempt in
// progress.
func writeLedger(directory string, calls int, server, address string) (size uint64, err error) {
	disk, err := ledger.OpenDirectory(directory)
	if err != nil {
		return 0, err //nolint:wrapcheck // the error names its operation
	}
	l := ledger.New(disk, ledger.Options{Name: lostController, CommitTimeout: time.Minute, MaxSize: 1 << 30, SegmentSize: 1 << 30}, nil)
	if err := l.BeginEpochAndWait(nil, time.Minute); err != nil {
		return 0, err //nolint:wrapcheck // the error names its operation
	}
	now := time.Now().UnixMicro()
	for i := range calls {
		id := fmt.Sprintf("%016x", i+1)
		events := []recovery.Event{
			{Kind: recovery.KindAccepted, ID: id, AtUs: now, DeadlineUs: now + time.Minute.Microseconds(), Class: "send-setup", Called: "k", Description: sessionDescription, Token: recovery.HashToken("token")},
			{Kind: recovery.KindAttemptSent, ID: id, AtUs: now, Server: server, Address: address},
			{Kind: recovery.KindEstablished, ID: id, AtUs: now, Server: server, Address: address, Description: sessionDescription},
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
				return 0, err //nolint:wrapcheck // the error names its operation
			}
		}
	}
	if err := l.Commit(); err != nil {
		return 0, err //nolint:wrapcheck // the error names its operation
	}
	size = l.Metrics().Bytes
	return size, l.Close() //nolint:wrapcheck // the error names its operation
}

// measureTakeover measures a controller that takes over the calls of a failed one. No caller resumes a call, so it takes over all of them.
func measureTakeover(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := newFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	d, err := startDispatchers(1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	listed := entries(0, d.addresses())
	ledgers := filepath.Join(b.directory, "ledgers")
	bytes, err := writeLedger(filepath.Join(ledgers, lostController), size, listed[0].Name, listed[0].Address)
	if err != nil {
		return nil, err
	}
	c, err := b.startController(ctx, controllerOptions{dispatchers: listed, operatorSections: f.operatorSections()})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	start := time.Now()
	sealed, taken := time.Duration(0), time.Duration(0)
	var shown takeover.Status
	used, _, err := c.cpuDuring(func() error {
		return waitUntil(ctx, time.Minute, 5*time.Millisecond, func() bool {
			_, text, err := c.get(ctx, takeover.Path)
			if err != nil || json.Unmarshal(text, &shown) != nil {
				return c.hasEnded()
			}
			if shown.Sealed > 0 && sealed == 0 {
				sealed = time.Since(start)
			}
			taken = time.Since(start)
			return c.hasEnded() || int(shown.Found+shown.Expired) >= size
		})
	})
	if err != nil {
		return nil, fmt.Errorf("%w; %d of %d calls taken over, %d steps failed, last log line: %s", err, shown.Expired, size, shown.Failed, c.lastLogLine())
	}
	if c.hasEnded() {
		return nil, fmt.Errorf("capacity: the controller exited: %s", strings.TrimSpace(c.lastLogLine()))
	}
	var longestMs int64
	for _, t := range shown.Takeovers {
		longestMs = max(longestMs, t.TookMs)
	}
	return c.withResourceUsage([]Figure{
		{"ledger", "bytes", float64(bytes)},
		{"ledger sealed after", "ms", milliseconds(sealed)},
		{"calls laid out in", "ms", float64(longestMs)},
		{"all calls taken after", "ms", milliseconds(taken)},
		{"processor", "ms", milliseconds(used)},
	})
}
