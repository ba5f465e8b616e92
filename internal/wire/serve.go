package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"cherryrelay/control"
)

// instance is one simulated access node: its decision module, and the names of the classes and report
// fields in its settings.
type instance struct {
	module  *control.Controller
	classes []string
	fields  []string
}

// host holds the instances of one process and the server lists that were defined for them, by number.
type host struct {
	instances map[string]*instance
	lists     map[int][]control.ServerEntry
}

// Serve reads batches from in, one per line, and writes one line with the reply to each to out, until in
// ends. It returns an error for a malformed line.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{instances: map[string]*instance{}, lists: map[int][]control.ServerEntry{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		atEnd := err != nil
		if line = bytes.TrimSpace(line); len(line) == 0 && atEnd {
			return nil
		}
		b, err := Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		output, err := h.answer(b)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if err := enc.Encode(Reply{Output: output}); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", n, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", n, err)
		}
		if atEnd {
			return nil
		}
	}
}

// instanceEvents holds the events of one batch for one instance.
type instanceEvents struct {
	name   string
	events []control.Event
}

// answer runs one step of every instance that has events in the batch, in the order in which they first
// appear, and returns their actions. When an instance is restarted or shut down, its earlier events in the
// batch are dropped.
func (h *host) answer(b Batch) ([]map[string]any, error) {
	output := []map[string]any{}
	var steps []*instanceEvents
	byName := map[string]*instanceEvents{}
	drop := func(name string) {
		delete(h.instances, name)
		if t := byName[name]; t != nil {
			t.events = nil
		}
	}
	add := func(name string, e control.Event) {
		if h.instances[name] == nil {
			return
		}
		t := byName[name]
		if t == nil {
			t = &instanceEvents{name: name}
			byName[name] = t
			steps = append(steps, t)
		}
		t.events = append(t.events, e)
	}
	for _, m := range b.News {
		switch {
		case m.DefineList != nil:
			entries, err := ServerEntries(m.DefineList.Rows)
			if err != nil {
				return nil, err
			}
			h.lists[m.DefineList.Buffer] = entries
		case m.Init != nil:
			drop(m.Init.I)
			inst, err := newInstance(m.Init)
			if err != nil {
				output = append(output, EncodeFault(m.Init.I, err.Error()))
				continue
			}
			h.instances[m.Init.I] = inst
		case m.Shutdown != nil:
			drop(m.Shutdown.I)
		default:
			name, e, err := h.event(m)
			if err != nil {
				return nil, err
			}
			if e != nil {
				add(name, e)
			}
		}
	}
	for _, t := range steps {
		if inst := h.instances[t.name]; inst != nil && len(t.events) > 0 {
			output = append(output, inst.step(t.name, micros(b.ClockUs), t.events)...)
		}
	}
	return output, nil
}

// event converts a message to an event and returns it with the name of its instance. The event is nil for
// PeerData, and for a call that is offered to an instance that does not run.
func (h *host) event(m Message) (name string, e control.Event, err error) {
	fields := func(name string) []string {
		if inst := h.instances[name]; inst != nil {
			return inst.fields
		}
		return nil
	}
	switch {
	case m.Members != nil:
		name = m.Members.I
		e, err = h.members(m.Members)
	case m.Accept != nil:
		name = m.Accept.I
		if inst := h.instances[name]; inst != nil {
			e, err = m.Accept.CallOffered(inst.classes)
		}
	case m.Returned != nil:
		name = m.Returned.I
		e, err = m.Returned.AttemptEnded(fields(name))
	case m.PingResult != nil:
		name = m.PingResult.I
		e, err = m.PingResult.ReportReceived(fields(name))
	case m.AckFirst != nil:
		name = m.AckFirst.I
		e = m.AckFirst.CallStands()
	case m.Gone != nil:
		name = m.Gone.I
		e = control.CallerLeft{ID: control.CallID(m.Gone.RequestID)}
	case m.Ring != nil:
		name = m.Ring.I
		e = control.Woken{}
	}
	return name, e, err
}

func (h *host) members(m *Members) (control.Event, error) {
	switch m.Scope {
	case "failed":
		return control.ListReceived{Failed: true}, nil
	case "delta", "full", "cached":
	default:
		return nil, fmt.Errorf("Members: unknown scope %q", m.Scope)
	}
	if m.Buffer == nil {
		return nil, errors.New("Members: buffer is missing")
	}
	entries, ok := h.lists[*m.Buffer]
	if !ok {
		return nil, fmt.Errorf("Members: list %d was never defined", *m.Buffer)
	}
	return control.ListReceived{Entries: entries, Whole: m.Scope != "delta"}, nil
}

func newInstance(m *Init) (*instance, error) {
	moduleSettings, err := m.Facts.ControlSettings()
	if err != nil {
		return nil, err
	}
	module, err := control.New(moduleSettings, m.Prng)
	if err != nil {
		return nil, err
	}
	inst := &instance{module: module, fields: m.Facts.Report.Fields}
	for _, c := range moduleSettings.Classes {
		inst.classes = append(inst.classes, c.Name)
	}
	return inst, nil
}

// step runs one step of the decision module and encodes its actions. If the module panics, the output is
// the fault instead.
func (inst *instance) step(name string, now time.Duration, events []control.Event) (output []map[string]any) {
	defer func() {
		if r := recover(); r != nil {
			output = []map[string]any{EncodeFault(name, fmt.Sprint("panic: ", r))}
		}
	}()
	for _, a := range inst.module.Step(now, events) {
		output = append(output, Encode(name, a))
	}
	return output
}
