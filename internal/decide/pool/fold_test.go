package pool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
)

// foldMember returns a member in the state that the text names.
func foldMember(id, address string, status control.ServerStatus, started time.Duration) Member {
	return Member{Address: address, ServerEntry: control.ServerEntry{ID: control.ServerID(id), Status: status, StartedAt: started}}
}

// TestFold guards against a start at which the first of several updates is acted on before the others are known.
func TestFold(t *testing.T) {
	a, b := foldMember("a", "1", control.Active, 0), foldMember("b", "2", control.Active, 0)
	movedB := foldMember("b", "3", control.Active, 5)
	drainingB := foldMember("b", "", control.Draining, 0)
	goneA := foldMember("a", "", control.Removed, 0)
	removed := func(m Member) Member {
		m.Status = control.Removed
		return m
	}
	continuing := removed(b)
	continuing.CallsContinue = true
	whole := Update{Complete: true, Servers: []Member{a, b}}
	for name, test := range map[string]struct {
		updates []Update
		want    Update
	}{
		"one list, unchanged":        {[]Update{whole}, whole},
		"added":                      {[]Update{{Complete: true, Servers: []Member{b}}, {Servers: []Member{a}}}, Update{Complete: true, Servers: []Member{b, a}}},
		"moved":                      {[]Update{whole, {Servers: []Member{movedB}}}, Update{Complete: true, Servers: []Member{a, movedB}}},
		"a change omits the address": {[]Update{whole, {Servers: []Member{drainingB}}}, Update{Complete: true, Servers: []Member{a, foldMember("b", "2", control.Draining, 0)}}},
		"removed":                    {[]Update{whole, {Servers: []Member{goneA}}}, Update{Complete: true, Servers: []Member{removed(a), b}}},
		"removed and listed again":   {[]Update{whole, {Servers: []Member{goneA}}, {Servers: []Member{a}}}, whole},
		"left out by an operator":    {[]Update{whole, {Servers: []Member{continuing}}}, Update{Complete: true, Servers: []Member{a, continuing}}},
		"missing from the next list": {[]Update{whole, {Complete: true, Servers: []Member{b}}}, Update{Complete: true, Servers: []Member{removed(a), b}}},
		"changes without a list":     {[]Update{{Servers: []Member{a}}, {Servers: []Member{b}}}, Update{Servers: []Member{a, b}}},
		"nothing":                    {nil, Update{}},
	} {
		if diff := cmp.Diff(test.want, Fold(test.updates)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
