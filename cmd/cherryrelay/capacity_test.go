package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cherryrelay/internal/capacity"
)

// measure runs "cherryrelay-lab capacity" with this program as the controller.
func measure(t *testing.T, line string) capacity.Report {
	t.Helper()
	t.Setenv(asProgram, "1")
	path := filepath.Join(t.TempDir(), "report.json")
	c := capacity.Command()
	c.SetArgs(append(strings.Fields(line), "--plays", "1", "--json", path, "--program", os.Args[0]))
	c.SetOut(io.Discard)
	c.SetErr(io.Discard)
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var r capacity.Report
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Samples {
		if s.Error != "" {
			t.Fatalf("size %d: %s", s.Size, s.Error)
		}
	}
	return r
}

// slope returns the fitted slope of a measured figure.
func slope(t *testing.T, r capacity.Report, name string) float64 {
	t.Helper()
	for _, f := range r.Fits {
		if f.Figure == name {
			return f.Slope
		}
	}
	t.Fatalf("%s is not measured", name)
	return 0
}

// TestCapacityOfAShortList: in a short list each dispatcher costs one connection and one descriptor, and an entry has the size that
// docs/CAPACITY.md assumes. The size of an event that changes one dispatcher does not grow with the list.
func TestCapacityOfAShortList(t *testing.T) {
	r := measure(t, "idle-live --sizes 20,50 --lasting 200ms")
	for _, figure := range []string{"connections", "descriptors"} {
		if got := slope(t, r, figure); got < 0.99 || got > 1.01 {
			t.Errorf("%s: %v per dispatcher", figure, got)
		}
	}
	if got := slope(t, r, "new connections"); got != 0 {
		t.Errorf("%v new connections per second and idle dispatcher", got)
	}
	r = measure(t, "whole-list --sizes 20,50 --lasting 200ms")
	if got := slope(t, r, "bytes"); got < 100 || got > 200 {
		t.Errorf("%v bytes per entry", got)
	}
	r = measure(t, "one-change --sizes 20,50 --lasting 200ms")
	if got := slope(t, r, "bytes an event"); got < -1 || got > 1 {
		t.Errorf("an event grows by %v bytes per entry of the list", got)
	}
}
