package call

import (
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/takeover"
)

// transferCounter is a Finder that counts the calls transferred to other controllers.
type transferCounter struct {
	stubFinder
	transferred int
}

func (f *transferCounter) Transfer(*takeover.Call) error { f.transferred++; return nil }

// TestCallIsNotTransferredForAQueryOlderThanItsResume guards against a call that is taken away from a caller that has
// resumed it here. The query came from another controller, to which the caller was connected before and which has
// failed since, so the call was transferred to nobody.
func TestCallIsNotTransferredForAQueryOlderThanItsResume(t *testing.T) {
	const id = "00000000000000ab"
	s := newFixture(t)
	s.onSetUp = func(control.ServerID, SetUp) {}
	finder := &transferCounter{}
	s.core.UseFinder(finder, func() bool { return true }, func(error) {})
	disconnected := &lastEndCaller{fixture: s}
	if err := s.core.Offer(Request{ID: id, Class: "c", TimeLeft: 9 * time.Second, Deadline: time.Now().Add(9 * time.Second), Caller: disconnected,
		Token: recovery.HashToken(callToken), Description: "x"}); err != nil {
		t.Fatal(err)
	}
	s.core.CallerDisconnected(disconnected)
	query := takeover.Query{Token: recovery.HashToken(callToken), FirstSeen: time.Now()}
	if err := s.core.ResumeCall(ResumeRequest{Caller: &lastEndCaller{fixture: s}, ID: id, Token: callToken}); err != nil {
		t.Fatal(err)
	}
	s.core.TransferRequested(map[string]takeover.Query{id: query})
	if finder.transferred != 0 {
		t.Error("a call is transferred for a query older than the resume request")
	}
	query.FirstSeen = time.Now()
	s.core.TransferRequested(map[string]takeover.Query{id: query})
	if finder.transferred != 1 {
		t.Error("a call is not transferred for a query newer than the resume request")
	}
}
