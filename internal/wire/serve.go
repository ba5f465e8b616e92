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

// instance is one access node: its decision module and the names its settings gave to classes and
// report fields.
type instance struct {
	module  *control.Controller
	classes []string
	fields  []string
}

// host keeps the instances of one process apart.
type host struct {
	instances map[string]*instance
	lists     map[int][]control.ServerEntry
}

// Serve answers every batch of in with one line on out until in ends. It returns an error for a
// malformed line.
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
		last := err != nil
		if line = bytes.TrimSpace(line); len(line) == 0 && last {
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
		if last {
			return nil
		}
	}
}

// turn is what one batch holds for one instance.
type turn struct {
	name   string
	events []control.Event
}

// answer gives every instance of the batch its turn, in the order in which they first appear. A restart
// ends the turn of the instance that was killed: what it would have done is void.
func (h *host) answer(b Batch) ([]map[string]any, error) {
	output := []map[string]any{}
	var turns []*turn
	byName := map[string]*turn{}
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
			t = &turn{name: name}
			byName[name] = t
			turns = append(turns, t)
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
			inst, err := start(m.Init)
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
	for _, t := range turns {
		if inst := h.instances[t.name]; inst != nil && len(t.events) > 0 {
			output = append(output, inst.step(t.name, micros(b.ClockUs), t.events)...)
		}
	}
	return output, nil
}

// event translates a message for a running instance. It is nil for an instance that does not run.
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

func start(m *Init) (*instance, error) {
	decisions, err := m.Facts.ControlSettings()
	if err != nil {
		return nil, err
	}
	module, err := control.New(decisions, m.Prng)
	if err != nil {
		return nil, err
	}
	inst := &instance{module: module, fields: m.Facts.Report.Fields}
	for _, c := range decisions.Classes {
		inst.classes = append(inst.classes, c.Name)
	}
	return inst, nil
}

// step gives the instance its turn. A panic of the module is reported in its place.
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
