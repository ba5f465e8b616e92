// Package trial runs a test cluster: several controllers as processes, with a fake store, fake dispatchers and fake callers. The
// controllers reach the store and the dispatchers through proxies that inject faults, and checkers verify the rules for every call and
// for the membership of the fleet.
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

// StoreName is the name of the store in the names of links ("n1>store").
const StoreName = "store"

// dispatcherStart is the start time of the dispatchers in the list. It lies far in the past, so that no dispatcher counts as just started.
var dispatcherStart = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// KeyPrefix is the prefix of the fleet's keys in the store.
const KeyPrefix = "/trial/members/"

// Options configure a cluster.
type Options struct {
	Directory   string   // for the files and ledgers of the controllers
	Program     []string // the controller's command and its arguments
	Env         []string // added to the environment of this process
	Controllers int
	Lease       time.Duration
	Seed        uint64
	Dispatchers map[string]string // addresses by name; every controller has a link to each ("n1>d1")
	Ledgers     bool              // each controller has a ledger below a common directory
}

// Cluster is a cluster of controllers with their store and the links between them.
type Cluster struct {
	Store        *store.Store
	Net          *fault.Net
	Controllers  []*Controller
	options      Options
	storeAddress string // without a proxy
}

// NewCluster creates a cluster and starts its store. It starts no controller.
func NewCluster(options Options) (*Cluster, error) {
	cl := &Cluster{Store: store.New(options.Seed + 1), Net: fault.New(options.Seed), options: options}
	var err error
	if cl.storeAddress, err = cl.Store.Listen("127.0.0.1:0"); err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	for i := range options.Controllers {
		c, err := cl.addController(fmt.Sprint("n", i+1))
		if err != nil {
			return nil, errors.Join(err, cl.Close())
		}
		cl.Controllers = append(cl.Controllers, c)
	}
	return cl, nil
}

// Close kills all controllers and closes the links and the store. It does not remove the directory.
func (cl *Cluster) Close() error {
	var err error
	for _, c := range cl.Controllers {
		err = errors.Join(err, c.Kill())
	}
	cl.Net.Close()
	cl.Store.Close()
	return err
}

// StopStore stops the store. StartStore starts it again.
func (cl *Cluster) StopStore() { cl.Store.Close() }

// StartStore starts the store again, at the address that it had before.
func (cl *Cluster) StartStore() error {
	_, err := cl.Store.Listen(cl.storeAddress)
	return err //nolint:wrapcheck // the error needs no context
}

// NamesExcept returns the names of all controllers except the given ones.
func (cl *Cluster) NamesExcept(excluded ...*Controller) []string {
	var names []string
	for _, c := range cl.Controllers {
		if !slices.Contains(excluded, c) {
			names = append(names, c.Name)
		}
	}
	return names
}

// operatorFileFormat is the format of a controller's operator.ini.
const operatorFileFormat = `[controller]
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
%s` + SettingsFormat

