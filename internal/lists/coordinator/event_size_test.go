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

// newTestStream returns a stream to a server that handles every request with serve, the updates of the stream, and the
// number of requests.
func newTestStream(t *testing.T, serve func(w io.Writer, r *http.Request)) (s *Stream, updates chan call.Update, requests *atomic.Int32) {
	t.Helper()
	requests, updates = new(atomic.Int32), make(chan call.Update, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	s = New(strings.TrimPrefix(server.URL, "http://"), 0, slog.New(slog.DiscardHandler), func(u call.Update) { updates <- u })
	return s, updates, requests
}

// TestReceivesSlowEvent guards against a silence timeout that cancels the stream inside an event whose bytes arrive
// slowly but steadily.
func TestReceivesSlowEvent(t *testing.T) {
	t.Parallel()
	const silence = 200 * time.Millisecond
	text := event(1, "a", "active")
	s, updates, requests := newTestStream(t, func(w io.Writer, r *http.Request) {
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
		if len(u.Servers) != 1 || requests.Load() != 1 {
			t.Errorf("%+v after %d requests, want the event after the first", u, requests.Load())
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no event after %d requests", requests.Load())
	}
}

// largeEvent returns a complete list whose names have the given number of bytes.
func largeEvent(bytes int) string {
	const each = 1000
	var entries []string
	for i := range bytes / each {
		entries = append(entries, fmt.Sprintf(`{"name":"d%d%s","address":"127.0.0.1:1","zone":"z","group":0,"status":"active","since_ms":0}`, i, strings.Repeat("x", each)))
	}
	return fmt.Sprintf("id: 1\ndata: {\"index\":1,\"endpoints\":{\"index\":1,\"snapshot\":true,\"endpoints\":[%s]}}\n\n", strings.Join(entries, ","))
}

// TestReceivesLargeEvent guards against a limit that rejects the complete list of a large fleet.
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
		t.Fatal("no event")
	}
}

// TestRetriesOversizedEventSlowly guards against requests without a delay for an event that exceeds the limit and comes
// again unchanged.
func TestRetriesOversizedEventSlowly(t *testing.T) {
	t.Parallel()
	text := ": here\n\n" + largeEvent(maxLineBytes+1<<20)
	s, _, requests := newTestStream(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, text)
		<-r.Context().Done()
	})
	go s.Run(t.Context())
	for until := time.Now().Add(10 * time.Second); requests.Load() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests in two seconds, want one", n)
	}
}
