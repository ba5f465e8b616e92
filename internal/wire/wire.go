// Package wire implements the simulator's protocol, JSON lines with batches of events and replies, and runs
// the decision module behind it.
package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/settings"
)

// Batch is one line of input.
type Batch struct {
	ClockUs int64
	News    []Message
}

// Message is one event of a batch; exactly one field is set.
type Message struct {
	Init       *Init
	DefineList *DefineList
	Members    *Members
	Accept     *Accept
	Returned   *Returned
	PingResult *PingResult
	AckFirst   *AckFirst
	PeerData   *PeerData
	Shutdown   *Instance
	Gone       *Gone
	Ring       *Instance
}

// Instance is an event without data apart from the instance that it is for.
type Instance struct {
	I string `json:"i"`
}

// Init starts an instance.
type Init struct {
	I     string             `json:"i"`
	Prng  uint64             `json:"prng"`
	Facts *settings.Settings `json:"facts"`
}

// DefineList defines a server list under a number.
type DefineList struct {
	Buffer int   `json:"buffer"`
	Rows   []Row `json:"rows"`
}

// Row is one server of a list. Its zone is called "hall".
type Row struct {
	Server     string `json:"server"`
	Status     string `json:"status"`
	Cell       int    `json:"cell"`
	Hall       string `json:"hall"`
	BootTimeUs *int64 `json:"bootTimeUs"`
}

// Members delivers to an instance the server list that was defined under the number in Buffer.
type Members struct {
	I      string `json:"i"`
	Scope  string `json:"scope"`
	Buffer *int   `json:"buffer"`
}

// Accept offers a call.
type Accept struct {
	I         string  `json:"i"`
	RequestID string  `json:"requestId"`
	Type      string  `json:"type"`
	Key       string  `json:"key"`
	BudgetUs  int64   `json:"budgetUs"`
	Dest      float64 `json:"dest"`
	Options   int     `json:"options"`
}

// The bits of Accept.Options.
const (
	optionRedial  = 2
	optionTransit = 8
)

// Returned is the outcome of an attempt.
type Returned struct {
	I         string             `json:"i"`
	RequestID string             `json:"requestId"`
	Note      int                `json:"note"`
	Outcome   *int               `json:"outcome"`
	SeqNo     int                `json:"seqNo"`
	Server    string             `json:"server"`
	RttUs     int64              `json:"rttUs"`
	Over      bool               `json:"over"`
	Stats     map[string]float64 `json:"stats"`
}

// noteNoLine in the low four bits of a note means that no line was free. The higher bits contain a wait.
const noteNoLine = 1

// PingResult is a load report, whether it was requested or not.
type PingResult struct {
	I       string             `json:"i"`
	Outcome *int               `json:"outcome"`
	Server  string             `json:"server"`
	Stats   map[string]float64 `json:"stats"`
}

// AckFirst reports that an attempt was answered and its call is established.
type AckFirst struct {
	I         string `json:"i"`
	RequestID string `json:"requestId"`
	SeqNo     int    `json:"seqNo"`
	Server    string `json:"server"`
	RttUs     int64  `json:"rttUs"`
}

// PeerData is a message from another instance. It is ignored.
type PeerData struct {
	I string `json:"i"`
}

// Gone reports that the caller of a pending call cancelled it or disconnected.
type Gone struct {
	I         string `json:"i"`
	RequestID string `json:"requestId"`
}

// Reply is one line of output.
type Reply struct {
	Output []map[string]any `json:"output"`
}

