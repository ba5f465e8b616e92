package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"
	"time"
)

const (
	// stuckReportBefore is the time before the time limit of the run at which the unfinished tests are reported.
	stuckReportBefore = 20 * time.Second
	// maxStacks limits the bytes of the stacks of all goroutines.
	maxStacks = 16 << 20
)

// TestMain runs the program instead of the tests if the environment asks for it.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	flag.Parse()
	if limit := timeLimit(); limit > 2*stuckReportBefore {
		time.AfterFunc(limit-stuckReportBefore, func() {
			reportStuckTests(os.Stderr, allStacks())
			os.Exit(1)
		})
	}
	os.Exit(m.Run())
}

// timeLimit returns the time limit of the whole run, or 0 if there is none.
func timeLimit() time.Duration {
	f := flag.Lookup("test.timeout")
	if f == nil {
		return 0
	}
	if value, ok := f.Value.(flag.Getter); ok {
		limit, _ := value.Get().(time.Duration)
		return limit
	}
	return 0
}

func allStacks() []byte {
	text := make([]byte, maxStacks)
	return text[:runtime.Stack(text, true)]
}

// reportStuckTests writes the stacks of the unfinished tests and of the callers that they may wait for. The report of package testing has
// thousands of goroutines, and a truncated part of it does not contain the tests.
func reportStuckTests(w io.Writer, stacks []byte) {
	fmt.Fprintln(w, "unfinished tests:")
	for stack := range bytes.SplitSeq(stacks, []byte("\n\n")) {
		test := bytes.Contains(stack, []byte("testing.tRunner(")) && !bytes.Contains(stack, []byte("testing.(*T).Parallel("))
		if test || bytes.Contains(stack, []byte("internal/trial.(*Caller).Run(")) {
			fmt.Fprintf(w, "%s\n\n", stack)
		}
	}
}

// TestAStuckTestIsReported guards against a run that exceeds its time limit without showing which test did not finish.
func TestAStuckTestIsReported(t *testing.T) {
	release, waits := make(chan struct{}), make(chan struct{})
	go func() {
		close(waits)
		<-release
	}()
	<-waits
	defer close(release)
	var report bytes.Buffer
	reportStuckTests(&report, allStacks())
	if !bytes.Contains(report.Bytes(), []byte("cmd/cherryrelay.TestAStuckTestIsReported(")) {
		t.Errorf("this test is not reported:\n%s", report.String())
	}
	if bytes.Contains(report.Bytes(), []byte("TestAStuckTestIsReported.func1(")) {
		t.Errorf("a goroutine that is not a test is reported:\n%s", report.String())
	}
}
