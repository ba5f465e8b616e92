package scale

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryrelay/internal/peer"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
)

// callWithin is the timeout of a set-up.
const callWithin = 8 * time.Second

// callers places calls alternately through a real controller and directly at a dispatcher, and records how long each set-up takes. For each
// controller there is one call at a time.
type callers struct {
	mu               sync.Mutex
	direct, relayed  *hdrhistogram.Histogram
	refused, unheard int
}

func newCallers() *callers {
	return &callers{direct: newHistogram(), relayed: newHistogram()}
}

// run places perSecond pairs of calls each second until over is closed. The number of the caller makes its call ids unique.
func (c *callers) run(number int, controller, dispatcher string, perSecond int, over <-chan struct{}) {
	next := time.NewTicker(time.Second / time.Duration(perSecond))
	defer next.Stop()
	var relay *peer.Caller
	var straight *directCaller
	defer func() {
		if relay != nil {
			_ = relay.Close()
		}
		if straight != nil {
			_ = straight.Close()
		}
	}()
	for placed := 0; ; placed++ {
		select {
		case <-over:
			return
		case <-next.C:
		}
		var err error
		if relay == nil {
			if relay, err = peer.Call("tcp", controller); err != nil {
				relay = nil
				continue // the controller does not listen yet
			}
		}
		if straight == nil {
			if straight, err = dialDirect(dispatcher); err != nil {
				straight = nil
			}
		}
		id := fmt.Sprintf("%08x%08x", number+1, placed)
		if !c.through(relay, id) {
			_ = relay.Close()
			relay = nil
		}
		if straight != nil && !c.straight(straight, "d"+id[1:]) {
			_ = straight.Close()
			straight = nil
		}
	}
}

// through places a call through a controller and releases it. It reports whether the connection is still usable.
func (c *callers) through(caller *peer.Caller, id string) bool {
	begun := time.Now()
	if caller.SetUp(id, callWithin, 0, "x") != nil {
		return false
	}
	for {
		m, err := caller.NextWithin(callWithin + time.Second)
		took := time.Since(begun)
		c.mu.Lock()
		switch {
		case err != nil:
			c.unheard++
		case m.ID != id: // the end of an earlier call
			c.mu.Unlock()
			continue
		case m.Type == "answer":
			_ = c.relayed.RecordValue(max(took.Microseconds(), 1))
		default:
			c.refused++
		}
		c.mu.Unlock()
		const normal = 16
		return err == nil && (m.Type != "answer" || caller.Release(id, normal) == nil)
	}
}

// straight places a call directly at a dispatcher and ends it. It reports whether the connection is still usable.
func (c *callers) straight(d *directCaller, id string) bool {
	begun := time.Now()
	if d.call(id) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.direct.RecordValue(max(time.Since(begun).Microseconds(), 1))
	return true
}

// latency returns the results so far.
func (c *callers) latency() *Latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Latency{Calls: int(c.relayed.TotalCount()), Refused: c.refused, Unanswered: c.unheard, Direct: quantiles(c.direct), Relayed: quantiles(c.relayed)}
}

// directCaller is a connection to a dispatcher that uses the protocol of a controller.
type directCaller struct {
	net.Conn
	in      *ring.Buffer
	decoder sip.Decoder
}

func dialDirect(dispatcher string) (*directCaller, error) {
	c, err := net.DialTimeout("tcp", dispatcher, callWithin)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	return &directCaller{Conn: c, in: ring.New(sip.MaxMessage)}, nil
}

// call places a call, waits for its final answer and ends the call.
func (d *directCaller) call(id string) error {
	const uri = "sip:k@net"
	if err := d.SetDeadline(time.Now().Add(callWithin)); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	invite := &sip.Message{Method: "INVITE", URI: uri, CallID: id, Seq: 1, SeqOf: "INVITE",
		Headers: []sip.Header{{Name: "P-Kind", Value: "send-setup"}, {Name: "P-Time-Left", Value: "8000"}}, Body: []byte("x")}
	if _, err := d.Write(sip.Append(nil, invite)); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	for {
		m, err := d.next()
		if err != nil {
			return err
		}
		if m.CallID == id && m.SeqOf == "INVITE" && m.Status >= 200 {
			break
		}
	}
	end := sip.Append(nil, &sip.Message{Method: "ACK", URI: uri, CallID: id, Seq: 1, SeqOf: "ACK"})
	_, err := d.Write(sip.Append(end, &sip.Message{Method: "BYE", URI: uri, CallID: id, Seq: 2, SeqOf: "BYE"}))
	return err //nolint:wrapcheck // it says what it is
}

// next reads the next message.
func (d *directCaller) next() (*sip.Message, error) {
	buf := make([]byte, 4096)
	for {
		if m, err := d.decoder.Next(d.in); m != nil || err != nil {
			return m, err //nolint:wrapcheck // it says what it is
		}
		n, err := d.Read(buf[:min(len(buf), d.in.Free())])
		if n == 0 && err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
		d.in.Write(buf[:n])
	}
}
