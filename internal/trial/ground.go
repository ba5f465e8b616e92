// Package trial is a ground on which several controllers run as processes, with their store, dispatchers and callers as stand-ins, and a
// proxy on every link between them, so that what fails between processes can be caused and what follows be judged.
package trial

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/fault"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/membership"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/store"
)

// StoreName is what the store is called on the links ("n1>store").
const StoreName = "store"

// longRunning is the start of the dispatchers, as the list has it: long ago.
var longRunning = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// Prefix is where the fleet's keys are.
const Prefix = "/trial/members/"

// Options say what stands on the ground.
type Options struct {
	Directory   string   // of the ground's own: files, ledgers and logs
	Program     []string // the controller's command
	Env         []string // beside that of this process
	Controllers int
	Lease       time.Duration
	Seed        uint64
	Dispatchers map[string]string // addresses by name, each behind a link of every controller ("n1>d1")
	Ledgers     bool              // each controller keeps its calls in a ledger below one directory
}

// Ground is what stands.
type Ground struct {
	Store       *store.Store
	Net         *fault.Net
	Controllers []*Controller
	o           Options
	address     string // of the store itself
}

// Open prepares the ground; no controller runs yet.
func Open(o Options) (*Ground, error) {
	g := &Ground{Store: store.New(o.Seed + 1), Net: fault.New(o.Seed), o: o}
	var err error
	if g.address, err = g.Store.Listen("127.0.0.1:0"); err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	for i := range o.Controllers {
		c, err := g.prepare(fmt.Sprint("n", i+1))
		if err != nil {
			return nil, errors.Join(err, g.Close())
		}
		g.Controllers = append(g.Controllers, c)
	}
	return g, nil
}

// Close ends all that the ground has started. The directory is its owner's.
func (g *Ground) Close() error {
	var err error
	for _, c := range g.Controllers {
		err = errors.Join(err, c.Kill())
	}
	g.Net.Close()
	g.Store.Close()
	return err
}

// StopStore ends the store's service; StartStore has it serve again at the same address.
func (g *Ground) StopStore() { g.Store.Close() }

// StartStore has the store serve.
func (g *Ground) StartStore() error {
	_, err := g.Store.Listen(g.address)
	return err //nolint:wrapcheck // it says what it is
}

// Names are those of the controllers but for some.
func (g *Ground) Names(but ...*Controller) []string {
	var names []string
	for _, c := range g.Controllers {
		if !slices.Contains(but, c) {
			names = append(names, c.Name)
		}
	}
	return names
}

// operatorFile is that of a controller on the ground.
const operatorFile = `[controller]
name = %s
listen = %s
management = %s
[websocket]
listen = %s
path = /v1/calls
[pool]
file = pool.ini
[fleet]
endpoints = %s
prefix = %s
lease_ms = %d
%s` + Settings

// Settings are those that tests and trials need, for so many controllers: short waits, all reports, one class.
const Settings = `[settings]
membershipMode = pushed
peersTotal = %d
resolutionUs = 5000
[settings.caps]
connIdleUs = 600000000
connectTimeoutUs = 500000
maxRetryAfterUs = 2000000
mayCancel = true
retryAfter = true
sendCap = 5
[settings.familyInfo]
guardUs = 500000
layout = skills
thisNode = -1
[settings.report]
fields = idle, circuits
[settings.rules]
coldUs = 15000000
graceToAnswerUs = 20000
startCapacity = 0.28
tipMultiple = 2
[class send-setup]
aimUs = 4000000
deadlineUs = 9000000
worth = 1
lateValue = 0.25
semantics = read_like
group = all
windowUs = 5000000
[limits]
memory_mb = 256
sockets = 1024
`

