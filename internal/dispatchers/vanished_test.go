package dispatchers

import (
	"iter"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// oneCallCore is a core with one call at a dispatcher, until the dispatcher counts as lost.
type oneCallCore struct {
	Core   // panics in methods that are not expected
	failed chan control.ServerID
	ended  bool
}

func (c *oneCallCore) EstablishedCount(control.ServerID) int {
	if c.ended {
		return 0
	}
	return 1
}

func (c *oneCallCore) EachEstablished(f func(control.ServerID)) {
	if !c.ended {
		f("d")
	}
}

func (c *oneCallCore) EstablishedAt(control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		if !c.ended {
			yield("a call")
		}
	}
}

func (c *oneCallCore) DispatcherReached() {}

func (c *oneCallCore) DispatcherFailed(id control.ServerID) {
	if !c.ended {
		c.ended = true
		c.failed <- id
	}
}

// unreachable returns an address that accepts only one connection: later dials get no answer at all.
func unreachable(t *testing.T) (address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // the backlog has space for one connection
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	up := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		up <- c
	}()
	address = ln.Addr().String()
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = first.Close() })
	_ = (<-up).Close()
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestAVanishedMachineWithNoConnectionLeft guards against calls that are held for ever at a machine that vanished after its connections
// were abandoned.
func TestAVanishedMachineWithNoConnectionLeft(t *testing.T) {
	t.Parallel()
	address := unreachable(t)
	loop := call.NewLoop()
	core := &oneCallCore{failed: make(chan control.ServerID, 1)}
	begun := time.Now()
	loop.Post(func() {
		p := New(loop, core, Options{ConnectTimeout: 200 * time.Millisecond, Log: slog.New(slog.DiscardHandler)})
		p.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: "d"}, Address: address}}, Complete: true})
	})
	go loop.Run()
	t.Cleanup(loop.Quit)
	select {
	case <-core.failed:
		if early := unresponsiveTimeout - time.Since(begun); early > 0 {
			t.Errorf("its calls were ended %v too early", early)
		}
	case <-time.After(4 * unresponsiveTimeout):
		t.Error("its calls were not ended")
	}
}
