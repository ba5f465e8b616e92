package lists

import (
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
)

// TestUpdatesOfTheStartArePublishedAsOne guards against a decision that is taken from a part of what is known at the start.
func TestUpdatesOfTheStartArePublishedAsOne(t *testing.T) {
	member := func(id string) pool.Member {
		return pool.Member{Address: "127.0.0.1:" + id, ServerEntry: control.ServerEntry{ID: control.ServerID(id)}}
	}
	var published []pool.Update
	r := New(slog.New(slog.DiscardHandler), func(u pool.Update) { published = append(published, u) })
	apply := func(complete bool, members ...pool.Member) {
		r.UpdateHandler(pool.FromStart)(pool.Update{Complete: complete, Servers: members})
	}
	r.Defer()
	apply(true, member("1"))
	apply(false, member("2"))
	if len(published) > 0 {
		t.Errorf("published before the end of the start: %+v", published)
	}
	r.Publish()
	apply(false, member("3"))
	want := []pool.Update{{Complete: true, Servers: []pool.Member{member("1"), member("2")}}, {Servers: []pool.Member{member("3")}}}
	if diff := cmp.Diff(want, published); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
