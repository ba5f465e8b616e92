// Package handover passes the listening sockets of a process to its successor, which starts while the first one still serves. They talk over a
// Unix socket, as only that passes descriptors (SCM_RIGHTS): netpoll, which serves all other sockets, does not support it.
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
	// greeting names the protocol and its version.
	greeting = "cherryrelay-handover-1"
	// replyTimeout bounds each step of the handshake: a stranger that listens at the path must not block a start.
	replyTimeout = time.Second
	// maxListeners bounds the sockets that are passed: two fronts have one each.
	maxListeners = 4
	// maxMessageSize bounds a message, in bytes.
	maxMessageSize = 4 << 10
	// sendQueueSize bounds the messages that wait for the other process, which reads continuously.
	sendQueueSize = 1 << 10
	// writeTimeout bounds a write to a process that does not read.
	writeTimeout = time.Second
)

// ErrBusy is the error of a process that already has a successor.
var ErrBusy = errors.New("another successor is starting")

// Message is a message between the two processes, one line of JSON.
type Message struct {
	Hello     string   `json:"hello,omitempty"`
	Busy      bool     `json:"busy,omitempty"`
	Listeners []string `json:"listeners,omitempty"` // their addresses, in the order of the descriptors
	Ready     bool     `json:"ready,omitempty"`     // the successor serves
	Open      *int     `json:"open,omitempty"`      // connections from callers that are still held
	Over      string   `json:"over,omitempty"`      // a call has ended, for its caller to hear
	Cause     int      `json:"cause,omitempty"`
	Stands    string   `json:"stands,omitempty"` // a call stands at the server, and its process ends
	Server    string   `json:"server,omitempty"`
}

// Path returns the path of the Unix socket of the process that listens for callers at an address; empty if the address has no fixed port.
func Path(listen string) string {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "0" {
		return ""
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(listen)) // it never fails
	return filepath.Join(os.TempDir(), fmt.Sprintf("cherryrelay-%x", sum.Sum64()))
}

// Peer is the connection to the other process.
type Peer struct {
	conn  *net.UnixConn
	lines *bufio.Scanner
	send  chan Message
	done  chan struct{}
	once  sync.Once
}

func newPeer(nc *net.UnixConn) *Peer {
	p := &Peer{conn: nc, lines: bufio.NewScanner(nc), send: make(chan Message, sendQueueSize), done: make(chan struct{})}
	p.lines.Buffer(make([]byte, 512), maxMessageSize)
	return p
}

func (p *Peer) write(m Message) error {
	text, err := jsoniter.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err = p.conn.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (p *Peer) read() (m Message, err error) {
	if !p.lines.Scan() {
		return m, errors.Join(errors.New("handover: the other process has closed"), p.lines.Err())
	}
	if err := jsoniter.Unmarshal(p.lines.Bytes(), &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}

// Run passes received messages to take, one at a time, and sends those queued by Send, until either end closes. It calls gone last.
func (p *Peer) Run(take func(Message), gone func()) {
	go func() {
		defer close(p.done)
		for m := range p.send {
			if p.write(m) != nil {
				_ = p.conn.Close() // the reader calls gone
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
				gone()
				return
			}
			take(m)
		}
	}()
}

// Send queues a message. It returns false if the queue is full or the connection closed. Only one goroutine may call it, and not after Finish.
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

// Last is Send for the last messages, which may be many: it waits for room in the queue.
func (p *Peer) Last(m Message) {
	select {
	case <-p.done:
	case p.send <- m:
	}
}

// Finish closes the connection once the queue is sent, or after a timeout.
func (p *Peer) Finish() {
	p.once.Do(func() { close(p.send) })
	select {
	case <-p.done:
	case <-time.After(writeTimeout):
	}
}

// Ask takes over the listening sockets of the serving process, by their addresses. The errors fs.ErrNotExist and ECONNREFUSED mean that there
// is no such process.
func Ask(path string) (_ *Peer, _ map[string]*net.TCPListener, err error) {
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

// dial connects to the Unix socket at a path, which must belong to this user.
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
		return nil, errors.Join(errors.New("handover: no Unix socket"), c.Close())
	}
	return nc, nil
}

// receiveListeners reads the reply of the serving process, and returns its listeners by their addresses.
func receiveListeners(nc *net.UnixConn) (map[string]*net.TCPListener, error) {
	files, m, err := receiveSockets(nc)
	defer func() {
		for _, f := range files {
			_ = f.Close() // the listeners have copies
		}
	}()
	switch {
	case err != nil:
		return nil, err
	case m.Busy:
		return nil, ErrBusy
	case m.Hello != greeting || len(files) == 0 || len(files) != len(m.Listeners):
		return nil, fmt.Errorf("handover: %q with %d sockets is no answer", m.Hello, len(files))
	}
	listeners := map[string]*net.TCPListener{}
	for i, f := range files {
		if listeners[m.Listeners[i]], err = listener(f); err != nil {
			return nil, fmt.Errorf("handover: %s: %w", m.Listeners[i], err)
		}
	}
	return listeners, nil
}

// listener returns a listener with a copy of a descriptor.
func listener(f *os.File) (*net.TCPListener, error) {
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller wraps it
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errors.New("no TCP socket"), ln.Close())
	}
	return tcp, nil
}

