package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/peer"
)

const (
	// connectFactor bounds the wait for connections to all that are listed, in times of settling: not all need come.
	connectFactor = 10
	// mostAccepting is the longest list whose dispatchers all accept: each takes two descriptors of this process.
	mostAccepting = 4000
	megabyte      = 1 << 20
)

// followed is a controller that follows a coordinator.
type followed struct {
	*controller
	coordinator *coordinator
	dispatchers *dispatchers // nil if they refuse
	addresses   []string
}

func (f *followed) close() {
	f.stop()
	_ = f.coordinator.close() // what it had to tell is told
	if f.dispatchers != nil {
		_ = f.dispatchers.close() // likewise
	}
}

// follow starts a controller with a list of dispatchers that accept, and spare dispatchers beside the list. Where there are too many
// of them, all refuse.
func (b *bench) follow(ctx context.Context, listed, spare, rate int) (*followed, error) {
	f := &followed{}
	var err error
	if listed+spare <= mostAccepting {
		if f.dispatchers, err = dispatch(listed + spare); err != nil {
			return nil, err
		}
		f.addresses = f.dispatchers.addresses()
	} else {
		f.addresses = refusing(listed + spare)
	}
	if f.coordinator, err = coordinate(rate); err != nil {
		return nil, err
	}
	if f.controller, err = b.control(ctx, site{coordinator: f.coordinator.at, known: entries(0, f.addresses[:listed])}); err != nil {
		return nil, err
	}
	if err := f.settle(ctx, b, listed); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// settle waits until the list is known and connections are up, and then until what that caused is over.
func (f *followed) settle(ctx context.Context, b *bench, listed int) error {
	if err := f.knows(ctx, listed, startWithin); err != nil {
		return err
	}
	if f.dispatchers != nil {
		err := until(ctx, connectFactor*b.settleFor(), 5*time.Millisecond, func() bool { return int(f.dispatchers.open.Load()) >= listed })
		if err != nil && !errors.Is(err, errTimeout) { // a controller may connect to some of them only
			return err
		}
	}
	return pause(ctx, b.settleFor())
}

// playIdleLive measures a controller that has nothing to do but to know its dispatchers.
func playIdleLive(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	messages, bytes, accepted := f.dispatchers.messages.Load(), f.dispatchers.bytes.Load(), f.dispatchers.accepted.Load()
	share, err := f.share(ctx, b.lasting)
	if err != nil {
		return nil, err
	}
	seconds := b.lasting.Seconds()
	figures := []Figure{
		{"connections", "", float64(f.dispatchers.open.Load())},
		{"processor", "% of a core", share},
		{"messages", "a second", float64(f.dispatchers.messages.Load()-messages) / seconds},
		{"bytes", "a second", float64(f.dispatchers.bytes.Load()-bytes) / seconds},
		{"new connections", "a second", float64(f.dispatchers.accepted.Load()-accepted) / seconds},
	}
	return f.withHoldings(figures)
}

// withHoldings adds what the process holds: descriptors and memory.
func (p *process) withHoldings(figures []Figure) ([]Figure, error) {
	descriptors, err := p.descriptors()
	if err != nil {
		return nil, err
	}
	now, most, err := p.resident()
	return append(figures, Figure{"descriptors", "", float64(descriptors)}, Figure{"resident", "MB", float64(now) / megabyte},
		Figure{"resident at most", "MB", float64(most) / megabyte}), err
}

// playIdleRefusing measures a controller whose dispatchers all refuse connections. Dials are counted by the kernel for the whole
// machine; what others fail to dial is taken off, as it was before the controller began.
func playIdleRefusing(ctx context.Context, b *bench, size int) ([]Figure, error) {
	before, err := refusedDials(ctx, time.Second)
	if err != nil {
		return nil, err
	}
	dials := 0.0
	figures, err := b.idleWithout(ctx, refusing(size), func() (err error) {
		dials, err = refusedDials(ctx, b.lasting)
		return err
	})
	return append(figures, Figure{"dials", "a second", max(dials-before, 0)}), err
}

// playIdleSilent measures a controller whose dispatchers' machines are gone: connections to them never come up.
func playIdleSilent(ctx context.Context, b *bench, size int) ([]Figure, error) {
	silent, err := dispatchSilent(size)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, d := range silent {
		defer d.Die()
		addresses = append(addresses, d.Address())
	}
	return b.idleWithout(ctx, addresses, func() error { return pause(ctx, b.lasting) })
}

// dispatchSilent opens so many dispatchers to which no connection comes up. Each takes a while, so many are opened at once.
func dispatchSilent(n int) ([]*peer.Dispatcher, error) {
	const atOnce = 64
	all, failed := make([]*peer.Dispatcher, n), make([]error, n)
	places := make(chan struct{}, atOnce)
	var opening sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		opening.Go(func() {
			all[i], failed[i] = peer.DispatchLate("tcp", report)
			<-places
		})
	}
	opening.Wait()
	return all, errors.Join(failed...)
}

