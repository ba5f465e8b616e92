package coordinator

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// newTestStream serves a script at each request, and counts the requests.
func newTestStream(t *testing.T, serve func(w io.Writer, r *http.Request)) (s *Stream, updates chan call.Update, asked *atomic.Int32) {
	t.Helper()
	asked, updates = new(atomic.Int32), make(chan call.Update, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	s = New(strings.TrimPrefix(server.URL, "http://"), 0, slog.New(slog.DiscardHandler), func(u call.Update) { updates <- u })
	return s, updates, asked
}

// TestReceivesSlowEvent guards against a watch that is begun anew inside an event whose bytes come all the time.
func TestReceivesSlowEvent(t *testing.T) {
	t.Parallel()
	const silence = 200 * time.Millisecond
	text := event(1, "a", "active")
	s, updates, asked := newTestStream(t, func(w io.Writer, r *http.Request) {
		for _, b := range []byte(text) {
			_, _ = w.Write([]byte{b})
			_ = http.NewResponseController(w.(http.ResponseWriter)).Flush()
			time.Sleep(4 * silence / time.Duration(len(text)))
		}
		<-r.Context().Done()
	})
	s.silenceTimeout = silence
	go s.Run(t.Context())
	select {
	case u := <-updates:
		if len(u.Servers) != 1 || asked.Load() != 1 {
			t.Errorf("%+v, after %d requests; want the event at the first", u, asked.Load())
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("the event never comes, in %d requests", asked.Load())
	}
}

// largeEvent is an event with so many bytes of names.
func largeEvent(bytes int) string {
	const each = 1000
	var entries []string
	for i := range bytes / each {
		entries = append(entries, fmt.Sprintf(`{"name":"d%d%s","address":"127.0.0.1:1","zone":"z","group":0,"status":"active","since_ms":0}`, i, strings.Repeat("x", each)))
	}
	return fmt.Sprintf("id: 1\ndata: {\"index\":1,\"endpoints\":{\"index\":1,\"snapshot\":true,\"endpoints\":[%s]}}\n\n", strings.Join(entries, ","))
}

// TestReceivesLargeEvent guards against the whole list of a large fleet that never comes into force.
func TestReceivesLargeEvent(t *testing.T) {
	t.Parallel()
	const size = 5 << 20
	text := largeEvent(size)
	s, updates, _ := newTestStream(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w.(http.ResponseWriter)).Flush()
		<-r.Context().Done()
	})
	go s.Run(t.Context())
	select {
	case u := <-updates:
		if len(u.Servers) != size/1000 {
			t.Errorf("%d dispatchers, want %d", len(u.Servers), size/1000)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the event never comes")
	}
}

// TestRetriesOversizedEventSlowly guards against an event that is asked for without a pause, and comes again as it is.
func TestRetriesOversizedEventSlowly(t *testing.T) {
	t.Parallel()
	text := ": here\n\n" + largeEvent(maxLineBytes+1<<20)
	s, _, asked := newTestStream(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, text)
		<-r.Context().Done()
	})
	go s.Run(t.Context())
	for until := time.Now().Add(10 * time.Second); asked.Load() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if n := asked.Load(); n != 1 {
		t.Errorf("asked for %d times in two seconds, want once", n)
	}
}
