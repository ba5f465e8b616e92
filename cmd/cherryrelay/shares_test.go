package main

import (
	"net/http"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/peer"
)

// TestOperatorsSeeTheSharesOfDispatchers: the page shows how many set-ups each dispatcher got and how many it refused for lack of a line.
func TestOperatorsSeeTheSharesOfDispatchers(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	c := f.newCaller()
	f.must(c.SetUp(id(1), longTimeout, 0, "x"))
	f.must(f.recordEvent(0).Refuse(peer.NoLine))
	f.must(f.recordEvent(1).Answer("y"))
	f.recordMessage(c)
	var shares []call.DispatcherShare
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(time.Millisecond) {
		status, body := f.request(http.MethodGet, "/api/shares")
		if status != http.StatusOK || jsoniter.UnmarshalFromString(body, &shares) != nil || len(shares) != 2 {
			t.Fatalf("%d %s", status, body)
		}
		if shares[0].NoLine == 1 && shares[1].OwnLines == 1 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%+v: want one refusal by the first dispatcher and one line of the second", shares)
		}
	}
	if shares[0].SetUpsSent != 1 || shares[1].SetUpsSent != 1 || shares[0].OwnLines != 0 || shares[0].BackOffMS <= 0 {
		t.Errorf("%+v: want one set-up each, and a back-off of the first", shares)
	}
}

// TestTheSharesOfOneDispatcher: the query selects one dispatcher.
func TestTheSharesOfOneDispatcher(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	var all, one []call.DispatcherShare
	_, body := f.request(http.MethodGet, "/api/shares")
	if err := jsoniter.UnmarshalFromString(body, &all); err != nil || len(all) != 2 {
		t.Fatal(err, body)
	}
	_, body = f.request(http.MethodGet, "/api/shares?dispatcher="+string(all[1].ID))
	if err := jsoniter.UnmarshalFromString(body, &one); err != nil || len(one) != 1 || one[0].ID != all[1].ID {
		t.Errorf("%v, %s: want %s alone", err, body, all[1].ID)
	}
}
