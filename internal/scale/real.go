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

// operatorFileFormat is the format of an operator file. Hollow controllers use it, too, and ignore the listening addresses.
const operatorFileFormat = `[controller]
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
` + trial.SettingsFormat

// memberPrefix and listPrefix are the key prefixes in the store of the members and of the lists of dispatchers.
const (
	memberPrefix = "/scale/members/"
	listPrefix   = "/scale/list/"
)

// baseHoldOff is the hold-off in trial.SettingsFormat, in microseconds. Each change of settings adds its number to it.
const baseHoldOff = 2_000_000

// writeOperatorFile writes an operator file. The number of the change of settings is encoded in the hold-off.
func writeOperatorFile(path, name, listen, management, store, scope string, lease time.Duration, controllers, number int) error {
	text := fmt.Sprintf(operatorFileFormat, name, listen, management, store, listPrefix+scope+"/", store, memberPrefix, lease.Milliseconds(),
		max(controllers, 1))
	oldLine := fmt.Sprintf("maxRetryAfterUs = %d\n", baseHoldOff)
	if !strings.Contains(text, oldLine) {
		return errors.New("scale: trial.Settings lack the expected line of maxRetryAfterUs")
	}
	text = strings.Replace(text, oldLine, fmt.Sprintf("maxRetryAfterUs = %d\n", baseHoldOff+number), 1)
	temporary := path + ".new" // renamed, as controllers may read the file at the same time
	if err := errors.Join(os.WriteFile(temporary, []byte(text), 0o600), os.Rename(temporary, path)); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}

// settingsNumber returns the number of the change of settings that is encoded in a configuration.
func settingsNumber(c *config.Config) int { return int(c.Settings.Caps.MaxRetryAfterUs) - baseHoldOff }

// realController is a process of the program that accepts calls.
type realController struct {
	name, scope                      string
	callerAddress, managementAddress string
	configPath                       string // of the operator file
	storeAddress                     string
	cmd                              *exec.Cmd
	exited                           chan struct{}
	log                              tailBuffer

	mu             sync.Mutex
	applied        []AppliedChange
	failedDials    int64
	settingsNumber int // of the last change of settings
}

// start starts the process with the operator file that was written last.
func (r *realController) start(program, env []string, directory string) error {
	r.cmd, r.exited = exec.Command(program[0], program[1:]...), make(chan struct{})
	r.cmd.Env = append(append(os.Environ(), env...), "LB_OPERATOR="+r.configPath, "TMPDIR="+directory)
	stderr, err := r.cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if err := r.cmd.Start(); err != nil {
		return fmt.Errorf("scale: %s: %w", r.name, err)
	}
	go func() {
		defer close(r.exited)
		r.parseLog(stderr)
		_ = r.cmd.Wait()
	}()
	return nil
}

// parseLog parses the log until it ends. Log lines show when a change has been applied and when a dial has failed.
func (r *realController) parseLog(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		now := time.Now().UnixNano()
		line := lines.Text()
		_, _ = r.log.Write([]byte(line + "\n"))
		r.mu.Lock()
		switch {
		case strings.Contains(line, `msg="`+dialFailed+`"`):
			r.failedDials += 1 + logField(line, "not_logged")
		case strings.Contains(line, `msg="configuration reloaded"`):
			r.applied = append(r.applied, AppliedChange{Controller: r.name, Kind: Settings, Number: r.settingsNumber, AtNs: now})
		case strings.Contains(line, "msg=dispatcher ") && strings.Contains(line, "server="+markerPrefix):
			r.applied = append(r.applied, AppliedChange{Controller: r.name, Kind: Change, Scope: r.scope, Number: -1 - int(logField(line, "status")), AtNs: now})
		}
		r.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, log) // a line that is too long stops the scanner; the process must not block on a full pipe
}

// logField returns the number in a field of a log line.
func logField(line, field string) int64 {
	_, rest, _ := strings.Cut(line, field+"=")
	text, _, _ := strings.Cut(rest, " ")
	n, _ := strconv.ParseInt(text, 10, 64) // a missing field counts as 0
	return n
}

// reload makes the process read its operator file again.
func (r *realController) reload(number int) error {
	r.mu.Lock()
	r.settingsNumber = number
	r.mu.Unlock()
	return r.cmd.Process.Signal(syscall.SIGHUP) //nolint:wrapcheck // the error needs no context
}

// takeApplied returns the changes that were applied since the last call, and the total number of failed dials.
func (r *realController) takeApplied() ([]AppliedChange, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.applied
	r.applied = nil
	return all, r.failedDials
}

// queryTimeout is the timeout of a management request.
const queryTimeout = 2 * time.Second

// query gets a page from the management address and decodes it into the given value.
func (r *realController) query(path string, result any) error {
	client := http.Client{Timeout: queryTimeout}
	resp, err := client.Get("http://" + r.managementAddress + path)
	if err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(result) //nolint:wrapcheck // the error needs no context
}

// members returns the number of fleet members that the controller knows, or 0 if it does not answer, does not serve or its view is not actable.
func (r *realController) members() int {
	var view membership.Status
	if r.query(membership.Path, &view) != nil || !view.Actable || view.State != "serving" {
		return 0
	}
	return len(view.Members) + view.OmittedMembers
}

// activeChange returns the number of the last change in the controller's list, or -1 if that cannot be determined.
func (r *realController) activeChange() int {
	name := markerPrefix + r.scope
	var page struct {
		Servers []struct {
			Name  string `json:"name"`
			Group int    `json:"group"`
		} `json:"servers"`
	}
	if r.query("/api/pool/servers?after="+url.QueryEscape(name[:len(name)-1]), &page) != nil {
		return -1
	}
	for _, s := range page.Servers {
		if s.Name == name {
			return s.Group - markerGroup
		}
	}
	return -1
}

// kill kills the process and waits for its exit.
func (r *realController) kill() {
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// newRealController reserves addresses for a controller and writes its operator file.
func newRealController(directory, name, scope, store string, s *Scenario) (*realController, error) {
	r := &realController{name: name, scope: scope, storeAddress: store, configPath: filepath.Join(directory, name+".ini")}
	for _, address := range []*string{&r.callerAddress, &r.managementAddress} {
		var err error
		if *address, err = peer.FreeAddress(); err != nil {
			return nil, err //nolint:wrapcheck // the error needs no context
		}
	}
	return r, r.writeConfig(s, 0)
}

// writeConfig writes the operator file with the settings of the given number.
func (r *realController) writeConfig(s *Scenario, number int) error {
	return writeOperatorFile(r.configPath, r.name, r.callerAddress, r.managementAddress, r.storeAddress, r.scope, s.Lease, s.Controllers+s.RealControllers, number)
}
