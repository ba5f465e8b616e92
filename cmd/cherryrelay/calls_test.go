package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/websocket"
)

// fixture is a node between two scripted dispatchers and callers. It uses one transport for callers and one for dispatchers.
type fixture struct {
	*testing.T
	node        *node
	transport   string // of the callers
	dispatchers [2]*peer.Dispatcher
	done        chan error
	list        call.Update
	observed    []string // messages that the peers received, in order
}

// transports are all combinations of a caller's and a dispatcher's transport.
var transports = [][2]string{{"tcp", "tcp"}, {"ws", "ws"}, {"ws", "tcp"}, {"tcp", "ws"}}

// runScenario runs a script over each combination of transports. The peers must receive the same messages on all of them.
func runScenario(t *testing.T, want []string, script func(f *fixture)) {
	t.Helper()
	runScenarioWithBounds(t, callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout}, want, script)
}

// runScenarioWithBounds is runScenario with limits for the connections of callers.
func runScenarioWithBounds(t *testing.T, bounds callers.Bounds, want []string, script func(f *fixture)) {
	t.Helper()
	for _, mix := range transports {
		t.Run(mix[0]+" to "+mix[1], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, mix[0], mix[1], bounds)
			script(f)
			if diff := cmp.Diff(want, f.observed); diff != "" {
				t.Errorf("messages of the peers (-want +got):\n%s", diff)
			}
		})
	}
}

func newFixture(t *testing.T, transport, dispatchers string, bounds callers.Bounds) *fixture {
	return newFixtureAt(t, "127.0.0.1:0", "127.0.0.1:0", transport, dispatchers, bounds)
}

func newFixtureAt(t *testing.T, lines, api, transport, dispatchers string, bounds callers.Bounds) *fixture {
	t.Helper()
	var d [2]*peer.Dispatcher
	for i := range d {
		var err error
		if d[i], err = peer.StartDispatcher(dispatchers, "127.0.0.1:0", "x0:40;x1:40"); err != nil {
			t.Fatal(err)
		}
	}
	return newFixtureWith(t, lines, api, transport, d, bounds, testSettings(t))
}

func newFixtureWith(t *testing.T, lines, api, transport string, dispatchers [2]*peer.Dispatcher, bounds callers.Bounds, s *settings.Settings) *fixture {
	return newLoggedFixture(t, lines, api, transport, dispatchers, bounds, s, slog.New(slog.DiscardHandler))
}

func newLoggedFixture(t *testing.T, lines, api, transport string, dispatchers [2]*peer.Dispatcher, bounds callers.Bounds, s *settings.Settings, log *slog.Logger) *fixture {
	c := new(config.Config)
	c.Listen, c.Management, c.Seed = lines, "127.0.0.1:0", "1"
	c.WebSocket = &config.WebSocket{Listen: api, Path: peer.Path}
	c.Settings = s
	n, err := startWithBounds(c, log, bounds)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{T: t, node: n, transport: transport, done: make(chan error, 1), dispatchers: dispatchers}
	go func() { f.done <- n.run() }()
	var u call.Update
	for i, d := range f.dispatchers {
		u.Servers = append(u.Servers, call.Server{
			ServerEntry: control.ServerEntry{ID: control.ServerID(fmt.Sprint("d", i)), Cell: i}, Address: d.Address()})
	}
	u.Complete = true
	f.list = u
	f.sendList()
	t.Cleanup(func() {
		n.loop.Quit()
		for _, d := range f.dispatchers {
			d.Kill()
		}
	})
	return f
}

