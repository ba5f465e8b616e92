package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"cherryrelay/internal/logs"
	"cherryrelay/internal/peer"
)

// Action is the kind of an Order.
type Action string

// The actions.
const (
	StartControllers Action = "start"
	StopControllers  Action = "stop"
	ReloadSettings   Action = "reload"
	OpenDispatchers  Action = "open"  // at the addresses in Order.Dispatchers
	CloseDispatchers Action = "close" // they reset their connections and refuse new ones
	ReportState      Action = "look"  // only reports the state
)

// Order is a request to a worker process, one line of JSON.
type Order struct {
	Action            Action            `json:"action"`
	Config            string            `json:"config,omitempty"`
	Specs             []ControllerSpec  `json:"specs,omitempty"`
	Names             []string          `json:"names,omitempty"`       // of controllers or dispatchers
	Crashed           bool              `json:"lost,omitempty"`        // whether StopControllers stops as in a crash, without a notification of the store
	Dispatchers       map[string]string `json:"dispatchers,omitempty"` // addresses by name
	ControllersToPoll int               `json:"members,omitempty"`     // number of controllers whose known members are counted
}

// Reply is the response to an Order, one line of JSON. Every reply contains the state of the process, whatever the action.
type Reply struct {
	Error               string          `json:"error,omitempty"`
	Controllers         int             `json:"controllers"`
	Joined              int             `json:"joined"`
	MinMembers          int             `json:"least_members"` // smallest number of members that a polled controller knows
	Applied             []AppliedChange `json:"applied"`       // changes applied since the last reply
	FailedDials         int64           `json:"failed"`        // failed dials, as logged by controllers
	Connections         int             `json:"connections"`   // open connections at dispatchers
	AcceptedConnections int64           `json:"accepted"`      // connections accepted by dispatchers
	PolledControllers   int             `json:"members_asked"`
	ReloadsFailed       int             `json:"reloads_failed"`
}

// maxOrder limits the length of an order or a reply, in bytes.
const maxOrder = 64 << 20

// RunWorker executes orders until the input ends. It does not stop the controllers and dispatchers; they end with the process.
func RunWorker(in io.Reader, out io.Writer) error {
	w := &worker{controllers: map[string]*HollowController{}, dispatchers: map[string]*peer.Dispatcher{}, addresses: map[string]string{}}
	orders := bufio.NewScanner(in)
	orders.Buffer(make([]byte, 64<<10), maxOrder)
	replies := json.NewEncoder(out)
	for orders.Scan() {
		var o Order
		err := json.Unmarshal(orders.Bytes(), &o)
		if err == nil {
			err = w.execute(&o)
		}
		r := w.state(o.ControllersToPoll)
		if err != nil {
			r.Error = err.Error()
		}
		if err := replies.Encode(r); err != nil {
			return fmt.Errorf("scale worker: %w", err)
		}
	}
	return orders.Err() //nolint:wrapcheck // the error needs no context
}

// worker is the state of a worker process, which runs hollow controllers or dispatchers.
type worker struct {
	controllers   map[string]*HollowController
	dispatchers   map[string]*peer.Dispatcher
	addresses     map[string]string
	failedDials   atomic.Int64
	accepted      atomic.Int64
	failedReloads atomic.Int64

	mu      sync.Mutex
	applied []AppliedChange
}

// execute executes an order.
func (w *worker) execute(o *Order) error {
	switch o.Action {
	case StartControllers:
		return w.startControllers(o)
	case StopControllers:
		return w.stopControllers(o)
	case ReloadSettings:
		w.reloadControllers(o)
		return nil
	case OpenDispatchers:
		return w.openDispatchers(o)
	case CloseDispatchers:
		for _, name := range o.Names {
			if d := w.dispatchers[name]; d != nil {
				d.Kill()
				delete(w.dispatchers, name)
			}
		}
		return nil
	case ReportState:
		return nil
	}
	return fmt.Errorf("scale worker: unknown action %.40q", o.Action)
}

