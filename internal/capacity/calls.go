package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// dispatcherCount is the length of the list in measurements that do not vary it.
	dispatcherCount = 8
	// phaseTime is how long calls take one route before they alternate to the other.
	phaseTime = time.Second
	// firstRelayedCall offsets the numbers of the calls over the relay, so that they differ from those of the controller.
	firstRelayedCall = 1 << 40
)

// route is one of the two alternating paths of calls: through the controller or through the plain relay.
type route struct {
	*process
	*load
	cpuTime time.Duration
	placed  int
}

// runPhase places calls on this route for phaseTime and adds up the processor time of its process.
func (r *route) runPhase(ctx context.Context, perSecond int) error {
	used, _, err := r.cpuDuring(func() error {
		n, err := r.placeCalls(ctx, perSecond, phaseTime)
		r.placed += n
		return err
	})
	r.cpuTime += used
	return err
}

// measuredFigures returns the latencies, the processor time per call and the number of unanswered calls of this route.
func (r *route) measuredFigures(ctx context.Context, name string) ([]Figure, error) {
	unanswered, err := r.countUnanswered(ctx)
	if err != nil {
		return nil, err
	}
	_, refused := r.counts()
	return append(append(r.latency(name), r.forwardTime(name)...),
		Figure{name + " processor a call", "us", float64(r.cpuTime.Microseconds()) / float64(max(r.placed, 1))},
		Figure{name + " calls not answered", "", float64(unanswered + refused)}), nil
}

// measureCalls sends calls alternately through the controller and through a plain relay.
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
	relayProcess, address, err := b.startRelay(ctx, target.Addr().String())
	if err != nil {
		return nil, err
	}
	defer relayProcess.stop()
	controlled.process, relayed.process = c.process, relayProcess
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

// differences subtracts the latency quantiles of the relay from those of the controller. Both lists begin with them in the same order.
func differences(controlled, relayed []Figure) []Figure {
	var all []Figure
	for i := range 2 * len(quantiles) {
		name := strings.TrimPrefix(controlled[i].Name, "controller ") + " above the relay's"
		all = append(all, Figure{name, controlled[i].Unit, controlled[i].Value - relayed[i].Value})
	}
	return all
}

// decisionsCallRate is the number of calls per second in measureDecisions, which varies the length of the list.
const decisionsCallRate = 200

// measureDecisions measures calls through a controller by the length of its list.
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
	unanswered, err := l.countUnanswered(ctx)
	_, refused := l.counts()
	return append(l.latency("controller"),
		Figure{"processor a call", "us", float64((used - idle).Microseconds()) / float64(placed)},
		Figure{"calls not answered", "", float64(unanswered + refused)}), err
}

// syncModes are the sync settings of the ledger. With "off" there is no ledger, as the baseline.
var syncModes = []string{"off", "none", "interval", "always"}

// measureLedger measures calls through a controller that records them in a ledger, once for each sync mode.
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

// measureSyncMode measures calls with a ledger in one sync mode.
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
	unanswered, err := l.countUnanswered(ctx)
	if err != nil {
		return nil, err
	}
	_, refused := l.counts()
	figures := append(l.latency(sync),
		Figure{sync + " processor a call", "us", float64(used.Microseconds()) / float64(placed)},
		Figure{sync + " calls not answered", "", float64(unanswered + refused)})
	if sync == "off" {
		return figures, nil
	}
	return append(figures,
		Figure{sync + " bytes a call", "", c.metric(ctx, "ledger_bytes_total") / float64(placed)},
		Figure{sync + " commits a call", "", c.metric(ctx, "ledger_commits_total") / float64(placed)},
		Figure{sync + " times given up", "", c.metric(ctx, "ledger_failures_total")}), nil
}
