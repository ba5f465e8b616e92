package peer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// NewFullBacklogDispatcher returns a dispatcher that listens with a full backlog, so that no connection is established before it starts to accept. Until
// then a client gets no response, and its kernel retries after one second.
func NewFullBacklogDispatcher(transport, report string) (*Dispatcher, error) {
	ln, err := listenWithFullBacklog()
	if err != nil {
		return nil, fmt.Errorf("dispatcher with a full backlog: %w", err)
	}
	return newDispatcher(ln, transport, report), nil
}

// listenWithFullBacklog opens a listener and dials it until its backlog is full.
func listenWithFullBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	if err != nil {
		return nil, err
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	for {
		filler, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln, nil //nolint:nilerr // the backlog is full
		}
		defer filler.Close()
	}
}
