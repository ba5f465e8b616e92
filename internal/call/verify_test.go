package call

import (
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// TestContinuesAt guards against recovered calls that end as the list tells of the process which they were established at.
func TestContinuesAt(t *testing.T) {
	const id, address = "00000000000000aa", "127.0.0.1:1"
	core := newFixture(t).core
	core.SetDispatchers(&recorder{core: core})
	at := core.now()
	established := event(recovery.KindEstablished, id, at)
	established.ServerStartedUs = (at - time.Hour).Microseconds()
	b := recovery.NewCallTable()
	b.Apply(accepted(id, at))
	b.Apply(event(recovery.KindAttemptSent, id, at))
	b.Apply(established)
	core.Recover(b, nil)
	for name, test := range map[string]struct {
		id, address string
		started     time.Duration
		want        bool
	}{
		"the process of the call":            {id, address, at - time.Hour, true},
		"no start is known":                  {id, address, 0, true},
		"started before the call's answer":   {id, address, at - time.Minute, true},
		"started after the call's answer":    {id, address, at + time.Minute, false},
		"at another address":                 {id, "127.0.0.1:2", at - time.Hour, false},
		"a call that was not recovered here": {"00000000000000bb", address, at - time.Hour, false},
	} {
		entry := Server{ServerEntry: control.ServerEntry{ID: "a", StartedAt: test.started}, Address: test.address}
		if got := core.ContinuesAt(entry, test.id); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}
