package trial

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cherryrelay/internal/endlog"
)

// keepSteps is how many of a call's last steps are told.
const keepSteps = 6

// LastSteps are the last steps that the controllers' logs tell of some calls. They tell none but at the debug level, which LB_LOG=debug sets
// for all.
func (g *Ground) LastSteps(ids []string) []string {
	steps := map[string][]toldStep{}
	for _, c := range g.Controllers {
		for line := range strings.Lines(c.Log()) {
			if id, step, ok := callStep(line); ok && slices.Contains(ids, id) {
				steps[id] = append(steps[id], step)
			}
		}
	}
	told := make([]string, 0, len(ids))
	for _, id := range ids {
		told = append(told, id+": "+tellLast(steps[id]))
	}
	return told
}

// tellLast lists the last steps of a call.
func tellLast(steps []toldStep) string {
	if len(steps) == 0 {
		return "no step is logged"
	}
	slices.SortStableFunc(steps, func(a, b toldStep) int { return cmp.Compare(a.at, b.at) })
	var told []string
	for _, s := range steps[max(0, len(steps)-keepSteps):] {
		told = append(told, s.at+" "+s.text)
	}
	return strings.Join(told, "; ")
}

// toldStep is a step of a call in a controller's log.
type toldStep struct {
	at   string // as the log has it; those of one machine can be compared
	text string // the controller, the step and its attributes
}

// callStep reads a line of a log; ok reports whether it is a step of a call.
func callStep(line string) (id string, step toldStep, ok bool) {
	before, text, ok := strings.Cut(strings.TrimSpace(line), fmt.Sprintf(" msg=%q ", endlog.CallMessage))
	if !ok {
		return "", toldStep{}, false
	}
	at, _, _ := strings.Cut(strings.TrimPrefix(before, "time="), " ")
	_, id, ok = strings.Cut(text, " "+endlog.IDKey+"=")
	id, _, _ = strings.Cut(id, " ")
	return id, toldStep{at: at, text: text}, ok
}
