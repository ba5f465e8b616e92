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
	// connectTimeoutFactor times the settle time is the timeout for connections to all listed dispatchers. It may expire: a controller
	// need not connect to all of them.
	connectTimeoutFactor = 10
	// maxAccepting is the largest number of dispatchers that accept connections: each needs two descriptors of this process.
	maxAccepting = 4000
	megabyte     = 1 << 20
)

// follower is a controller that gets its list from a coordinator.
type follower struct {
	*controller
	coordinator *coordinator
	dispatchers *dispatchers // nil if the addresses refuse connections
	addresses   []string
}

// close stops the controller, the coordinator and the dispatchers.
func (f *follower) close() {
	f.stop()
	_ = f.coordinator.close() // an error does not affect the measurement
	if f.dispatchers != nil {
		_ = f.dispatchers.close() // as above
	}
}

// startFollower starts a controller with a list of dispatchers that accept connections, and spare dispatchers that are not listed. If
// there are more than maxAccepting in total, all of them refuse connections.
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

// waitSettled waits until the list is active and its dispatchers are connected, and then for the settle time.
func (f *follower) waitSettled(ctx context.Context, b *bench, listed int) error {
	if err := f.waitForList(ctx, listed, startTimeout); err != nil {
		return err
	}
	if f.dispatchers != nil {
		err := waitUntil(ctx, connectTimeoutFactor*b.settleTime(), 5*time.Millisecond, func() bool { return int(f.dispatchers.open.Load()) >= listed })
		if err != nil && !errors.Is(err, errTimeout) { // a controller may connect to only some of them
			return err
		}
	}
	return pause(ctx, b.settleTime())
}

// measureIdleLive measures a controller with connected dispatchers and no calls.
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

// withResourceUsage appends the descriptors and the memory of the process.
func (p *process) withResourceUsage(figures []Figure) ([]Figure, error) {
	descriptors, err := p.descriptors()
	if err != nil {
		return nil, err
	}
	now, peak, err := p.residentMemory()
	return append(figures, Figure{"descriptors", "", float64(descriptors)}, Figure{"resident", "MB", float64(now) / megabyte},
		Figure{"resident at most", "MB", float64(peak) / megabyte}), err
}

// measureIdleRefusing measures a controller whose dispatchers all refuse connections. The kernel counts failed dials for the whole
// machine, so the rate before the start of the controller is subtracted.
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

// measureIdleSilent measures a controller whose dispatchers do not respond: connections to them are never established.
func measureIdleSilent(ctx context.Context, b *bench, size int) ([]Figure, error) {
	unreachable, err := startUnreachableDispatchers(size)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, d := range unreachable {
		defer d.Kill()
		addresses = append(addresses, d.Address())
	}
	return b.measureUnreachable(ctx, addresses, func() error { return pause(ctx, b.window) })
}

// startUnreachableDispatchers starts n dispatchers to which no connection can be established. Starting one takes some time, so several
// are started concurrently.
func startUnreachableDispatchers(n int) ([]*peer.Dispatcher, error) {
	const maxConcurrent = 64
	all, errs := make([]*peer.Dispatcher, n), make([]error, n)
	slots := make(chan struct{}, maxConcurrent)
	var opening sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		opening.Go(func() {
			all[i], errs[i] = peer.NewFullBacklogDispatcher("tcp", reportedState)
			<-slots
		})
	}
	opening.Wait()
	return all, errors.Join(errs...)
}

// measureUnreachable measures a controller that cannot connect to any of its dispatchers, for as long as the action runs.
func (b *bench) measureUnreachable(ctx context.Context, addresses []string, action func() error) ([]Figure, error) {
	c, err := b.startController(ctx, controllerOptions{dispatchers: entries(0, addresses)})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := errors.Join(c.waitForList(ctx, len(addresses), startTimeout), pause(ctx, b.settleTime())); err != nil {
		return nil, err
	}
	pollCtx, stop := context.WithCancel(ctx)
	peak := make(chan int, 1)
	go func() { peak <- c.maxDescriptors(pollCtx) }()
	used, took, err := c.cpuDuring(action)
	stop()
	figures := []Figure{{"processor", "% of a core", 100 * used.Seconds() / took.Seconds()}, {"descriptors at most", "", float64(<-peak)}}
	if err != nil {
		return nil, err
	}
	return c.withResourceUsage(figures)
}

