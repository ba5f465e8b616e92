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
	checker := NewCallChecker(guard, time.Minute)
	d, err := StartDispatcher("tcp", "s8", checker)
	if err != nil {
		t.Fatal(err)
	}
	d.SetBehavior(false, true)
	controller, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer controller.Close()
	if _, err := controller.Write(sip.Append(nil, &sip.Message{Method: "INVITE", URI: "sip:k@net", CallID: id, Seq: 1, SeqMethod: "INVITE", Body: []byte("x")})); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(peer.Timeout); checker.AttemptAt(id) == "" && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock() // it handles the close of its connections after the answer
	setUp := d.attempts[id]
	delete(d.attempts, id)
	d.Kill()
	d.answerSetUp(setUp)
	d.mu.Unlock()
	if at := checker.EstablishedAt(id); at != "" {
		t.Errorf("the call is established at %s, which was killed before it could answer", at)
	}
	checker.SetUpReceived(id, "s31", time.Now().Add(guard))
	if violations, _, _ := checker.Results(); len(violations) > 0 {
		t.Error(violations)
	}
	checker.SetUpReceived("00000000000000d2", "s8", time.Now())
	checker.AttemptAnswered("00000000000000d2", "s8")
	checker.AnswerNotSent("00000000000000d2", "s8", time.Now())
	checker.SetUpReceived("00000000000000d2", "s31", time.Now())
	if violations, _, _ := checker.Results(); len(violations) != 1 {
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
	checker := NewCallChecker(time.Second, time.Minute)
	caller := Caller{Transport: "tcp", Addresses: []string{ln.Addr().String()}, FirstCall: 1, Window: 1, Checker: checker, Timeout: 50 * time.Millisecond}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); caller.Run(done) }()
	if !WaitUntil(peer.Timeout, func() bool { unanswered, _ := checker.Unfinished(); return len(unanswered) == 1 }) {
		t.Fatal("the caller has placed no call")
	}
	close(done)
	select {
	case <-ended:
	case <-time.After(peer.Timeout):
		t.Error("the caller did not stop after its timeout")
	}
}

// TestAttemptEndsWithConnectionReset guards against a guard that begins later for the checker than for the controller: a dispatcher that
// resets a connection itself may see the close long after its controller has.
func TestAttemptEndsWithConnectionReset(t *testing.T) {
	const id, readerDelay = "00000000000000d2", 200 * time.Millisecond
	checker := NewCallChecker(time.Second, time.Minute)
	d, err := StartDispatcher("tcp", "s1", checker)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	d.SetBehavior(false, true)
	controller, err := net.Dial("tcp", d.ListenAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer controller.Close()
	if _, err := controller.Write(sip.Append(nil, &sip.Message{Method: "INVITE", URI: "sip:k@net", CallID: id, Seq: 1, SeqMethod: "INVITE", Body: []byte("x")})); err != nil {
		t.Fatal(err)
	}
	if !WaitUntil(peer.Timeout, func() bool { return checker.AttemptAt(id) != "" }) {
		t.Fatal("the dispatcher has not received the set-up")
	}
	d.PauseInput() // its reader does not see the close
	d.ResetConns()
	resetAt := time.Now()
	time.Sleep(readerDelay)
	d.ResumeInput()
	if !WaitUntil(peer.Timeout, func() bool { return checker.AttemptAt(id) == "" }) {
		t.Fatal("the attempt has not ended")
	}
	if delay := checker.GuardStart(id).Sub(resetAt); delay > 0 {
		t.Errorf("the guard begins %v after the reset, want no delay", delay)
	}
}
