package fault

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestVanishedMachineStaysSilent guards against a simulated loss of a machine that its clients can tell from a silent one.
func TestVanishedMachineStaysSilent(t *testing.T) {
	n, dial := newFixture(t)
	open := dial()
	if _, err := exchange(open, "before", time.Second); err != nil {
		t.Fatal(err)
	}
	if err := n.Vanish("a>b"); err != nil {
		t.Fatal(err)
	}
	expectSilence(t, open)
	address := n.links["a>b"].ln.Addr().String()
	var timeout net.Error
	if c, err := net.DialTimeout("tcp", address, fillTimeout); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("dial of a vanished machine: %v, %v; want a timeout", c, err)
	}
	if err := n.Replace("a>b", startEchoServer(t)); err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(dial(), "after", time.Second); err != nil {
		t.Errorf("a connection to the next server: %v", err)
	}
	expectSilence(t, open)
}

// expectSilence sends a text and fails if anything is received, or the connection ends.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := exchange(c, "unread", fillTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v; want a timeout", err)
	}
}
