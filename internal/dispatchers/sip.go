package dispatchers

import (
	"strconv"
	"strings"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/sip"
)

// probeID begins the Call-ID of probes.
const probeID = "probe-"

// byeSeq is the CSeq number of releases, beyond those of attempts.
const byeSeq = 100

// SIP speaks the platform's SIP over TCP.
type SIP struct {
	fields *[]string // of load reports, as the settings have them now
	dec    sip.Decoder
	probes uint32
}

// Handshake is not needed.
func (w *SIP) Handshake() []byte { return nil }

// HandshakeDone is always so.
func (w *SIP) HandshakeDone() bool { return true }

// ClosingMessage has no form.
func (w *SIP) ClosingMessage(error) []byte { return nil }

func uri(called string) string { return "sip:" + called + "@net" }

// SetUp is an INVITE. Its CSeq numbers the attempt, but answers are not matched by that number: dispatchers answer
// a second attempt under the number 1 as well.
func (w *SIP) SetUp(a call.SetUp) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "INVITE", URI: uri(a.Called), CallID: a.ID, Seq: uint32(a.Attempt) + 1, SeqOf: "INVITE",
		Headers: []sip.Header{
			{Name: "P-Kind", Value: a.Class},
			{Name: "P-Time-Left", Value: strconv.FormatInt(a.Timeout.Milliseconds(), 10)},
		},
		Body: []byte(a.Description),
	})
}

// Cancel is a CANCEL.
func (w *SIP) Cancel(id string, attempt int, called string) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "CANCEL", URI: uri(called), CallID: id, Seq: uint32(attempt) + 1, SeqOf: "CANCEL"})
}

// Release is a BYE.
func (w *SIP) Release(id string, cause int) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "BYE", URI: uri("call"), CallID: id, Seq: byeSeq, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}},
	})
}

// Probe is OPTIONS. Its Call-ID numbers it.
func (w *SIP) Probe() (message []byte, number uint32) {
	w.probes++
	return sip.Append(nil, &sip.Message{
		Method: "OPTIONS", URI: uri("load"), CallID: probeID + strconv.FormatUint(uint64(w.probes), 10), Seq: w.probes, SeqOf: "OPTIONS"}), w.probes
}

// probeNumber is the number of the probe with a Call-ID; 0 if it is that of none.
func probeNumber(callID string) uint32 {
	text, ok := strings.CutPrefix(callID, probeID)
	if !ok {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return uint32(number)
}

// Next reads a message.
func (w *SIP) Next(in *ring.Buffer) (*Message, error) {
	m, err := w.dec.Next(in)
	if m == nil || err != nil {
		return nil, err
	}
	got := &Message{id: m.CallID}
	if text := m.Get("P-Report"); text != "" {
		got.kind, got.report = report, settings.ParseReport(text, *w.fields)
	}
	switch {
	case m.Method == "BYE":
		got.kind, got.cause = released, cause(m.Get("Reason"))
		got.reply = respond(m)
	case m.Method == "NOTIFY" || m.Method == "ACK":
	case m.Method != "":
		got.reply = respond(m)
	case m.SeqOf == "BYE" && m.Status >= 200:
		got.kind = confirmation
	case m.SeqOf == "OPTIONS" && m.Status >= 200:
		got.probe = probeNumber(m.CallID)
	case m.SeqOf != "INVITE":
	case m.Status >= 200:
		w.finalAnswer(m, got)
		// A length that is too short leaves the rest of the description as the beginning of the next message; one that is
		// too long takes that into the description.
		got.damaged = got.kind == answer && (!call.ValidDescription(got.description) ||
			strings.Contains(got.description, "SIP/2.0") || !sip.MayBegin(in))
	default:
		got.kind = nothing
	}
	return got, nil
}

// finalAnswer reads a final answer to INVITE. The ACK follows any of them: without it the dispatcher repeats itself.
func (w *SIP) finalAnswer(m *sip.Message, got *Message) {
	got.final = true
	got.reply = func(called string) []byte {
		return sip.Append(nil, &sip.Message{Method: "ACK", URI: uri(called), CallID: m.CallID, Seq: m.Seq, SeqOf: "ACK"})
	}
	if m.Status < 300 {
		got.kind, got.description = answer, string(m.Body)
		return
	}
	got.kind = refusal
	switch m.Status {
	case 503:
		got.outcome, got.noLine = control.Full, m.Get("P-Reason") == "all_trunks_busy"
	case 480:
		got.outcome = control.NotSent
	case 487:
		got.outcome = control.Cancelled
	case 504:
		got.outcome = control.Reset
	default:
		got.outcome = control.Failed
	}
}

func respond(m *sip.Message) func(string) []byte {
	return func(string) []byte {
		return sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: m.SeqOf})
	}
}

// cause reads "Q.850;cause=N"; a release that does not say why is a plain one.
func cause(reason string) int {
	for part := range strings.SplitSeq(reason, ";") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return n
			}
		}
	}
	return call.CauseNormal
}
