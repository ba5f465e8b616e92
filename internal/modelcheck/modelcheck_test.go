package modelcheck

import (
	"errors"
	"fmt"
	"testing"
)

var errLostUpdate = errors.New("an update was lost")

// newCounterModel returns a model in which two processes increment a counter. Each increment takes one step, or separate steps to read and to
// write.
func newCounterModel(steps int) func() Model {
	return func() Model {
		counter, increments := 0, 0
		add := func(s *Stepper) {
			s.Step()
			read := counter
			s.Observe(read)
			if steps == 2 {
				s.Step()
			}
			counter = read + 1
			increments++
			s.Observe()
		}
		return Model{
			Processes: []*Process{{Name: "a", Run: add}, {Name: "b", Run: add, Crashes: true}},
			Digest:    func() string { return fmt.Sprint(counter, increments) },
			Check:     func() error { return nil },
			Final: func() error {
				if counter != increments {
					return errLostUpdate
				}
				return nil
			},
		}
	}
}

// TestLostUpdateIsFound checks that Explore finds an update that is lost between a read and a write in separate steps, and that it finds no
// violation when both are one step.
func TestLostUpdateIsFound(t *testing.T) {
	r, err := Explore(newCounterModel(1), Bounds{Crashes: 1})
	if err != nil || !r.Complete {
		t.Errorf("increment in one step: %+v, %v; want a complete search without a violation", r, err)
	}
	var violation *Violation
	if _, err := Explore(newCounterModel(2), Bounds{}); !errors.As(err, &violation) || !errors.Is(err, errLostUpdate) || len(violation.Steps) != 4 {
		t.Errorf("increment in two steps: error %v, want a violation after 4 steps", err)
	}
	if r, err := Explore(newCounterModel(1), Bounds{States: 2}); err != nil || r.Complete {
		t.Errorf("search bounded to 2 states: %+v, %v; want an incomplete search without a violation", r, err)
	}
}
