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

// Action is what a worker process is asked to do.
type Action string

// The actions.
const (
	StartControllers Action = "start"
	StopControllers  Action = "stop"
	ReloadSettings   Action = "reload"
	OpenDispatchers  Action = "open"  // with addresses, where they are to listen
	CloseDispatchers Action = "close" // they reset their connections, and refuse others
	Look             Action = "look"
)

// Order is a line to a worker process.
type Order struct {
	Action      Action            `json:"action"`
	Config      string            `json:"config,omitempty"`
	Specs       []Spec            `json:"specs,omitempty"`
	Names       []string          `json:"names,omitempty"`       // of controllers or dispatchers; none for all
	Lost        bool              `json:"lost,omitempty"`        // StopControllers: without a word to the store
	Dispatchers map[string]string `json:"dispatchers,omitempty"` // addresses by name
	Members     int               `json:"members,omitempty"`     // Look: of so many controllers the members are counted
}

// Reply is the line that answers an Order. What it tells of Look stands in it after every action.
type Reply struct {
	Error         string    `json:"error,omitempty"`
	Controllers   int       `json:"controllers"`
	Joined        int       `json:"joined"`
	LeastMembers  int       `json:"least_members"` // that one of those asked for knows
	Applied       []Applied `json:"applied"`       // since the last reply
	Failed        int64     `json:"failed"`        // dials that came to nothing, as controllers logged them
	Connections   int       `json:"connections"`   // at dispatchers
	Accepted      int64     `json:"accepted"`      // by dispatchers
	MembersAsked  int       `json:"members_asked"`
	ReloadsFailed int       `json:"reloads_failed"`
}

// maxOrder bounds a line.
const maxOrder = 64 << 20

// Work serves orders until the input ends. Controllers and dispatchers of the process end with it.
func Work(in io.Reader, out io.Writer) error {
	w := &worker{controllers: map[string]*Hollow{}, dispatchers: map[string]*peer.Dispatcher{}, addresses: map[string]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 64<<10), maxOrder)
	replies := json.NewEncoder(out)
	for lines.Scan() {
		var o Order
		err := json.Unmarshal(lines.Bytes(), &o)
		if err == nil {
			err = w.do(&o)
		}
		r := w.look(o.Members)
		if err != nil {
			r.Error = err.Error()
		}
		if err := replies.Encode(r); err != nil {
			return fmt.Errorf("scale worker: %w", err)
		}
	}
	return lines.Err() //nolint:wrapcheck // it says what it is
}

// worker is a process with hollow controllers, dispatchers, or both.
type worker struct {
	controllers map[string]*Hollow
	dispatchers map[string]*peer.Dispatcher
	addresses   map[string]string
	failed      atomic.Int64
	accepted    atomic.Int64
	reloads     atomic.Int64 // that failed

	mu      sync.Mutex
	applied []Applied
}

func (w *worker) do(o *Order) error {
	switch o.Action {
	case StartControllers:
		return w.start(o)
	case StopControllers:
		return w.stop(o)
	case ReloadSettings:
		w.reload(o)
		return nil
	case OpenDispatchers:
		return w.open(o)
	case CloseDispatchers:
		for _, name := range o.Names {
			if d := w.dispatchers[name]; d != nil {
				d.Die()
				delete(w.dispatchers, name)
			}
		}
		return nil
	case Look:
		return nil
	}
	return fmt.Errorf("scale worker: unknown action %.40q", o.Action)
}

func (w *worker) start(o *Order) error {
	c, err := readConfig(o.Config)
	if err != nil {
		return err
	}
	for _, s := range o.Specs {
		if w.controllers[s.Name] != nil {
			continue
		}
		h, err := StartHollow(*c, s, &counting{logs.Bound(slog.NewTextHandler(io.Discard, nil)), &w.failed}, w.apply)
		if err != nil {
			return err
		}
		w.controllers[s.Name] = h
	}
	return nil
}

func (w *worker) apply(a Applied) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = append(w.applied, a)
}

// stop ends controllers, all at the same time.
func (w *worker) stop(o *Order) error {
	errs := make(chan error, len(o.Names))
	for _, name := range o.Names {
		h := w.controllers[name]
		delete(w.controllers, name)
		go func() {
			if h == nil {
				errs <- fmt.Errorf("%w: %.40q", errNoController, name)
				return
			}
			errs <- h.Close(o.Lost)
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

// reload has every controller read a file, each for itself.
func (w *worker) reload(o *Order) {
	var reading sync.WaitGroup
	for _, h := range w.controllers {
		reading.Go(func() {
			if h.Reload(o.Config) != nil {
				w.reloads.Add(1)
			}
		})
	}
	reading.Wait()
}

// report is that of a dispatcher with nothing to do.
const report = "x0:1000000;x1:1000000"

// open has dispatchers listen and answer every set-up at once.
func (w *worker) open(o *Order) error {
	for name, address := range o.Dispatchers {
		d, err := peer.Dispatch("tcp", address, report)
		if err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
		d.TellLinks()
		w.dispatchers[name] = d
		go func() {
			for range d.Acks { // nobody waits for them
			}
		}()
		go w.serve(d)
	}
	return nil
}

func (w *worker) serve(d *peer.Dispatcher) {
	for e := range d.Events {
		switch e.Kind {
		case "opened":
			w.accepted.Add(1)
		case "setup":
			_ = e.Answer("x") // its connection may have closed
		}
	}
}

// look tells the state of the process.
func (w *worker) look(members int) *Reply {
	r := &Reply{Controllers: len(w.controllers), Failed: w.failed.Load(), Accepted: w.accepted.Load(), ReloadsFailed: int(w.reloads.Load())}
	for _, d := range w.dispatchers {
		r.Connections += d.Links()
	}
	for _, h := range w.controllers {
		if h.Joined() {
			r.Joined++
		}
		if r.MembersAsked < members {
			n := h.Members()
			if r.MembersAsked == 0 || n < r.LeastMembers {
				r.LeastMembers = n
			}
			r.MembersAsked++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Applied, w.applied = w.applied, nil
	return r
}

// counting counts the dials that come to nothing, of which controllers log each, before the bound on what is logged.
type counting struct {
	slog.Handler
	failed *atomic.Int64
}

// dialFailed is what the connections to dispatchers log then.
const dialFailed = "no connection"

func (c *counting) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == dialFailed {
		c.failed.Add(1)
	}
	return c.Handler.Handle(ctx, r) //nolint:wrapcheck // it is another handler
}

func (c *counting) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &counting{c.Handler.WithAttrs(attrs), c.failed}
}

func (c *counting) WithGroup(name string) slog.Handler {
	return &counting{c.Handler.WithGroup(name), c.failed}
}
