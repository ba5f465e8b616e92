package peer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// DispatchLate is a dispatcher to which connections do not come up before it is opened: what dials it gets no answer, and tries
// again after a second, as a kernel does.
func DispatchLate(transport, report string) (*Dispatcher, error) {
	ln, err := full()
	if err != nil {
		return nil, fmt.Errorf("late dispatcher: %w", err)
	}
	return dispatcher(ln, transport, report), nil
}

// full listens with as many connections waiting as it may have.
func full() (net.Listener, error) {
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
			return ln, nil //nolint:nilerr // it is full
		}
		defer filler.Close()
	}
}
