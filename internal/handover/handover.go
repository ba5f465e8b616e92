// Package handover lets a process that starts beside the one that serves take over its listening sockets. They talk over a
// Unix socket, since only that passes descriptors (SCM_RIGHTS): netpoll, which serves all other sockets, has no such call.
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
	// greeting names what both ends speak.
	greeting = "cherryrelay-handover-1"
	// answerWithin bounds each step of the opening. Whatever else listens at the path must not hold up a start.
	answerWithin = time.Second
	// maxListeners is how many sockets are taken: two fronts have one each.
	maxListeners = 4
	// maxLine bounds a message.
	maxLine = 4 << 10
	// backlog is how many messages may wait for the other process; it reads without pause.
	backlog = 1 << 10
	// sendWithin bounds how long one that does not read is waited for.
	sendWithin = time.Second
)

// ErrBusy is the answer of a process that another successor is with.
var ErrBusy = errors.New("another successor is starting")

// Message is what the two processes tell each other.
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

// Path is where the process that serves callers at the address is asked; empty if the address is no fixed one.
func Path(listen string) string {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "0" {
		return ""
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(listen)) // it never fails
	return filepath.Join(os.TempDir(), fmt.Sprintf("cherryrelay-%x", sum.Sum64()))
}

// Peer is the other process. Its messages come one by one, and Gone comes last.
type Peer struct {
	nc    *net.UnixConn
	lines *bufio.Scanner
	send  chan Message
	done  chan struct{}
	once  sync.Once
}

func newPeer(nc *net.UnixConn) *Peer {
	p := &Peer{nc: nc, lines: bufio.NewScanner(nc), send: make(chan Message, backlog), done: make(chan struct{})}
	p.lines.Buffer(make([]byte, 512), maxLine)
	return p
}

func (p *Peer) write(m Message) error {
	text, err := jsoniter.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := p.nc.SetWriteDeadline(time.Now().Add(sendWithin)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err = p.nc.Write(append(text, '\n')); err != nil {
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

// Run tells what comes and sends what is given to Send, until either end closes.
func (p *Peer) Run(take func(Message), gone func()) {
	go func() {
		defer close(p.done)
		for m := range p.send {
			if p.write(m) != nil {
				_ = p.nc.Close() // the reader below tells
				return
			}
		}
		_ = p.nc.Close()
	}()
	go func() {
		for {
			m, err := p.read()
			if err != nil {
				_ = p.nc.Close()
				gone()
				return
			}
			take(m)
		}
	}()
}

// Send queues a message and reports whether there was room. Only one goroutine may call it, and not after Finish.
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

// Last is Send for the last words, which may be many: it waits for room.
func (p *Peer) Last(m Message) {
	select {
	case <-p.done:
	case p.send <- m:
	}
}

// Finish closes once all that was queued is sent.
func (p *Peer) Finish() {
	p.once.Do(func() { close(p.send) })
	select {
	case <-p.done:
	case <-time.After(sendWithin):
	}
}

// Ask takes over the sockets of the process that serves, by their addresses. fs.ErrNotExist and ECONNREFUSED mean that
// there is none.
func Ask(path string) (_ *Peer, _ map[string]*net.TCPListener, err error) {
	info, err := os.Lstat(path)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if info.Mode().Type() != fs.ModeSocket || !own(info) {
		return nil, nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	c, err := net.DialTimeout("unix", path, answerWithin)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	nc, ok := c.(*net.UnixConn)
	if !ok {
		return nil, nil, errors.Join(errors.New("handover: no Unix socket"), c.Close())
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, nc.Close())
		}
	}()
	p := newPeer(nc)
	if err := nc.SetReadDeadline(time.Now().Add(answerWithin)); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if err := p.write(Message{Hello: greeting}); err != nil {
		return nil, nil, err
	}
	files, m, err := receive(nc)
	defer func() {
		for _, f := range files {
			_ = f.Close() // the listeners have copies
		}
	}()
	switch {
	case err != nil:
		return nil, nil, err
	case m.Busy:
		return nil, nil, ErrBusy
	case m.Hello != greeting || len(files) == 0 || len(files) != len(m.Listeners):
		return nil, nil, fmt.Errorf("handover: %q with %d sockets is no answer", m.Hello, len(files))
	}
	listeners := map[string]*net.TCPListener{}
	for i, f := range files {
		ln, err := net.FileListener(f)
		if err != nil {
			return nil, nil, fmt.Errorf("handover: %s: %w", m.Listeners[i], err)
		}
		tcp, ok := ln.(*net.TCPListener)
		if !ok {
			return nil, nil, errors.Join(fmt.Errorf("handover: %s: no TCP socket", m.Listeners[i]), ln.Close())
		}
		listeners[m.Listeners[i]] = tcp
	}
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	return p, listeners, nil
}

// receive reads the one message that has descriptors with it.
func receive(nc *net.UnixConn) ([]*os.File, Message, error) {
	var m Message
	line, rights := make([]byte, maxLine), make([]byte, syscall.CmsgSpace(4*maxListeners))
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

// Socket is one to hand over.
type Socket struct {
	Address string
	File    *os.File
}

// Server is asked by successors.
type Server struct {
	ln   *net.UnixListener
	path string
	info os.FileInfo
	log  *slog.Logger
}

// Serve has successors ask at the path. What an earlier process left there is replaced. begin says what to hand over, and
// nothing if another successor is there; then it is to call Run.
func Serve(path string, log *slog.Logger, begin func(*Peer) []Socket) (*Server, error) {
	if info, err := os.Lstat(path); err == nil && (info.Mode().Type() != fs.ModeSocket || !own(info)) {
		return nil, fmt.Errorf("handover: %s is not a socket of this user", path)
	}
	// The name is taken over at once, so that no successor finds none.
	mine := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(mine) // of a process that had the same number
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: mine, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // the name may be a successor's by then
	s := &Server{ln: ln, path: path, log: log}
	if err := errors.Join(os.Chmod(mine, 0o600), os.Rename(mine, path)); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close(), os.Remove(mine)))
	}
	if s.info, err = os.Lstat(path); err != nil {
		return nil, fmt.Errorf("handover: %w", errors.Join(err, ln.Close()))
	}
	go s.accept(begin)
	return s, nil
}

// accept takes one successor at a time: a second one waits for the first one's opening, which is bounded.
func (s *Server) accept(begin func(*Peer) []Socket) {
	for {
		nc, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("successors cannot be taken", "err", err)
			time.Sleep(answerWithin)
			continue
		}
		if err := s.open(nc, begin); err != nil {
			s.log.Warn("no successor", "err", err)
			_ = nc.Close()
		}
	}
}

func (s *Server) open(nc *net.UnixConn, begin func(*Peer) []Socket) error {
	p := newPeer(nc)
	if err := nc.SetReadDeadline(time.Now().Add(answerWithin)); err != nil {
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
		// begin has been told of a successor, and Run tells that it is gone.
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close asks for no more successors. The path goes too, unless it is another process's by now.
func (s *Server) Close() error {
	err := s.ln.Close()
	if info, e := os.Lstat(s.path); e == nil && os.SameFile(info, s.info) {
		err = errors.Join(err, os.Remove(s.path))
	}
	return err
}

// own reports whether a file is this user's.
func own(info os.FileInfo) bool {
	stat, ok := info.Sys().(*syscall.Stat_t)
	return ok && int(stat.Uid) == os.Getuid()
}
