package fault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server that sends back all data that it receives, and returns its address.
func startEchoServer(t *testing.T) string {
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

// newFixture returns a Net with the link "a>b" to an echo server, and a function that opens a connection through it.
func newFixture(t *testing.T) (*Net, func() net.Conn) {
	t.Helper()
	n := New(7)
	t.Cleanup(n.Close)
	address, err := n.AddLink("a", "b", startEchoServer(t))
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

// exchange sends a text and waits for its echo.
func exchange(c net.Conn, text string, timeout time.Duration) (elapsed time.Duration, err error) {
	started := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	return receive(c, text, started, timeout)
}

// receive waits for a text and returns the time since started.
func receive(c net.Conn, text string, started time.Time, timeout time.Duration) (time.Duration, error) {
	got := make([]byte, len(text))
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.ReadFull(c, got); err != nil {
		return 0, err
	}
	if !bytes.Equal(got, []byte(text)) {
		return 0, errors.New("received text differs from the text that was sent")
	}
	return time.Since(started), nil
}

const echoTimeout = 10 * time.Second

func TestLinkImpairments(t *testing.T) {
	n, dial := newFixture(t)
	c := dial()
	long := string(bytes.Repeat([]byte("0123456789"), 2000))
	for _, step := range []struct {
		name       string
		rule       Rule
		minElapsed time.Duration
	}{
		{"no faults", Rule{}, 0},
		{"delay towards the server", Rule{Forth: Impairment{Delay: 60 * time.Millisecond}}, 60 * time.Millisecond},
		{"delay in both directions, with jitter", Rule{Forth: Impairment{Delay: 30 * time.Millisecond}, Back: Impairment{Delay: 40 * time.Millisecond, Jitter: time.Millisecond}}, 70 * time.Millisecond},
		{"chunks of 7 bytes", Rule{Forth: Impairment{Split: 7}, Back: Impairment{Split: 7}}, 0},
		{"100,000 bytes per second", Rule{Back: Impairment{Rate: 100_000}}, 190 * time.Millisecond},
	} {
		n.SetRule("a>b", step.rule)
		if elapsed, err := exchange(c, long, echoTimeout); err != nil || elapsed < step.minElapsed {
			t.Errorf("%s: %v, %v; want at least %v", step.name, elapsed, err, step.minElapsed)
		}
	}
	if forward, backward := n.ForwardedBytes("a>b"); forward != 5*int64(len(long)) || backward != forward {
		t.Errorf("forwarded %d bytes to the server and %d to the client, want the text of every step in both directions", forward, backward)
	}
	if log := n.Log(); len(log) != 5 || log[4].Link != "a>b" {
		t.Errorf("log = %v, want 5 entries, the last for a>b", log)
	}
}

// TestPartitionDelaysDataUntilHealed guards against a partition that drops data or closes connections: an open connection and a new one carry
// no data during the partition, and deliver all of it afterwards.
func TestPartitionDelaysDataUntilHealed(t *testing.T) {
	n, dial := newFixture(t)
	openConn := dial()
	if _, err := exchange(openConn, "x", echoTimeout); err != nil {
		t.Fatal(err)
	}
	n.Partition([]string{"a"}, []string{"b"})
	newConn := dial()
	started := time.Now()
	for _, c := range []net.Conn{openConn, newConn} {
		var timeout net.Error
		if _, err := exchange(c, "parted", 50*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("exchange during the partition: error %v, want a timeout", err)
		}
	}
	n.Heal()
	for _, c := range []net.Conn{openConn, newConn} {
		if _, err := receive(c, "parted", started, echoTimeout); err != nil {
			t.Errorf("receive after the partition was healed: %v", err)
		}
	}
	n.SetRule("*>b", Rule{Back: Impairment{Hole: true}}) // blocks the direction to the client only
	if _, err := exchange(openConn, "one way", 50*time.Millisecond); err == nil {
		t.Error("received an echo through a blocked direction")
	}
	if forward, backward := n.ForwardedBytes("a>b"); forward <= backward {
		t.Errorf("forwarded %d bytes to the server and %d to the client, want more to the server", forward, backward)
	}
}

func TestConnectionClosures(t *testing.T) {
	n, dial := newFixture(t)
	for _, reset := range []bool{true, false} {
		c := dial()
		if _, err := exchange(c, "x", echoTimeout); err != nil {
			t.Fatal(err)
		}
		n.CloseConns("a>*", reset)
		if _, err := receive(c, "x", time.Now(), echoTimeout); err == nil || !reset && !errors.Is(err, io.EOF) || reset && errors.Is(err, io.EOF) {
			t.Errorf("receive after a close with reset %v: %v", reset, err)
		}
	}
	c := dial()
	if _, err := exchange(c, "x", echoTimeout); err != nil {
		t.Fatal(err)
	}
	n.HalfClose("a>b", Forward) // the echo server reads EOF and closes, which is forwarded to the client
	if _, err := receive(c, "x", time.Now(), echoTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("receive after a half-close: error %v, want EOF", err)
	}
	refused, err := n.AddLink("a", "c", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", refused); err == nil {
		if _, err := exchange(c, "x", echoTimeout); err == nil {
			t.Error("received an echo through a link whose target does not listen")
		}
	}
}
