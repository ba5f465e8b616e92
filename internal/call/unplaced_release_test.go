package call

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
)

// releaseRecorder records the dispatchers at which calls are released.
type releaseRecorder struct {
	stubDispatchers
	releases []string
}

func (r *releaseRecorder) Release(server control.ServerID, id string, cause int) {
	r.releases = append(r.releases, fmt.Sprintf("%s at %q, %d", id, server, cause))
}

// TestUnplacedReleases guards against a call that its caller has ended and that stands for good at a dispatcher which the list names only
// later, and against releases that end another attempt or are kept for good.
func TestUnplacedReleases(t *testing.T) {
	const id = "00000000000000aa"
	const everywhere, atB = id + ` at "", 31`, id + ` at "b", 31`
	b := Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: "b"}, Address: "127.0.0.1:2"}}}
	movedB := Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: "b"}, Address: "127.0.0.1:3"}}}
	goneB := Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: "b", Status: control.Removed}}}}
	for name, test := range map[string]struct {
		then func(core *Core)
		want []string
	}{
		"listed later":            {func(core *Core) { core.Update(b) }, []string{everywhere, atB}},
		"listed and named again":  {func(core *Core) { core.Update(b); core.Update(b) }, []string{everywhere, atB}},
		"listed and moved":        {func(core *Core) { core.Update(b); core.Update(movedB) }, []string{everywhere, atB, atB}},
		"removed":                 {func(core *Core) { core.Update(goneB) }, []string{everywhere}},
		"listed once it is known": {func(core *Core) { core.ListConfirmed(core.now()); core.Update(b) }, []string{everywhere}},
		"confirmed of before":     {func(core *Core) { core.ListConfirmed(core.now() - time.Minute); core.Update(b) }, []string{everywhere, atB}},
		"listed after a long time": {func(core *Core) {
			core.unplacedReleases[0].at -= 2 * unplacedReleasePeriod
			core.Update(b)
		}, []string{everywhere}},
		"attempted since": {func(core *Core) {
			core.calls[id] = &record{Request: Request{ID: id}, attempts: 1}
			core.Update(b)
		}, []string{everywhere}},
		"established since": {func(core *Core) {
			core.calls[id] = &record{Request: Request{ID: id}, state: established}
			core.Update(b)
		}, []string{everywhere}},
	} {
		core := newFixture(t).core
		r := &releaseRecorder{}
		core.SetDispatchers(r)
		core.AwaitListConfirmation()
		core.Update(Update{Complete: true, Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}}})
		core.releaseEverywhere(id, 31)
		test.then(core)
		if diff := cmp.Diff(test.want, r.releases); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestUnplacedReleasesAreBounded guards against memory that grows with the releases of unknown calls.
func TestUnplacedReleasesAreBounded(t *testing.T) {
	core := newFixture(t).core
	core.SetDispatchers(&releaseRecorder{})
	core.AwaitListConfirmation()
	for n := range 2 * maxUnplacedReleases {
		core.releaseEverywhere(fmt.Sprintf("%016x", n), 31)
	}
	if n := len(core.unplacedReleases); n != maxUnplacedReleases {
		t.Errorf("%d releases are kept, want %d", n, maxUnplacedReleases)
	}
	core.ListConfirmed(core.now())
	if n := len(core.unplacedReleases); n != 0 {
		t.Errorf("%d releases are kept for a list that is confirmed", n)
	}
}
