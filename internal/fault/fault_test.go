package fault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// echo is a process that says again what it hears.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// link is a net with one link to an echo, and a connection through it.
func link(t *testing.T) (*Net, func() net.Conn) {
	t.Helper()
	n := New(7)
	t.Cleanup(n.Close)
	address, err := n.Between("a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	return n, func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// say writes a text and reads as much; within is how long the answer may take.
func say(c net.Conn, text string, within time.Duration) (took time.Duration, err error) {
	begun := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	return hear(c, text, begun, within)
}

func hear(c net.Conn, text string, begun time.Time, within time.Duration) (time.Duration, error) {
	got := make([]byte, len(text))
	_ = c.SetReadDeadline(time.Now().Add(within))
	if _, err := io.ReadFull(c, got); err != nil {
		return 0, err
	}
	if !bytes.Equal(got, []byte(text)) {
		return 0, errors.New("spoilt")
	}
	return time.Since(begun), nil
}

const patience = 10 * time.Second

func TestWaysThroughALink(t *testing.T) {
	n, dial := link(t)
	c := dial()
	long := string(bytes.Repeat([]byte("0123456789"), 2000))
	for _, step := range []struct {
		what  string
		rule  Rule
		least time.Duration
	}{
		{"as it is", Rule{}, 0},
		{"delayed forth", Rule{Forth: Way{Delay: 60 * time.Millisecond}}, 60 * time.Millisecond},
		{"delayed both ways, with jitter", Rule{Forth: Way{Delay: 30 * time.Millisecond}, Back: Way{Delay: 40 * time.Millisecond, Jitter: time.Millisecond}}, 70 * time.Millisecond},
		{"in pieces of 7 bytes", Rule{Forth: Way{Split: 7}, Back: Way{Split: 7}}, 0},
		{"at 100,000 bytes a second", Rule{Back: Way{Rate: 100_000}}, 190 * time.Millisecond},
	} {
		n.Set("a>b", step.rule)
		if took, err := say(c, long, patience); err != nil || took < step.least {
			t.Errorf("%s: %v, %v; want %v at least", step.what, took, err, step.least)
		}
	}
	if forth, back := n.Passed("a>b"); forth != 5*int64(len(long)) || back != forth {
		t.Errorf("%d bytes forth, %d back", forth, back)
	}
	if log := n.Log(); len(log) != 5 || log[4].Link != "a>b" {
		t.Errorf("log %v", log)
	}
}

// TestAPartHoldsBack: what is parted says nothing and stays open; new connections do not come up; all arrives once it is healed.
func TestAPartHoldsBack(t *testing.T) {
	n, dial := link(t)
	open := dial()
	if _, err := say(open, "x", patience); err != nil {
		t.Fatal(err)
	}
	n.Part([]string{"a"}, []string{"b"})
	late := dial()
	begun := time.Now()
	for _, c := range []net.Conn{open, late} {
		var timeout net.Error
		if _, err := say(c, "parted", 50*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("across a part came %v", err)
		}
	}
	n.Heal()
	for _, c := range []net.Conn{open, late} {
		if _, err := hear(c, "parted", begun, patience); err != nil {
			t.Errorf("after it was healed: %v", err)
		}
	}
	n.Set("*>b", Rule{Back: Way{Hole: true}}) // one way only
	if _, err := say(open, "one way", 50*time.Millisecond); err == nil {
		t.Error("an answer came through a hole")
	}
	if forth, back := n.Passed("a>b"); forth <= back {
		t.Errorf("%d bytes forth, %d back, want what was asked to have arrived", forth, back)
	}
}

func TestCuts(t *testing.T) {
	n, dial := link(t)
	for _, reset := range []bool{true, false} {
		c := dial()
		if _, err := say(c, "x", patience); err != nil {
			t.Fatal(err)
		}
		n.Cut("a>*", reset)
		if _, err := hear(c, "x", time.Now(), patience); err == nil || !reset && !errors.Is(err, io.EOF) || reset && errors.Is(err, io.EOF) {
			t.Errorf("cut with reset %v: %v", reset, err)
		}
	}
	c := dial()
	if _, err := say(c, "x", patience); err != nil {
		t.Fatal(err)
	}
	n.Half("a>b", Forth) // the echo hears the end and closes, and that is told back
	if _, err := hear(c, "x", time.Now(), patience); !errors.Is(err, io.EOF) {
		t.Errorf("half closed: %v", err)
	}
	refused, err := n.Between("a", "c", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", refused); err == nil {
		if _, err := say(c, "x", patience); err == nil {
			t.Error("somebody answered where there is nobody")
		}
	}
}