func (f *fixture) must(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

func (f *fixture) record(format string, args ...any) {
	f.observed = append(f.observed, fmt.Sprintf(format, args...))
}

// newCaller connects a caller and pings the node until it answers that it accepts calls.
func (f *fixture) newCaller() *peer.Caller {
	f.Helper()
	c := f.connect()
	for passed := 0; passed == 0; {
		f.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		m, err := c.Next()
		f.must(err)
		passed = m.CauseOr(0)
	}
	return c
}

// connect connects a caller without sending anything.
func (f *fixture) connect() *peer.Caller {
	f.Helper()
	address := f.node.lines.Address()
	if f.transport == "ws" {
		address = f.node.api.Address()
	}
	c, err := peer.DialCaller(f.transport, address)
	f.must(err)
	f.Cleanup(func() { _ = c.Close() })
	return c
}

// recordMessage records the next message to a caller.
func (f *fixture) recordMessage(c *peer.Caller) {
	f.Helper()
	m, err := c.Next()
	f.must(err)
	text := m.Description()
	if m.Cause != nil {
		text = fmt.Sprint(*m.Cause)
	}
	if m.Fields["wait"] != "" {
		text += " wait " + string(m.Fields["wait"])
	}
	f.record("caller: %s %s %s", m.Type, strings.TrimLeft(m.ID, "0"), text)
}

// recordEvent records the next event at a dispatcher.
func (f *fixture) recordEvent(d int) peer.Event {
	f.Helper()
	e, err := f.dispatchers[d].Next()
	f.must(err)
	text := e.Description
	if e.Kind == "release" {
		text = fmt.Sprint(e.Cause)
	}
	f.record("d%d: %s %s %s", d, e.Kind, strings.TrimLeft(e.ID, "0"), text)
	return e
}

// waitAck waits for the ACK of a final answer if the transport has one.
func (f *fixture) waitAck(d int) {
	f.Helper()
	if !strings.HasPrefix(f.dispatchers[d].Address(), "ws") {
		select {
		case <-f.dispatchers[d].Acks:
		case <-time.After(peer.Timeout):
			f.Fatal("no ACK")
		}
	}
}

// id returns the n-th call ID.
func id(n int) string { return fmt.Sprintf("%016x", n) }

const longTimeout = 60 * time.Second

func TestACallIsEstablishedAndEnds(t *testing.T) {
	sdp := "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9 \"ü\" <&>\r\n"
	runScenario(t, []string{
		"d1: setup 1 " + sdp, "caller: answer 1 " + sdp, "caller: release 1 16",
		"d0: setup 2 x", "caller: answer 2 y", "d0: release 2 31",
		"d0: setup 3 x", "caller: answer 3 y", "caller: release 3 41",
	}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 1, sdp))
		e := f.recordEvent(1)
		if e.Class != "send-setup" || e.Key != "k"+id(1) || e.Left <= 0 || e.Left > longTimeout {
			t.Errorf("set-up arrived as %+v", e)
		}
		f.must(e.Answer(sdp))
		f.recordMessage(c)
		f.waitAck(1)
		f.must(f.dispatchers[1].Release(id(1), 16))
		f.recordMessage(c)
		// The caller ends the second call.
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.must(c.Release(id(2), 31))
		f.recordEvent(0)
		// The dispatcher ends the third call with cause 41.
		f.must(c.SetUp(id(3), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.must(f.dispatchers[0].Release(id(3), 41))
		f.recordMessage(c)
	})
}

func TestARefusedAttemptGoesElsewhere(t *testing.T) {
	// Dispatchers number every answer 1. When the answer to a second attempt was taken for the first attempt's, it was discarded and its
	// dispatcher became suspect: a fifth of the calls of a quiet day was lost.
	runScenario(t, []string{"d0: setup 1 x", "d1: setup 1 x", "caller: answer 1 y", "caller: release 1 16"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Refuse(peer.NoLine))
		f.waitAck(0)
		f.must(f.recordEvent(1).Answer("y"))
		f.recordMessage(c)
		f.waitAck(1)
		f.must(f.dispatchers[1].Release(id(1), 16))
		f.recordMessage(c)
	})
}

func TestAnAttemptIsCancelledAtTheDeadline(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "d0: release 1 16", "caller: release", "d0: release 1 16"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), 400*time.Millisecond, 0, "x"))
		e := f.recordEvent(0)
		f.recordEvent(0)
		m, err := c.Next()
		f.must(err)
		f.record("caller: %s", m.Type) // refused or failed, depending on the time left at the cancellation
		f.must(e.Answer("y"))          // too late: the dispatcher's call is released
		f.waitAck(0)
		f.recordEvent(0)
	})
}

func TestAnAnswerAfterACancellationIsReleased(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "d0: release 1 16", "d0: release 1 16", "caller: pong  1"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		f.must(c.Release(id(1), 16))
		f.recordEvent(0)
		f.must(e.Answer("y")) // crosses the cancellation
		f.recordEvent(0)
		f.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		f.recordMessage(c) // no other message comes for the call
	})
}

