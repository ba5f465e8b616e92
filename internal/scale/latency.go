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

// callWithin is how long a caller gives a set-up.
const callWithin = 8 * time.Second

// callers places calls through real controllers and, turn about, straight at a dispatcher, one at a time for each controller.
type callers struct {
	mu               sync.Mutex
	direct, relayed  *hdrhistogram.Histogram
	refused, unheard int
}

func newCallers() *callers {
	return &callers{direct: newHistogram(), relayed: newHistogram()}
}

// run places so many pairs of calls a second, until over is closed. The caller's number keeps the ids of calls apart.
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
				continue // it is not up yet
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

// through places a call through a controller, and ends it. It reports whether the connection can be used on.
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
		case m.ID != id: // the end of an earlier one
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

// latency is what was measured.
func (c *callers) latency() *Latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Latency{Calls: int(c.relayed.TotalCount()), Refused: c.refused, Unanswered: c.unheard, Direct: quantiles(c.direct), Relayed: quantiles(c.relayed)}
}

// directCaller speaks to a dispatcher as a controller does.
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

// call places a call, waits for the answer and ends it.
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