// prepare writes a controller's files and opens its links.
func (g *Ground) prepare(name string) (*Controller, error) {
	c := &Controller{Name: name, ground: g, directory: filepath.Join(g.o.Directory, name)}
	if err := os.MkdirAll(c.directory, 0o700); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	var management string
	for _, at := range []*string{&c.Lines, &c.API, &management} {
		var err error
		if *at, err = peer.Free(); err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
	}
	c.management.Store(management)
	storeAt, err := g.Net.Between(name, StoreName, g.address)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	var listed []pool.Member
	for i, dispatcher := range slices.Sorted(maps.Keys(g.o.Dispatchers)) {
		at, err := g.Net.Between(name, dispatcher, g.o.Dispatchers[dispatcher])
		if err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
		listed = append(listed, pool.Member{Address: at, ServerEntry: control.ServerEntry{
			ID: control.ServerID(dispatcher), Cell: i, Weight: 1, StartedAt: longRunning}})
	}
	more := ""
	if g.o.Ledgers {
		ledgers := filepath.Join(g.o.Directory, "ledgers")
		more = fmt.Sprintf("ledgers = %s\n[ledger]\ndirectory = %s\nlines = true\n", ledgers, filepath.Join(ledgers, name))
	}
	text := fmt.Sprintf(operatorFile, name, c.Lines, management, c.API, storeAt, Prefix, g.o.Lease.Milliseconds(), more, g.o.Controllers)
	for file, text := range map[string]string{"operator.ini": text, "pool.ini": string(poolfile.Write("v", listed))} {
		if err := os.WriteFile(filepath.Join(c.directory, file), []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("trial: %w", err)
		}
	}
	return c, nil
}

// Controller is one controller, and the process that it runs in.
type Controller struct {
	Name       string
	Lines, API string       // its addresses
	management atomic.Value // of string: an upgrade has another
	ground     *Ground
	directory  string
	process
	before []process // those that were there before an upgrade, which end by themselves
	log    diary
}

// process is one that was started, and what tells of its end.
type process struct {
	cmd   *exec.Cmd
	ended chan error
}

// diary is a log that may be read while it is written.
type diary struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (d *diary) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text.Write(p) //nolint:wrapcheck // a buffer's write does not fail
}

// Log is what the controller has logged, over all its processes.
func (c *Controller) Log() string {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.text.String()
}

