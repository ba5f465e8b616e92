package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// dispatcherCount are listed where their number is not what is measured.
	dispatcherCount = 8
	// phaseTime is how long calls go one way before they go the other.
	phaseTime = time.Second
	// firstRelayedCall is the number of the first call over the relay.
	firstRelayedCall = 1 << 40
)

// route is one of the two ways that calls are sent turn about.
type route struct {
	*process
	*load
	cpuTime time.Duration
	placed  int
}

// runPhase sends calls this way for a while.
func (w *route) runPhase(ctx context.Context, perSecond int) error {
	used, _, err := w.cpuDuring(func() error {
		n, err := w.placeCalls(ctx, perSecond, phaseTime)
		w.placed += n
		return err
	})
	w.cpuTime += used
	return err
}

// measuredFigures are what the calls of this way took.
func (w *route) measuredFigures(ctx context.Context, name string) ([]Figure, error) {
	left, err := w.countUnanswered(ctx)
	if err != nil {
		return nil, err
	}
	_, refused := w.counts()
	return append(append(w.latency(name), w.forwardTime(name)...),
		Figure{name + " processor a call", "us", float64(w.cpuTime.Microseconds()) / float64(max(w.placed, 1))},
		Figure{name + " calls not answered", "", float64(left + refused)}), nil
}

// measureCalls sends calls through the controller and through a plain relay, turn about.
func measureCalls(ctx context.Context, b *bench, size int) ([]Figure, error) {
	controlled, relayed := &route{load: newLoad(0)}, &route{load: newLoad(firstRelayedCall)}
	defer controlled.load.close()
	defer relayed.load.close()
	d, err := startStampedDispatchers(dispatcherCount, controlled.recordArrival)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := b.startController(ctx, controllerOptions{dispatchers: entries(0, d.addresses())})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	target, err := startEchoServer(relayed.recordArrival)
	if err != nil {
		return nil, err
	}
	defer target.Close()
	relaying, address, err := b.startRelay(ctx, target.Addr().String())
	if err != nil {
		return nil, err
	}
	defer relaying.stop()
	controlled.process, relayed.process = c.process, relaying
	err = errors.Join(c.waitReady(ctx), pause(ctx, b.settleTime()))
	if err := errors.Join(err, controlled.connect(c.listenAddress), relayed.connect(address)); err != nil {
		return nil, err
	}
	for start := time.Now(); time.Since(start) < 2*b.window; {
		if err := errors.Join(controlled.runPhase(ctx, size), relayed.runPhase(ctx, size)); err != nil {
			return nil, err
		}
	}
	figures, err := controlled.measuredFigures(ctx, "controller")
	if err != nil {
		return nil, err
	}
	more, err := relayed.measuredFigures(ctx, "relay")
	return append(append(figures, differences(figures, more)...), more...), err
}

// differences are the differences of all quantiles, which come first and in the same order.
func differences(figures, less []Figure) []Figure {
	var all []Figure
	for i := range 2 * len(quantiles) {
		name := strings.TrimPrefix(figures[i].Name, "controller ") + " above the relay's"
		all = append(all, Figure{name, figures[i].Unit, figures[i].Value - less[i].Value})
	}
	return all
}

// decisionsCallRate is that of calls where the list's length is what is measured.
const decisionsCallRate = 200

// measureDecisions sends calls through a controller with a long list.
func measureDecisions(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.startFollower(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.waitReady(ctx); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.window) })
	if err != nil {
		return nil, err
	}
	l := newLoad(0)
	if err := l.connect(f.listenAddress); err != nil {
		return nil, err
	}
	defer l.close()
	placed := 0
	used, _, err := f.cpuDuring(func() (err error) {
		placed, err = l.placeCalls(ctx, decisionsCallRate, b.window)
		return err
	})
	if err != nil {
		return nil, err
	}
	left, err := l.countUnanswered(ctx)
	_, refused := l.counts()
	return append(l.latency("controller"),
		Figure{"processor a call", "us", float64((used - idle).Microseconds()) / float64(placed)},
		Figure{"calls not answered", "", float64(left + refused)}), err
}

// syncModes are the ways in which a ledger is kept; none at all is for comparison.
var syncModes = []string{"off", "none", "interval", "always"}

// measureLedger sends calls through a controller that keeps them in a ledger, for each way to sync it.
func measureLedger(ctx context.Context, b *bench, size int) ([]Figure, error) {
	var figures []Figure
	for _, sync := range syncModes {
		more, err := b.measureSyncMode(ctx, sync, size)
		if err != nil {
			return nil, fmt.Errorf("sync %s: %w", sync, err)
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

func (b *bench) measureSyncMode(ctx context.Context, sync string, perSecond int) ([]Figure, error) {
	d, err := startDispatchers(dispatcherCount)
	if err != nil {
		return nil, err
	}
	defer d.close()
	s := controllerOptions{dispatchers: entries(0, d.addresses())}
	if sync != "off" {
		s.operatorSections = fmt.Sprintf("[ledger]\ndirectory = ledger-%s\nsync = %s\n", sync, sync)
	}
	c, err := b.startController(ctx, s)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	l := newLoad(0)
	if err := l.connect(c.listenAddress); err != nil {
		return nil, err
	}
	defer l.close()
	placed := 0
	used, _, err := c.cpuDuring(func() (err error) {
		placed, err = l.placeCalls(ctx, perSecond, b.window)
		return err
	})
	if err != nil {
		return nil, err
	}
	left, err := l.countUnanswered(ctx)
	if err != nil {
		return nil, err
	}
	_, refused := l.counts()
	figures := append(l.latency(sync),
		Figure{sync + " processor a call", "us", float64(used.Microseconds()) / float64(placed)},
		Figure{sync + " calls not answered", "", float64(left + refused)})
	if sync == "off" {
		return figures, nil
	}
	return append(figures,
		Figure{sync + " bytes a call", "", c.metric(ctx, "ledger_bytes_total") / float64(placed)},
		Figure{sync + " commits a call", "", c.metric(ctx, "ledger_commits_total") / float64(placed)},
		Figure{sync + " times given up", "", c.metric(ctx, "ledger_failures_total")}), nil
}
