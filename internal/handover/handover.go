// Package handover passes the listening sockets of a process to its successor, which starts while its predecessor still serves. The two processes
// communicate over a Unix socket, because only a Unix socket passes descriptors (SCM_RIGHTS). The package uses net instead of netpoll, which
// serves all other sockets, because netpoll does not support this.
package handover

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	// greeting identifies the protocol and its version.
	greeting = "cherryrelay-handover-1"
	// replyTimeout bounds each step of the handshake: an unrelated process that listens at the path must not block the start.
	replyTimeout = time.Second
	// maxListeners bounds the sockets that are passed. The two fronts have one each.
	maxListeners = 4
	// maxMessageSize bounds the size of a message, in bytes.
	maxMessageSize = 4 << 10
	// MaxAttemptedCalls bounds the ids in a message.
	MaxAttemptedCalls = 100
	// sendQueueSize bounds the messages that are queued for the other process, which reads continuously.
	sendQueueSize = 1 << 10
	// writeTimeout bounds a write, in case the other process does not read.
	writeTimeout = time.Second
)

// ErrBusy is returned if the serving process already has a successor.
var ErrBusy = errors.New("another successor is starting")

// Message is a message between the two processes, one line of JSON.
type Message struct {
	Hello           string   `json:"hello,omitempty"`     // the greeting
	Busy            bool     `json:"busy,omitempty"`      // another successor is starting
	Listeners       []string `json:"listeners,omitempty"` // configured addresses of the listeners, in the order of the descriptors
	Ready           bool     `json:"ready,omitempty"`     // the successor serves
	OpenConnections *int     `json:"open,omitempty"`      // number of callers' connections that the predecessor still holds
	TerminatedCall  string   `json:"over,omitempty"`      // id of a call that has ended; the successor notifies its caller
	Cause           int      `json:"cause,omitempty"`     // cause of that end
	EstablishedCall string   `json:"stands,omitempty"`    // id of a call that is established as the predecessor ends
	Server          string   `json:"server,omitempty"`    // server at which that call is established
	ServerAddress   string   `json:"address,omitempty"`   // its address; empty if it is not known
	ServerStartedUs int64    `json:"started_us,omitempty"`
	AttemptedCalls  []string `json:"tried,omitempty"` // ids of calls that were sent to a dispatcher, or are about to be
	WantsAttempts   bool     `json:"wants_tried,omitempty"`
	AttemptsSent    bool     `json:"tried_sent,omitempty"` // the ids of all calls that were attempted before WantsAttempts have been sent
}

// Path returns the path of the Unix socket of the process that listens for callers on an address. It returns an empty path if the address has no
// fixed port.
func Path(listen string) string {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "0" {
		return ""
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(listen)) // writing to a hash cannot fail
	return filepath.Join(os.TempDir(), fmt.Sprintf("cherryrelay-%x", sum.Sum64()))
}

// Peer is the connection to the other process.
type Peer struct {
	conn      *net.UnixConn
	lines     *bufio.Scanner
	send      chan Message  // queued messages; closed by Finish
	done      chan struct{} // closed when no more messages are sent
	closeSend sync.Once
}

// newPeer returns a Peer on a connection. Its messages are exchanged once Run is called.
func newPeer(nc *net.UnixConn) *Peer {
	p := &Peer{conn: nc, lines: bufio.NewScanner(nc), send: make(chan Message, sendQueueSize), done: make(chan struct{})}
	p.lines.Buffer(make([]byte, 512), maxMessageSize)
	return p
}

