package dispatchers

import (
	"fmt"
	"iter"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// ends is a core that notes how attempts ended.
type ends struct {
	Core // what is not asked here
	told map[string]control.Outcome
}

func (e *ends) EstablishedCount(control.ServerID) int  { return 0 }
func (e *ends) EachEstablished(func(control.ServerID)) {}
func (e *ends) EstablishedAt(control.ServerID) iter.Seq[string] {
	return func(func(string) bool) {}
}
func (e *ends) DispatcherReached()                       {}
func (e *ends) SetUpWritten()                            {}
func (e *ends) LoadReported(control.ServerID, []float64) {}
func (e *ends) DispatcherFailed(control.ServerID)        {}
func (e *ends) AttemptEnded(_ control.ServerID, id string, _ int, o control.Outcome, _ bool, _ []float64) {
	e.told[id] = o
}

// TestWhatLiesInTheQueue: a dispatcher does not read. A set-up that lies in the queue to it goes out no more once its caller has left,
// nor once the dispatcher is told to be leaving; one that has begun to leave is taken back by a message, as ever.
func TestWhatLiesInTheQueue(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop, core := call.NewLoop(), &ends{told: map[string]control.Outcome{}}
	do := func(f func()) {
		done := make(chan struct{})
		loop.Post(func() { f(); close(done) })
		<-done
	}
	go loop.Run()
	t.Cleanup(loop.Quit)
	var p *Pool
	server := call.Server{ServerEntry: control.ServerEntry{ID: "d"}, Address: ln.Addr().String()}
	do(func() {
		p = New(loop, core, Options{ConnectTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler)})
		p.SetMaxConnections(1)
		p.Update(call.Update{Servers: []call.Server{server}, Complete: true})
	})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	setUp := func(id, description string) {
		p.SetUp("d", call.SetUp{ID: id, Class: "c", Called: "k", Description: description, Timeout: time.Minute})
	}
	links := func() (n int) { do(func() { n = len(p.servers["d"].links) }); return n }
	for links() == 0 {
		time.Sleep(time.Millisecond)
	}
	var last string
	var whole bool
	do(func() {
		l := p.servers["d"].links[0]
		n := 0
		for long := strings.Repeat("x", call.MaxDescription); l.conn.Unsent() == 0; p.Flush() {
			last = fmt.Sprint("begun-", n)
			setUp(last, long)
			n++
		}
		want := map[string]control.Outcome{"moved": control.NotSent}
		if whole = l.conn.Unsent() > call.MaxDescription; whole { // nothing of it was taken
			want[last] = control.NotSent
		}
		setUp("left", "its caller leaves")
		setUp("moved", "it goes elsewhere")
		p.Flush()
		p.CancelAttempt("d", "left", 0)
		server.Status = control.Draining
		p.Update(call.Update{Servers: []call.Server{server}})
		p.CancelAttempt("d", last, 0)
		setUp("end", "nothing comes behind it")
		p.Flush()
		if diff := cmp.Diff(want, core.told); diff != "" {
			t.Errorf("what was told of attempts (-want +got):\n%s", diff)
		}
	})
	var came strings.Builder
	_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	for part := make([]byte, 64<<10); !strings.Contains(came.String(), "nothing comes behind it"); {
		n, err := peer.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		came.Write(part[:n])
	}
	if taken := strings.Contains(came.String(), "CANCEL sip:"); taken == whole {
		t.Errorf("the set-up that had begun to leave was taken back by a message: %v", taken)
	}
	for _, id := range []string{"left", "moved"} {
		if strings.Contains(came.String(), "Call-ID: "+id+"\r\n") {
			t.Errorf("the set-up %q went out", id)
		}
	}
}
