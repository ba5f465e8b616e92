// Package deploy tests the program that the build command of balancer.toml has put into bin, and starts it in the way of the
// platform.
package deploy

import (
	"debug/elf"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherryrelay/internal/peer"
)

// deployCommand returns a command from balancer.toml.
func deployCommand(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("balancer.toml has no command %s", name)
	}
	return string(m[1])
}

// TestBuilt tests bin/cherryrelay. It requires that the build command has just run, as in .ci/run.
func TestBuilt(t *testing.T) {
	if os.Getenv("CHERRYRELAY_BUILT") == "" {
		t.Skip("CHERRYRELAY_BUILT is not set: bin may be outdated")
	}
	t.Run("linked dynamically", func(t *testing.T) {
		f, err := elf.Open("../bin/cherryrelay")
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		libraries, err := f.ImportedLibraries()
		if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
			t.Errorf("libraries %v, error %v; want libc among them", libraries, err)
		}
		if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
			t.Error("no dynamic interpreter")
		}
	})
	t.Run("starts, becomes ready and ends at SIGTERM, as a single process", func(t *testing.T) {
		d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
		if err != nil {
			t.Fatal(err)
		}
		defer d.Kill()
		p := start(t, d.Address())
		p.waitReady()
		p.checkSingleProcess()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("ended with %v; output: %s", err, p.output())
		}
	})
	t.Run("ends at a SIGTERM shortly after its start", func(t *testing.T) {
		for _, after := range []time.Duration{20, 40, 60, 80, 100} {
			p := start(t, "127.0.0.1:9")
			p.waitLogged("serving") // until then, signals have their default effect
			time.Sleep(after * time.Millisecond)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Wait(); err != nil {
				t.Errorf("after %d ms: ended with %v; output: %s", after, err, p.output())
			}
		}
	})
}

// process is a controller that was started with the run command.
type process struct {
	*testing.T
	cmd        *exec.Cmd
	log        string // path of the file with its output
	lines      string // address for callers
	management string
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := peer.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start starts a controller with the run command and additional environment variables, with a single dispatcher on its list.
func start(t *testing.T, dispatcher string, environment ...string) *process {
	t.Helper()
	dir := t.TempDir()
	example, err := os.ReadFile("../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := regexp.MustCompile(`"address": *"[^"]*"`).ReplaceAllString(string(example), strconv.Quote("address")+": "+strconv.Quote(dispatcher))
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{T: t, lines: freeAddress(t), management: freeAddress(t), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", deployCommand(t, "run"))
	p.cmd.Dir = ".."
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_LISTEN="+p.lines, "LB_MANAGEMENT="+p.management, "TMPDIR="+dir)
	p.cmd.Env = append(p.cmd.Env, environment...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// output returns all that the process has written.
func (p *process) output() string {
	p.Helper()
	text, err := os.ReadFile(p.log)
	if err != nil {
		p.Fatal(err)
	}
	return string(text)
}

// waitFor waits until a condition is met, and fails the test if that takes too long.
func (p *process) waitFor(condition string, met func() bool) {
	p.Helper()
	for deadline := time.Now().Add(peer.Timeout); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.Fatalf("timeout while waiting for %s; output: %s", condition, p.output())
		}
	}
}

// waitLogged waits until the output contains a word.
func (p *process) waitLogged(word string) {
	p.Helper()
	p.waitFor(word, func() bool { return strings.Contains(p.output(), word) })
}

// waitReady waits until the management address reports that the controller is ready.
func (p *process) waitReady() {
	p.Helper()
	p.waitFor("ready", func() bool {
		response, err := http.Get("http://" + p.management + "/api/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// checkSingleProcess checks that the process is the program itself, that it has no child process, and that none has ended before:
// the page faults of a child are added to those of its parent when the child is waited for.
func (p *process) checkSingleProcess() {
	p.Helper()
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	name, err := os.ReadFile(proc + "/comm")
	if err != nil || strings.TrimSpace(string(name)) != "cherryrelay" {
		p.Errorf("the process is %q, error %v; want cherryrelay", name, err)
	}
	childLists, err := filepath.Glob(proc + "/task/*/children")
	if err != nil {
		p.Fatal(err)
	}
	for _, path := range childLists {
		if children, err := os.ReadFile(path); err == nil && len(children) > 0 || err != nil && !errors.Is(err, os.ErrNotExist) {
			p.Errorf("%s: children %q, error %v; want none", path, children, err)
		}
	}
	stat, err := os.ReadFile(proc + "/stat")
	if err != nil {
		p.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	const childFaults = 8 // index of cminflt, field 11 in proc(5), without the two fields before ") "
	if f := strings.Fields(rest); len(f) <= childFaults || f[childFaults] != "0" {
		p.Errorf("a child process was started and has ended: %s", rest)
	}
}
