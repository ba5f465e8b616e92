package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// exitTimeout is the time that a process has to exit before it is killed.
const exitTimeout = 20 * time.Second

// process is a worker process with the pipes to and from it.
type process struct {
	cmd     *exec.Cmd
	orders  io.WriteCloser
	replies *bufio.Scanner
	stderr  *tailBuffer

	mu        sync.Mutex      // held during an order, so that only one is in progress
	applied   []AppliedChange // from replies, not yet collected by takeApplied
	lastReply Reply
}

// tailBuffer is a writer that keeps the last tailBufferSize bytes.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

// tailBufferSize is the capacity of a tailBuffer in bytes.
const tailBufferSize = 2000

func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(0, len(t.text)-tailBufferSize):]
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// startProcess starts a worker process.
func startProcess(command, env []string) (*process, error) {
	p := &process{cmd: exec.Command(command[0], command[1:]...), stderr: &tailBuffer{}}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), env...), p.stderr
	var err error
	if p.orders, err = p.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	p.replies = bufio.NewScanner(out)
	p.replies.Buffer(make([]byte, 64<<10), maxOrder)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return p, nil
}

// send sends an order to the worker and waits for the reply.
func (p *process) send(o *Order) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(o)
	if err == nil {
		_, err = p.orders.Write(append(text, '\n'))
	}
	if err != nil {
		return Reply{}, fmt.Errorf("scale: send an order to a worker: %w: %s", err, p.stderr)
	}
	if !p.replies.Scan() {
		return Reply{}, fmt.Errorf("scale: worker ended without a reply: %w: %s", errors.Join(p.replies.Err(), io.ErrUnexpectedEOF), p.stderr)
	}
	var r Reply
	if err := json.Unmarshal(p.replies.Bytes(), &r); err != nil {
		return Reply{}, fmt.Errorf("scale: decode the reply of a worker: %w", err)
	}
	p.applied = append(p.applied, r.Applied...)
	r.Applied = nil
	p.lastReply = r
	if r.Error != "" {
		return r, fmt.Errorf("scale: worker: %s", r.Error)
	}
	return r, nil
}

// takeApplied returns the changes that were reported as applied since the last call.
func (p *process) takeApplied() []AppliedChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.applied
	p.applied = nil
	return all
}

// stop closes the input of the worker, which makes it exit, and kills it if it has not exited after exitTimeout.
func (p *process) stop() {
	_ = p.orders.Close()
	kill := time.AfterFunc(exitTimeout, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	_ = p.cmd.Wait() // the exit status does not matter any more
}