// idleWithout measures a controller that reaches none of its dispatchers, while something is done.
func (b *bench) idleWithout(ctx context.Context, addresses []string, do func() error) ([]Figure, error) {
	c, err := b.control(ctx, site{known: entries(0, addresses)})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := errors.Join(c.knows(ctx, len(addresses), startWithin), pause(ctx, b.settleFor())); err != nil {
		return nil, err
	}
	looking, stop := context.WithCancel(ctx)
	most := make(chan int, 1)
	go func() { most <- c.mostDescriptors(looking) }()
	used, took, err := c.cpuDuring(do)
	stop()
	figures := []Figure{{"processor", "% of a core", 100 * used.Seconds() / took.Seconds()}, {"descriptors at most", "", float64(<-most)}}
	if err != nil {
		return nil, err
	}
	return c.withHoldings(figures)
}

// mostDescriptors looks at the process until the context ends, and returns how many descriptors it had at most.
func (p *process) mostDescriptors(ctx context.Context) int {
	const pace = 20 * time.Millisecond
	most := 0
	for ctx.Err() == nil {
		n, err := p.descriptors()
		if err != nil {
			return most // it has ended
		}
		most = max(most, n)
		_ = pause(ctx, pace) // its end is seen above
	}
	return most
}

// refusedDials is how many connections a second are refused on this machine, while a time passes.
func refusedDials(ctx context.Context, lasting time.Duration) (float64, error) {
	before, err := attemptFails()
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	if err := pause(ctx, lasting); err != nil {
		return 0, err
	}
	after, err := attemptFails()
	return float64(after-before) / time.Since(begun).Seconds(), err
}

// attemptFails is the kernel's count of that name (RFC 4022): connections that ended before they came up.
func attemptFails() (int64, error) {
	text, err := os.ReadFile("/proc/net/snmp")
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	var names []string
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) == 0 || fields[0] != "Tcp:" {
			continue
		}
		if names == nil {
			names = fields
			continue
		}
		for i, name := range names {
			if name == "AttemptFails" && i < len(fields) {
				return strconv.ParseInt(fields[i], 10, 64) //nolint:wrapcheck // it says what it is
			}
		}
	}
	return 0, errors.New("capacity: /proc/net/snmp does not tell AttemptFails")
}

