package call

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/takeover"
)

// stubFinder is a Finder without results: tests deliver them.
type stubFinder struct{}

func (stubFinder) Lookup(string, []byte) bool    { return true }
func (stubFinder) Persisted(...string)           {}
func (stubFinder) Terminated(string, int)        {}
func (stubFinder) Transfer(*takeover.Call) error { return nil }
func (stubFinder) Transferred(...string)         {}

// recoveredPending returns the calls left by a previous process: one pending call.
func recoveredPending(core *Core, id string) *recovery.CallTable {
	b := recovery.NewCallTable()
	b.Apply(accepted(id, core.now()))
	return b
}

// TestFinalAnswerMeetsDeadlineOfResumeRequest guards against final answers that arrive after the caller of a resumed
// call has stopped waiting: the deadline in its resume request may be earlier than the one stored when the set-up was
// accepted.
func TestFinalAnswerMeetsDeadlineOfResumeRequest(t *testing.T) {
	const id, timeLeft = "00000000000000ab", 500 * time.Millisecond
	for name, prepare := range map[string]func(core *Core){
		"it was left by the previous process": func(core *Core) { core.Recover(recoveredPending(core, id), nil) },
		"its connection has closed here": func(core *Core) {
			disconnected := &recorder{core: core}
			_ = core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(9 * time.Second), Caller: disconnected,
				Token: recovery.HashToken(callToken), Description: "x"})
			core.CallerDisconnected(disconnected)
		},
		"a predecessor has the ledger":   func(core *Core) { core.AwaitLedger() },
		"it is looked up, and not found": func(core *Core) { core.UseFinder(stubFinder{}, func() bool { return true }, func(error) {}) },
		"it is looked up, and found": func(core *Core) {
			core.UseFinder(stubFinder{}, func() bool { return true }, func(error) {})
			core.Loop().After(timeLeft/2, func() {
				e := accepted(id, core.now())
				core.CallReceived(&takeover.Call{Events: []recovery.Event{e}, LastAliveUs: e.AtUs}, -1)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := newFixture(t).core
				s := &recorder{core: core}
				core.SetDispatchers(s)
				core.AddFront(recordingFront{s})
				core.Loop().Post(func() {
					core.Update(Update{Complete: true, Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}}})
					prepare(core)
					if err := core.ResumeCall(ResumeRequest{Caller: s, ID: id, Token: callToken, Deadline: time.Now().Add(timeLeft)}); err != nil {
						t.Error(err)
					}
				})
				go core.Loop().Run()
				time.Sleep(timeLeft)
				core.Loop().Quit()
				synctest.Wait()
				if sent := strings.Join(s.messages, "; "); strings.Count(sent, "end "+id) != 1 {
					t.Errorf("sent before the deadline of the resume request: %q; want one final answer", sent)
				}
			})
		})
	}
}
