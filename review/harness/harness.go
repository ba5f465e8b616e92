// Package harness starts controllers as separate processes, with the run command of the deploy file, for the cases of the review.
// The callers and dispatchers of a case come from internal/peer and run in the process of the case itself.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"cherryrelay/internal/peer"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	NotRun   = 2 // the case could not run
	deadline = 110 * time.Second
)

// Case is one run of a case: its record, its temporary folder and its processes.
type Case struct {
	Trouble bool   // whether the disruption is applied
	Dir     string // temporary folder

	mu      sync.Mutex
	record  *os.File
	started time.Time
	procs   []*Controller
	broken  []string
}

// errNotRun is the panic value of Fatal.
var errNotRun = errors.New("the case could not run")

// Main runs a case and exits with its result. The record is written to record.txt in the folder RECORD_DIR.
func Main(play func(*Case)) {
	os.Exit(run(play))
}

func run(play func(*Case)) (code int) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Getenv("RECORD_DIR"), "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer c.record.Close()
	if c.Dir, err = os.MkdirTemp("", "cherryrelay-review-"); err != nil {
		c.Log("case", "temporary folder: %v", err)
		return NotRun
	}
	defer os.RemoveAll(c.Dir)
	defer c.killAll()
	end := func(why string) {
		c.Log("case", "%s", why)
		c.killAll()
		_ = os.RemoveAll(c.Dir)
		os.Exit(NotRun)
	}
	time.AfterFunc(deadline, func() { end("out of time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { end(fmt.Sprint("signal: ", <-signals)) }()
	defer func() {
		if p := recover(); p != nil {
			if p != errNotRun {
				c.Log("case", "stopped: %v", p)
			}
			code = NotRun
		}
	}()
	c.Log("case", "disruption: %v", c.Trouble)
	play(c)
	if len(c.broken) > 0 {
		c.Log("result", "the rule was BROKEN: %s", strings.Join(c.broken, "; "))
		return Broken
	}
	c.Log("result", "the rule held")
	return Held
}

// Log writes a line to the record: the time since the start in seconds, who, and what.
func (c *Case) Log(who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%9.3f %-14s %s\n", time.Since(c.started).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	if who == "result" || who == "case" {
		fmt.Print(line)
	}
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
	c.Log("check", "BROKEN: %s", text)
}

// Fatal ends a case that cannot run.
func (c *Case) Fatal(format string, args ...any) {
	c.Log("case", "cannot run: "+format, args...)
	panic(errNotRun)
}

// Must ends the case if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Fatal("%v", err)
	}
}

// Address returns a free loopback address.
func (c *Case) Address() string {
	address, err := peer.FreeAddress()
	c.Must(err)
	return address
}

// Dispatcher starts a dispatcher.
func (c *Case) Dispatcher(transport string) *peer.Dispatcher {
	d, err := peer.StartDispatcher(transport, c.Address(), "x0:100;x1:100;latency_ms:1;qps:30")
	c.Must(err)
	go func() {
		for range d.Acks {
		}
	}()
	return d
}

// Entry is an entry of the list of dispatchers.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// List returns the event of the coordinator with this number.
func List(index int, snapshot bool, entries ...Entry) map[string]any {
	return map[string]any{"index": index, "endpoints": map[string]any{"index": index, "snapshot": snapshot, "endpoints": entries}}
}

// Class returns a class of the settings.
func Class(name, semantics string) map[string]any {
	return map[string]any{"name": name, "aimUs": 1500000, "deadlineUs": 9000000, "worth": 1, "lateValue": 0.25, "semantics": semantics,
		"group": "all", "windowUs": 5000000, "streaming": true}
}

// Config returns a configuration of the platform with the settings of a small deployment.
func Config(coordinator string, classes []map[string]any, events ...map[string]any) map[string]any {
	return map[string]any{
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"coordinator": coordinator, "known": map[string]any{"index": len(events), "updates": append([]map[string]any{}, events...)},
		"settings": map[string]any{
			"caps": map[string]any{"connIdleUs": 600000000, "connectTimeoutUs": 500000, "cpuUsPerS": 300000, "maxOpen": 20000,
				"maxRetryAfterUs": 2000000, "maxStreams": 1048576, "mayCancel": true, "mayProbe": true, "retryAfter": true, "sendCap": 5},
			"familyInfo": map[string]any{"allowedPools": []any{}, "classWidth": []any{}, "guardUs": 500000, "layout": "skills",
				"resendUs": 800000, "thisNode": -1},
			"membershipMode": "pushed", "tenants": []any{}, "peersTotal": 5,
			"report":         map[string]any{"fields": []string{"idle", "circuits", "avg_ms", "max_rate"}, "source": "inline"},
			"requestClasses": classes, "resolutionUs": 5000, "serviceType": "trunks",
			"rules": map[string]any{"askWithinUs": 10000000, "coldUs": 15000000, "drainGraceUs": 500000, "graceToAnswerUs": 20000,
				"overloadForUs": 1500000, "startCapacity": 0.28, "tipMultiple": 2},
		},
	}
}

