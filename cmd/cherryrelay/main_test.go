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
	// stuckReportBefore is how long before its time limit a run ends with a report of the tests that still run.
	stuckReportBefore = 20 * time.Second
	// maxStacks bounds the bytes of the stacks of all goroutines.
	maxStacks = 16 << 20
)

// TestMain runs the program in place of the tests where the environment says so.
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

// timeLimit is that of the whole run; 0 for none.
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

// reportStuckTests writes the stacks of tests that still run and of the callers that they may wait for. The report of package testing has
// every goroutine, thousands of them, and where a part of it is kept alone the tests are not in it.
func reportStuckTests(w io.Writer, stacks []byte) {
	fmt.Fprintln(w, "these tests do not end:")
	for one := range bytes.SplitSeq(stacks, []byte("\n\n")) {
		test := bytes.Contains(one, []byte("testing.tRunner(")) && !bytes.Contains(one, []byte("testing.(*T).Parallel("))
		if test || bytes.Contains(one, []byte("internal/trial.(*Caller).Run(")) {
			fmt.Fprintf(w, "%s\n\n", one)
		}
	}
}

// TestAStuckTestIsReported guards against a run that ends at its time limit, and of which nobody can say which test did not end.
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
		t.Errorf("a goroutine that is no test is reported:\n%s", report.String())
	}
}