// maxDescriptors polls the process until the context ends, and returns the largest number of open descriptors.
func (p *process) maxDescriptors(ctx context.Context) int {
	const interval = 20 * time.Millisecond
	peak := 0
	for ctx.Err() == nil {
		n, err := p.descriptors()
		if err != nil {
			return peak // the process has ended
		}
		peak = max(peak, n)
		_ = pause(ctx, interval) // the loop condition checks ctx
	}
	return peak
}

// refusedDialRate returns the number of refused connections per second on this machine, measured over a duration.
func refusedDialRate(ctx context.Context, duration time.Duration) (float64, error) {
	before, err := attemptFails()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := pause(ctx, duration); err != nil {
		return 0, err
	}
	after, err := attemptFails()
	return float64(after-before) / time.Since(start).Seconds(), err
}

// attemptFails returns the counter AttemptFails of the kernel (RFC 4022): connections that failed before they were established.
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
				return strconv.ParseInt(fields[i], 10, 64) //nolint:wrapcheck // the error names its operation
			}
		}
	}
	return 0, errors.New("capacity: /proc/net/snmp has no field AttemptFails")
}

// measureStart measures the start of a controller with a pool file, whose servers refuse connections.
func measureStart(ctx context.Context, b *bench, size int) ([]Figure, error) {
	var members []pool.Member
	for i, address := range refusingAddresses(size) {
		members = append(members, pool.Member{Address: address, ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s", i)), Cell: i % cells, Weight: 1, StartedAt: time.Hour}})
	}
	text := poolfile.Encode("v1", members)
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

// eventTimeout is the time by which an event must take effect.
const eventTimeout = 20 * time.Second

// measureWholeList measures one event that replaces a list of one dispatcher by a whole list.
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
		return nil, fmt.Errorf("%w; %d bytes, %d requests for the stream, last log line: %s", err, length, f.coordinator.streams.Load(), f.lastLogLine())
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

// slowListRate is the bandwidth of a controller for control traffic in the deployment, in bytes per second.
const slowListRate = 16 << 10

// slowListTimeout is twice the time in which a change must become active.
const slowListTimeout = 10 * time.Second

// measureSlowList measures one event with a whole list at slowListRate. A list that does not become active in time is a result, not an
// error.
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
	active := 1.0
	err = f.waitForList(ctx, size, slowListTimeout)
	took := time.Since(start)
	if errors.Is(err, errTimeout) {
		active, err = 0, nil
	}
	return []Figure{
		{"bytes", "", float64(length)},
		{"in force", "1 for yes", active},
		{"in force after, or given up after", "s", took.Seconds()},
		{"streams asked for anew", "", float64(f.coordinator.streams.Load() - streams)},
	}, err
}

// measureOneChange measures events that each add one dispatcher to a list.
func measureOneChange(ctx context.Context, b *bench, size int) ([]Figure, error) {
	const timed, counted = 10, 40 // events for the latency, and events for the processor time
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

// measureReplace measures one event that replaces the whole list by one with the same addresses, other names and one more dispatcher.
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

// measureReload measures reloads of the configuration with an active list. A first series measures the time until a reload takes effect.
// A second one measures the processor time, without requests for metrics, which would add to it.
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
		return nil, fmt.Errorf("capacity: %d of %d reloads took effect", n, 2*times)
	}
	return []Figure{
		{"in force after, median", "ms", milliseconds(median(took))},
		{"processor a reload", "ms", milliseconds(used-idle) / times},
	}, nil
}

// reportingDispatchers is the number of dispatchers in measureReports.
const reportingDispatchers = 200

// measureReports measures unsolicited state reports of dispatchers; the size is their total number per second.
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
	conns := f.dispatchers.connections()
	if len(conns) == 0 {
		return nil, errors.New("capacity: no connections for the reports")
	}
	sent := 0
	used, took, err := f.cpuDuring(func() error {
		for start := time.Now(); time.Since(start) < b.window; {
			due := int(time.Since(start).Seconds() * float64(size))
			for ; sent < due; sent++ {
				if err := sendReport(conns[sent%len(conns)], sent); err != nil {
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
		{"processor a report", "us", 1e6 * (share - idle) / 100 * took.Seconds() / float64(max(sent, 1))},
		{"reports told", "a second", float64(sent) / took.Seconds()},
	}, nil
}
