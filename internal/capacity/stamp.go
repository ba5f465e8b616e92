package capacity

import (
	"fmt"
	"io"
	"net"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// stampedReader reads from a connection and returns the time at which the kernel received the data (SO_TIMESTAMPNS). On loopback that is
// the time at which the other end wrote it, so it excludes the time until this program wakes up. The kernel starts to set time stamps
// shortly after the first socket enables them; until then the time is zero.
type stampedReader struct {
	raw interface {
		Read(func(fd uintptr) bool) error
	}
	oob []byte
}

// newStampedReader enables kernel time stamps on a connection and returns a reader for it.
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

// read is like Read of a connection; at is the time stamp of the last bytes.
func (r *stampedReader) read(p []byte) (n int, at time.Time, err error) {
	var received error
	length := 0
	err = r.raw.Read(func(fd uintptr) bool {
		n, length, _, _, received = unix.Recvmsg(int(fd), p, r.oob, 0)
		return received != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, at, err //nolint:wrapcheck // io.Reader implementations return plain errors
	case received != nil:
		return 0, at, received //nolint:wrapcheck // io.Reader implementations return plain errors
	case n == 0:
		return 0, at, io.EOF
	}
	messages, err := unix.ParseSocketControlMessage(r.oob[:length])
	if err != nil {
		return n, at, fmt.Errorf("capacity: %w", err)
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS {
			stamp := *(*unix.Timespec)(unsafe.Pointer(unsafe.SliceData(m.Data))) // the kernel aligns and fills the data
			at = time.Unix(stamp.Unix())
		}
	}
	return n, at, nil
}
