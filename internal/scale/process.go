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

// endWithin is the time that a process has to exit before it is killed.
const endWithin = 20 * time.Second

// process is a worker process with the pipes to and from it.
type process struct {
	cmd    *exec.Cmd
	orders io.WriteCloser
	lines  *bufio.Scanner
	stderr *tail

	mu      sync.Mutex // held during an order, so that there is one at a time
	applied []Applied  // from replies, not yet collected by take
	last    Reply
}

// tail is a writer that keeps the last tailKeeps bytes.
type tail struct {
	mu   sync.Mutex
	text []byte
}

// tailKeeps is the capacity of a tail in bytes.
const tailKeeps = 2000

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(0, len(t.text)-tailKeeps):]
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// startProcess starts a worker process.
func startProcess(command, env []string) (*process, error) {
	p := &process{cmd: exec.Command(command[0], command[1:]...), stderr: &tail{}}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), env...), p.stderr
	var err error
	if p.orders, err = p.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	p.lines = bufio.NewScanner(out)
	p.lines.Buffer(make([]byte, 64<<10), maxOrder)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return p, nil
}

// ask sends an order to the worker and waits for the reply.
func (p *process) ask(o *Order) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(o)
	if err == nil {
		_, err = p.orders.Write(append(text, '\n'))
	}
	if err != nil {
		return Reply{}, fmt.Errorf("scale: send an order to a worker: %w: %s", err, p.stderr)
	}
	if !p.lines.Scan() {
		return Reply{}, fmt.Errorf("scale: worker ended without a reply: %w: %s", errors.Join(p.lines.Err(), io.ErrUnexpectedEOF), p.stderr)
	}
	var r Reply
	if err := json.Unmarshal(p.lines.Bytes(), &r); err != nil {
		return Reply{}, fmt.Errorf("scale: decode the reply of a worker: %w", err)
	}
	p.applied = append(p.applied, r.Applied...)
	r.Applied = nil
	p.last = r
	if r.Error != "" {
		return r, fmt.Errorf("scale: worker: %s", r.Error)
	}
	return r, nil
}

// take returns the changes that were reported as applied since the last call.
func (p *process) take() []Applied {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.applied
	p.applied = nil
	return all
}

// end closes the input of the worker, which makes it exit, and kills it if it has not exited after endWithin.
func (p *process) end() {
	_ = p.orders.Close()
	kill := time.AfterFunc(endWithin, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	_ = p.cmd.Wait() // the exit status does not matter any more
}
