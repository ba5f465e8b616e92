package etcd

import (
	"log/slog"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/store"
)

// TestCaughtUpAsOfTheRead guards against a list that counts as current at a time after its read began: a change may have come in between.
func TestCaughtUpAsOfTheRead(t *testing.T) {
	s := store.New(1)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	received := make(chan time.Time, 1)
	list, err := New(Options{Endpoints: []string{address}, Prefix: "/d/"}, slog.New(slog.DiscardHandler), func(call.Update) { received <- time.Now() })
	if err != nil {
		t.Fatal(err)
	}
	caughtUp := make(chan time.Time, 1)
	list.OnCaughtUp(func(at time.Time) { caughtUp <- at })
	began := time.Now()
	go list.Run(t.Context())
	if updated, at := <-received, <-caughtUp; at.Before(began) || at.After(updated) {
		t.Errorf("the list is complete up to %v after the beginning, it was received after %v", at.Sub(began), updated.Sub(began))
	}
}
