package modelcheck

import (
	"errors"
	"fmt"
	"testing"
)

var errLost = errors.New("a count was lost")

// counting has two processes add to a number, in one step or in two.
func counting(steps int) func() Model {
	return func() Model {
		n, done := 0, 0
		add := func(t *Stepper) {
			t.Step()
			read := n
			t.Observe(read)
			if steps == 2 {
				t.Step()
			}
			n = read + 1
			done++
			t.Observe()
		}
		return Model{
			Processes: []*Process{{Name: "a", Run: add}, {Name: "b", Run: add, Crashes: true}},
			Digest:    func() string { return fmt.Sprint(n, done) },
			Check:     func() error { return nil },
			Final: func() error {
				if n != done {
					return errLost
				}
				return nil
			},
		}
	}
}

// TestLostUpdateIsFound if reading and writing are two steps; if they are one, there is none to find.
func TestLostUpdateIsFound(t *testing.T) {
	r, err := Explore(counting(1), Bounds{Crashes: 1})
	if err != nil || !r.Complete {
		t.Errorf("in one step: %+v, %v", r, err)
	}
	var f *Violation
	if _, err := Explore(counting(2), Bounds{}); !errors.As(err, &f) || !errors.Is(err, errLost) || len(f.Steps) != 4 {
		t.Errorf("in two steps: %v", err)
	}
	if r, err := Explore(counting(1), Bounds{States: 2}); err != nil || r.Complete {
		t.Errorf("beyond its bound: %+v, %v", r, err)
	}
}
