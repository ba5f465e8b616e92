package deploy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

const (
	// memoryLimitMB is the memory limit of the example's configuration.
	memoryLimitMB = 192
	// hostileTime is how long hostile callers send.
	hostileTime = 20 * time.Second
	// slowCallers is the number of callers that write slowly or incompletely: a third of the descriptors of the example.
	slowCallers = 340
	// politeInterval is the interval between the calls of the other callers, and politeTimeLeft the time that each of them waits.
	politeInterval, politeTimeLeft = 100 * time.Millisecond, 2 * time.Second
	// crossingPeriod is the time within which a set-up crosses the close of its connection.
	crossingPeriod = 50 * time.Millisecond
	// lateAnswer is how late a final answer may be without being lost.
	lateAnswer = 500 * time.Millisecond
)

// hostileCaller is a caller that sends as much as it can until the time is over.
type hostileCaller func(address string, ids *atomic.Int64, until time.Time)

// TestHostileCallers guards against a process that exceeds its memory limit, or other callers without answers in time, because of callers
// that send without end, slowly, or incompletely.
func TestHostileCallers(t *testing.T) {
	if os.Getenv("CHERRYRELAY_BUILT") == "" {
		t.Skip("CHERRYRELAY_BUILT is not set: bin may be outdated")
	}
	for name, test := range map[string]struct {
		callers int
		send    hostileCaller
		overAPI bool
	}{
		"set-ups that are cancelled at once": {callers: 1, send: sendBatches(func(c *peer.Caller, id string) []jsonl.Message {
			return []jsonl.Message{c.SetUpMessage(id, politeTimeLeft, 0, "x"), release(id, 16)}
		})},
		"releases of unknown calls": {callers: 1, send: sendBatches(func(_ *peer.Caller, id string) []jsonl.Message {
			return []jsonl.Message{release(id, 41)}
		})},
		"set-ups without fields": {callers: 1, send: sendBatches(func(_ *peer.Caller, id string) []jsonl.Message {
			return []jsonl.Message{{Type: "setup", ID: id}}
		})},
		"set-ups that are written slowly":                  {callers: slowCallers, send: writeSlowly},
		"set-ups that stop half way":                       {callers: slowCallers, send: writeHalf},
		"set-ups of very many fields, by hundreds at once": {callers: slowCallers, send: writeManyFields},
		"handshakes of very many headers, written slowly":  {callers: slowCallers, send: writeManyHeaders, overAPI: true},
	} {
		t.Run(name, func(t *testing.T) { // one at a time, as each of them keeps the processors busy
			p, api := startWithPoliteCallers(t)
			address := p.lines
			if test.overAPI {
				address = api
			}
			var ids atomic.Int64
			var running sync.WaitGroup
			until := time.Now().Add(hostileTime)
			for range test.callers {
				running.Go(func() { test.send(address, &ids, until) })
			}
			lost, calls := p.placePoliteCalls(until)
			running.Wait()
			peak := p.peakMemoryMB()
			t.Logf("%d hostile messages; %d polite calls, %d of them lost; peak of %d MB", ids.Load(), calls, lost, peak)
			if lost > 0 || peak >= memoryLimitMB {
				t.Errorf("%d of %d calls have no final answer in time, and the peak memory is %d MB of %d", lost, calls, peak, memoryLimitMB)
			}
		})
	}
}

func release(id string, cause int) jsonl.Message {
	return jsonl.Message{Type: "release", ID: id, Cause: &cause}
}

// startWithPoliteCallers starts a controller with a dispatcher that answers every set-up. It also returns the address of the API over WebSocket.
func startWithPoliteCallers(t *testing.T) (p *process, api string) {
	t.Helper()
	example, err := os.ReadFile("../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if m := regexp.MustCompile(`"memory_mb": (\d+)`).FindSubmatch(example); m == nil || string(m[1]) != strconv.Itoa(memoryLimitMB) {
		t.Fatalf("the example has another memory limit than %d MB", memoryLimitMB)
	}
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:400;x1:400")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	go func() {
		for range d.Acks { // unused, but the channel must not fill up
		}
	}()
	go func() {
		for e := range d.Events {
			switch e.Kind {
			case "setup":
				_ = e.Answer("y")
			case "probe":
				_ = e.AnswerProbe()
			}
		}
	}()
	api = freeAddress(t)
	file := filepath.Join(t.TempDir(), "websocket.ini")
	if err := os.WriteFile(file, fmt.Appendf(nil, "[websocket]\nlisten = %s\npath = %s\n", api, peer.Path), 0o600); err != nil {
		t.Fatal(err)
	}
	p = start(t, d.Address(), "LB_OPERATOR="+file)
	p.waitReady()
	return p, api
}

// placePoliteCalls places one call after the other on a connection of its own, and returns how many have no final answer in time.
func (p *process) placePoliteCalls(until time.Time) (lost, calls int) {
	var running sync.WaitGroup
	var lostCalls atomic.Int64
	for ; time.Now().Before(until); time.Sleep(politeInterval) {
		calls++
		id := fmt.Sprintf("%016x", 1<<56+calls)
		running.Go(func() {
			if p.placePoliteCall(id) != nil {
				lostCalls.Add(1)
			}
		})
	}
	running.Wait()
	return int(lostCalls.Load()), calls
}

// placePoliteCall places a call, waits for its final answer and ends it. As the protocol has it, a set-up that crosses the close of its
// connection is sent again on a new one, with the time that is left: on a busy machine it may be written long after the connect.
func (p *process) placePoliteCall(id string) error {
	answerBy := time.Now().Add(politeTimeLeft + lateAnswer)
	for {
		crossed, err := p.tryPoliteCall(id, answerBy)
		if !crossed || time.Now().After(answerBy) {
			return err
		}
	}
}

