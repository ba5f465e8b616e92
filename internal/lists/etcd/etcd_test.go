package etcd

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/store"
)

// TestFollowsPrefix covers changes of keys, an invalid value, a broken connection and a compaction.
func TestFollowsPrefix(t *testing.T) {
	const prefix = "/cherryrelay/dispatchers/"
	value := func(address, status string) string {
		return `{"address":"` + address + `","zone":"tartu","group":1,"status":"` + status + `","since_ms":5000}`
	}
	server := func(name, address string, status control.ServerStatus) call.Server {
		return call.Server{Address: address, ServerEntry: control.ServerEntry{ID: control.ServerID(name), Status: status, Cell: 1,
			Zone: "tartu", StartedAt: 5 * time.Second}}
	}
	s := store.New(1)
	s.Put(prefix+"a", value("127.0.0.1:1", "active"))
	s.Put("/other/b", value("127.0.0.1:2", "active"))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	listenAgain := func() {
		if _, err := s.Listen(address); err != nil {
			t.Fatal(err)
		}
	}
	updates := make(chan call.Update, 16)
	list, err := New(Options{Endpoints: []string{address}, Prefix: prefix}, slog.New(slog.DiscardHandler),
		func(u call.Update) { updates <- u })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go list.Run(ctx)
	expect := func(event string, want call.Update) {
		t.Helper()
		select {
		case got := <-updates:
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("%s (-want +got):\n%s", event, diff)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%s: no update", event)
		}
	}
	a := server("a", "127.0.0.1:1", control.Active)
	expect("first read", call.Update{Complete: true, Servers: []call.Server{a}})

	s.Put("/other/c", value("127.0.0.1:3", "active"))
	s.Put(prefix+"d", value("127.0.0.1:4", "active"))
	expect("new key", call.Update{Servers: []call.Server{server("d", "127.0.0.1:4", control.Active)}})
	s.Put(prefix+"d", value("127.0.0.1:4", "leaving"))
	expect("changed key", call.Update{Servers: []call.Server{server("d", "127.0.0.1:4", control.Draining)}})
	s.Put(prefix+"d", `{"status":`) // an invalid value changes nothing
	expect("bad value", call.Update{Servers: []call.Server{server("d", "127.0.0.1:4", control.Draining)}})
	s.Put(prefix+"d", "")
	expect("deleted key", call.Update{Servers: []call.Server{server("d", "127.0.0.1:4", control.Removed)}})

	// A change during a broken connection arrives after the reconnection: the watch resumes at its last revision.
	s.Close()
	s.Put(prefix+"e", value("127.0.0.1:5", "active"))
	listenAgain()
	expect("change while disconnected", call.Update{Servers: []call.Server{server("e", "127.0.0.1:5", control.Active)}})
	if n := s.Counts(); n.Reads != 1 || n.Watches != 2 {
		t.Errorf("%d reads and %d watches, want one read and a resumed watch", n.Reads, n.Watches)
	}

	// After a compaction the watch cannot resume, so the complete list is read: e is missing from it.
	s.Close()
	s.Put(prefix+"e", "")
	s.Compact()
	listenAgain()
	expect("read after the compaction", call.Update{Complete: true, Servers: []call.Server{a}})
}
