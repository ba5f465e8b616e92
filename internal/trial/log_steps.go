package trial

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cherryrelay/internal/endlog"
)

// maxListedSteps is the maximum number of steps that are listed for a call.
const maxListedSteps = 6

// LastSteps returns a line for each of the given calls, with its last steps from the logs of all controllers. Controllers log steps only at
// the debug level, which LB_LOG=debug sets.
func (cl *Cluster) LastSteps(ids []string) []string {
	steps := map[string][]loggedStep{}
	for _, c := range cl.Controllers {
		for line := range strings.Lines(c.Log()) {
			if id, step, ok := parseCallStep(line); ok && slices.Contains(ids, id) {
				steps[id] = append(steps[id], step)
			}
		}
	}
	lines := make([]string, 0, len(ids))
	for _, id := range ids {
		lines = append(lines, id+": "+formatLastSteps(steps[id]))
	}
	return lines
}

// formatLastSteps sorts the steps of a call by time and lists the last ones.
func formatLastSteps(steps []loggedStep) string {
	if len(steps) == 0 {
		return "no step is logged"
	}
	slices.SortStableFunc(steps, func(a, b loggedStep) int { return cmp.Compare(a.at, b.at) })
	var parts []string
	for _, s := range steps[max(0, len(steps)-maxListedSteps):] {
		parts = append(parts, s.at+" "+s.text)
	}
	return strings.Join(parts, "; ")
}

// loggedStep is a step of a call from the log of a controller.
type loggedStep struct {
	at   string // the time as logged; the times of one machine are comparable as strings
	text string // the controller, the step and its attributes
}

// parseCallStep parses a line of a log; ok is false if the line is not about a step of a call.
func parseCallStep(line string) (id string, step loggedStep, ok bool) {
	before, text, ok := strings.Cut(strings.TrimSpace(line), fmt.Sprintf(" msg=%q ", endlog.CallMessage))
	if !ok {
		return "", loggedStep{}, false
	}
	at, _, _ := strings.Cut(strings.TrimPrefix(before, "time="), " ")
	_, id, ok = strings.Cut(text, " "+endlog.IDKey+"=")
	id, _, _ = strings.Cut(id, " ")
	return id, loggedStep{at: at, text: text}, ok
}
