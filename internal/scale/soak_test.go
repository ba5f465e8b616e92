package scale

import (
	"fmt"
	"os"
	"testing"
)

// TestSoakSlopes runs three seeds at each fleet size, for the slopes in docs/scale.md.
func TestSoakSlopes(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("a long run: make soak")
	}
	for _, controllers := range []int{100, 300, 1000} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d controllers, seed %d", controllers, seed+1), func(t *testing.T) {
				s := readExample(t, "slopes.ini")
				s.Controllers = controllers
				mustRun(t, s, seed+1)
			})
		}
	}
}
