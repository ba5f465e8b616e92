// Package deploy tests what the deploy file's build line has left, in bin, as the platform starts it.
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

// line is a command of the deploy file.
func line(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("no %s in balancer.toml", name)
	}
	return string(m[1])
}

// TestBuilt is for a tree in which the build line has just run: .ci/run asks for it.
func TestBuilt(t *testing.T) {
	if os.Getenv("CHERRYRELAY_BUILT") == "" {
		t.Skip("CHERRYRELAY_BUILT is not set: bin may be old")
	}
	t.Run("linked dynamically", func(t *testing.T) {
		f, err := elf.Open("../bin/cherryrelay")
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		libraries, err := f.ImportedLibraries()
		if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
			t.Errorf("libraries %v, %v", libraries, err)
		}
		if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
			t.Error("no dynamic interpreter")
		}
	})
	t.Run("starts, is ready, ends at SIGTERM, in one process", func(t *testing.T) {
		d, err := peer.Dispatch("tcp", "127.0.0.1:0", "x0:40;x1:40")
		if err != nil {
			t.Fatal(err)
		}
		defer d.Die()
		p := run(t, d.Address())
		p.ready()
		p.alone()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("ended with %v: %s", err, p.said())
		}
	})
	t.Run("ends at a SIGTERM of its first moments", func(t *testing.T) {
		for _, after := range []time.Duration{20, 40, 60, 80, 100} {
			p := run(t, "127.0.0.1:9")
			p.logged("serving") // before that, a signal ends it as any program
			time.Sleep(after * time.Millisecond)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Wait(); err != nil {
				t.Errorf("after %d ms: ended with %v: %s", after, err, p.said())
			}
		}
	})
}

// process is a controller that the run line has started.
type process struct {
	*testing.T
	cmd        *exec.Cmd
	log        string // the path of what it writes
	management string
}

func free(t *testing.T) string {
	t.Helper()
	address, err := peer.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// run starts the run line's program with one dispatcher on its list.
func run(t *testing.T, dispatcher string) *process {
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
	p := &process{T: t, management: free(t), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", line(t, "run"))
	p.cmd.Dir = ".."
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_LISTEN="+free(t), "LB_MANAGEMENT="+p.management, "TMPDIR="+dir)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

func (p *process) said() string {
	p.Helper()
	text, err := os.ReadFile(p.log)
	if err != nil {
		p.Fatal(err)
	}
	return string(text)
}

func (p *process) within(what string, done func() bool) {
	p.Helper()
	for until := time.Now().Add(peer.Patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			p.Fatalf("%s: not in time: %s", what, p.said())
		}
	}
}

func (p *process) logged(word string) {
	p.Helper()
	p.within(word, func() bool { return strings.Contains(p.said(), word) })
}

func (p *process) ready() {
	p.Helper()
	p.within("ready", func() bool {
		response, err := http.Get("http://" + p.management + "/api/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// alone holds that the process is the program itself, that it has no child, and that none was waited for on the way: a child
// that ended would have left page faults in its parent's account.
func (p *process) alone() {
	p.Helper()
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	name, err := os.ReadFile(proc + "/comm")
	if err != nil || strings.TrimSpace(string(name)) != "cherryrelay" {
		p.Errorf("the process is %q, %v", name, err)
	}
	lists, err := filepath.Glob(proc + "/task/*/children")
	if err != nil {
		p.Fatal(err)
	}
	for _, path := range lists {
		if children, err := os.ReadFile(path); err == nil && len(children) > 0 || err != nil && !errors.Is(err, os.ErrNotExist) {
			p.Errorf("children of %s: %q, %v", path, children, err)
		}
	}
	stat, err := os.ReadFile(proc + "/stat")
	if err != nil {
		p.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	const faultsOfChildren = 8 // cminflt, field 11 of proc(5), after the two before ") "
	if f := strings.Fields(rest); len(f) <= faultsOfChildren || f[faultsOfChildren] != "0" {
		p.Errorf("a child was started and has ended: %s", rest)
	}
}
