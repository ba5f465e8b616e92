package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cherryrelay/internal/fault"
)

// do executes an event. The function that it returns reverts the event; it is nil if there is nothing to revert.
func (w *world) do(e Event, phase string) (undo func() error, err error) {
	switch e.Do {
	case Change:
		return nil, w.change(e.Who, phase)
	case Settings:
		return nil, w.settings(phase)
	case Restart:
		return nil, w.restart([]string{e.Who})
	case Release:
		return nil, w.release(e)
	case Rack, StartAll:
		return w.lose(e)
	case Zone, Region:
		return w.cut(e)
	case StopStore:
		w.store.Close()
		return func() error {
			_, err := w.store.Listen(w.address)
			return err //nolint:wrapcheck // it says what it is
		}, nil
	}
	return nil, fmt.Errorf("scale: event %v has an unknown kind", e)
}

// next increments and returns the number of the last change of a stream.
func (w *world) next(s stream) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number[s]++
	return w.number[s]
}

// last returns the number of the last change of a stream.
func (w *world) last(s stream) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.number[s]
}

// change writes a new version of a scope's marker into the list and records when.
func (w *world) change(scope, phase string) error {
	number := w.next(stream{Change, scope})
	w.note(issued{Change, scope, number, time.Now(), phase})
	return w.mark(scope, number)
}

// settings writes new configuration files and makes every controller reload its file. The distribution of files to machines is not simulated.
func (w *world) settings(phase string) error {
	number := w.next(stream{kind: Settings})
	if err := operatorFile(w.config, "hollow", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", allServices, w.s.Lease, w.s.Controllers+w.s.Real, number); err != nil {
		return err
	}
	for _, r := range w.real {
		if err := r.write(w.s, number); err != nil {
			return err
		}
	}
	w.note(issued{Settings, "", number, time.Now(), phase})
	for _, r := range w.real {
		if err := r.reload(number); err != nil {
			return err
		}
	}
	return atOnce(w.workers, func(p *process) error {
		_, err := p.ask(&Order{Action: ReloadSettings, Config: w.config})
		return err
	})
}

// take counts one more event that keeps each controller down, and returns the controllers that were up before.
func (w *world) take(names []string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []string
	for _, name := range names {
		if w.down[name]++; w.down[name] == 1 {
			up = append(up, name)
		}
	}
	return up
}

// give reverts take for one event, and returns the controllers that no event keeps down any longer.
func (w *world) give(names []string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []string
	for _, name := range names {
		if w.down[name]--; w.down[name] == 0 {
			up = append(up, name)
		}
	}
	return up
}

// restart shuts controllers down gracefully and starts them again. It skips controllers that are already down.
func (w *world) restart(names []string) error {
	up := w.take(names)
	if err := w.stop(up, false); err != nil {
		return err
	}
	return w.start(w.give(names))
}

// release restarts the controllers of a service one after the other, spread over the duration of the event.
func (w *world) release(e Event) error {
	names := w.s.within(e)
	begun := time.Now()
	for i, name := range names {
		time.Sleep(time.Until(begun.Add(e.For * time.Duration(i) / time.Duration(len(names)))))
		if err := w.restart([]string{name}); err != nil {
			return err
		}
	}
	return nil
}

// lose stops controllers as in a crash: they do not notify the store. Its undo function starts them again.
func (w *world) lose(e Event) (undo func() error, err error) {
	names := w.s.within(e)
	if err := w.stop(w.take(names), true); err != nil {
		return nil, err
	}
	return func() error { return w.start(w.give(names)) }, nil
}

// cut disconnects the controllers of a zone or region from the store and makes its dispatchers refuse connections. All processes keep running.
func (w *world) cut(e Event) (undo func() error, err error) {
	links, ends := w.cutBy(e)
	for _, link := range w.counted(w.cuts, links, 1) {
		hole := fault.Way{Hole: true}
		w.net.Set(link+">"+storeName, fault.Rule{Forth: hole, Back: hole, Shut: true})
	}
	closing := w.counted(w.closed, ends, 1)
	err = atOnce(w.ends, func(p *process) error {
		_, err := p.ask(&Order{Action: CloseDispatchers, Names: w.of(p, closing)})
		return err
	})
	return func() error {
		for _, link := range w.counted(w.cuts, links, -1) {
			w.net.Set(link+">"+storeName, fault.Rule{})
		}
		opening := w.counted(w.closed, ends, -1)
		return atOnce(w.ends, func(p *process) error {
			addresses := map[string]string{}
			for _, name := range w.of(p, opening) {
				addresses[name] = w.listen[name]
			}
			_, err := p.ask(&Order{Action: OpenDispatchers, Dispatchers: addresses})
			return err
		})
	}, err
}

// cutBy returns the connections to the store (links) and the dispatchers (ends) that an event cuts off.
func (w *world) cutBy(e Event) (links, ends []string) {
	for i := range w.s.Controllers {
		if p := w.s.place(i); e.cut(p) && !slices.Contains(links, p.rack) {
			links = append(links, p.rack)
		}
	}
	for i, r := range w.real {
		if e.cut(w.s.place(i)) {
			links = append(links, r.name)
		}
	}
	for name, p := range w.places {
		if e.cut(p) {
			ends = append(ends, name)
		}
	}
	return links, ends
}

// counted adds by to the number of events that hold each name, and returns the names whose number changed from 0 or to 0.
func (w *world) counted(holds map[string]int, names []string, by int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var turned []string
	for _, name := range names {
		before := holds[name]
		holds[name] += by
		if (before == 0) != (holds[name] == 0) {
			turned = append(turned, name)
		}
	}
	return turned
}

// of returns those of the named dispatchers that run in process p.
func (w *world) of(p *process, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return w.at[name] != p })
}

// note records a change that is about to be made.
func (w *world) note(change issued) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made = append(w.made, change)
}

// runner executes the events of a plan at their times.
type runner struct {
	w     *world
	begun time.Time
	tasks sync.WaitGroup

	mu     sync.Mutex
	err    error
	events []string
}

// failed keeps the first error.
func (r *runner) failed(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// one executes an event and reverts it after its duration.
func (r *runner) one(e Event, phase string) {
	undo, err := r.w.do(e, phase)
	r.failed(err)
	if undo == nil {
		return
	}
	time.Sleep(time.Until(r.begun.Add(e.At + e.For)))
	r.failed(undo())
}

// run executes the plan and returns when every event is reverted. If over is closed, it returns early and does not wait for the events in progress.
func (r *runner) run(plan []Event, over <-chan struct{}, phaseOf func(time.Duration) string) {
	for _, e := range plan {
		select {
		case <-over:
			return
		case <-time.After(time.Until(r.begun.Add(e.At))):
		}
		r.events = append(r.events, e.String())
		r.tasks.Go(func() { r.one(e, phaseOf(e.At)) })
	}
	select {
	case <-over:
		return
	case <-time.After(time.Until(r.begun.Add(r.w.s.Lasting))):
	}
	r.tasks.Wait()
}
