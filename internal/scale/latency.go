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

// callTimeout is the timeout of a set-up.
const callTimeout = 8 * time.Second

// callers places calls alternately through a real controller and directly at a dispatcher, and records how long each set-up takes. For each
// controller there is one call at a time.
type callers struct {
	mu                  sync.Mutex
	direct, relayed     *hdrhistogram.Histogram
	refused, unanswered int
}

func newCallers() *callers {
	return &callers{direct: newHistogram(), relayed: newHistogram()}
}

// run places perSecond pairs of calls each second until done is closed. The number of the caller makes its call ids unique.
func (c *callers) run(number int, controller, dispatcher string, perSecond int, done <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var relayed *peer.Caller
	var direct *directCaller
	defer func() {
		if relayed != nil {
			_ = relayed.Close()
		}
		if direct != nil {
			_ = direct.Close()
		}
	}()
	for placed := 0; ; placed++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		var err error
		if relayed == nil {
			if relayed, err = peer.DialCaller("tcp", controller); err != nil {
				relayed = nil
				continue // the controller does not listen yet
			}
		}
		if direct == nil {
			if direct, err = dialDirect(dispatcher); err != nil {
				direct = nil
			}
		}
		id := fmt.Sprintf("%08x%08x", number+1, placed)
		if !c.placeRelayed(relayed, id) {
			_ = relayed.Close()
			relayed = nil
		}
		if direct != nil && !c.placeDirect(direct, "d"+id[1:]) {
			_ = direct.Close()
			direct = nil
		}
	}
}

// placeRelayed places a call through a controller and releases it. It reports whether the connection is still usable.
func (c *callers) placeRelayed(caller *peer.Caller, id string) bool {
	start := time.Now()
	if caller.SetUp(id, callTimeout, 0, "x") != nil {
		return false
	}
	for {
		m, err := caller.NextWithin(callTimeout + time.Second)
		elapsed := time.Since(start)
		c.mu.Lock()
		switch {
		case err != nil:
			c.unanswered++
		case m.ID != id: // the end of an earlier call
			c.mu.Unlock()
			continue
		case m.Type == "answer":
			_ = c.relayed.RecordValue(max(elapsed.Microseconds(), 1))
		default:
			c.refused++
		}
		c.mu.Unlock()
		const normal = 16
		return err == nil && (m.Type != "answer" || caller.Release(id, normal) == nil)
	}
}

// placeDirect places a call directly at a dispatcher and ends it. It reports whether the connection is still usable.
func (c *callers) placeDirect(d *directCaller, id string) bool {
	start := time.Now()
	if d.call(id) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.direct.RecordValue(max(time.Since(start).Microseconds(), 1))
	return true
}

// latency returns the results so far.
func (c *callers) latency() *Latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Latency{Calls: int(c.relayed.TotalCount()), Refused: c.refused, Unanswered: c.unanswered,
		Direct: quantiles(c.direct), Relayed: quantiles(c.relayed)}
}

// directCaller is a connection to a dispatcher that uses the protocol of a controller.
type directCaller struct {
	net.Conn
	in      *ring.Buffer
	decoder sip.Decoder
}

func dialDirect(dispatcher string) (*directCaller, error) {
	c, err := net.DialTimeout("tcp", dispatcher, callTimeout)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	return &directCaller{Conn: c, in: ring.New(sip.MaxMessage)}, nil
}

// call places a call, waits for its final answer and ends the call.
func (d *directCaller) call(id string) error {
	const uri = "sip:k@net"
	if err := d.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	invite := &sip.Message{Method: "INVITE", URI: uri, CallID: id, Seq: 1, SeqMethod: "INVITE",
		Headers: []sip.Header{{Name: "P-Kind", Value: "send-setup"}, {Name: "P-Time-Left", Value: "8000"}}, Body: []byte("x")}
	if _, err := d.Write(sip.Append(nil, invite)); err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	for {
		m, err := d.nextMessage()
		if err != nil {
			return err
		}
		if m.CallID == id && m.SeqMethod == "INVITE" && m.Status >= 200 {
			break
		}
	}
	end := sip.Append(nil, &sip.Message{Method: "ACK", URI: uri, CallID: id, Seq: 1, SeqMethod: "ACK"})
	_, err := d.Write(sip.Append(end, &sip.Message{Method: "BYE", URI: uri, CallID: id, Seq: 2, SeqMethod: "BYE"}))
	return err //nolint:wrapcheck // the error needs no context
}

// nextMessage reads the next message.
func (d *directCaller) nextMessage() (*sip.Message, error) {
	buf := make([]byte, 4096)
	for {
		if m, err := d.decoder.Next(d.in); m != nil || err != nil {
			return m, err //nolint:wrapcheck // the error needs no context
		}
		n, err := d.Read(buf[:min(len(buf), d.in.Free())])
		if n == 0 && err != nil {
			return nil, err //nolint:wrapcheck // the error needs no context
		}
		d.in.Write(buf[:n])
	}
}
