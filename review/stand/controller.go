package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// controller is one process of the controller, started by the run line of the deploy file.
type controller struct {
	cmd    *exec.Cmd
	record *record
	name   string
	ended  chan struct{}
}

// place holds the paths and addresses of one controller; its processes share them.
type place struct {
	root, dir, listen, management, operator string
	env                                     []string
}

// newPlace makes the folders of a controller below dir.
func newPlace(root, dir, name string) (*place, error) {
	p := &place{root: root, dir: filepath.Join(dir, name)}
	if err := os.MkdirAll(filepath.Join(p.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	p.listen, p.management = freeAddress(), freeAddress()
	p.env = []string{"LB_NAME=" + name, "LB_LISTEN=" + p.listen, "LB_MANAGEMENT=" + p.management,
		"TMPDIR=" + filepath.Join(p.dir, "tmp"), "LB_LOG="}
	return p, nil
}

// setManagement sets the address for operators of the processes started from now on.
func (p *place) setManagement(address string) {
	p.management = address
	p.env = append(p.env, "LB_MANAGEMENT="+address)
}

// writeConfig writes the platform's file; known are the events of the coordinator so far.
func (p *place) writeConfig(coordinator string, known []event, settings map[string]any) error {
	last := 0
	updates := []any{}
	for _, e := range known {
		last = e.number
		updates = append(updates, e.object())
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": "n", "listen": p.listen, "management": p.management, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"coordinator": coordinator, "known": map[string]any{"index": last, "updates": updates}, "settings": settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
}

// writeOperator writes the operator's file.
func (p *place) writeOperator(text string) error {
	p.operator = filepath.Join(p.dir, "operator.ini")
	return os.WriteFile(p.operator, []byte(text), 0o600)
}

// runLine returns the run line of the deploy file.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(rest, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run line")
}

// start starts a process of the controller; its log goes to a file.
func (p *place) start(r *record, name string) (*controller, error) {
	line, err := runLine(p.root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := &controller{record: r, name: name, cmd: exec.Command("/bin/sh", "-c", line), ended: make(chan struct{})}
	c.cmd.Dir, c.cmd.Stdout, c.cmd.Stderr = p.root, log, log
	c.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "LB_CONFIG=" + filepath.Join(p.dir, "config.json")}, p.env...)
	if p.operator != "" {
		c.cmd.Env = append(c.cmd.Env, "LB_OPERATOR="+p.operator)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	r.say("%s started", name)
	go func() {
		err := c.cmd.Wait()
		r.say("%s ended: %v", name, err)
		close(c.ended)
	}()
	return c, nil
}

func (c *controller) signal(s syscall.Signal) {
	c.record.say("%s gets %v", c.name, s)
	_ = c.cmd.Process.Signal(s)
}

// stop ends the process, whatever its state.
func (c *controller) stop() {
	if c == nil {
		return
	}
	_ = c.cmd.Process.Kill()
	select {
	case <-c.ended:
	case <-time.After(5 * time.Second):
	}
}

// waitReady waits until the management address says that callers can be served.
func (p *place) waitReady(within time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	last := errors.New("never asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.management + "/api/ready")
		if err != nil {
			last = err
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d", resp.StatusCode)
	}
	return fmt.Errorf("the controller was not ready within %v: %w", within, last)
}

// usedPorts are the addresses handed out so far.
var usedPorts = map[string]bool{}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		address := ln.Addr().String()
		_ = ln.Close()
		if !usedPorts[address] {
			usedPorts[address] = true
			return address
		}
	}
}

// smallSettings are the settings of a small deployment: those of the wire page's example, without tenants.
func smallSettings(nodes int) map[string]any {
	return map[string]any{
		"caps": map[string]any{"connIdleUs": 600000000, "connectTimeoutUs": 500000, "maxRetryAfterUs": 2000000, "mayCancel": true,
			"mayProbe": true, "retryAfter": true, "sendCap": 5},
		"familyInfo":     map[string]any{"allowedPools": []any{}, "classWidth": []int{1}, "guardUs": 500000, "layout": "skills", "thisNode": -1},
		"membershipMode": "pushed", "tenants": []any{}, "peersTotal": nodes, "resolutionUs": 5000,
		"report": map[string]any{"fields": []string{"idle", "circuits", "avg_ms", "max_rate"}, "source": "inline"},
		"requestClasses": []any{map[string]any{"name": "send-setup", "aimUs": 1500000, "deadlineUs": 9000000, "worth": 1,
			"lateValue": 0.25, "semantics": "read_like", "group": "all", "windowUs": 5000000, "streaming": true}},
		"rules": map[string]any{"coldUs": 15000000, "drainGraceUs": 500000, "graceToAnswerUs": 20000, "startCapacity": 0.28,
			"tipMultiple": 2, "overloadForUs": 1500000},
	}
}
