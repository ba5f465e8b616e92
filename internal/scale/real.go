package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cherryrelay/internal/config"
	"cherryrelay/internal/membership"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/trial"
)

// realFile is the operator's file of a real controller; of a hollow one, too, which has no listening address of its own.
const realFile = `[controller]
name = %s
listen = %s
management = %s
[etcd]
endpoints = %s
prefix = %s
[fleet]
endpoints = %s
prefix = %s
lease_ms = %d
` + trial.Settings

// memberPrefix and listPrefix are where the keys are.
const (
	memberPrefix = "/scale/members/"
	listPrefix   = "/scale/list/"
)

// baseHoldOff is the hold-off of the settings in microseconds; the number of a change of settings is added.
const baseHoldOff = 2_000_000

// operatorFile writes a configuration. The hold-off is the setting that a change of settings changes.
func operatorFile(path, name, listen, management, store, scope string, lease time.Duration, controllers, number int) error {
	text := fmt.Sprintf(realFile, name, listen, management, store, listPrefix+scope+"/", store, memberPrefix, lease.Milliseconds(), max(controllers, 1))
	before := fmt.Sprintf("maxRetryAfterUs = %d\n", baseHoldOff)
	if !strings.Contains(text, before) {
		return errors.New("scale: the settings have another form")
	}
	text = strings.Replace(text, before, fmt.Sprintf("maxRetryAfterUs = %d\n", baseHoldOff+number), 1)
	fresh := path + ".new" // it is read while it is replaced
	if err := errors.Join(os.WriteFile(fresh, []byte(text), 0o600), os.Rename(fresh, path)); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}

// settingsNumber is the number that a configuration was written with.
func settingsNumber(c *config.Config) int { return int(c.Settings.Caps.MaxRetryAfterUs) - baseHoldOff }

// realController is a process of the program.
type realController struct {
	name, scope       string
	lines, management string
	path              string // of its file
	store             string
	cmd               *exec.Cmd
	ended             chan struct{}
	log               tail

	mu      sync.Mutex
	applied []Applied
	failed  int64
	number  int // of the last settings
}

// start starts the process with the file that is there.
func (r *realController) start(program, env []string, directory string) error {
	r.cmd, r.ended = exec.Command(program[0], program[1:]...), make(chan struct{})
	r.cmd.Env = append(append(os.Environ(), env...), "LB_OPERATOR="+r.path, "TMPDIR="+directory)
	stderr, err := r.cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if err := r.cmd.Start(); err != nil {
		return fmt.Errorf("scale: %s: %w", r.name, err)
	}
	go func() {
		defer close(r.ended)
		r.read(stderr)
		_ = r.cmd.Wait()
	}()
	return nil
}

// read follows the log, which tells when a change is in force.
func (r *realController) read(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		now := time.Now().UnixNano()
		line := lines.Text()
		_, _ = r.log.Write([]byte(line + "\n"))
		r.mu.Lock()
		switch {
		case strings.Contains(line, `msg="`+dialFailed+`"`):
			r.failed += 1 + logged(line, "not_logged")
		case strings.Contains(line, `msg="configuration reloaded"`):
			r.applied = append(r.applied, Applied{Controller: r.name, Kind: Settings, Number: r.number, AtNs: now})
		case strings.Contains(line, "msg=dispatcher ") && strings.Contains(line, "server="+markerPrefix):
			r.applied = append(r.applied, Applied{Controller: r.name, Kind: Change, Scope: r.scope, Number: -1 - int(logged(line, "status")), AtNs: now})
		}
		r.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, log) // a line that is too long ends the scanner, and must not hold the process up
}

// logged is the number of a field of a log line.
func logged(line, field string) int64 {
	_, rest, _ := strings.Cut(line, field+"=")
	text, _, _ := strings.Cut(rest, " ")
	n, _ := strconv.ParseInt(text, 10, 64) // a field that is not there counts 0
	return n
}

// reload has it read its file again.
func (r *realController) reload(number int) error {
	r.mu.Lock()
	r.number = number
	r.mu.Unlock()
	return r.cmd.Process.Signal(syscall.SIGHUP) //nolint:wrapcheck // it says what it is
}

// take is what has been applied since the last take, and how many dials have failed in all.
func (r *realController) take() ([]Applied, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.applied
	r.applied = nil
	return all, r.failed
}

// askWithin bounds a question.
const askWithin = 2 * time.Second

// ask gets a page of the management address.
func (r *realController) ask(path string, into any) error {
	client := http.Client{Timeout: askWithin}
	resp, err := client.Get("http://" + r.management + path)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into) //nolint:wrapcheck // it says what it is
}

// members is how many members of the fleet it knows; 0 while it does not serve, or may not act on what it knows.
func (r *realController) members() int {
	var shown membership.Shown
	if r.ask(membership.Path, &shown) != nil || !shown.Actable || shown.State != "serving" {
		return 0
	}
	return len(shown.Members) + shown.More
}

// inForce is the number of the change that its list has; -1 if it does not tell.
func (r *realController) inForce() int {
	name := markerPrefix + r.scope
	var page struct {
		Servers []struct {
			Name  string `json:"name"`
			Group int    `json:"group"`
		} `json:"servers"`
	}
	if r.ask("/api/pool/servers?after="+url.QueryEscape(name[:len(name)-1]), &page) != nil {
		return -1
	}
	for _, s := range page.Servers {
		if s.Name == name {
			return s.Group - markerGroup
		}
	}
	return -1
}

// end kills it.
func (r *realController) end() {
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// newReal prepares a controller and its file.
func newReal(directory, name, scope, store string, s *Scenario) (*realController, error) {
	r := &realController{name: name, scope: scope, store: store, path: filepath.Join(directory, name+".ini")}
	for _, at := range []*string{&r.lines, &r.management} {
		var err error
		if *at, err = peer.Free(); err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
	}
	return r, r.write(s, 0)
}

// write writes its file, with the settings of a number.
func (r *realController) write(s *Scenario, number int) error {
	return operatorFile(r.path, r.name, r.lines, r.management, r.store, r.scope, s.Lease, s.Controllers+s.Real, number)
}