// Decode parses one line of input. Every message must be of exactly one known kind and have all required fields.
func Decode(line []byte) (Batch, error) {
	var raw struct {
		ClockUs *int64                       `json:"clockUs"`
		News    []map[string]json.RawMessage `json:"news"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if raw.ClockUs == nil {
		return Batch{}, fmt.Errorf("batch: clockUs is missing")
	}
	if raw.News == nil {
		return Batch{}, fmt.Errorf("batch: news is missing")
	}
	b := Batch{ClockUs: *raw.ClockUs, News: make([]Message, 0, len(raw.News))}
	for i, tagged := range raw.News {
		if len(tagged) != 1 {
			return Batch{}, fmt.Errorf("event %d: has %d names, want one", i, len(tagged))
		}
		for name, body := range tagged {
			m, err := decodeMessage(name, body)
			if err != nil {
				return Batch{}, fmt.Errorf("event %d: %s: %w", i, name, err)
			}
			b.News = append(b.News, m)
		}
	}
	return b, nil
}

func decodeMessage(name string, body json.RawMessage) (Message, error) {
	var m Message
	var err error
	switch name {
	case "Init":
		if m.Init, err = decodeBody[Init](body, "i", "prng", "facts"); err == nil && m.Init.Facts == nil {
			err = fmt.Errorf("facts is missing")
		}
	case "DefineList":
		m.DefineList, err = decodeBody[DefineList](body, "buffer", "rows")
	case "Members":
		m.Members, err = decodeBody[Members](body, "i", "scope")
	case "Accept":
		m.Accept, err = decodeBody[Accept](body, "i", "requestId", "type", "budgetUs")
	case "Returned":
		m.Returned, err = decodeBody[Returned](body, "i", "requestId", "outcome", "seqNo", "server")
	case "PingResult":
		m.PingResult, err = decodeBody[PingResult](body, "i", "outcome", "server")
	case "AckFirst":
		m.AckFirst, err = decodeBody[AckFirst](body, "i", "requestId", "seqNo", "server")
	case "PeerData":
		m.PeerData, err = decodeBody[PeerData](body, "i")
	case "Shutdown":
		m.Shutdown, err = decodeBody[Instance](body, "i")
	case "Gone":
		m.Gone, err = decodeBody[Gone](body, "i", "requestId")
	case "Ring":
		m.Ring, err = decodeBody[Instance](body, "i")
	default:
		err = fmt.Errorf("unknown event")
	}
	return m, err
}

// decodeBody parses the fields of one event. The fields in required must be present and not null.
func decodeBody[T any](body json.RawMessage, required ...string) (*T, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	for _, name := range required {
		if v, ok := fields[name]; !ok || string(v) == "null" {
			return nil, fmt.Errorf("%s is missing", name)
		}
	}
	v := new(T)
	if err := json.Unmarshal(body, v); err != nil {
		return nil, err
	}
	return v, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

var outcomes = map[int]control.Outcome{
	0: control.Failed,
	1: control.Completed,
	2: control.Full,
	3: control.TimedOut,
	4: control.Unreachable,
	5: control.Reset,
	6: control.Cancelled,
	7: control.NotSent,
}

// ServerEntries converts the rows of a server list.
func ServerEntries(rows []Row) ([]control.ServerEntry, error) {
	entries := make([]control.ServerEntry, 0, len(rows))
	for _, r := range rows {
		status, err := settings.ParseStatus(r.Status)
		if err != nil {
			return nil, fmt.Errorf("list: server %q: %w", r.Server, err)
		}
		e := control.ServerEntry{ID: control.ServerID(r.Server), Status: status, Cell: r.Cell, Zone: r.Hall}
		if r.BootTimeUs != nil {
			e.StartedAt = micros(*r.BootTimeUs)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// CallOffered converts the message to an event. classes has the names of the classes in the order of the settings.
func (a *Accept) CallOffered(classes []string) (control.CallOffered, error) {
	for i, name := range classes {
		if name == a.Type {
			return control.CallOffered{
				ID:        control.CallID(a.RequestID),
				Class:     i,
				Budget:    micros(a.BudgetUs),
				Called:    a.Key,
				FirstCell: int(a.Dest),
				Redial:    a.Options&optionRedial != 0,
				Transit:   a.Options&optionTransit != 0,
			}, nil
		}
	}
	return control.CallOffered{}, fmt.Errorf("Accept: unknown class %q", a.Type)
}

func outcome(code *int) (control.Outcome, error) {
	o, ok := outcomes[*code]
	if !ok {
		return o, fmt.Errorf("unknown outcome %d", *code)
	}
	return o, nil
}

// AttemptEnded converts the message to an event. fields has the names of the report fields in order.
func (r *Returned) AttemptEnded(fields []string) (control.AttemptEnded, error) {
	o, err := outcome(r.Outcome)
	if err != nil {
		return control.AttemptEnded{}, fmt.Errorf("Returned: %w", err)
	}
	return control.AttemptEnded{
		ID: control.CallID(r.RequestID), Server: control.ServerID(r.Server), Attempt: r.SeqNo, Outcome: o,
		NoLine: r.Note%16 == noteNoLine, Elapsed: micros(r.RttUs), CallOver: r.Over, Report: settings.OrderReport(r.Stats, fields),
	}, nil
}

// ReportReceived converts the message to an event. fields has the names of the report fields in order.
func (p *PingResult) ReportReceived(fields []string) (control.ReportReceived, error) {
	o, err := outcome(p.Outcome)
	if err != nil {
		return control.ReportReceived{}, fmt.Errorf("PingResult: %w", err)
	}
	return control.ReportReceived{
		Server: control.ServerID(p.Server), OK: o == control.Completed, Report: settings.OrderReport(p.Stats, fields),
	}, nil
}

// CallStands converts the message to an event.
func (a *AckFirst) CallStands() control.CallStands {
	return control.CallStands{
		ID: control.CallID(a.RequestID), Server: control.ServerID(a.Server), Attempt: a.SeqNo,
		Elapsed: micros(a.RttUs),
	}
}

// Encode returns the JSON object for an action of the given instance.
func Encode(instance string, action control.Action) map[string]any {
	body := map[string]any{"i": instance}
	name := ""
	switch a := action.(type) {
	case control.SetUp:
		name = "Assign"
		body["requestId"] = a.ID
		body["server"] = a.Server
		if a.Limit > 0 {
			body["tryForUs"] = a.Limit.Microseconds()
		}
	case control.Cancel:
		name = "UndoSend"
		body["requestId"] = a.ID
		body["seqNo"] = a.Attempt
	case control.Refuse:
		name = "Shed"
		body["requestId"] = a.ID
		if a.HoldOff > 0 {
			body["holdOffUs"] = a.HoldOff.Microseconds()
		}
	case control.Fail:
		name = "DropRequest"
		body["requestId"] = a.ID
	case control.Probe:
		name = "Touch"
		body["server"] = a.Server
	case control.Subscribe:
		name = "Listen"
		body["on"] = true
	case control.Wake:
		name = "WakeMe"
		body["handle"] = 0
		body["sleepForUs"] = a.After.Microseconds()
	case control.Log:
		name = "SayLog"
		body["noteText"] = a.Text
	default:
		return EncodeFault(instance, fmt.Sprintf("no encoding for action %T", action))
	}
	return map[string]any{name: body}
}

// EncodeFault returns the JSON object that reports a failure of the instance's decision module.
func EncodeFault(instance, text string) map[string]any {
	return map[string]any{"GiveIn": map[string]any{"i": instance, "noteText": text}}
}
