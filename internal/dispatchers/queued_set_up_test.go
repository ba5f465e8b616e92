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

// outcomeRecorder is a core that records the outcomes of attempts.
type outcomeRecorder struct {
	Core     // panics in methods that are not expected
	outcomes map[string]control.Outcome
}

func (r *outcomeRecorder) EstablishedCount(control.ServerID) int  { return 0 }
func (r *outcomeRecorder) EachEstablished(func(control.ServerID)) {}
func (r *outcomeRecorder) EstablishedAt(control.ServerID) iter.Seq[string] {
	return func(func(string) bool) {}
}
func (r *outcomeRecorder) DispatcherReached()                       {}
func (r *outcomeRecorder) SetUpWritten()                            {}
func (r *outcomeRecorder) LoadReported(control.ServerID, []float64) {}
func (r *outcomeRecorder) DispatcherFailed(control.ServerID)        {}
func (r *outcomeRecorder) AttemptEnded(_ control.ServerID, id string, _ int, o control.Outcome, _ bool, _ []float64) {
	r.outcomes[id] = o
}

// TestQueuedSetUpsAreRecalled checks a dispatcher that does not read: a queued set-up is not sent once its caller has cancelled it, nor
// once the dispatcher is listed as draining. One that was sent in part is cancelled by a message.
func TestQueuedSetUpsAreRecalled(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop, core := call.NewLoop(), &outcomeRecorder{outcomes: map[string]control.Outcome{}}
	runOnLoop := func(f func()) {
		done := make(chan struct{})
		loop.Post(func() { f(); close(done) })
		<-done
	}
	go loop.Run()
	t.Cleanup(loop.Quit)
	var p *Pool
	server := call.Server{ServerEntry: control.ServerEntry{ID: "d"}, Address: ln.Addr().String()}
	runOnLoop(func() {
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
	connCount := func() (n int) { runOnLoop(func() { n = len(p.servers["d"].conns) }); return n }
	for connCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	var lastID string
	var unsent bool
	runOnLoop(func() {
		poolConn := p.servers["d"].conns[0]
		n := 0
		for long := strings.Repeat("x", call.MaxDescription); poolConn.conn.Unsent() == 0; p.Flush() {
			lastID = fmt.Sprint("begun-", n)
			setUp(lastID, long)
			n++
		}
		want := map[string]control.Outcome{"moved": control.NotSent}
		if unsent = poolConn.conn.Unsent() > call.MaxDescription; unsent { // nothing of it was written
			want[lastID] = control.NotSent
		}
		setUp("cancelled", "its caller cancels")
		setUp("moved", "it is placed elsewhere")
		p.Flush()
		if !p.CancelAttempt("d", "cancelled", 0) {
			t.Error("the set-up that waits behind others is not reported as never sent")
		}
		server.Status = control.Draining
		p.Update(call.Update{Servers: []call.Server{server}})
		if p.CancelAttempt("d", lastID, 0) {
			t.Error("a set-up that was sent in part, or has an outcome, is reported as never sent")
		}
		setUp("end", "nothing follows")
		p.Flush()
		if diff := cmp.Diff(want, core.outcomes); diff != "" {
			t.Errorf("outcomes of attempts (-want +got):\n%s", diff)
		}
	})
	var received strings.Builder
	_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
	for part := make([]byte, 64<<10); !strings.Contains(received.String(), "nothing follows"); {
		n, err := peer.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		received.Write(part[:n])
	}
	if cancelled := strings.Contains(received.String(), "CANCEL sip:"); cancelled == unsent {
		t.Errorf("the set-up that was sent in part was cancelled by a message: %v", cancelled)
	}
	for _, id := range []string{"cancelled", "moved"} {
		if strings.Contains(received.String(), "Call-ID: "+id+"\r\n") {
			t.Errorf("the set-up %q was sent", id)
		}
	}
}
