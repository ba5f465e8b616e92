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

// TestWhatBecomesOfAPing guards against a reply that counts before all has been read that its dispatcher told ahead of it, and against a ping of which
// nothing is heard.
func TestWhatBecomesOfAPing(t *testing.T) {
	t.Parallel()
	pinged := func(s *orderSite, done func(bool)) { s.pool.Ping("first", orderedID, 0, done) }
	attempted := func(s *orderSite) { s.pool.SetUp("first", attemptOf(orderedID, 0)) }
	reset := func(s *orderSite) { s.first.all[0].reset() }
	full := func(s *orderSite) { s.first.all[0].full = true }
	for name, test := range map[string]struct {
		before []func(s *orderSite) // each in a turn of its own, ahead of the ping
		after  []func(s *orderSite)
		want   []bool
	}{
		"its reply is on its way":             {[]func(*orderSite){attempted}, nil, nil},
		"its reply comes":                     {[]func(*orderSite){attempted}, []func(*orderSite){(*orderSite).delivers}, []bool{true}},
		"the reply to an earlier probe comes": {[]func(*orderSite){attempted, (*orderSite).probes}, []func(*orderSite){(*orderSite).deliversOne}, nil},
		"its connection is closed in order":   {[]func(*orderSite){attempted, (*orderSite).stands}, []func(*orderSite){(*orderSite).closes, (*orderSite).delivers}, []bool{false}},
		"its connection is reset":             {[]func(*orderSite){attempted}, []func(*orderSite){reset}, []bool{false}},
		"its attempt lies in the queue":       {[]func(*orderSite){full, attempted}, nil, []bool{true}},
		"its attempt waits for a connection":  {[]func(*orderSite){reset, attempted}, nil, []bool{true}},
		"there is no such attempt":            {nil, []func(*orderSite){(*orderSite).delivers}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				s.pool.core = &releaseLog{standings: standings{ends: ends{told: map[string]control.Outcome{}}, at: map[control.ServerID][]string{}}}
				defer s.run()()
				s.do(func() { s.list(control.Active, "first") })
				time.Sleep(time.Second)
				s.do(s.delivers)
				s.calls[orderedID] = &orderedCall{}
				for _, step := range test.before {
					s.do(func() { step(s); s.pool.Flush() })
				}
				var got []bool
				s.do(func() { pinged(s, func(replied bool) { got = append(got, replied) }); s.pool.Flush() })
				for _, step := range test.after {
					s.do(func() { step(s) })
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("done is called with %v, want %v", got, test.want)
				}
			})
		})
	}
}

// delivers has all arrive that is on its way on the first connection.
func (s *orderSite) delivers() { s.first.all[0].deliver() }

// deliversOne has the first message arrive that is on its way there.
func (s *orderSite) deliversOne() {
	c := s.first.all[0]
	later := c.flight[1:]
	c.flight = c.flight[:1]
	c.deliver()
	c.flight = later
}

// probes has a report asked for, on the only connection.
func (s *orderSite) probes() { s.pool.Probe("first") }

// stands has the call established, though its answer has not come yet.
func (s *orderSite) stands() { s.first.finalAnswer(orderedID, 200) }

// closes has the dispatcher close the first connection, without a reply to the probe.
func (s *orderSite) closes() {
	c := s.first.all[0]
	c.flight = slices.DeleteFunc(c.flight, func(m standInMessage) bool { return isReplyToProbe(m.text) })
	c.close()
}

func isReplyToProbe(text []byte) bool {
	in := ring.New(len(text) + 1)
	in.Write(text)
	fields := []string{}
	m, err := (&SIP{fields: &fields}).Next(in)
	return err == nil && m != nil && m.probe > 0
}

// TestRepliesToProbesAreNumbered guards against a reply that is taken for that to another probe, in either form.
func TestRepliesToProbesAreNumbered(t *testing.T) {
	t.Parallel()
	fields := []string{"idle"}
	t.Run("SIP", func(t *testing.T) {
		t.Parallel()
		wire := &SIP{fields: &fields}
		for want := uint32(1); want <= 3; want++ {
			if _, got := wire.Probe(); got != want {
				t.Errorf("the probe has the number %d, want %d", got, want)
			}
		}
		for id, want := range map[string]uint32{"probe-2": 2, "probe-x": 0, "probe-": 0, "probe--1": 0, "state": 0, orderedID: 0} {
			in := ring.New(1 << 10)
			in.Write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: id, Seq: 1, SeqOf: "OPTIONS",
				Headers: []sip.Header{{Name: "P-Report", Value: "idle:3"}}}))
			m, err := wire.Next(in)
			if err != nil || m.probe != want || m.kind != report {
				t.Errorf("the reply to %s: %+v, %v, want the number %d and a report", id, m, err, want)
			}
		}
	})
	t.Run("WebSocket", func(t *testing.T) {
		t.Parallel()
		wire := &WebSocket{fields: &fields, open: true}
		for want := uint32(1); want <= 3; want++ {
			if _, got := wire.Probe(); got != want {
				t.Errorf("the probe has the number %d, want %d", got, want)
			}
			in := ring.New(1 << 10)
			in.Write(websocket.Append(nil, websocket.Text, []byte(`{"type":"pong","id":"load","cause":1,"fields":{"report":"idle:3"}}`), false))
			m, err := wire.Next(in)
			if err != nil || m.probe != want || m.kind != report {
				t.Errorf("the reply: %+v, %v, want the number %d and a report", m, err, want)
			}
		}
	})
}
