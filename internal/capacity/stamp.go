package capacity

import (
	"fmt"
	"io"
	"net"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// stampedReader reads from a connection and tells when the kernel took in what is read (SO_TIMESTAMPNS). On loopback that is when the
// other end wrote it, so the time in which this program wakes up is left out. The kernel begins a moment after the first socket asks for
// it: until then at is zero.
type stampedReader struct {
	raw interface {
		Read(func(fd uintptr) bool) error
	}
	oob []byte
}

// newStampedReader has the kernel stamp what a connection brings.
func newStampedReader(c net.Conn) (*stampedReader, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("capacity: %T has no time stamps", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) }); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if set != nil {
		return nil, fmt.Errorf("capacity: %w", set)
	}
	return &stampedReader{raw: raw, oob: make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))}, nil
}

// read is like a connection's Read; at is the stamp of the last bytes.
func (r *stampedReader) read(p []byte) (n int, at time.Time, err error) {
	var received error
	length := 0
	err = r.raw.Read(func(fd uintptr) bool {
		n, length, _, _, received = unix.Recvmsg(int(fd), p, r.oob, 0)
		return received != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, at, err //nolint:wrapcheck // as any connection's
	case received != nil:
		return 0, at, received //nolint:wrapcheck // as any connection's
	case n == 0:
		return 0, at, io.EOF
	}
	messages, err := unix.ParseSocketControlMessage(r.oob[:length])
	if err != nil {
		return n, at, fmt.Errorf("capacity: %w", err)
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS {
			stamp := *(*unix.Timespec)(unsafe.Pointer(unsafe.SliceData(m.Data))) // of the kernel, which aligns and fills it
			at = time.Unix(stamp.Unix())
		}
	}
	return n, at, nil
}
