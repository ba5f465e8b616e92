package main

import (
	"os"
	"testing"
	"time"
)

// TestSoakTrials runs two hundred seeds that draw any fault, with five controllers.
func TestSoakTrials(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("long test: run make soak")
	}
	drawnTrials(t, 200, 5, 15*time.Second)
}