// Start starts the controller. It does not wait for it.
func (c *Controller) Start(env ...string) error {
	program := c.ground.o.Program
	c.cmd, c.ended = exec.Command(program[0], program[1:]...), make(chan error, 1)
	c.cmd.Env = append(append(os.Environ(), c.ground.o.Env...), "LB_OPERATOR="+filepath.Join(c.directory, "operator.ini"), "TMPDIR="+c.directory)
	c.cmd.Env = append(c.cmd.Env, env...)
	c.cmd.Stderr = &c.log
	if err := c.cmd.Start(); err != nil {
		c.cmd = nil
		return fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	cmd, ended := c.cmd, c.ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// Beside is another process to be under the same files, as at an upgrade. Whoever starts it ends it.
func (c *Controller) Beside() *Controller {
	b := &Controller{Name: c.Name, Lines: c.Lines, API: c.API, ground: c.ground, directory: c.directory}
	b.management.Store(c.Management())
	return b
}

// Management is where operators ask.
func (c *Controller) Management() string {
	address, _ := c.management.Load().(string) // it is set from the start
	return address
}

// Upgrade starts another process under the same files and addresses, which is the controller's from now on. The one that serves hands over
// to it and ends by itself.
func (c *Controller) Upgrade() error {
	old := c.process
	management, err := peer.Free()
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	path := filepath.Join(c.directory, "operator.ini")
	text, err := os.ReadFile(path)
	if err == nil { // two processes cannot have the same
		err = os.WriteFile(path, bytes.Replace(text, []byte("management = "+c.Management()), []byte("management = "+management), 1), 0o600)
	}
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	c.management.Store(management)
	if err := c.Start(); err != nil {
		c.process = old
		return err
	}
	c.before = append(slices.DeleteFunc(c.before, process.over), old)
	return nil
}

// over reports whether a process has ended.
func (p process) over() bool {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true
	default:
		return false
	}
}

// Kill ends the process at once, in the middle of whatever it does.
func (c *Controller) Kill() error { return c.end(syscall.SIGKILL) }

// Stop has it serve out what it has, and waits for its end.
func (c *Controller) Stop() error { return c.end(syscall.SIGTERM) }

// endWithin bounds an end.
const endWithin = 30 * time.Second

func (c *Controller) end(s syscall.Signal) error {
	if c.cmd == nil {
		return nil
	}
	all := append(slices.DeleteFunc(c.before, process.over), c.process)
	c.process, c.before = process{}, nil
	var err error
	for _, p := range all { // the successor last: one that is left alone would go on
		err = errors.Join(err, p.signal(s))
	}
	for _, p := range all {
		if ended := p.wait(s); ended != nil {
			log := c.Log()
			err = errors.Join(err, fmt.Errorf("trial: %s %w; it logged last: %s", c.Name, ended, log[max(0, len(log)-lastLogged):]))
		}
	}
	return err
}

// lastLogged bounds what is told of a log.
const lastLogged = 600

func (p process) signal(s syscall.Signal) error {
	err := errors.Join(p.cmd.Process.Signal(s), p.cmd.Process.Signal(syscall.SIGCONT)) // one that is paused has to hear it
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

func (p process) wait(s syscall.Signal) error {
	select {
	case err := <-p.ended:
		if s == syscall.SIGTERM && err != nil {
			return fmt.Errorf("ended with %w", err)
		}
		return nil
	case <-time.After(endWithin):
		state, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		return fmt.Errorf("does not end after %v (%v): %.200s", s, p.cmd.Process.Kill(), state)
	}
}

// Pause has the process do nothing until Resume, as one that is swapped out or whose machine stands still. It returns once all of its threads
// stand still.
func (c *Controller) Pause() {
	c.all(syscall.SIGSTOP)
	for _, p := range append(slices.Clone(c.before), c.process) {
		if p.cmd != nil {
			Until(pauseWithin, func() bool { return standsStill(p.cmd.Process.Pid) })
		}
	}
}

// pauseWithin bounds the wait for a process that is to stand still; one that has ended never does.
const pauseWithin = time.Second

// standsStill reports whether no thread of a process runs, as it was stopped or has ended.
func standsStill(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // it has ended
		}
		_, fields, _ := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " ")
		if !strings.HasPrefix(fields, "T") && !strings.HasPrefix(fields, "Z") {
			return false
		}
	}
	return true
}

// Resume has it go on.
func (c *Controller) Resume() { c.all(syscall.SIGCONT) }

func (c *Controller) all(s syscall.Signal) {
	for _, p := range append(slices.Clone(c.before), c.process) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(s) // to one that has ended, it is for nobody
		}
	}
}

// Runs reports whether the process has been started and not ended by itself.
func (c *Controller) Runs() bool {
	return c.cmd != nil && !c.over()
}

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// askWithin bounds a question.
const askWithin = time.Second

// Ask gets a page of the management address, into an object or, with none, for its status alone.
func (c *Controller) Ask(path string, into any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Management()+path, nil)
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	if into != nil && resp.StatusCode == http.StatusOK {
		if err := api.Unmarshal(text, into); err != nil {
			return resp.StatusCode, fmt.Errorf("trial: %s: %s: %w", c.Name, path, err)
		}
	}
	return resp.StatusCode, nil
}

// Fleet is what the controller knows of the fleet; nothing if it does not answer.
func (c *Controller) Fleet() membership.Shown {
	var s membership.Shown
	_, _ = c.Ask(membership.Path, &s) // a process that does not answer knows nothing, as far as can be seen
	return s
}

// Until waits until something holds, for as long as it may take on a busy machine.
func Until(within time.Duration, holds func() bool) bool {
	for until := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
		if time.Now().After(until) {
			return false
		}
	}
}
