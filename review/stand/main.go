package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// cases are the plays, by the name of their folder. Each returns an error if it could not run.
var cases = map[string]func(*stage) error{}

// stage is what a case plays on.
type stage struct {
	*record
	root    string // of the project
	dir     string // temporary folder
	trouble bool   // whether the disruption takes place
	mu      sync.Mutex
	undo    []func()
	over    bool // cleanUp has begun
}

// limit is the longest that a case may take.
const limit = 115 * time.Second

// atEnd runs f when the case is over, whatever its result.
func (s *stage) atEnd(f func()) {
	s.mu.Lock()
	over := s.over
	if !over {
		s.undo = append(s.undo, f)
	}
	s.mu.Unlock()
	if over { // it was started while the case was being ended
		f()
	}
}

// cleanUp ends all that the case has started.
func (s *stage) cleanUp() {
	s.mu.Lock()
	undo := s.undo
	s.undo, s.over = nil, true
	s.mu.Unlock()
	for _, f := range slices.Backward(undo) {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// watch ends the case if it takes too long or is told to end.
func (s *stage) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	s.say("could not run: it took too long, or was told to end")
	s.cleanUp()
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand ROOT CASE")
		os.Exit(2)
	}
	status, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = 2
	}
	os.Exit(status)
}

func play(root, name string) (status int, err error) {
	root, err = filepath.Abs(root)
	if err != nil {
		return 2, err
	}
	r, err := newRecord(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		return 2, err
	}
	trouble, parseErr := strconv.Atoi(os.Getenv("TROUBLE"))
	s := &stage{record: r, root: root, dir: dir, trouble: parseErr != nil || trouble != 0}
	r.say("case %s, with the disruption: %v", name, s.trouble)
	go s.watch()
	err = cases[name](s)
	s.cleanUp()
	if err != nil {
		r.say("could not run: %v", err)
		r.close()
		return 2, err
	}
	return r.close(), nil
}