// playStart measures a start with a pool file. Its dispatchers refuse.
func playStart(ctx context.Context, b *bench, size int) ([]Figure, error) {
	var members []pool.Member
	for i, address := range refusing(size) {
		members = append(members, pool.Member{Address: address, ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s", i)), Cell: i % cells, Weight: 1, StartedAt: time.Hour}})
	}
	text := poolfile.Write("v1", members)
	if err := os.WriteFile(filepath.Join(b.directory, "pool.ini"), text, 0o600); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	begun := time.Now()
	c, err := b.control(ctx, site{operator: "[pool]\nfile = pool.ini\n"})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.knows(ctx, size, startWithin); err != nil {
		return nil, err
	}
	took := time.Since(begun)
	used, err := c.cpu()
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, b.lasting); err != nil {
		return nil, err
	}
	later, err := c.cpu()
	if err != nil {
		return nil, err
	}
	return c.withHoldings([]Figure{
		{"list known after", "s", took.Seconds()},
		{"processor until known", "s", used.Seconds()},
		{fmt.Sprintf("processor in the %v after", b.lasting), "s", (later - used).Seconds()},
		{"file", "bytes", float64(len(text))},
	})
}

// eventWithin is how long an event is waited for.
const eventWithin = 20 * time.Second

// playWholeList has a list of one replaced by a whole one.
func playWholeList(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, 1, size, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	held, err := watchLoop(f.lines)
	if err != nil {
		return nil, err
	}
	defer held.close()
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	before := held.reset()
	var length int
	used, took, err := f.cpuDuring(func() error {
		length, err = f.coordinator.publish(true, entries(1, f.addresses[:size]))
		return errors.Join(err, f.knows(ctx, size, eventWithin))
	})
	if err != nil {
		return nil, fmt.Errorf("%w; %d bytes, the stream was asked for %d times; logged: %s", err, length, f.coordinator.streams.Load(), f.lastLine())
	}
	later, _, err := f.cpuDuring(func() error { return pause(ctx, b.settleFor()) })
	return []Figure{
		{"bytes", "", float64(length)},
		{"in force after", "ms", milliseconds(took)},
		{"processor until in force", "ms", milliseconds(used)},
		{fmt.Sprintf("processor in the %v after", b.settleFor()), "ms", milliseconds(later)},
		{"longest wait for the loop", "ms", milliseconds(held.reset())},
		{"longest wait for the loop before", "ms", milliseconds(before)},
	}, err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// slowRate is what the deployment allows a controller for control, in bytes a second.
const slowRate = 16 << 10

// slowWithin is how long it is waited for there: twice the time in which a change is to be in force.
const slowWithin = 10 * time.Second

// playSlowList has a whole list come at the rate that the deployment allows.
func playSlowList(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, 1, size, slowRate)
	if err != nil {
		return nil, err
	}
	defer f.close()
	streams := f.coordinator.streams.Load()
	begun := time.Now()
	length, err := f.coordinator.publish(true, entries(1, f.addresses[:size]))
	if err != nil {
		return nil, err
	}
	arrived := 1.0
	err = f.knows(ctx, size, slowWithin)
	took := time.Since(begun)
	if errors.Is(err, errTimeout) {
		arrived, err = 0, nil
	}
	return []Figure{
		{"bytes", "", float64(length)},
		{"in force", "1 for yes", arrived},
		{"in force after, or given up after", "s", took.Seconds()},
		{"streams asked for anew", "", float64(f.coordinator.streams.Load() - streams)},
	}, err
}

// playOneChange adds dispatchers to a list, an event each.
func playOneChange(ctx context.Context, b *bench, size int) ([]Figure, error) {
	const timed, counted = 10, 40 // events whose time is taken, and events whose processor time is
	f, err := b.follow(ctx, size, timed+counted, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	added := entries(1, f.addresses[size:])
	var times []time.Duration
	for i := range timed {
		begun := time.Now()
		if _, err := f.coordinator.publish(false, added[i:i+1]); err != nil {
			return nil, err
		}
		if err := f.knows(ctx, size+i+1, eventWithin); err != nil {
			return nil, err
		}
		times = append(times, time.Since(begun))
	}
	if err := pause(ctx, b.settleFor()); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.lasting) })
	if err != nil {
		return nil, err
	}
	bytes := 0
	used, took, err := f.cpuDuring(func() error {
		for _, e := range added[timed:] {
			n, err := f.coordinator.publish(false, []entry{e})
			if err != nil {
				return err
			}
			bytes += n
			if err := pause(ctx, b.lasting/(counted+1)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	used -= time.Duration(float64(idle) * took.Seconds() / b.lasting.Seconds())
	return []Figure{
		{"in force after, median", "ms", milliseconds(median(times))},
		{"processor an event", "ms", milliseconds(used) / counted},
		{"bytes an event", "", float64(bytes) / counted},
	}, nil
}

// playReplace has a whole list replaced by another at the same addresses, with one more.
func playReplace(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, size, 1, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	held, err := watchLoop(f.lines)
	if err != nil {
		return nil, err
	}
	defer held.close()
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	before := held.reset()
	used, took, err := f.cpuDuring(func() error {
		if _, err := f.coordinator.publish(true, entries(1, f.addresses)); err != nil {
			return err
		}
		return f.knows(ctx, size+1, eventWithin)
	})
	if err != nil {
		return nil, err
	}
	later, _, err := f.cpuDuring(func() error { return pause(ctx, b.settleFor()) })
	return []Figure{
		{"in force after", "ms", milliseconds(took)},
		{"processor until in force", "ms", milliseconds(used)},
		{fmt.Sprintf("processor in the %v after", b.settleFor()), "ms", milliseconds(later)},
		{"longest wait for the loop", "ms", milliseconds(held.reset())},
		{"longest wait for the loop before", "ms", milliseconds(before)},
	}, err
}

// playReload has the settings read again with a list in force: some times to see when they are in force, and some times for the processor
// time, in which nothing is asked.
func playReload(ctx context.Context, b *bench, size int) ([]Figure, error) {
	const times = 5
	f, err := b.follow(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var took []time.Duration
	for i := range times {
		begun := time.Now()
		if err := f.controller.reload(); err != nil {
			return nil, err
		}
		if err := until(ctx, eventWithin, 5*time.Millisecond, func() bool { return int(f.telemetry(ctx, "reloads_ok_total")) == i+1 }); err != nil {
			return nil, err
		}
		took = append(took, time.Since(begun))
	}
	if err := pause(ctx, b.settleFor()); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.lasting) })
	if err != nil {
		return nil, err
	}
	used, _, err := f.cpuDuring(func() error {
		for range times {
			if err := errors.Join(f.controller.reload(), pause(ctx, b.lasting/times)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if n := int(f.telemetry(ctx, "reloads_ok_total")); n != 2*times {
		return nil, fmt.Errorf("capacity: %d of %d reloads came into force", n, 2*times)
	}
	return []Figure{
		{"in force after, median", "ms", milliseconds(median(took))},
		{"processor a reload", "ms", milliseconds(used-idle) / times},
	}, nil
}

// reporting is how many dispatchers tell their state where reports are measured.
const reporting = 200

// playReports has dispatchers tell their state unasked, so many a second in all.
func playReports(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, reporting, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	idle, err := f.share(ctx, b.lasting)
	if err != nil {
		return nil, err
	}
	links := f.dispatchers.connections()
	if len(links) == 0 {
		return nil, errors.New("capacity: no connections to tell a state on")
	}
	told := 0
	used, took, err := f.cpuDuring(func() error {
		for begun := time.Now(); time.Since(begun) < b.lasting; {
			due := int(time.Since(begun).Seconds() * float64(size))
			for ; told < due; told++ {
				if err := tell(links[told%len(links)], told); err != nil {
					return err
				}
			}
			if err := pause(ctx, time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	share := 100 * used.Seconds() / took.Seconds()
	return []Figure{
		{"processor", "% of a core", share},
		{"processor a report", "us", 1e6 * (share - idle) / 100 * took.Seconds() / float64(max(told, 1))},
		{"reports told", "a second", float64(told) / took.Seconds()},
	}, nil
}
