package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

const (
	// crowdTimeLeft is the time left that callers state, and crowdTimeout is the time that they wait. The difference allows for the delays
	// of this machine, which runs thousands of callers beside the program.
	crowdTimeLeft, crowdTimeout = 2500 * time.Millisecond, 3 * time.Second
	// crossingPeriod is the time in which the protocol lets a caller send a set-up again that crossed the close of its connection.
	crossingPeriod = 50 * time.Millisecond
	// crowdTries is the number of retries of a set-up that crosses the close of its connection.
	crowdTries = 3
)

// crowdCaller connects and, unless it is silent, sends a set-up in its first segment. It returns how the set-up ended: "answer", "refused"
// or an error text. It retries a set-up that crossed the close of its connection.
func crowdCaller(address netip.AddrPort, number int, silent bool) string {
	for try := 0; ; try++ {
		outcome, err := crowdCall(address, number|try<<20, silent)
		if err == nil {
			return outcome
		}
		if !errors.Is(err, errCrossed) || try == crowdTries {
			return err.Error()
		}
	}
}

// errCrossed is the error of a try whose connection was closed before its set-up was written, or within crossingPeriod after that.
var errCrossed = errors.New("closed as the set-up arrived")

// crowdCall is one try. It makes its system calls directly: with Go's scheduler between them, a set-up on a busy machine would come long
// after the connection.
func crowdCall(address netip.AddrPort, number int, silent bool) (outcome string, err error) {
	text, err := jsonl.Append(nil, (&peer.Caller{Class: "send-setup", Tenant: "acme"}).SetUpMessage(id(number), crowdTimeLeft, 0, "x"))
	if err != nil {
		return "", err
	}
	text = append(text, '\n')
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	file := os.NewFile(uintptr(fd), "caller")
	defer file.Close()
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Addr: address.Addr().As4(), Port: int(address.Port())}); err != nil {
		return "", err
	}
	begun := time.Now()
	if !silent {
		if n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n == 0 && err == nil {
			return "", errCrossed
		}
		if _, err := syscall.Write(fd, text); err != nil {
			return "", errCrossed
		}
	}
	wrote := time.Now()
	c, err := net.FileConn(file)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := errors.Join(file.Close(), c.SetReadDeadline(begun.Add(2*crowdTimeout))); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadBytes('\n')
	switch took := time.Since(wrote); {
	case silent:
		return "silent", nil
	case err != nil && (took < crossingPeriod || wrote.Sub(begun) > crossingPeriod/5): // it is unknown when the set-up was written
		return "", errCrossed
	case err != nil:
		return "", fmt.Errorf("closed without an answer: %w", err)
	case took > crowdTimeout:
		return "answered late", nil
	}
	m, err := jsonl.Parse(line)
	switch {
	case err != nil:
		return "", err
	case m.Type == "answer":
		return "answer", nil
	case m.Type == "release" && m.CauseOr(0) == call.CauseCongestion && m.Fields["wait"] != "":
		return "refused", nil
	}
	return fmt.Sprintf("unexpected message %s", line), nil
}

// TestACrowdOfCallersIsAnswered guards against connections beyond the limit that are closed without an answer.
func TestACrowdOfCallersIsAnswered(t *testing.T) {
	const sockets = 256
	for name, crowd := range map[string]struct {
		callers     int
		everySilent int // one in this many callers sends nothing; 0 for none
	}{
		"600 with a set-up each":        {600, 0},
		"2000 with a set-up each":       {2000, 0},
		"2560, of whom half are silent": {10 * sockets, 2},
	} {
		t.Run(name, func(t *testing.T) {
			d := startPromptDispatcher(t)
			coordinator := freeAddress(t)
			s := startLimited(t, sockets, coordinator, listEntry("d0", d.Address(), "active", 0))
			s.startCoordinator(coordinator)
			var mu sync.Mutex
			outcomes := map[string]int{}
			var all sync.WaitGroup
			for i := range crowd.callers {
				silent := crowd.everySilent > 0 && i%crowd.everySilent == 0
				all.Go(func() {
					outcome := crowdCaller(netip.MustParseAddrPort(s.lines), i+1, silent)
					mu.Lock()
					outcomes[outcome]++
					mu.Unlock()
				})
			}
			newest := startPromptDispatcher(t) // the list is still followed
			s.sendChange(2, listEntry("newest", newest.Address(), "active", 1))
			s.waitServers(2, time.Second)
			all.Wait()
			t.Logf("%v", outcomes)
			for outcome, n := range outcomes {
				if outcome != "answer" && outcome != "refused" && outcome != "silent" {
					t.Errorf("%d callers: %s", n, outcome)
				}
			}
			if outcomes["answer"] == 0 {
				t.Error("no call was answered")
			}
			s.checkDescriptors()
			if t.Failed() {
				t.Log(s.log.String())
			}
		})
	}
}
