package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	// maxViolationsShown is how many faults of a play are shown.
	maxViolationsShown = 12
	// maxLogShown bounds the bytes of the log of a process that are shown: its end, and logBeginningShown of its beginning.
	maxLogShown, logBeginningShown = 16 << 10, 4 << 10
	// maxCallLinesShown bounds the lines of the log that name calls of the faults.
	maxCallLinesShown = 40
)

// callID is an id as faults and logs have it.
var callID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// failureReport tells the faults of a play and how it is played again, and after them what the log of its process has.
func failureReport(again string, faults []string, log string) string {
	shown := strings.Join(faults[:min(len(faults), maxViolationsShown)], "\n")
	return fmt.Sprintf("%d faults; %s\n%s\nof these calls the log has:\n%sthe log of the process:\n%s", len(faults), again,
		shown, linesOfCalls(log, callID.FindAllString(shown, -1)), shortenLog(log))
}

// linesOfCalls are the first lines of a log that name one of the calls.
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

// shortenLog takes whole lines out of the middle of a log that is longer than maxLogShown.
func shortenLog(log string) string {
	if len(log) <= maxLogShown {
		return log
	}
	beginning := log[:logBeginningShown]
	beginning = beginning[:strings.LastIndexByte(beginning, '\n')+1]
	end := log[len(log)-(maxLogShown-logBeginningShown):]
	_, end, _ = strings.Cut(end, "\n")
	leftOut := len(log) - len(beginning) - len(end)
	return fmt.Sprintf("%s... %d bytes are left out ...\n%s", beginning, leftOut, end)
}

// TestAFailureReportStartsWithTheViolations guards against a failed play of which nobody can say what failed: its faults were printed behind a log of any
// length, and the output was cut off before them.
func TestAFailureReportStartsWithTheViolations(t *testing.T) {
	t.Parallel()
	const firstFault, firstLine, lastLine = "0000000000000001: no answer", "the first line\n", "the last line\n"
	const lineOfCall = "call without an answer at its deadline id=0000000000000001\n"
	noise := strings.Repeat("limit of connections reached\n", 1<<16)
	report := failureReport("again with this", []string{firstFault, "another"}, firstLine+noise+lineOfCall+noise+lastLine)
	const headMost = 256 // bytes, ahead of the log
	if at := strings.Index(report, firstFault); at < 0 || at > headMost || at > strings.Index(report, firstLine) {
		t.Errorf("the first fault is at %d: %.300q", at, report)
	}
	if most := maxLogShown + 2*headMost; len(report) > most {
		t.Errorf("it has %d bytes, %d allowed", len(report), most)
	}
	for _, part := range []string{"again with this", lineOfCall, firstLine} {
		if !strings.Contains(report, part) {
			t.Errorf("%q is not in it: %.300q", part, report)
		}
	}
	if !strings.HasSuffix(report, lastLine) {
		t.Errorf("it does not end as the log does: %.300q", report)
	}
	if short := failureReport("", []string{firstFault}, firstLine); !strings.HasSuffix(short, firstLine) {
		t.Errorf("a short log is not shown as it is: %q", short)
	}
}
