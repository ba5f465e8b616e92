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

// probeIDPrefix begins the Call-ID of probes.
const probeIDPrefix = "probe-"

// releaseCSeq is the CSeq number of releases, beyond those of attempts.
const releaseCSeq = 100

// SIP speaks the platform's SIP over TCP.
type SIP struct {
	fields *[]string // of load reports, as the settings have them now
	dec    sip.Decoder
	probes uint32
}

// Handshake is not needed.
func (p *SIP) Handshake() []byte { return nil }

// HandshakeDone is always so.
func (p *SIP) HandshakeDone() bool { return true }

// ClosingMessage has no form.
func (p *SIP) ClosingMessage(error) []byte { return nil }

func uri(called string) string { return "sip:" + called + "@net" }

// SetUp is an INVITE. Its CSeq numbers the attempt, but answers are not matched by that number: dispatchers answer
// a second attempt under the number 1 as well.
func (p *SIP) SetUp(a call.SetUp) []byte {
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
func (p *SIP) Cancel(id string, attempt int, called string) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "CANCEL", URI: uri(called), CallID: id, Seq: uint32(attempt) + 1, SeqOf: "CANCEL"})
}

// Release is a BYE.
func (p *SIP) Release(id string, cause int) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "BYE", URI: uri("call"), CallID: id, Seq: releaseCSeq, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}},
	})
}

// Probe is OPTIONS. Its Call-ID numbers it.
func (p *SIP) Probe() (message []byte, number uint32) {
	p.probes++
	return sip.Append(nil, &sip.Message{
		Method: "OPTIONS", URI: uri("load"), CallID: probeIDPrefix + strconv.FormatUint(uint64(p.probes), 10), Seq: p.probes, SeqOf: "OPTIONS"}), p.probes
}

// probeNumber is the number of the probe with a Call-ID; 0 if it is that of none.
func probeNumber(callID string) uint32 {
	text, ok := strings.CutPrefix(callID, probeIDPrefix)
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
func (p *SIP) Next(in *ring.Buffer) (*Message, error) {
	m, err := p.dec.Next(in)
	if m == nil || err != nil {
		return nil, err
	}
	message := &Message{id: m.CallID}
	if text := m.Get("P-Report"); text != "" {
		message.kind, message.report = report, settings.ParseReport(text, *p.fields)
	}
	switch {
	case m.Method == "BYE":
		message.kind, message.cause = released, parseCause(m.Get("Reason"))
		message.encodeReply = okReply(m)
	case m.Method == "NOTIFY" || m.Method == "ACK":
	case m.Method != "":
		message.encodeReply = okReply(m)
	case m.SeqOf == "BYE" && m.Status >= 200:
		message.kind = releaseConfirmed
	case m.SeqOf == "OPTIONS" && m.Status >= 200:
		message.probeReply = probeNumber(m.CallID)
	case m.SeqOf != "INVITE":
	case m.Status >= 200:
		p.readFinalAnswer(m, message)
		// A length that is too short leaves the rest of the description as the beginning of the next message; one that is
		// too long takes that into the description.
		message.damaged = message.kind == answer && (!call.ValidDescription(message.description) ||
			strings.Contains(message.description, "SIP/2.0") || !sip.MayBegin(in))
	default:
		message.kind = noAction
	}
	return message, nil
}

// readFinalAnswer reads a final answer to INVITE. The ACK follows any of them: without it the dispatcher repeats itself.
func (p *SIP) readFinalAnswer(m *sip.Message, message *Message) {
	message.final = true
	message.encodeReply = func(called string) []byte {
		return sip.Append(nil, &sip.Message{Method: "ACK", URI: uri(called), CallID: m.CallID, Seq: m.Seq, SeqOf: "ACK"})
	}
	if m.Status < 300 {
		message.kind, message.description = answer, string(m.Body)
		return
	}
	message.kind = refusal
	switch m.Status {
	case 503:
		message.outcome, message.noLine = control.Full, m.Get("P-Reason") == "all_trunks_busy"
	case 480:
		message.outcome = control.NotSent
	case 487:
		message.outcome = control.Cancelled
	case 504:
		message.outcome = control.Reset
	default:
		message.outcome = control.Failed
	}
}

func okReply(m *sip.Message) func(string) []byte {
	return func(string) []byte {
		return sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: m.SeqOf})
	}
}

// parseCause reads "Q.850;cause=N"; a release that does not say why is a plain one.
func parseCause(reason string) int {
	for part := range strings.SplitSeq(reason, ";") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return n
			}
		}
	}
	return call.CauseNormal
}
