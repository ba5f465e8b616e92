package trial

import (
	"net"
	"testing"
	"time"

	"cherryrelay/internal/peer"
	"cherryrelay/internal/sip"
)

// TestAnAnswerOfADispatcherThatHasDied guards against a judge that takes an answer for given that its dispatcher could not send any more: the
// next attempt counted as one beside a call that stands.
func TestAnAnswerOfADispatcherThatHasDied(t *testing.T) {
	const id, guard = "00000000000000d1", 50 * time.Millisecond
	judge := NewJudge(guard, time.Minute)
	d, err := Stand("tcp", "s8", judge)
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
	for until := time.Now().Add(peer.Patience); judge.Out(id) == "" && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock() // the close of its connections is told to it after its answer
	e := d.links[id]
	delete(d.links, id)
	d.Die()
	d.answer(e)
	d.mu.Unlock()
	if at := judge.Stands(id); at != "" {
		t.Errorf("it stands at %s, which has died before it could answer", at)
	}
	judge.SetUp(id, "s31", time.Now().Add(guard))
	if faults, _, _ := judge.Verdict(); len(faults) > 0 {
		t.Error(faults)
	}
	judge.SetUp("00000000000000d2", "s8", time.Now())
	judge.Answered("00000000000000d2", "s8")
	judge.AnswerUnsent("00000000000000d2", "s8", time.Now())
	judge.SetUp("00000000000000d2", "s31", time.Now())
	if faults, _, _ := judge.Verdict(); len(faults) != 1 {
		t.Errorf("an attempt inside the guard: %v; want one fault", faults)
	}
}

// TestACallerWithPatienceEnoughStopsThoughMoreIsTold guards against a play that never ends, as a controller tells the end of a call that is over again
// and again while another call is owed something.
func TestACallerWithPatienceEnoughStopsThoughMoreIsTold(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for err == nil { // its call is never answered
					_, err = nc.Write([]byte(`{"type":"release","id":"00000000000000ff","fields":{},"cause":16}` + "\n"))
					time.Sleep(time.Millisecond)
				}
			}()
		}
	}()
	judge := NewJudge(time.Second, time.Minute)
	caller := Caller{Transport: "tcp", Addresses: []string{ln.Addr().String()}, First: 1, Window: 1, Judge: judge, Patience: 50 * time.Millisecond}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); caller.Run(done) }()
	if !Until(peer.Patience, func() bool { unanswered, _ := judge.Unsettled(); return len(unanswered) == 1 }) {
		t.Fatal("the caller places no call")
	}
	close(done)
	select {
	case <-ended:
	case <-time.After(peer.Patience):
		t.Error("the caller goes on")
	}
}

// TestAnAttemptEndsWithTheResetOfItsDispatcher guards against a judge that holds a controller to a guard which began later for the judge than for the
// controller: a dispatcher that resets a connection itself may see that long after its controller has.
func TestAnAttemptEndsWithTheResetOfItsDispatcher(t *testing.T) {
	const id, late = "00000000000000d2", 200 * time.Millisecond
	judge := NewJudge(time.Second, time.Minute)
	d, err := Stand("tcp", "s1", judge)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Die)
	d.Act(false, true)
	nc, err := net.Dial("tcp", d.Listening())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Write(sip.Append(nil, &sip.Message{Method: "INVITE", URI: "sip:k@net", CallID: id, Seq: 1, SeqOf: "INVITE", Body: []byte("x")})); err != nil {
		t.Fatal(err)
	}
	if !Until(peer.Patience, func() bool { return judge.Out(id) != "" }) {
		t.Fatal("the set-up never comes")
	}
	d.Rest() // its reader sees nothing
	d.Cut()
	reset := time.Now()
	time.Sleep(late)
	d.Wake()
	if !Until(peer.Patience, func() bool { return judge.Out(id) == "" }) {
		t.Fatal("the attempt never ends")
	}
	if after := judge.Guarded(id).Sub(reset); after > 0 {
		t.Errorf("the attempt counts as ended %v after the reset", after)
	}
}
