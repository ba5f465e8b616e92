// Command stand plays one case of the review: it starts the controller as a process of its own, takes the place of callers,
// dispatchers and the platform, and judges what these can see. The folders review/6 to review/10 say what each case is about.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	found []string // what broke the rule
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// say writes one line, with the time since the start of the case.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes that the rule was broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.say("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, text)
}

// close writes the result and returns the exit status of the case.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.file.Close()
	if len(r.found) > 0 {
		fmt.Fprintf(r.file, "result: the rule was broken, %d times\n", len(r.found))
		fmt.Printf("the rule was broken, %d times, first: %s\n", len(r.found), r.found[0])
		return 1
	}
	fmt.Fprintln(r.file, "result: the rule held")
	fmt.Println("the rule held")
	return 0
}