// SettingsFormat is a format of the settings for tests, with the number of controllers as its argument: short timeouts, reports with all fields
// and a single class.
const SettingsFormat = `[settings]
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

// addController writes the files of a controller and adds its links.
func (cl *Cluster) addController(name string) (*Controller, error) {
	c := &Controller{Name: name, cluster: cl, directory: filepath.Join(cl.options.Directory, name)}
	if err := os.MkdirAll(c.directory, 0o700); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	var management string
	for _, address := range []*string{&c.LinesAddress, &c.APIAddress, &management} {
		var err error
		if *address, err = peer.FreeAddress(); err != nil {
			return nil, err //nolint:wrapcheck // the error needs no context
		}
	}
	c.management.Store(management)
	storeLink, err := cl.Net.AddLink(name, StoreName, cl.storeAddress)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	var listed []pool.Member
	for i, dispatcher := range slices.Sorted(maps.Keys(cl.options.Dispatchers)) {
		address, err := cl.Net.AddLink(name, dispatcher, cl.options.Dispatchers[dispatcher])
		if err != nil {
			return nil, err //nolint:wrapcheck // the error needs no context
		}
		listed = append(listed, pool.Member{Address: address, ServerEntry: control.ServerEntry{
			ID: control.ServerID(dispatcher), Cell: i, Weight: 1, StartedAt: dispatcherStart}})
	}
	ledgerSettings := ""
	if cl.options.Ledgers {
		ledgers := filepath.Join(cl.options.Directory, "ledgers")
		ledgerSettings = fmt.Sprintf("ledgers = %s\n[ledger]\ndirectory = %s\nlines = true\n", ledgers, filepath.Join(ledgers, name))
	}
	operatorFile := fmt.Sprintf(operatorFileFormat, name, c.LinesAddress, management, c.APIAddress, storeLink, KeyPrefix, cl.options.Lease.Milliseconds(), ledgerSettings,
		cl.options.Controllers)
	for file, text := range map[string]string{"operator.ini": operatorFile, "pool.ini": string(poolfile.Encode("v", listed))} {
		if err := os.WriteFile(filepath.Join(c.directory, file), []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("trial: %w", err)
		}
	}
	return c, nil
}

// Controller is a controller of the cluster and the process that it runs in.
type Controller struct {
	Name                     string
	LinesAddress, APIAddress string       // addresses of its fronts for JSON lines and for WebSocket
	management               atomic.Value // string; an upgrade changes it
	cluster                  *Cluster
	directory                string
	process
	predecessors []process // processes that were replaced by an upgrade and exit on their own
	log          logBuffer
}

// process is a started process and the channel that receives the result of its exit.
type process struct {
	cmd  *exec.Cmd
	exit chan error
}

// logBuffer holds a log. It may be read while it is written.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p) //nolint:wrapcheck // a buffer's write does not fail
}

// Log returns what all processes of the controller have logged.
func (c *Controller) Log() string {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.log.buffer.String()
}

// Start starts a process of the controller, with additions to its environment. It does not wait until the process serves.
func (c *Controller) Start(env ...string) error {
	program := c.cluster.options.Program
	c.cmd, c.exit = exec.Command(program[0], program[1:]...), make(chan error, 1)
	c.cmd.Env = append(append(os.Environ(), c.cluster.options.Env...), "LB_OPERATOR="+filepath.Join(c.directory, "operator.ini"), "TMPDIR="+c.directory)
	c.cmd.Env = append(c.cmd.Env, env...)
	c.cmd.Stderr = &c.log
	if err := c.cmd.Start(); err != nil {
		c.cmd = nil
		return fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	cmd, exit := c.cmd, c.exit
	go func() { exit <- cmd.Wait() }()
	return nil
}

// NewSibling returns a second controller with the same files, for a process that runs at the same time, as in an upgrade. Its processes are
// not stopped with the cluster: who starts one stops it.
func (c *Controller) NewSibling() *Controller {
	second := &Controller{Name: c.Name, LinesAddress: c.LinesAddress, APIAddress: c.APIAddress, cluster: c.cluster, directory: c.directory}
	second.management.Store(c.ManagementAddress())
	return second
}

// ManagementAddress returns the address of the management interface.
func (c *Controller) ManagementAddress() string {
	address, _ := c.management.Load().(string) // every controller is created with one
	return address
}

// Upgrade starts a successor with the same files and addresses, except for the management address. The serving process hands over to it
// and exits on its own.
func (c *Controller) Upgrade() error {
	old := c.process
	management, err := peer.FreeAddress()
	if err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	path := filepath.Join(c.directory, "operator.ini")
	text, err := os.ReadFile(path)
	if err == nil { // two processes cannot share a management address
		err = os.WriteFile(path, bytes.Replace(text, []byte("management = "+c.ManagementAddress()), []byte("management = "+management), 1), 0o600)
	}
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	c.management.Store(management)
	if err := c.Start(); err != nil {
		c.process = old
		return err
	}
	c.predecessors = append(slices.DeleteFunc(c.predecessors, process.exited), old)
	return nil
}

// exited reports whether the process has exited. It keeps the result of the exit for waitForExit.
func (p process) exited() bool {
	select {
	case err := <-p.exit:
		p.exit <- err
		return true
	default:
		return false
	}
}

// Kill kills all processes of the controller and waits for their exit.
func (c *Controller) Kill() error { return c.terminate(syscall.SIGKILL) }

// Stop asks all processes of the controller to drain their calls and exit, and waits for their exit.
func (c *Controller) Stop() error { return c.terminate(syscall.SIGTERM) }

// exitTimeout is the timeout for the exit of a process.
const exitTimeout = 30 * time.Second

// terminate sends a signal to all processes of the controller and waits for their exit.
func (c *Controller) terminate(sig syscall.Signal) error {
	if c.cmd == nil {
		return nil
	}
	processes := append(slices.DeleteFunc(c.predecessors, process.exited), c.process)
	c.process, c.predecessors = process{}, nil
	var err error
	for _, p := range processes { // the successor last: a predecessor whose successor has gone would continue to serve
		err = errors.Join(err, p.signal(sig))
	}
	for _, p := range processes {
		if exitErr := p.waitForExit(sig); exitErr != nil {
			log := c.Log()
			err = errors.Join(err, fmt.Errorf("trial: %s %w; the end of its log: %s", c.Name, exitErr, log[max(0, len(log)-maxLogTail):]))
		}
	}
	return err
}

// maxLogTail limits the bytes of a log in an error.
const maxLogTail = 600

// signal sends a signal to the process and continues it if it is paused. A process that has exited is no error.
func (p process) signal(sig syscall.Signal) error {
	err := errors.Join(p.cmd.Process.Signal(sig), p.cmd.Process.Signal(syscall.SIGCONT)) // a paused process handles no signal before it continues
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// waitForExit waits until the process exits and kills it after exitTimeout. An error status counts only after SIGTERM.
func (p process) waitForExit(sig syscall.Signal) error {
	select {
	case err := <-p.exit:
		if sig == syscall.SIGTERM && err != nil {
			return fmt.Errorf("exited with %w", err)
		}
		return nil
	case <-time.After(exitTimeout):
		state, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		return fmt.Errorf("has not exited after signal %v (result of the kill: %v): %.200s", sig, p.cmd.Process.Kill(), state)
	}
}

// Pause stops the execution of the controller until Resume, as if it were swapped out or its machine were suspended. It returns once all
// threads have stopped.
func (c *Controller) Pause() {
	c.signalAll(syscall.SIGSTOP)
	for _, p := range append(slices.Clone(c.predecessors), c.process) {
		if p.cmd != nil {
			WaitUntil(pauseTimeout, func() bool { return isStopped(p.cmd.Process.Pid) })
		}
	}
}

// pauseTimeout bounds the wait until all threads of a process have stopped, which a process that exits meanwhile may never reach.
const pauseTimeout = time.Second

// isStopped reports whether every thread of a process is stopped or has exited.
func isStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has exited
		}
		_, fields, _ := strings.Cut(string(text[bytes.LastIndexByte(text, ')')+1:]), " ")
		if !strings.HasPrefix(fields, "T") && !strings.HasPrefix(fields, "Z") {
			return false
		}
	}
	return true
}

// Resume continues the execution of the controller after Pause.
func (c *Controller) Resume() { c.signalAll(syscall.SIGCONT) }

// signalAll sends a signal to all processes of the controller.
func (c *Controller) signalAll(sig syscall.Signal) {
	for _, p := range append(slices.Clone(c.predecessors), c.process) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(sig) // fails only if the process has exited
		}
	}
}

// IsRunning reports whether the controller has been started and its process has not exited.
func (c *Controller) IsRunning() bool {
	return c.cmd != nil && !c.exited()
}

var api = jsoniter.ConfigCompatibleWithStandardLibrary

// requestTimeout is the timeout of a request to the management interface.
const requestTimeout = time.Second

// Get requests a page of the management interface and decodes it into result, unless that is nil.
func (c *Controller) Get(path string, result any) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.ManagementAddress()+path, nil)
	if err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("trial: %s: %w", c.Name, err)
	}
	if result != nil && resp.StatusCode == http.StatusOK {
		if err := api.Unmarshal(body, result); err != nil {
			return resp.StatusCode, fmt.Errorf("trial: %s: %s: %w", c.Name, path, err)
		}
	}
	return resp.StatusCode, nil
}

// Fleet returns the controller's view of the fleet, or the zero value if the controller does not answer.
func (c *Controller) Fleet() membership.Status {
	var view membership.Status
	_, _ = c.Get(membership.Path, &view) // without an answer the view stays empty
	return view
}

// WaitUntil waits until the condition holds and reports whether it did before the timeout, which should be long
// enough for a busy machine.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
