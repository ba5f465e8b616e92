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

// probeIDPrefix begins the Call-ID of each probe.
const probeIDPrefix = "probe-"

// releaseCSeq is the CSeq number of releases; it is higher than that of any attempt.
const releaseCSeq = 100

// SIP implements Protocol for the platform's SIP over TCP.
type SIP struct {
	fields *[]string // fields of load reports in the active configuration
	dec    sip.Decoder
	probes uint32
}

// Handshake returns nil: SIP has no handshake.
func (p *SIP) Handshake() []byte { return nil }

// HandshakeDone always reports true.
func (p *SIP) HandshakeDone() bool { return true }

// ClosingMessage returns nil: SIP has no closing message.
func (p *SIP) ClosingMessage(error) []byte { return nil }

func uri(called string) string { return "sip:" + called + "@net" }

// SetUp encodes an INVITE. Its CSeq numbers the attempt, but answers are not matched by that number: dispatchers answer a second attempt
// with the number 1 as well.
func (p *SIP) SetUp(a call.SetUp) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "INVITE", URI: uri(a.Called), CallID: a.ID, Seq: uint32(a.Attempt) + 1, SeqMethod: "INVITE",
		Headers: []sip.Header{
			{Name: "P-Kind", Value: a.Class},
			{Name: "P-Time-Left", Value: strconv.FormatInt(a.Timeout.Milliseconds(), 10)},
		},
		Body: []byte(a.Description),
	})
}

// Cancel encodes a CANCEL.
func (p *SIP) Cancel(id string, attempt int, called string) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "CANCEL", URI: uri(called), CallID: id, Seq: uint32(attempt) + 1, SeqMethod: "CANCEL"})
}

// Release encodes a BYE.
func (p *SIP) Release(id string, cause int) []byte {
	return sip.Append(nil, &sip.Message{
		Method: "BYE", URI: uri("call"), CallID: id, Seq: releaseCSeq, SeqMethod: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)}},
	})
}

// Probe encodes an OPTIONS request. Its Call-ID contains the number.
func (p *SIP) Probe() (message []byte, number uint32) {
	p.probes++
	return sip.Append(nil, &sip.Message{
		Method: "OPTIONS", URI: uri("load"), CallID: probeIDPrefix + strconv.FormatUint(uint64(p.probes), 10), Seq: p.probes, SeqMethod: "OPTIONS"}), p.probes
}

// probeNumber returns the number of the probe with the given Call-ID, or 0 if it is not that of a probe.
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

// Next decodes the next message.
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
	case m.SeqMethod == "BYE" && m.Status >= 200:
		message.kind = releaseConfirmed
	case m.SeqMethod == "OPTIONS" && m.Status >= 200:
		message.probeReply = probeNumber(m.CallID)
	case m.SeqMethod != "INVITE":
	case m.Status >= 200:
		p.readFinalAnswer(m, message)
		// A length that is too short makes the rest of the description the beginning of the next message; one that is too long adds that
		// message to the description.
		message.damaged = message.kind == answer && (!call.ValidDescription(message.description) ||
			strings.Contains(message.description, "SIP/2.0") || !sip.MayStartMessage(in))
	default:
		message.kind = noAction
	}
	return message, nil
}

// readFinalAnswer interprets a final answer to INVITE. Each is acknowledged with an ACK, without which the dispatcher sends it again.
func (p *SIP) readFinalAnswer(m *sip.Message, message *Message) {
	message.final = true
	message.encodeReply = func(called string) []byte {
		return sip.Append(nil, &sip.Message{Method: "ACK", URI: uri(called), CallID: m.CallID, Seq: m.Seq, SeqMethod: "ACK"})
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
		return sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqMethod: m.SeqMethod})
	}
}

// parseCause parses "Q.850;cause=N". A release without a cause counts as normal.
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