// receiveSockets reads the one message that carries descriptors.
func receiveSockets(nc *net.UnixConn) ([]*os.File, Message, error) {
	var m Message
	line, rights := make([]byte, maxMessageSize), make([]byte, syscall.CmsgSpace(4*maxListeners))
	n, k, _, _, err := nc.ReadMsgUnix(line, rights)
	if err != nil {
		return nil, m, fmt.Errorf("handover: %w", err)
	}
	var files []*os.File
	messages, err := syscall.ParseSocketControlMessage(rights[:k])
	if err != nil {
		return nil, m, fmt.Errorf("handover: %w", err)
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return files, m, fmt.Errorf("handover: %w", err)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	if err := jsoniter.Unmarshal(line[:n], &m); err != nil {
		return files, m, fmt.Errorf("handover: %w", err)
	}
	return files, m, nil
}

// Socket is a listening socket to hand over.
type Socket struct {
	Address string
	File    *os.File
}

// Server accepts successors.
type Server struct {
	ln   *net.UnixListener
	path string
	info os.FileInfo
	log  *slog.Logger
}

// Serve accepts successors at a path, and replaces the socket of an earlier process there. begin returns the sockets to hand over, or none if
// there is a successor already; if it returns sockets, it also has to call Run.
func Serve(path string, log *slog.Logger, begin func(*Peer) []Socket) (*Server, error) {
	if info, err := os.Lstat(path); err == nil && (info.Mode().Type() != fs.ModeSocket || !ownedByUser(info)) {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	// The name is replaced atomically: a successor always finds a socket.
	temp := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temp) // left by a process with the same id
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temp, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // the name may be a successor's by then
	s := &Server{ln: ln, path: path, log: log}
	if err := errors.Join(os.Chmod(temp, 0o600), os.Rename(temp, path)); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close(), os.Remove(temp)))
	}
	if s.info, err = os.Lstat(path); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close()))
	}
	go s.accept(begin)
	return s, nil
}

// accept serves one successor at a time: a second one waits for the first one's handshake, which is bounded.
func (s *Server) accept(begin func(*Peer) []Socket) {
	for {
		nc, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("successors cannot be taken", "err", err)
			time.Sleep(replyTimeout)
			continue
		}
		if err := s.handshake(nc, begin); err != nil {
			s.log.Warn("no successor", "err", err)
			_ = nc.Close()
		}
	}
}

func (s *Server) handshake(nc *net.UnixConn, begin func(*Peer) []Socket) error {
	p := newPeer(nc)
	if err := nc.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	m, err := p.read()
	if err != nil || m.Hello != greeting {
		return errors.Join(fmt.Errorf("handover: greeted with %.40q", m.Hello), err)
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
	text, err := jsoniter.Marshal(m)
	if err == nil {
		_, _, err = nc.WriteMsgUnix(append(text, '\n'), syscall.UnixRights(fds...), nil)
	}
	for _, socket := range sockets {
		err = errors.Join(err, socket.File.Close())
	}
	if err != nil {
		// begin has counted the successor; Run reports its end.
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close accepts no more successors. It removes the path unless another process has replaced it.
func (s *Server) Close() error {
	err := s.ln.Close()
	if info, e := os.Lstat(s.path); e == nil && os.SameFile(info, s.info) {
		err = errors.Join(err, os.Remove(s.path))
	}
	return err
}

// ownedByUser reports whether a file belongs to this process's user.
func ownedByUser(info os.FileInfo) bool {
	stat, ok := info.Sys().(*syscall.Stat_t)
	return ok && int(stat.Uid) == os.Getuid()
}
