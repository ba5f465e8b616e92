package coordinator

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestCaughtUpAfterTheBacklog guards against a list that counts as current before the events are read which the coordinator had at the
// beginning: a comment may come ahead of them.
func TestCaughtUpAfterTheBacklog(t *testing.T) {
	comment, eventRead := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, ": first\n\n"+event(2, "a", "active"))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-comment:
		case <-r.Context().Done():
			return
		}
		fmt.Fprint(w, ": second\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	began := time.Now()
	caughtUp := make(chan time.Time, 8)
	s := New(strings.TrimPrefix(server.URL, "http://"), 1, slog.New(slog.DiscardHandler), func(call.Update) { close(eventRead) })
	s.OnCaughtUp(func(at time.Time) { caughtUp <- at })
	go s.Run(t.Context())
	<-eventRead
	if len(caughtUp) > 0 {
		t.Fatal("the first comment counts, although it came ahead of an event")
	}
	time.Sleep(backlogTimeout) // the coordinator sends a comment each second
	close(comment)
	if at := <-caughtUp; at.Before(began) || at.After(time.Now().Add(-backlogTimeout)) {
		t.Errorf("the list is complete up to %v after the beginning", at.Sub(began))
	}
}

// TestNotCaughtUpWithoutASkippedEvent guards against a list that counts as current although it lacks what an invalid event would have
// changed.
func TestNotCaughtUpWithoutASkippedEvent(t *testing.T) {
	const whole = "id: 4\ndata: {\"index\":4,\"endpoints\":{\"snapshot\":true,\"endpoints\":[]}}\n\n"
	comments := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := event(2, "a", "odd") + event(3, "b", "active")
		for {
			fmt.Fprint(w, text)
			_ = http.NewResponseController(w).Flush()
			select {
			case text = <-comments:
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	updates, caughtUp := make(chan call.Update, 8), make(chan time.Time, 8)
	s := New(strings.TrimPrefix(server.URL, "http://"), 1, slog.New(slog.DiscardHandler), func(u call.Update) { updates <- u })
	s.OnCaughtUp(func(at time.Time) { caughtUp <- at })
	go s.Run(t.Context())
	<-updates // event 3
	time.Sleep(backlogTimeout)
	comments <- ": comment\n\n" + whole
	<-updates // the complete list, behind the comment
	if len(caughtUp) > 0 {
		t.Error("the list counts as current without an event")
	}
	comments <- ": comment\n\n"
	<-caughtUp
}
