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
	// connectTimeoutFactor bounds the wait for connections to all that are listed, in times of settling: not all need come.
	connectTimeoutFactor = 10
	// maxAccepting is the longest list whose dispatchers all accept: each takes two descriptors of this process.
	maxAccepting = 4000
	megabyte     = 1 << 20
)

// follower is a controller that follows a coordinator.
type follower struct {
	*controller
	coordinator *coordinator
	dispatchers *dispatchers // nil if they refuse
	addresses   []string
}

func (f *follower) close() {
	f.stop()
	_ = f.coordinator.close() // what it had to tell is told
	if f.dispatchers != nil {
		_ = f.dispatchers.close() // likewise
	}
}

// startFollower starts a controller with a list of dispatchers that accept, and spare dispatchers beside the list. Where there are too many
// of them, all refuse.
func (b *bench) startFollower(ctx context.Context, listed, spare, rate int) (*follower, error) {
	f := &follower{}
	var err error
	if listed+spare <= maxAccepting {
		if f.dispatchers, err = startDispatchers(listed + spare); err != nil {
			return nil, err
		}
		f.addresses = f.dispatchers.addresses()
	} else {
		f.addresses = refusingAddresses(listed + spare)
	}
	if f.coordinator, err = startCoordinator(rate); err != nil {
		return nil, err
	}
	if f.controller, err = b.startController(ctx, controllerOptions{coordinator: f.coordinator.address, dispatchers: entries(0, f.addresses[:listed])}); err != nil {
		return nil, err
	}
	if err := f.waitSettled(ctx, b, listed); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// waitSettled waits until the list is known and connections are up, and then until what that caused is over.
func (f *follower) waitSettled(ctx context.Context, b *bench, listed int) error {
	if err := f.waitForList(ctx, listed, startTimeout); err != nil {
		return err
	}
	if f.dispatchers != nil {
		err := waitUntil(ctx, connectTimeoutFactor*b.settleTime(), 5*time.Millisecond, func() bool { return int(f.dispatchers.open.Load()) >= listed })
		if err != nil && !errors.Is(err, errTimeout) { // a controller may connect to some of them only
			return err
		}
	}
	return pause(ctx, b.settleTime())
}

// measureIdleLive measures a controller that has nothing to do but to know its dispatchers.
func measureIdleLive(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	messages, bytes, accepted := f.dispatchers.messages.Load(), f.dispatchers.bytes.Load(), f.dispatchers.accepted.Load()
	share, err := f.cpuPercent(ctx, b.window)
	if err != nil {
		return nil, err
	}
	seconds := b.window.Seconds()
	figures := []Figure{
		{"connections", "", float64(f.dispatchers.open.Load())},
		{"processor", "% of a core", share},
		{"messages", "a second", float64(f.dispatchers.messages.Load()-messages) / seconds},
		{"bytes", "a second", float64(f.dispatchers.bytes.Load()-bytes) / seconds},
		{"new connections", "a second", float64(f.dispatchers.accepted.Load()-accepted) / seconds},
	}
	return f.withResourceUsage(figures)
}

// withResourceUsage adds what the process holds: descriptors and memory.
func (p *process) withResourceUsage(figures []Figure) ([]Figure, error) {
	descriptors, err := p.descriptors()
	if err != nil {
		return nil, err
	}
	now, most, err := p.residentMemory()
	return append(figures, Figure{"descriptors", "", float64(descriptors)}, Figure{"resident", "MB", float64(now) / megabyte},
		Figure{"resident at most", "MB", float64(most) / megabyte}), err
}

// measureIdleRefusing measures a controller whose dispatchers all refuse connections. Dials are counted by the kernel for the whole
// machine; what others fail to dial is taken off, as it was before the controller began.
func measureIdleRefusing(ctx context.Context, b *bench, size int) ([]Figure, error) {
	before, err := refusedDialRate(ctx, time.Second)
	if err != nil {
		return nil, err
	}
	dials := 0.0
	figures, err := b.measureUnreachable(ctx, refusingAddresses(size), func() (err error) {
		dials, err = refusedDialRate(ctx, b.window)
		return err
	})
	return append(figures, Figure{"dials", "a second", max(dials-before, 0)}), err
}

// measureIdleSilent measures a controller whose dispatchers' machines are gone: connections to them never come up.
func measureIdleSilent(ctx context.Context, b *bench, size int) ([]Figure, error) {
	silent, err := startUnreachableDispatchers(size)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, d := range silent {
		defer d.Die()
		addresses = append(addresses, d.Address())
	}
	return b.measureUnreachable(ctx, addresses, func() error { return pause(ctx, b.window) })
}

// startUnreachableDispatchers opens so many dispatchers to which no connection comes up. Each takes a while, so many are opened at once.
func startUnreachableDispatchers(n int) ([]*peer.Dispatcher, error) {
	const atOnce = 64
	all, failed := make([]*peer.Dispatcher, n), make([]error, n)
	slots := make(chan struct{}, atOnce)
	var opening sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		opening.Go(func() {
			all[i], failed[i] = peer.DispatchLate("tcp", reportedState)
			<-slots
		})
	}
	opening.Wait()
	return all, errors.Join(failed...)
}