func TestAConnectionThatClosesInsideAMessage(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "d0: release 1 16", "d1: setup 2 x", "caller: answer 2 y"}, func(f *fixture) {
		other, c := f.newCaller(), f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.recordEvent(0)
		whole := c.Frame([]byte(`{"type":"setup","id":"` + id(3) + `"}`))
		f.must(c.SendRaw(whole[:len(whole)/2]))
		f.must(c.Close())
		f.recordEvent(0)
		f.must(other.SetUp(id(2), longTimeout, 1, "x"))
		f.must(f.recordEvent(1).Answer("y"))
		f.recordMessage(other)
	})
}

func TestAnIllegalMessageClosesItsConnectionAlone(t *testing.T) {
	for name, text := range map[string]string{
		"unreadable": `{"type":"setup",`, "oversized": strings.Repeat("x", jsonl.MaxMessageSize+1),
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, []string{"d0: setup 1 x", "caller: release 1 41", "d0: release 1 16", "d1: setup 2 x", "caller: answer 2 y"},
				func(f *fixture) {
					other, c := f.newCaller(), f.newCaller()
					f.must(c.SetUp(id(1), longTimeout, 0, "x"))
					f.recordEvent(0)
					f.must(c.SendRaw(c.Frame([]byte(text))))
					f.recordMessage(c)
					_, err := c.Next()
					var closed *websocket.Error
					if errors.As(err, &closed) && closed.Code != websocket.InvalidPayload && closed.Code != websocket.TooBig {
						t.Errorf("closed with %v", closed)
					}
					if err == nil {
						t.Error("the connection stays open")
					}
					f.recordEvent(0)
					f.must(other.SetUp(id(2), longTimeout, 1, "x"))
					f.must(f.recordEvent(1).Answer("y"))
					f.recordMessage(other)
				})
		})
	}
}

