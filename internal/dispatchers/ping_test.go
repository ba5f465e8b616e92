package dispatchers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// TestPingResults guards against a reply that counts before everything that its dispatcher sent ahead of it was read, and against a ping
// without a result.
func TestPingResults(t *testing.T) {
	t.Parallel()
	ping := func(h *harness, onReply func(bool)) { h.pool.Ping("first", testCallID, 0, onReply) }
	setUp := func(h *harness) { h.pool.SetUp("first", attemptOf(testCallID, 0)) }
	reset := func(h *harness) { h.first.allConns[0].reset() }
	blockWrites := func(h *harness) { h.first.allConns[0].writeBlocked = true }
	for name, test := range map[string]struct {
		before []func(h *harness) // each in its own loop iteration, before the ping
		after  []func(h *harness)
		want   []bool
	}{
		"its reply is in transit":               {[]func(*harness){setUp}, nil, nil},
		"its reply arrives":                     {[]func(*harness){setUp}, []func(*harness){(*harness).deliverFirst}, []bool{true}},
		"the reply to an earlier probe arrives": {[]func(*harness){setUp, (*harness).probeFirst}, []func(*harness){(*harness).deliverOneMessage}, nil},
		"its connection is closed cleanly": {[]func(*harness){setUp, (*harness).answerFirst},
			[]func(*harness){(*harness).closeFirst, (*harness).deliverFirst}, []bool{false}},
		"its connection is reset":            {[]func(*harness){setUp}, []func(*harness){reset}, []bool{false}},
		"its attempt is queued":              {[]func(*harness){blockWrites, setUp}, nil, []bool{true}},
		"its attempt waits for a connection": {[]func(*harness){reset, setUp}, nil, []bool{true}},
		"there is no such attempt":           {nil, []func(*harness){(*harness).deliverFirst}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, initialState{})
				h.pool.core = &releaseRecorder{fakeCore: fakeCore{outcomeRecorder: outcomeRecorder{outcomes: map[string]control.Outcome{}},
					calls: map[control.ServerID][]string{}}}
				defer h.run()()
				h.runOnLoop(func() { h.updateList(control.Active, "first") })
				time.Sleep(time.Second)
				h.runOnLoop(h.deliverFirst)
				h.calls[testCallID] = &callRecord{}
				for _, step := range test.before {
					h.runOnLoop(func() { step(h); h.pool.Flush() })
				}
				var got []bool
				h.runOnLoop(func() { ping(h, func(replied bool) { got = append(got, replied) }); h.pool.Flush() })
				for _, step := range test.after {
					h.runOnLoop(func() { step(h) })
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("onReply was called with %v, want %v", got, test.want)
				}
			})
		})
	}
}

// deliverFirst delivers all that is in transit on the first connection.
func (h *harness) deliverFirst() { h.first.allConns[0].deliverToPool() }

// deliverOneMessage delivers the first message that is in transit there.
func (h *harness) deliverOneMessage() {
	c := h.first.allConns[0]
	rest := c.inTransit[1:]
	c.inTransit = c.inTransit[:1]
	c.deliverToPool()
	c.inTransit = rest
}

// probeFirst requests a report on the only connection.
func (h *harness) probeFirst() { h.pool.Probe("first") }

// answerFirst has the first dispatcher establish the call; its answer does not arrive yet.
func (h *harness) answerFirst() { h.first.sendFinalAnswer(testCallID, 200) }

// closeFirst has the dispatcher close the first connection without a reply to the probe.
func (h *harness) closeFirst() {
	c := h.first.allConns[0]
	c.inTransit = slices.DeleteFunc(c.inTransit, func(m fakeMessage) bool { return isProbeReply(m.text) })
	c.close()
}

func isProbeReply(text []byte) bool {
	in := ring.New(len(text) + 1)
	in.Write(text)
	fields := []string{}
	m, err := (&SIP{fields: &fields}).Next(in)
	return err == nil && m != nil && m.probeReply > 0
}

// TestRepliesToProbesAreNumbered guards against a reply that is taken for that to another probe, in either protocol.
func TestRepliesToProbesAreNumbered(t *testing.T) {
	t.Parallel()
	fields := []string{"idle"}
	t.Run("SIP", func(t *testing.T) {
		t.Parallel()
		protocol := &SIP{fields: &fields}
		for want := uint32(1); want <= 3; want++ {
			if _, got := protocol.Probe(); got != want {
				t.Errorf("the probe has the number %d, want %d", got, want)
			}
		}
		for id, want := range map[string]uint32{"probe-2": 2, "probe-x": 0, "probe-": 0, "probe--1": 0, "state": 0, testCallID: 0} {
			in := ring.New(1 << 10)
			in.Write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: id, Seq: 1, SeqMethod: "OPTIONS",
				Headers: []sip.Header{{Name: "P-Report", Value: "idle:3"}}}))
			m, err := protocol.Next(in)
			if err != nil || m.probeReply != want || m.kind != report {
				t.Errorf("the reply to %s: %+v, %v, want the number %d and a report", id, m, err, want)
			}
		}
	})
	t.Run("WebSocket", func(t *testing.T) {
		t.Parallel()
		protocol := &WebSocket{fields: &fields, handshakeDone: true}
		for want := uint32(1); want <= 3; want++ {
			if _, got := protocol.Probe(); got != want {
				t.Errorf("the probe has the number %d, want %d", got, want)
			}
			in := ring.New(1 << 10)
			in.Write(websocket.Append(nil, websocket.Text, []byte(`{"type":"pong","id":"load","cause":1,"fields":{"report":"idle:3"}}`), false))
			m, err := protocol.Next(in)
			if err != nil || m.probeReply != want || m.kind != report {
				t.Errorf("the reply: %+v, %v, want the number %d and a report", m, err, want)
			}
		}
	})
}