// measureUnreachable measures a controller that reaches none of its dispatchers, while something is done.
func (b *bench) measureUnreachable(ctx context.Context, addresses []string, do func() error) ([]Figure, error) {
	c, err := b.startController(ctx, controllerOptions{dispatchers: entries(0, addresses)})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := errors.Join(c.waitForList(ctx, len(addresses), startTimeout), pause(ctx, b.settleTime())); err != nil {
		return nil, err
	}
	polling, stop := context.WithCancel(ctx)
	most := make(chan int, 1)
	go func() { most <- c.maxDescriptors(polling) }()
	used, took, err := c.cpuDuring(do)
	stop()
	figures := []Figure{{"processor", "% of a core", 100 * used.Seconds() / took.Seconds()}, {"descriptors at most", "", float64(<-most)}}
	if err != nil {
		return nil, err
	}
	return c.withResourceUsage(figures)
}

// maxDescriptors looks at the process until the context ends, and returns how many descriptors it had at most.
func (p *process) maxDescriptors(ctx context.Context) int {
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

// refusedDialRate is how many connections a second are refused on this machine, while a time passes.
func refusedDialRate(ctx context.Context, lasting time.Duration) (float64, error) {
	before, err := attemptFails()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := pause(ctx, lasting); err != nil {
		return 0, err
	}
	after, err := attemptFails()
	return float64(after-before) / time.Since(start).Seconds(), err
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

// measureStart measures a start with a pool file. Its dispatchers refuse.
func measureStart(ctx context.Context, b *bench, size int) ([]Figure, error) {
	var members []pool.Member
	for i, address := range refusingAddresses(size) {
		members = append(members, pool.Member{Address: address, ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s", i)), Cell: i % cells, Weight: 1, StartedAt: time.Hour}})
	}
	text := poolfile.Write("v1", members)
	if err := os.WriteFile(filepath.Join(b.directory, "pool.ini"), text, 0o600); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	start := time.Now()
	c, err := b.startController(ctx, controllerOptions{operatorSections: "[pool]\nfile = pool.ini\n"})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.waitForList(ctx, size, startTimeout); err != nil {
		return nil, err
	}
	took := time.Since(start)
	used, err := c.cpu()
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, b.window); err != nil {
		return nil, err
	}
	later, err := c.cpu()
	if err != nil {
		return nil, err
	}
	return c.withResourceUsage([]Figure{
		{"list known after", "s", took.Seconds()},
		{"processor until known", "s", used.Seconds()},
		{fmt.Sprintf("processor in the %v after", b.window), "s", (later - used).Seconds()},
		{"file", "bytes", float64(len(text))},
	})
}

// eventTimeout is how long an event is waited for.
const eventTimeout = 20 * time.Second

// measureWholeList has a list of one replaced by a whole one.
func measureWholeList(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, 1, size, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	loop, err := startLoopWatch(f.listenAddress)
	if err != nil {
		return nil, err
	}
	defer loop.close()
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	before := loop.reset()
	var length int
	used, took, err := f.cpuDuring(func() error {
		length, err = f.coordinator.publish(true, entries(1, f.addresses[:size]))
		return errors.Join(err, f.waitForList(ctx, size, eventTimeout))
	})
	if err != nil {
		return nil, fmt.Errorf("%w; %d bytes, the stream was asked for %d times; logged: %s", err, length, f.coordinator.streams.Load(), f.lastLogLine())
	}
	later, _, err := f.cpuDuring(func() error { return pause(ctx, b.settleTime()) })
	return []Figure{
		{"bytes", "", float64(length)},
		{"in force after", "ms", milliseconds(took)},
		{"processor until in force", "ms", milliseconds(used)},
		{fmt.Sprintf("processor in the %v after", b.settleTime()), "ms", milliseconds(later)},
		{"longest wait for the loop", "ms", milliseconds(loop.reset())},
		{"longest wait for the loop before", "ms", milliseconds(before)},
	}, err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// slowListRate is what the deployment allows a controller for control, in bytes a second.
const slowListRate = 16 << 10

// slowListTimeout is how long it is waited for there: twice the time in which a change is to be in force.
const slowListTimeout = 10 * time.Second

// measureSlowList has a whole list come at the rate that the deployment allows.
func measureSlowList(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, 1, size, slowListRate)
	if err != nil {
		return nil, err
	}
	defer f.close()
	streams := f.coordinator.streams.Load()
	start := time.Now()
	length, err := f.coordinator.publish(true, entries(1, f.addresses[:size]))
	if err != nil {
		return nil, err
	}
	arrived := 1.0
	err = f.waitForList(ctx, size, slowListTimeout)
	took := time.Since(start)
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

// measureOneChange adds dispatchers to a list, an event each.
func measureOneChange(ctx context.Context, b *bench, size int) ([]Figure, error) {
	const timed, counted = 10, 40 // events whose time is taken, and events whose processor time is
	f, err := b.startFollower(ctx, size, timed+counted, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	added := entries(1, f.addresses[size:])
	var times []time.Duration
	for i := range timed {
		start := time.Now()
		if _, err := f.coordinator.publish(false, added[i:i+1]); err != nil {
			return nil, err
		}
		if err := f.waitForList(ctx, size+i+1, eventTimeout); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	if err := pause(ctx, b.settleTime()); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.window) })
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
			if err := pause(ctx, b.window/(counted+1)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	used -= time.Duration(float64(idle) * took.Seconds() / b.window.Seconds())
	return []Figure{
		{"in force after, median", "ms", milliseconds(median(times))},
		{"processor an event", "ms", milliseconds(used) / counted},
		{"bytes an event", "", float64(bytes) / counted},
	}, nil
}

// measureReplace has a whole list replaced by another at the same addresses, with one more.
func measureReplace(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, size, 1, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	loop, err := startLoopWatch(f.listenAddress)
	if err != nil {
		return nil, err
	}
	defer loop.close()
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	before := loop.reset()
	used, took, err := f.cpuDuring(func() error {
		if _, err := f.coordinator.publish(true, entries(1, f.addresses)); err != nil {
			return err
		}
		return f.waitForList(ctx, size+1, eventTimeout)
	})
	if err != nil {
		return nil, err
	}
	later, _, err := f.cpuDuring(func() error { return pause(ctx, b.settleTime()) })
	return []Figure{
		{"in force after", "ms", milliseconds(took)},
		{"processor until in force", "ms", milliseconds(used)},
		{fmt.Sprintf("processor in the %v after", b.settleTime()), "ms", milliseconds(later)},
		{"longest wait for the loop", "ms", milliseconds(loop.reset())},
		{"longest wait for the loop before", "ms", milliseconds(before)},
	}, err
}

// measureReload has the settings read again with a list in force: some times to see when they are in force, and some times for the processor
// time, in which nothing is asked.
func measureReload(ctx context.Context, b *bench, size int) ([]Figure, error) {
	const times = 5
	f, err := b.startFollower(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var took []time.Duration
	for i := range times {
		start := time.Now()
		if err := f.controller.reload(); err != nil {
			return nil, err
		}
		if err := waitUntil(ctx, eventTimeout, 5*time.Millisecond, func() bool { return int(f.metric(ctx, "reloads_ok_total")) == i+1 }); err != nil {
			return nil, err
		}
		took = append(took, time.Since(start))
	}
	if err := pause(ctx, b.settleTime()); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.window) })
	if err != nil {
		return nil, err
	}
	used, _, err := f.cpuDuring(func() error {
		for range times {
			if err := errors.Join(f.controller.reload(), pause(ctx, b.window/times)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if n := int(f.metric(ctx, "reloads_ok_total")); n != 2*times {
		return nil, fmt.Errorf("capacity: %d of %d reloads came into force", n, 2*times)
	}
	return []Figure{
		{"in force after, median", "ms", milliseconds(median(took))},
		{"processor a reload", "ms", milliseconds(used-idle) / times},
	}, nil
}

// reportingDispatchers is how many dispatchers tell their state where reports are measured.
const reportingDispatchers = 200

// measureReports has dispatchers tell their state unasked, so many a second in all.
func measureReports(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, reportingDispatchers, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	idle, err := f.cpuPercent(ctx, b.window)
	if err != nil {
		return nil, err
	}
	links := f.dispatchers.connections()
	if len(links) == 0 {
		return nil, errors.New("capacity: no connections to tell a state on")
	}
	told := 0
	used, took, err := f.cpuDuring(func() error {
		for start := time.Now(); time.Since(start) < b.window; {
			due := int(time.Since(start).Seconds() * float64(size))
			for ; told < due; told++ {
				if err := sendReport(links[told%len(links)], told); err != nil {
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