func TestBadFieldsFailTheirSetUpAlone(t *testing.T) {
	// None of these may reach a dispatcher: it closes a shared connection on a message that it cannot parse.
	good := `"class":"send-setup","tenant":"acme","left":900,"key":"k1","extras":"dest:0;width:1;via:-1"},"sdp":"x"`
	bad := [][2]string{
		{`900`, `"soon"`}, {`900`, `-5`}, {`900`, `90001`}, {`900`, `99999999999999999999999`}, {`900`, `"NaN"`}, {`900`, `null`},
		{`-setup`, `-setup_x`}, {`acme`, `nobody`}, {`k1`, ``}, {`k1`, `k 1`}, {`k1`, `k\r\n1`}, {`k1`, `k1@net`}, {`k1`, strings.Repeat("k", 65)},
		{`dest:0`, `dest:nan`}, {`dest:0`, `dest:99`}, {`dest:0`, `dest:-3`}, {`width:1`, `width:400`}, {`width:1`, `width:0`},
		{`dest:0;width:1;via:-1`, `x`}, {`via:-1`, `via:-7`}, {`,"sdp":"x"`, ``}, {`"sdp":"x"`, `"sdp":""`}, {`"sdp":"x"`, `"sdp":"\u0000"`},
		{`"sdp":"x"`, `"sdp":"` + strings.Repeat("x", call.MaxDescription+1) + `"`},
	}
	want := make([]string, 0, len(bad)+3)
	for i := range bad {
		want = append(want, fmt.Sprintf("caller: release %x 100", i+1))
	}
	want = append(want, "caller: release fd 41", "d0: setup ff x", "caller: answer ff y")
	runScenario(t, want, func(f *fixture) {
		send := func(c *peer.Caller, n int, fields string) {
			f.must(c.SendRaw(c.Frame([]byte(`{"type":"setup","id":"` + id(n) + `","fields":{` + fields + `}`))))
		}
		c := f.newCaller()
		for i, change := range bad {
			if i%4 == 0 {
				c = f.newCaller() // many bad set-ups close the connection
			}
			fields := strings.Replace(good, change[0], change[1], 1)
			if fields == good {
				t.Fatalf("%s is not in the set-up", change[0])
			}
			send(c, i+1, fields)
			f.recordMessage(c)
		}
		c = f.newCaller()
		send(c, 0xfd, strings.Replace(good, "900", "0", 1)) // valid, but its deadline has passed
		f.recordMessage(c)
		f.must(c.SetUp(id(0xff), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
	})
}

func TestAConnectionWithOnlyBadSetUpsIsClosed(t *testing.T) {
	runScenario(t, nil, func(f *fixture) {
		c := f.newCaller()
		for i := range 100 {
			if c.SendRaw(c.Frame([]byte(`{"type":"setup","id":"`+id(i+1)+`","fields":{"class":"none"}}`))) != nil {
				break
			}
		}
		f.waitClosed(c)
	})
}

func TestAnIdIsUsedOnce(t *testing.T) {
	// A second set-up with the ID of a pending one gets no answer of its own on the same connection. One on another connection does not
	// affect the first.
	runScenario(t, []string{"d0: setup 1 x", "caller: release 1 100", "caller: answer 1 y", "d0: setup 2 x", "caller: release 2 41",
		"d0: release 2 16"}, func(f *fixture) {
		c, other := f.newCaller(), f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		f.must(other.SetUp(id(1), longTimeout, 1, "z"))
		f.recordMessage(other)
		_ = other.Release(id(1), 16) // must not end the other connection's call
		f.waitClosed(other)
		f.must(e.Answer("y"))
		f.recordMessage(c)
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		f.recordEvent(0)
		f.must(c.SetUp(id(2), longTimeout, 0, "z"))
		f.recordMessage(c)
		f.waitClosed(c)
		f.recordEvent(0)
	})
}

// waitConnections waits until a dispatcher has the given number of connections.
func (f *fixture) waitConnections(d, links int) {
	f.Helper()
	for begin := time.Now(); f.dispatchers[d].ConnCount() < links; time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > peer.Timeout {
			f.Fatalf("dispatcher %d has %d connections, want %d", d, f.dispatchers[d].ConnCount(), links)
		}
	}
}

func TestAnInvalidAnswerIsNoAnswer(t *testing.T) {
	// An invalid answer closes its connection: a call that it may have established is released, the set-up is sent again after the guard,
	// and other calls are not affected.
	for name, answer := range map[string]func(e peer.Event) error{
		"noise":     func(e peer.Event) error { return e.Answer("\x01\x02\x03") },
		"empty":     func(e peer.Event) error { return e.Answer("") },
		"too long":  func(e peer.Event) error { return e.Answer(strings.Repeat("\n", jsonl.MaxMessageSize-400)) },
		"cut short": func(e peer.Event) error { return e.SendPartialAnswer() },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, []string{"d1: setup 2 x", "d0: setup 1 x", "again", "caller: answer 2 y"}, func(f *fixture) {
				c := f.newCaller()
				f.must(c.SetUp(id(2), longTimeout, 1, "x"))
				second := f.recordEvent(1)
				f.must(c.SetUp(id(1), longTimeout, 0, "x"))
				f.must(answer(f.recordEvent(0)))
				wanted := []string{"release", "setup"}
				if name == "too long" && !strings.HasPrefix(f.dispatchers[0].Address(), "ws") {
					wanted = []string{"release"} // it is readable, but no message to a caller can hold it: the call has failed
				}
				for _, want := range wanted {
					if e, err := f.dispatchers[0].Next(); err != nil || e.Kind != want || e.ID != id(1) {
						t.Errorf("got %v, %v, want a %s", e, err, want)
					}
				}
				f.record("again")
				f.must(second.Answer("y"))
				f.recordMessage(c)
			})
		})
	}
}

func TestStrayAnswersAreDropped(t *testing.T) {
	// An early answer with another ID and a duplicate answer are neither answered nor released, and are not taken for another call's.
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "d0: setup 2 x", "caller: answer 2 z"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		stray := e
		stray.ID = id(0x99)
		f.must(stray.Answer("stray"))
		f.must(stray.Answer("\x01\x02")) // the content does not matter: the connection stays usable
		f.must(e.Answer("y"))
		f.must(e.Answer("y"))
		f.recordMessage(c)
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("z"))
		f.recordMessage(c)
	})
}

