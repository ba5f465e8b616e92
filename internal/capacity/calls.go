package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// callDispatchers are listed where their number is not what is measured.
	callDispatchers = 8
	// turn is how long calls go one way before they go the other.
	turn = time.Second
	// firstRelayed is the number of the first call over the relay.
	firstRelayed = 1 << 40
)

// way is one of the two ways that calls are sent turn about.
type way struct {
	*process
	*load
	used   time.Duration
	placed int
}

// takeTurn sends calls this way for a while.
func (w *way) takeTurn(ctx context.Context, perSecond int) error {
	used, _, err := w.cpuDuring(func() error {
		n, err := w.place(ctx, perSecond, turn)
		w.placed += n
		return err
	})
	w.used += used
	return err
}

// figures are what the calls of this way took.
func (w *way) figures(ctx context.Context, name string) ([]Figure, error) {
	left, err := w.unanswered(ctx)
	if err != nil {
		return nil, err
	}
	_, refused := w.counts()
	return append(append(w.latency(name), w.passage(name)...),
		Figure{name + " processor a call", "us", float64(w.used.Microseconds()) / float64(max(w.placed, 1))},
		Figure{name + " calls not answered", "", float64(left + refused)}), nil
}

// playCalls sends calls through the controller and through a plain relay, turn about.
func playCalls(ctx context.Context, b *bench, size int) ([]Figure, error) {
	controlled, relayed := &way{load: newLoad(0)}, &way{load: newLoad(firstRelayed)}
	defer controlled.load.close()
	defer relayed.load.close()
	d, err := dispatchStamped(callDispatchers, controlled.arrived)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c, err := b.control(ctx, site{known: entries(0, d.addresses())})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	target, err := echo(relayed.arrived)
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
	err = errors.Join(c.ready(ctx), pause(ctx, b.settleFor()))
	if err := errors.Join(err, controlled.connect(c.lines), relayed.connect(address)); err != nil {
		return nil, err
	}
	for begun := time.Now(); time.Since(begun) < 2*b.lasting; {
		if err := errors.Join(controlled.takeTurn(ctx, size), relayed.takeTurn(ctx, size)); err != nil {
			return nil, err
		}
	}
	figures, err := controlled.figures(ctx, "controller")
	if err != nil {
		return nil, err
	}
	more, err := relayed.figures(ctx, "relay")
	return append(append(figures, above(figures, more)...), more...), err
}

// above are the differences of all quantiles, which come first and in the same order.
func above(figures, less []Figure) []Figure {
	var all []Figure
	for i := range 2 * len(quantiles) {
		name := strings.TrimPrefix(figures[i].Name, "controller ") + " above the relay's"
		all = append(all, Figure{name, figures[i].Unit, figures[i].Value - less[i].Value})
	}
	return all
}

// decisionsPace is that of calls where the list's length is what is measured.
const decisionsPace = 200

// playDecisions sends calls through a controller with a long list.
func playDecisions(ctx context.Context, b *bench, size int) ([]Figure, error) {
	f, err := b.follow(ctx, size, 0, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.ready(ctx); err != nil {
		return nil, err
	}
	idle, _, err := f.cpuDuring(func() error { return pause(ctx, b.lasting) })
	if err != nil {
		return nil, err
	}
	l := newLoad(0)
	if err := l.connect(f.lines); err != nil {
		return nil, err
	}
	defer l.close()
	placed := 0
	used, _, err := f.cpuDuring(func() (err error) {
		placed, err = l.place(ctx, decisionsPace, b.lasting)
		return err
	})
	if err != nil {
		return nil, err
	}
	left, err := l.unanswered(ctx)
	_, refused := l.counts()
	return append(l.latency("controller"),
		Figure{"processor a call", "us", float64((used - idle).Microseconds()) / float64(placed)},
		Figure{"calls not answered", "", float64(left + refused)}), err
}

// syncs are the ways in which a ledger is kept; none at all is for comparison.
var syncs = []string{"off", "none", "interval", "always"}

// playLedger sends calls through a controller that keeps them in a ledger, for each way to sync it.
func playLedger(ctx context.Context, b *bench, size int) ([]Figure, error) {
	var figures []Figure
	for _, sync := range syncs {
		more, err := b.keptCalls(ctx, sync, size)
		if err != nil {
			return nil, fmt.Errorf("sync %s: %w", sync, err)
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

func (b *bench) keptCalls(ctx context.Context, sync string, perSecond int) ([]Figure, error) {
	d, err := dispatch(callDispatchers)
	if err != nil {
		return nil, err
	}
	defer d.close()
	s := site{known: entries(0, d.addresses())}
	if sync != "off" {
		s.operator = fmt.Sprintf("[ledger]\ndirectory = ledger-%s\nsync = %s\n", sync, sync)
	}
	c, err := b.control(ctx, s)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.ready(ctx); err != nil {
		return nil, err
	}
	l := newLoad(0)
	if err := l.connect(c.lines); err != nil {
		return nil, err
	}
	defer l.close()
	placed := 0
	used, _, err := c.cpuDuring(func() (err error) {
		placed, err = l.place(ctx, perSecond, b.lasting)
		return err
	})
	if err != nil {
		return nil, err
	}
	left, err := l.unanswered(ctx)
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
		Figure{sync + " bytes a call", "", c.telemetry(ctx, "ledger_bytes_total") / float64(placed)},
		Figure{sync + " commits a call", "", c.telemetry(ctx, "ledger_commits_total") / float64(placed)},
		Figure{sync + " times given up", "", c.telemetry(ctx, "ledger_failures_total")}), nil
}