// write sends a message at once.
func (p *Peer) write(m Message) error {
	data, err := jsoniter.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err = p.conn.Write(append(data, '\n')); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// read receives a message.
func (p *Peer) read() (m Message, err error) {
	if !p.lines.Scan() {
		return m, errors.Join(errors.New("handover: the other process has closed the connection"), p.lines.Err())
	}
	if err := jsoniter.Unmarshal(p.lines.Bytes(), &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}

// Run starts to pass received messages to handle, one at a time, and to send the queued messages. Both stop when either process closes the
// connection; closed is called after the last message.
func (p *Peer) Run(handle func(Message), closed func()) {
	go func() {
		defer close(p.done)
		for m := range p.send {
			if p.write(m) != nil {
				_ = p.conn.Close() // ends the reading goroutine, which calls closed
				return
			}
		}
		_ = p.conn.Close()
	}()
	go func() {
		for {
			m, err := p.read()
			if err != nil {
				_ = p.conn.Close()
				closed()
				return
			}
			handle(m)
		}
	}()
}

// Send queues a message. It returns false if the queue is full or the connection is closed. Only one goroutine may call Send, and not after
// Finish.
func (p *Peer) Send(m Message) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	select {
	case p.send <- m:
		return true
	default:
		return false
	}
}

// SendBlocking queues a message and waits while the queue is full, unless the connection is closed. It is for the messages before Finish, which
// may exceed the capacity of the queue.
func (p *Peer) SendBlocking(m Message) {
	select {
	case <-p.done:
	case p.send <- m:
	}
}

// Finish has the connection closed once the queued messages are sent, and waits for that no longer than writeTimeout.
func (p *Peer) Finish() {
	p.closeSend.Do(func() { close(p.send) })
	select {
	case <-p.done:
	case <-time.After(writeTimeout):
	}
}

// RequestListeners requests the listening sockets of the process that serves at a path, and returns them by their addresses. The error matches
// fs.ErrNotExist or ECONNREFUSED if there is no such process, and ErrBusy if that process has a successor already.
func RequestListeners(path string) (_ *Peer, _ map[string]*net.TCPListener, err error) {
	nc, err := dial(path)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, nc.Close())
		}
	}()
	if err := nc.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	p := newPeer(nc)
	if err := p.write(Message{Hello: greeting}); err != nil {
		return nil, nil, err
	}
	listeners, err := receiveListeners(nc)
	if err != nil {
		return nil, nil, err
	}
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	return p, listeners, nil
}

// dial connects to the Unix socket at a path. It refuses a socket that does not belong to the user of this process.
func dial(path string) (*net.UnixConn, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if info.Mode().Type() != fs.ModeSocket || !ownedByUser(info) {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	c, err := net.DialTimeout("unix", path, replyTimeout)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	nc, ok := c.(*net.UnixConn)
	if !ok {
		return nil, errors.Join(errors.New("handover: the connection is not a Unix socket"), c.Close())
	}
	return nc, nil
}

// receiveListeners reads the reply of the serving process, and returns the listeners in it by their addresses.
func receiveListeners(nc *net.UnixConn) (map[string]*net.TCPListener, error) {
	files, m, err := receiveSockets(nc)
	defer func() {
		for _, f := range files {
			_ = f.Close() // the listeners have copies of the descriptors
		}
	}()
	switch {
	case err != nil:
		return nil, err
	case m.Busy:
		return nil, ErrBusy
	case m.Hello != greeting || len(files) == 0 || len(files) != len(m.Listeners):
		return nil, fmt.Errorf("handover: invalid reply: greeting %q with %d sockets", m.Hello, len(files))
	}
	listeners := map[string]*net.TCPListener{}
	for i, f := range files {
		if listeners[m.Listeners[i]], err = newListener(f); err != nil {
			return nil, fmt.Errorf("handover: %s: %w", m.Listeners[i], err)
		}
	}
	return listeners, nil
}

// newListener returns a TCP listener with a copy of a descriptor.
func newListener(f *os.File) (*net.TCPListener, error) {
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller wraps it
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errors.New("not a TCP socket"), ln.Close())
	}
	return tcp, nil
}