func TestAnUnresponsiveConnectionIsAvoided(t *testing.T) {
	// A later set-up to the same dispatcher is answered on another connection. The earlier set-up used to wait until its deadline.
	runScenario(t, []string{"d0: setup 1 x", "d0: setup 2 x", "caller: answer 2 y", "d0: setup 1 x", "caller: answer 1 z"},
		func(f *fixture) {
			f.waitConnections(0, 1)
			c := f.newCaller()
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			f.recordEvent(0)
			f.waitConnections(0, 2)            // a connection without any message makes the pool open another
			time.Sleep(400 * time.Millisecond) // more than the answers may be apart; a slow machine makes it longer
			f.must(c.SetUp(id(2), longTimeout, 0, "x"))
			f.must(f.recordEvent(0).Answer("y"))
			f.recordMessage(c)
			f.must(f.recordEvent(0).Answer("z"))
			f.recordMessage(c)
		})
}

func TestCallsOfADispatcherThatDiesAreReleased(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 1 41"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.dispatchers[0].Kill()
		f.recordMessage(c)
	})
}

func TestCallsOfADispatcherThatStopsSilentlyAreReleased(t *testing.T) {
	// At the end of a drain a dispatcher left its connections open without sending anything, and refused new ones. Its calls were released
	// only when the list reported its removal, 12 s later.
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 1 41"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.dispatchers[0].StopListening()
		f.recordMessage(c)
	})
}

func TestACallOutlivesItsConnections(t *testing.T) {
	// An established call does not belong to a connection: its end may arrive and be delivered on new connections. The same holds for a
	// call of the previous process.
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 1 16", "caller: release 77 41"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		f.must(f.recordEvent(0).Answer("y"))
		f.recordMessage(c)
		f.must(c.Close())
		f.dispatchers[0].ResetConns()
		for f.dispatchers[0].Release(id(1), 16) != nil {
			time.Sleep(10 * time.Millisecond) // until the node has connected again
		}
		c = f.connect()
		f.recordMessage(c)
		f.must(f.dispatchers[0].Release(id(0x77), 41))
		f.recordMessage(c)
		f.must(f.dispatchers[0].Release(id(0x77), 41)) // sent twice, delivered once
	})
}

// waitClosed waits until the controller closes the connection.
func (f *fixture) waitClosed(c *peer.Caller) {
	f.Helper()
	for {
		_, err := c.Next()
		if err == nil {
			continue // a release that was sent before the close
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			f.Error("the connection stays open")
		}
		return
	}
}

func TestASetUpAvoidsAConnectionThatNeverAnswered(t *testing.T) {
	// Trial calls to a dispatcher were sent one at a time, all on the same unresponsive connection. The dispatcher was considered
	// unresponsive for the rest of the day.
	runScenario(t, []string{"d0: setup 1 x", "d0: release 1 16", "d0: setup 2 x", "caller: answer 2 y"}, func(f *fixture) {
		f.waitConnections(0, 1)
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		f.must(c.Release(id(1), 16))
		f.recordEvent(0)
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		second := f.recordEvent(0)
		if second.SameConn(e) {
			t.Error("the next set-up went out on the connection on which the previous one had no answer")
		}
		f.must(second.Answer("y"))
		f.recordMessage(c)
	})
}

func TestASetUpAvoidsAConnectionThatWasIdleForLong(t *testing.T) {
	// A set-up and its cancellation were sent on the connection to a dispatcher that was cut off. They arrived together when the connection
	// recovered, while the call was already being sent elsewhere: sooner than the guard allows.
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "d0: setup 2 x", "caller: answer 2 z"}, func(f *fixture) {
		f.waitConnections(0, 1)
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		f.must(e.Answer("y"))
		f.recordMessage(c)
		time.Sleep(2600 * time.Millisecond) // a slow machine makes it longer
		f.must(c.SetUp(id(2), longTimeout, 0, "x"))
		second := f.recordEvent(0)
		if second.SameConn(e) {
			t.Error("the set-up went out on a connection that had been idle for 2.6 s")
		}
		f.must(second.Answer("z"))
		f.recordMessage(c)
	})
}

func TestIdleConnectionsAreEvicted(t *testing.T) {
	// Callers that placed one call and kept their connection used up the descriptors: no dispatcher could be connected to, and no new
	// caller was accepted. A connection with a pending set-up is never evicted.
	runScenarioWithBounds(t, callers.Bounds{MaxConnections: 2, MessageTimeout: longTimeout, IdleTimeout: longTimeout}, []string{"d0: setup 1 x", "d1: setup 2 x",
		"caller: answer 1 y", "caller: answer 2 y", "caller: release 1 16"}, func(f *fixture) {
		c, kept := f.newCaller(), f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		other := f.newCaller()
		f.waitClosed(kept)
		f.must(other.SetUp(id(2), longTimeout, 1, "x"))
		second := f.recordEvent(1)
		f.must(e.Answer("y"))
		f.recordMessage(c)
		f.must(second.Answer("y"))
		f.recordMessage(other)
		_ = f.newCaller()
		f.waitClosed(c) // idle for longer than the other
		f.must(f.dispatchers[0].Release(id(1), 16))
		f.recordMessage(other) // the end of its call is delivered on an open connection
	})
}