func (w *worker) startControllers(o *Order) error {
	c, err := readConfig(o.Config)
	if err != nil {
		return err
	}
	for _, s := range o.Specs {
		if w.controllers[s.Name] != nil {
			continue
		}
		h, err := StartHollow(*c, s, &dialCounter{logs.LimitRate(slog.NewTextHandler(io.Discard, nil)), &w.failedDials}, w.recordApplied)
		if err != nil {
			return err
		}
		w.controllers[s.Name] = h
	}
	return nil
}

func (w *worker) recordApplied(a AppliedChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = append(w.applied, a)
}

// stopControllers closes controllers concurrently and returns the first error.
func (w *worker) stopControllers(o *Order) error {
	errs := make(chan error, len(o.Names))
	for _, name := range o.Names {
		h := w.controllers[name]
		delete(w.controllers, name)
		go func() {
			if h == nil {
				errs <- fmt.Errorf("%w: %.40q", errUnknownController, name)
				return
			}
			errs <- h.Close(o.Crashed)
		}()
	}
	var first error
	for range o.Names {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// reloadControllers makes all controllers read and apply a file concurrently. Each reads it on its own, as separate processes would.
func (w *worker) reloadControllers(o *Order) {
	var reloads sync.WaitGroup
	for _, h := range w.controllers {
		reloads.Go(func() {
			if h.Reload(o.Config) != nil {
				w.failedReloads.Add(1)
			}
		})
	}
	reloads.Wait()
}

// idleReport is the state that every dispatcher reports: idle, with ample capacity.
const idleReport = "x0:1000000;x1:1000000"

// openDispatchers starts dispatchers that answer every set-up at once.
func (w *worker) openDispatchers(o *Order) error {
	for name, address := range o.Dispatchers {
		d, err := peer.StartDispatcher("tcp", address, idleReport)
		if err != nil {
			return err //nolint:wrapcheck // the error needs no context
		}
		d.EnableConnEvents()
		w.dispatchers[name] = d
		go func() {
			for range d.Acks { // unused, but the channel must be drained
			}
		}()
		go w.serveDispatcher(d)
	}
	return nil
}

// serveDispatcher counts the connections to a dispatcher and answers its set-ups.
func (w *worker) serveDispatcher(d *peer.Dispatcher) {
	for e := range d.Events {
		switch e.Kind {
		case "opened":
			w.accepted.Add(1)
		case "setup":
			_ = e.Answer("x") // its connection may have closed
		}
	}
}

// state returns the state of the process, and the changes that were applied since the last reply.
func (w *worker) state(members int) *Reply {
	r := &Reply{Controllers: len(w.controllers), FailedDials: w.failedDials.Load(), AcceptedConnections: w.accepted.Load(), ReloadsFailed: int(w.failedReloads.Load())}
	for _, d := range w.dispatchers {
		r.Connections += d.ConnCount()
	}
	for _, h := range w.controllers {
		if h.Joined() {
			r.Joined++
		}
		if r.PolledControllers < members {
			n := h.Members()
			if r.PolledControllers == 0 || n < r.MinMembers {
				r.MinMembers = n
			}
			r.PolledControllers++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Applied, w.applied = w.applied, nil
	return r
}

// dialCounter is a log handler that counts failed dials. It stands before the handler that limits the rate of log lines, so that it sees each one.
type dialCounter struct {
	slog.Handler
	failed *atomic.Int64
}

// dialFailed is the log message for a failed dial to a dispatcher.
const dialFailed = "no connection"

func (c *dialCounter) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == dialFailed {
		c.failed.Add(1)
	}
	return c.Handler.Handle(ctx, r) //nolint:wrapcheck // the error is that of the wrapped handler
}

func (c *dialCounter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &dialCounter{c.Handler.WithAttrs(attrs), c.failed}
}

func (c *dialCounter) WithGroup(name string) slog.Handler {
	return &dialCounter{c.Handler.WithGroup(name), c.failed}
}
