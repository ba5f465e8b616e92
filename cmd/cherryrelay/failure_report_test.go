package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	// maxViolationsShown limits the violations of a run that are shown.
	maxViolationsShown = 12
	// maxLogShown limits the bytes of a process's log that are shown; logBeginningShown of them are from its beginning, the others from its
	// end.
	maxLogShown, logBeginningShown = 16 << 10, 4 << 10
	// maxCallLinesShown limits the log lines that name the calls of the violations.
	maxCallLinesShown = 40
)

// callID matches a call ID in violations and logs.
var callID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// failureReport returns the violations of a run, the command that repeats it, and the log of its process, in this order.
func failureReport(repeatCommand string, violations []string, log string) string {
	shown := strings.Join(violations[:min(len(violations), maxViolationsShown)], "\n")
	return fmt.Sprintf("%d violations; %s\n%s\nof these calls the log has:\n%sthe log of the process:\n%s", len(violations), repeatCommand,
		shown, linesOfCalls(log, callID.FindAllString(shown, -1)), shortenLog(log))
}

// linesOfCalls returns the first lines of a log that name one of the calls.
func linesOfCalls(log string, ids []string) string {
	var lines strings.Builder
	left := maxCallLinesShown
	for line := range strings.Lines(log) {
		if left > 0 && slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, id) }) {
			lines.WriteString(line)
			left--
		}
	}
	return lines.String()
}

// shortenLog removes whole lines from the middle of a log that is longer than maxLogShown.
func shortenLog(log string) string {
	if len(log) <= maxLogShown {
		return log
	}
	beginning := log[:logBeginningShown]
	beginning = beginning[:strings.LastIndexByte(beginning, '\n')+1]
	end := log[len(log)-(maxLogShown-logBeginningShown):]
	_, end, _ = strings.Cut(end, "\n")
	leftOut := len(log) - len(beginning) - len(end)
	return fmt.Sprintf("%s... %d bytes omitted ...\n%s", beginning, leftOut, end)
}

// TestAFailureReportStartsWithTheViolations guards against violations that are printed behind a log of any length and are lost when the
// output is truncated.
func TestAFailureReportStartsWithTheViolations(t *testing.T) {
	t.Parallel()
	const firstViolation, firstLine, lastLine = "0000000000000001: no answer", "the first line\n", "the last line\n"
	const lineOfCall = "call without an answer at its deadline id=0000000000000001\n"
	noise := strings.Repeat("limit of connections reached\n", 1<<16)
	report := failureReport("again with this", []string{firstViolation, "another"}, firstLine+noise+lineOfCall+noise+lastLine)
	const headMost = 256 // bytes before the log
	if at := strings.Index(report, firstViolation); at < 0 || at > headMost || at > strings.Index(report, firstLine) {
		t.Errorf("the first violation is at %d: %.300q", at, report)
	}
	if most := maxLogShown + 2*headMost; len(report) > most {
		t.Errorf("the report has %d bytes, at most %d are allowed", len(report), most)
	}
	for _, part := range []string{"again with this", lineOfCall, firstLine} {
		if !strings.Contains(report, part) {
			t.Errorf("%q is not in the report: %.300q", part, report)
		}
	}
	if !strings.HasSuffix(report, lastLine) {
		t.Errorf("the report does not end like the log: %.300q", report)
	}
	if short := failureReport("", []string{firstViolation}, firstLine); !strings.HasSuffix(short, firstLine) {
		t.Errorf("a short log is not shown unchanged: %q", short)
	}
}
