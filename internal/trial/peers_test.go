package trial

import (
	"net"
	"testing"
	"time"

	"cherryrelay/internal/peer"
	"cherryrelay/internal/sip"
)

// TestAnswerNotSentByKilledDispatcher guards against a checker that counts a call as established although its dispatcher could not send the
// answer: the next attempt was then reported as one beside an established call.
func TestAnswerNotSentByKilledDispatcher(t *testing.T) {
	const id, guard = "00000000000000d1", 50 * time.Millisecond
	checker := NewJudge(guard, time.Minute)
	d, err := Stand("tcp", "s8", checker)
	if err != nil {
		t.Fatal(err)
	}
	d.Act(false, true)
	controller, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer controller.Close()
	if _, err := controller.Write(sip.Append(nil, &sip.Message{Method: "INVITE", URI: "sip:k@net", CallID: id, Seq: 1, SeqOf: "INVITE", Body: []byte("x")})); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(peer.Patience); checker.Out(id) == "" && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock() // it handles the close of its connections after the answer
	setUp := d.attempts[id]
	delete(d.attempts, id)
	d.Die()
	d.answerSetUp(setUp)
	d.mu.Unlock()
	if at := checker.Stands(id); at != "" {
		t.Errorf("the call is established at %s, which was killed before it could answer", at)
	}
	checker.SetUp(id, "s31", time.Now().Add(guard))
	if violations, _, _ := checker.Verdict(); len(violations) > 0 {
		t.Error(violations)
	}
	checker.SetUp("00000000000000d2", "s8", time.Now())
	checker.Answered("00000000000000d2", "s8")
	checker.AnswerUnsent("00000000000000d2", "s8", time.Now())
	checker.SetUp("00000000000000d2", "s31", time.Now())
	if violations, _, _ := checker.Verdict(); len(violations) != 1 {
		t.Errorf("an attempt inside the guard: violations %v, want 1", violations)
	}
}

// TestCallerStopsAtTimeoutDespiteMessages guards against a trial that never ends because a controller repeats the end of a terminated call
// while another call is pending.
func TestCallerStopsAtTimeoutDespiteMessages(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for err == nil { // the set-up is never answered
					_, err = conn.Write([]byte(`{"type":"release","id":"00000000000000ff","fields":{},"cause":16}` + "\n"))
					time.Sleep(time.Millisecond)
				}
			}()
		}
	}()
	checker := NewJudge(time.Second, time.Minute)
	caller := Caller{Transport: "tcp", Addresses: []string{ln.Addr().String()}, First: 1, Window: 1, Judge: checker, Patience: 50 * time.Millisecond}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); caller.Run(done) }()
	if !Until(peer.Patience, func() bool { unanswered, _ := checker.Unsettled(); return len(unanswered) == 1 }) {
		t.Fatal("the caller has placed no call")
	}
	close(done)
	select {
	case <-ended:
	case <-time.After(peer.Patience):
		t.Error("the caller did not stop after its timeout")
	}
}

// TestAttemptEndsWithConnectionReset guards against a guard that begins later for the checker than for the controller: a dispatcher that
// resets a connection itself may see the close long after its controller has.
func TestAttemptEndsWithConnectionReset(t *testing.T) {
	const id, readerDelay = "00000000000000d2", 200 * time.Millisecond
	checker := NewJudge(time.Second, time.Minute)
	d, err := Stand("tcp", "s1", checker)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Die)
	d.Act(false, true)
	controller, err := net.Dial("tcp", d.Listening())
	if err != nil {
		t.Fatal(err)
	}
	defer controller.Close()
	if _, err := controller.Write(sip.Append(nil, &sip.Message{Method: "INVITE", URI: "sip:k@net", CallID: id, Seq: 1, SeqOf: "INVITE", Body: []byte("x")})); err != nil {
		t.Fatal(err)
	}
	if !Until(peer.Patience, func() bool { return checker.Out(id) != "" }) {
		t.Fatal("the dispatcher has not received the set-up")
	}
	d.Rest() // its reader does not see the close
	d.Cut()
	resetAt := time.Now()
	time.Sleep(readerDelay)
	d.Wake()
	if !Until(peer.Patience, func() bool { return checker.Out(id) == "" }) {
		t.Fatal("the attempt has not ended")
	}
	if delay := checker.Guarded(id).Sub(resetAt); delay > 0 {
		t.Errorf("the guard begins %v after the reset, want no delay", delay)
	}
}
