package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// event returns a change of one dispatcher as a server-sent event with two data lines.
func event(index int, name, status string) string {
	return fmt.Sprintf("id: %d\ndata: {\"index\":%d,\"endpoints\":{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":%q,\ndata: "+
		"\"address\":\"127.0.0.1:1\",\"zone\":\"east\",\"group\":2,\"status\":%q,\"since_ms\":5000}]}}\n\n", index, index, name, status)
}

// TestResumesAfterLastEvent covers a stream that ends, one that becomes silent, and events that are repeated, invalid,
// corrupted or split into parts.
func TestResumesAfterLastEvent(t *testing.T) {
	scripts := []string{
		event(3, "known", "active") + ": comment\n\n" + event(4, "a", "active"),
		"id: 5\ndata: {\"index\":5,\n\n" + event(7, "a", "left"), // a corrupted event is requested again
		event(5, "b", "active")[:40],                             // a truncated event, too
		event(6, "b", "odd") + event(7, "a", "leaving") + "SILENCE",
		event(8, "a", "left") + "SILENCE",
	}
	requests := make(chan string, 8)
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path + " after " + r.Header.Get("Last-Event-ID")
		script := "SILENCE"
		if served < len(scripts) {
			script = scripts[served]
		}
		served++
		text, silent := strings.CutSuffix(script, "SILENCE")
		for i := 0; i < len(text); i += 50 {
			_, _ = io.WriteString(w, text[i:min(i+50, len(text))])
			_ = http.NewResponseController(w).Flush()
		}
		if silent {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	updates := make(chan call.Update, 8)
	s := New(strings.TrimPrefix(server.URL, "http://"), 3, slog.New(slog.DiscardHandler), func(u call.Update) { updates <- u })
	s.silenceTimeout = 500 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	go s.Run(ctx)
	for _, want := range []struct {
		request string
		status  control.ServerStatus
	}{{"/v2/stream after 3", control.Active}, {"/v2/stream after 4", control.Draining}, {"/v2/stream after 7", control.Removed}} {
		got := <-requests
		if want.status == control.Draining {
			for range 2 {
				got = <-requests
			}
		}
		if got != want.request {
			t.Errorf("request %q, want %q", got, want.request)
		}
		entry := control.ServerEntry{ID: "a", Status: want.status, Cell: 2, Zone: "east", StartedAt: 5 * time.Second}
		if diff := cmp.Diff(call.Update{Servers: []call.Server{{ServerEntry: entry, Address: "127.0.0.1:1"}}}, <-updates); diff != "" {
			t.Errorf("update (-want +got):\n%s", diff)
		}
	}
	cancel()
}

// TestSkipsKnownEventsAndChangesAddress connects to a coordinator that refuses two requests, then repeats known events
// and sends an empty complete list. While its next event is incomplete, the stream moves to another coordinator, which
// must be asked for the events after the last complete one.
func TestSkipsKnownEventsAndChangesAddress(t *testing.T) {
	serve := func(respond func(n int, w http.ResponseWriter, r *http.Request)) string {
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			respond(requests, w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		return strings.TrimPrefix(server.URL, "http://")
	}
	emptyList := func(index int) string {
		return fmt.Sprintf("id: %d\ndata: {\"index\":%d,\"endpoints\":{\"snapshot\":true,\"endpoints\":[]}}\n\n", index, index)
	}
	partSent := make(chan struct{})
	oldAddress := serve(func(n int, w http.ResponseWriter, _ *http.Request) {
		switch n {
		case 1, 2:
			w.WriteHeader(http.StatusServiceUnavailable)
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, emptyList(2)+event(3, "a", "active")+emptyList(4)+event(5, "b", "active")[:60]) // 2 and 3 are known
			close(partSent)
		}
	})
	newAddress := serve(func(_ int, w http.ResponseWriter, r *http.Request) {
		if after := r.Header.Get("Last-Event-ID"); after != "4" {
			t.Errorf("requested the events after %s, want 4: event 5 was incomplete", after)
		}
		_, _ = io.WriteString(w, event(5, "c", "leaving"))
	})
	updates := make(chan call.Update, 8)
	s := New(oldAddress, 3, slog.New(slog.DiscardHandler), func(u call.Update) { updates <- u })
	go s.Run(t.Context())
	if diff := cmp.Diff(call.Update{Complete: true}, <-updates); diff != "" {
		t.Errorf("first new update (-want +got):\n%s", diff)
	}
	<-partSent
	s.SetAddress(newAddress)
	entry := control.ServerEntry{ID: "c", Status: control.Draining, Cell: 2, Zone: "east", StartedAt: 5 * time.Second}
	if diff := cmp.Diff(call.Update{Servers: []call.Server{{ServerEntry: entry, Address: "127.0.0.1:1"}}}, <-updates); diff != "" {
		t.Errorf("update after the change of the address (-want +got):\n%s", diff)
	}
}

// TestReconnectsInTime checks the deadlines after which events count as delivered: 2 s after a break, and 4 s after the
// coordinator stopped or another took its place. The stream must have requested the events again by then, even if one
// attempt fails or gets no response.
func TestReconnectsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		deadline  time.Duration
		interrupt func(s *Stream, otherAddress string) (closes bool)
	}{
		"a break": {2 * time.Second, func(*Stream, string) bool { return true }},
		"a stop":  {4 * time.Second, func(*Stream, string) bool { return false }},
		"a move":  {4 * time.Second, func(s *Stream, otherAddress string) bool { s.SetAddress(otherAddress); return false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests, interrupted := make(chan time.Time, 8), make(chan time.Time, 1)
			var s *Stream
			var otherAddress string
			attempts := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch attempts++; attempts {
				case 1:
					_, _ = io.WriteString(w, event(4, "a", "active"))
					_ = http.NewResponseController(w).Flush()
					requests <- time.Time{}
					interrupted <- time.Now()
					if test.interrupt(s, otherAddress) {
						panic(http.ErrAbortHandler)
					}
				case 2: // after a break, the second request is refused; otherwise this coordinator has stopped as well
					if name == "a break" {
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
				default:
					requests <- time.Now()
				}
				<-r.Context().Done()
			}))
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			address := strings.TrimPrefix(server.URL, "http://")
			otherAddress = strings.Replace(address, "127.0.0.1", "[::ffff:127.0.0.1]", 1) // another name of the same address
			s = New(address, 3, slog.New(slog.DiscardHandler), func(call.Update) {})
			go s.Run(t.Context())
			<-requests
			if delay := (<-requests).Sub(<-interrupted); delay > test.deadline {
				t.Errorf("requested again after %v, want at most %v", delay, test.deadline)
			}
		})
	}
}