// receiveSockets reads the reply of the serving process, the only message that carries descriptors.
func receiveSockets(nc *net.UnixConn) ([]*os.File, Message, error) {
	var m Message
	line, control := make([]byte, maxMessageSize), make([]byte, syscall.CmsgSpace(4*maxListeners))
	lineSize, controlSize, _, _, err := nc.ReadMsgUnix(line, control)
	if err != nil {
		return nil, m, fmt.Errorf("handover: %w", err)
	}
	var files []*os.File
	controlMessages, err := syscall.ParseSocketControlMessage(control[:controlSize])
	if err != nil {
		return nil, m, fmt.Errorf("handover: %w", err)
	}
	for i := range controlMessages {
		fds, err := syscall.ParseUnixRights(&controlMessages[i])
		if err != nil {
			return files, m, fmt.Errorf("handover: %w", err)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	if err := jsoniter.Unmarshal(line[:lineSize], &m); err != nil {
		return files, m, fmt.Errorf("handover: %w", err)
	}
	return files, m, nil
}

// Socket is a listening socket that is handed over.
type Socket struct {
	Address string   // as configured
	File    *os.File // closed after it is sent
}

// Server hands the listening sockets of this process over to successors.
type Server struct {
	ln         *net.UnixListener
	path       string
	socketInfo os.FileInfo // of the own socket at path
	log        *slog.Logger
}

// Serve accepts successors at a path, and replaces the socket of the previous process there. It calls begin for each successor. begin returns the
// sockets to hand over, or none if there is a successor already; if it returns sockets, it has to call Run on the Peer as well.
func Serve(path string, log *slog.Logger, begin func(*Peer) []Socket) (*Server, error) {
	if info, err := os.Lstat(path); err == nil && (info.Mode().Type() != fs.ModeSocket || !ownedByUser(info)) {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	// The socket is renamed into place, so that a successor finds a socket at any time.
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(tempPath) // may be left by a process that had the same id
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // at that time, the path may belong to a successor
	s := &Server{ln: ln, path: path, log: log}
	if err := errors.Join(os.Chmod(tempPath, 0o600), os.Rename(tempPath, path)); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close(), os.Remove(tempPath)))
	}
	if s.socketInfo, err = os.Lstat(path); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close()))
	}
	go s.accept(begin)
	return s, nil
}

// accept performs the handshakes with successors, one at a time. A second successor waits for the handshake with the first, which is bounded by
// timeouts.
func (s *Server) accept(begin func(*Peer) []Socket) {
	for {
		nc, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("a successor's connection cannot be accepted", "err", err)
			time.Sleep(replyTimeout)
			continue
		}
		if err := s.handshake(nc, begin); err != nil {
			s.log.Warn("the handshake with a successor failed", "err", err)
			_ = nc.Close()
		}
	}
}

// handshake checks the greeting of a successor, and sends it the sockets that begin returns.
func (s *Server) handshake(nc *net.UnixConn, begin func(*Peer) []Socket) error {
	p := newPeer(nc)
	if err := nc.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	m, err := p.read()
	if err != nil || m.Hello != greeting {
		return errors.Join(fmt.Errorf("handover: unknown greeting %.40q", m.Hello), err)
	}
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	sockets := begin(p)
	if len(sockets) == 0 {
		return errors.Join(ErrBusy, p.write(Message{Busy: true}))
	}
	m = Message{Hello: greeting}
	var fds []int
	for _, socket := range sockets {
		m.Listeners = append(m.Listeners, socket.Address)
		fds = append(fds, int(socket.File.Fd()))
	}
	data, err := jsoniter.Marshal(m)
	if err == nil {
		_, _, err = nc.WriteMsgUnix(append(data, '\n'), syscall.UnixRights(fds...), nil)
	}
	for _, socket := range sockets {
		err = errors.Join(err, socket.File.Close())
	}
	if err != nil {
		// begin has registered the successor already; Run reports that its connection is closed.
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close stops accepting successors. It removes the socket from the path unless another process has replaced it.
func (s *Server) Close() error {
	err := s.ln.Close()
	if info, statErr := os.Lstat(s.path); statErr == nil && os.SameFile(info, s.socketInfo) {
		err = errors.Join(err, os.Remove(s.path))
	}
	return err
}

// ownedByUser reports whether a file belongs to the user of this process.
func ownedByUser(info os.FileInfo) bool {
	stat, ok := info.Sys().(*syscall.Stat_t)
	return ok && int(stat.Uid) == os.Getuid()
}