func TestAConnectionIsKeptWhileItsCallStands(t *testing.T) {
	// A caller keeps its connection for the duration of its call and may send a set-up on it at any moment. That set-up crossed the close
	// and was lost.
	idle := 2 * time.Second
	runScenarioWithBounds(t, callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: idle}, []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 1 16"},
		func(f *fixture) {
			c := f.newCaller()
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			f.must(f.recordEvent(0).Answer("y"))
			f.recordMessage(c)
			time.Sleep(idle + idle/2)
			f.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
			if m, err := c.Next(); err != nil || m.Type != "pong" {
				t.Errorf("got %v, %v", m, err)
			}
			f.must(f.dispatchers[0].Release(id(1), 16))
			f.recordMessage(c)
			f.waitClosed(c)
		})
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	// Hundreds of clients connect and send nothing, send half a message, or stay connected after their call.
	soon := 50 * time.Millisecond
	for name, test := range map[string]struct {
		bounds callers.Bounds
		say    func(f *fixture, c *peer.Caller)
	}{
		"silent": {callers.Bounds{MessageTimeout: soon, IdleTimeout: longTimeout}, func(*fixture, *peer.Caller) {}},
		"half a message": {callers.Bounds{MessageTimeout: soon, IdleTimeout: longTimeout}, func(f *fixture, c *peer.Caller) {
			whole := c.Frame([]byte(`{"type":"ping","id":"` + id(3) + `"}`))
			f.must(c.SendRaw(whole[:len(whole)/2]))
		}},
		"cancelled": {callers.Bounds{MessageTimeout: soon, IdleTimeout: longTimeout}, func(f *fixture, c *peer.Caller) {
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			f.must(c.Release(id(1), 16))
		}},
		"idle": {callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: soon}, func(f *fixture, c *peer.Caller) {
			f.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runScenarioWithBounds(t, test.bounds, nil, func(f *fixture) {
				c := f.connect()
				test.say(f, c)
				f.waitClosed(c)
			})
		})
	}
}

func TestAPlannedRestartCompletesOpenSetUps(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "d1: setup 2 x", "caller: answer 1 y", "caller: answer 2 y"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		e := f.recordEvent(0)
		f.node.drain()
		f.must(c.SetUp(id(2), longTimeout, 1, "x")) // still in transit when the signal came
		second := f.recordEvent(1)
		f.must(e.Answer("y"))
		f.recordMessage(c)
		f.must(second.Answer("y"))
		f.recordMessage(c)
		select {
		case err := <-f.done:
			f.must(err)
		case <-time.After(peer.Timeout):
			f.Fatal("the node does not end")
		}
		if _, err := c.Next(); !errors.Is(err, io.EOF) && err == nil {
			t.Error("the node's connection stays open")
		}
	})
}

// TestAnEndOnAnAbandonedConnection: a dispatcher pauses, and a connection to it is abandoned as unresponsive. When the dispatcher
// continues, it sends the end of a call there before it notices the close. As a new connection is already open, it sends the end nowhere
// else.
func TestAnEndOnAnAbandonedConnection(t *testing.T) {
	runScenario(t, []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 2 42 wait 2000", "caller: release 1 16"}, func(f *fixture) {
		c := f.newCaller()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		established := f.recordEvent(0)
		f.must(established.Answer("y"))
		f.recordMessage(c)
		d := f.dispatchers[0]
		d.PauseInput()
		f.dispatchers[1].Kill()
		f.must(c.SetUp(id(2), 300*time.Millisecond, 0, "x"))
		f.recordMessage(c)
		time.Sleep(time.Second) // longer than the messages sent before take to arrive
		f.must(established.ReleaseOnConn(id(1), 16))
		f.recordMessage(c)
		d.ResumeInput()
	})
}