// tryPoliteCall is one try. It reports whether the connection was closed within crossingPeriod of the set-up.
func (p *process) tryPoliteCall(id string, answerBy time.Time) (crossed bool, err error) {
	c, err := peer.DialCaller("tcp", p.lines)
	if err != nil {
		return false, err
	}
	defer c.Close()
	err = c.SetUp(id, max(time.Until(answerBy)-lateAnswer, time.Millisecond), 0, "x")
	written := time.Now()
	if err != nil {
		return true, err
	}
	for {
		m, err := c.NextWithin(time.Until(answerBy))
		switch {
		case err != nil:
			return time.Since(written) < crossingPeriod, err
		case m.ID == id:
			return false, c.Release(id, 16)
		}
	}
}

// peakMemoryMB returns the highest resident memory of the process so far.
func (p *process) peakMemoryMB() int {
	p.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.Fatal("the process has ended: ", err, p.output())
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if m == nil {
		p.Fatalf("no peak of the memory in %s", status)
	}
	kilobytes, err := strconv.Atoi(string(m[1]))
	if err != nil {
		p.Fatal(err)
	}
	return kilobytes >> 10
}

// batchSize is the number of ids in a batch of a hostile caller. It waits for the reply to a ping after each batch, so that it is not cut
// off as a flood.
const batchSize = 20

// sendBatches returns a hostile caller that sends the messages for one new id after the other.
func sendBatches(messages func(c *peer.Caller, id string) []jsonl.Message) hostileCaller {
	return func(address string, ids *atomic.Int64, until time.Time) {
		for time.Now().Before(until) {
			c, err := peer.DialCaller("tcp", address)
			if err != nil {
				continue
			}
			for time.Now().Before(until) && sendBatch(c, ids, messages) == nil {
			}
			_ = c.Close()
		}
	}
}

// sendBatch sends one batch and a ping, and waits for the reply.
func sendBatch(c *peer.Caller, ids *atomic.Int64, messages func(c *peer.Caller, id string) []jsonl.Message) error {
	var batch []byte
	for range batchSize {
		for _, m := range messages(c, fmt.Sprintf("%016x", ids.Add(1))) {
			text, err := jsonl.Append(nil, m)
			if err != nil {
				return err
			}
			batch = append(batch, c.Frame(text)...)
		}
	}
	if err := c.SendRaw(batch); err != nil {
		return err
	}
	if err := c.Send(jsonl.Message{Type: "ping", ID: "0"}); err != nil {
		return err
	}
	for {
		m, err := c.NextWithin(peer.Timeout)
		if err != nil || m.Type == "pong" {
			return err
		}
	}
}

// largeSetUp returns the beginning of a set-up that almost has the maximum size.
func largeSetUp(ids *atomic.Int64) string {
	return fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{},"sdp":"`, ids.Add(1)) + strings.Repeat("x", 15<<10)
}

// writeSlowly writes the beginnings of large set-ups, a few bytes at a time.
func writeSlowly(address string, ids *atomic.Int64, until time.Time) {
	const piece, pause = 100, 20 * time.Millisecond
	eachConnection(address, until, func(c *peer.Caller) {
		for text := largeSetUp(ids); len(text) > piece && time.Now().Before(until); text = text[piece:] {
			if c.SendRaw([]byte(text[:piece])) != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// writeHalf writes the beginnings of large set-ups and leaves their connections open.
func writeHalf(address string, ids *atomic.Int64, until time.Time) {
	eachConnection(address, until, func(c *peer.Caller) {
		if c.SendRaw([]byte(largeSetUp(ids))) == nil {
			_, _ = c.NextWithin(time.Until(until)) // until it is closed
		}
	})
}

// writeManyFields writes set-ups that consist of very many fields, some thousand a second by all callers together. Without a pause they
// would keep all processors busy, and the other callers of this process would write their set-ups long after they have connected.
func writeManyFields(address string, ids *atomic.Int64, until time.Time) {
	const maxSize, setUps, pause = 16000, 7, 100 * time.Millisecond
	eachConnection(address, until, func(c *peer.Caller) {
		for range setUps {
			var text strings.Builder
			fmt.Fprintf(&text, `{"type":"setup","id":"%016x","fields":{"0":0`, ids.Add(1))
			for field := 1; text.Len() < maxSize; field++ {
				fmt.Fprintf(&text, `,"%x":1`, field)
			}
			if c.SendRaw([]byte(text.String()+"}}\n")) != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// writeManyHeaders writes the requests of opening handshakes that consist of very many headers, a few bytes at a time.
func writeManyHeaders(address string, ids *atomic.Int64, until time.Time) {
	const maxSize, piece, pause = 8000, 6, time.Millisecond
	var text strings.Builder
	text.WriteString("GET " + peer.Path + " HTTP/1.1\r\nHost: h\r\n")
	for header := 0; text.Len() < maxSize; header++ {
		fmt.Fprintf(&text, "%x:\n", header)
	}
	eachConnection(address, until, func(c *peer.Caller) {
		ids.Add(1)
		for rest := text.String(); len(rest) > piece && time.Now().Before(until); rest = rest[piece:] {
			if c.SendRaw([]byte(rest[:piece])) != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// eachConnection opens one connection after the other until the time is over.
func eachConnection(address string, until time.Time, send func(c *peer.Caller)) {
	for time.Now().Before(until) {
		c, err := peer.DialCaller("tcp", address) // without a handshake
		var refused *net.OpError
		if errors.As(err, &refused) {
			time.Sleep(politeInterval)
		}
		if err != nil {
			continue
		}
		send(c)
		_ = c.Close()
	}
}