// Controller is a controller as a process of its own.
type Controller struct {
	Name, Listen, Management string
	Label                    string // of the process in the record and of its files
	TempDir                  string
	c                        *Case
	cmd                      *exec.Cmd
	done                     chan struct{}
	operator                 string // path of the operator's file; empty for none
	env                      []string
}

// NewController prepares a controller. The operator's file may be empty.
func (c *Case) NewController(name string, config map[string]any, operator string) *Controller {
	p := &Controller{Name: name, Label: name, Listen: c.Address(), Management: c.Address(), TempDir: filepath.Join(c.Dir, name), c: c}
	c.Must(os.MkdirAll(p.TempDir, 0o700))
	p.WriteConfig(config)
	if operator != "" {
		p.operator = filepath.Join(c.Dir, name+".ini")
		c.Must(os.WriteFile(p.operator, []byte(operator), 0o600))
	}
	p.setEnv()
	return p
}

func (p *Controller) setEnv() {
	p.env = append(os.Environ(), "LB_NAME="+p.Name, "LB_LISTEN="+p.Listen, "LB_MANAGEMENT="+p.Management, "LB_CONFIG="+p.configPath(),
		"TMPDIR="+p.TempDir, "LB_OPERATOR="+p.operator)
}

func (p *Controller) configPath() string { return filepath.Join(p.c.Dir, p.Label+".json") }

// WriteConfig writes the configuration of the platform.
func (p *Controller) WriteConfig(config map[string]any) {
	config["name"], config["listen"], config["management"] = p.Name, p.Listen, p.Management
	text, err := json.Marshal(config)
	p.c.Must(err)
	p.c.Must(os.WriteFile(p.configPath(), text, 0o600))
}

// runCommand returns the run command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(m[1]), nil
}

// Start starts the controller. Its log is controller-LABEL.log beside the record.
func (p *Controller) Start() {
	run, err := runCommand()
	p.c.Must(err)
	out, err := os.OpenFile(filepath.Join(os.Getenv("RECORD_DIR"), "controller-"+p.Label+".log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	p.c.Must(err)
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = p.env, out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no controller outlives the case
	p.c.Must(p.cmd.Start())
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		err := cmd.Wait()
		p.c.Log(p.Label, "process %d has ended: %v", cmd.Process.Pid, err)
		close(done)
	}()
	p.c.mu.Lock()
	p.c.procs = append(p.c.procs, p)
	p.c.mu.Unlock()
	p.c.Log(p.Label, "process %d started, callers at %s", p.cmd.Process.Pid, p.Listen)
}

// WaitReady waits until the controller is ready.
func (p *Controller) WaitReady() {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.Management + "/api/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.c.Log(p.Label, "ready")
			return
		}
	}
	p.c.Fatal("%s is not ready within 30 s", p.Label)
}

// Signal sends a signal to the controller.
func (p *Controller) Signal(s syscall.Signal) {
	p.c.Log(p.Label, "signal %v", s)
	p.c.Must(p.cmd.Process.Signal(s))
}

// WaitEnd waits until the process has ended, and reports whether it has.
func (p *Controller) WaitEnd(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Alive reports whether the process runs.
func (p *Controller) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// killAll ends all processes that the case has started.
func (c *Case) killAll() {
	c.mu.Lock()
	procs := c.procs
	c.procs = nil
	c.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
		p.WaitEnd(5 * time.Second)
	}
}

// Successor prepares a controller with the name and the address for callers of this one, which takes over from it when it is started.
// It has a management address of its own, as that is not handed over.
func (p *Controller) Successor(label string, config map[string]any) *Controller {
	s := &Controller{Name: p.Name, Label: label, Listen: p.Listen, Management: p.c.Address(), TempDir: p.TempDir, c: p.c, operator: p.operator}
	s.WriteConfig(config)
	s.setEnv()
	return s
}
