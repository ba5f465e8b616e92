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

// endWithin bounds the end of a process that is asked to end.
const endWithin = 20 * time.Second

// process is a worker process and the pipe to it.
type process struct {
	cmd    *exec.Cmd
	orders io.WriteCloser
	lines  *bufio.Scanner
	stderr *tail

	mu      sync.Mutex // one order at a time
	applied []Applied  // what replies have told and nobody has taken
	last    Reply
}

// tail keeps the end of what is written.
type tail struct {
	mu   sync.Mutex
	text []byte
}

// tailKeeps is how much.
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

// startProcess starts a worker.
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

// ask has an order done, and waits for its reply.
func (p *process) ask(o *Order) (Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(o)
	if err == nil {
		_, err = p.orders.Write(append(text, '\n'))
	}
	if err != nil {
		return Reply{}, fmt.Errorf("scale: a worker: %w: %s", err, p.stderr)
	}
	if !p.lines.Scan() {
		return Reply{}, fmt.Errorf("scale: a worker has ended: %w: %s", errors.Join(p.lines.Err(), io.ErrUnexpectedEOF), p.stderr)
	}
	var r Reply
	if err := json.Unmarshal(p.lines.Bytes(), &r); err != nil {
		return Reply{}, fmt.Errorf("scale: a worker's reply: %w", err)
	}
	p.applied = append(p.applied, r.Applied...)
	r.Applied = nil
	p.last = r
	if r.Error != "" {
		return r, fmt.Errorf("scale: a worker: %s", r.Error)
	}
	return r, nil
}

// take is what has been applied since the last take.
func (p *process) take() []Applied {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.applied
	p.applied = nil
	return all
}

// end closes the pipe, at which a worker ends; one that does not is killed.
func (p *process) end() {
	_ = p.orders.Close()
	kill := time.AfterFunc(endWithin, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	_ = p.cmd.Wait() // how it ended is of no interest any more
}
