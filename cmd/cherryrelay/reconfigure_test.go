package main

import (
	"slices"
	"testing"

	"cherryrelay/internal/config"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/settings"
)

// TestReconfiguration: set-ups of a class that a new configuration adds used to fail. Now a new configuration applies at once and as a
// whole. Pending calls keep the class of their set-up, and an invalid configuration changes nothing.
func TestReconfiguration(t *testing.T) {
	runScenario(t, slices.Concat([]string{
		"d0: setup 1 x", "caller: release 2 100",
		"d0: setup 1 x", "d0: setup 3 x", "caller: release 3 41", "d1: setup 4 x", "caller: answer 4 y",
		"d1: setup 5 x", "caller: answer 5 y", "caller: release 6 100", "caller: answer 1 y",
		`requests_total{class="send-setup",outcome="served"} 1`, `requests_total{class="send-setup",outcome="refused"} 0`,
		`requests_total{class="send-setup",outcome="failed"} 1`, `requests_total{class="urgent",outcome="served"} 2`,
		`requests_total{class="urgent",outcome="refused"} 0`, `requests_total{class="urgent",outcome="failed"} 1`,
		"attempts_total 5", "in_flight 3", "dispatchers_known 2", "dispatchers_excluded 0", "reloads_ok_total 2", "reloads_failed_total 1",
	}, endMetrics(0)), func(f *fixture) {
		reload := func(change func(s *settings.Settings)) {
			c := &config.Config{Settings: testSettings(t)}
			change(c.Settings)
			f.node.reload(c, nil)
		}
		c := f.newCaller()
		setUp := func(n, first int, class string) {
			m := jsonl.Message{Type: "setup", ID: id(n), SDP: new("x"), Fields: setUpFields(class, 60000)}
			m.Fields["extras"] = jsonl.Value("dest:" + string(rune('0'+first)))
			f.must(c.Send(m))
		}
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		open := f.recordEvent(0)
		setUp(2, 1, "urgent")
		f.recordMessage(c)
		reload(func(s *settings.Settings) {
			s.RequestClasses = append(s.RequestClasses, s.RequestClasses[0])
			s.RequestClasses[0].Semantics, s.RequestClasses[1].Name = "non_idempotent", "urgent"
			s.FamilyInfo.AllowedPools, s.FamilyInfo.ClassWidth = [][]int{{0}, {1}}, []int{1, 1}
		})
		f.must(open.Refuse(peer.NumberBusy)) // the dispatcher may have run it; a call of the old class may be repeated
		open = f.recordEvent(0)
		setUp(3, 0, "send-setup")
		f.must(f.recordEvent(0).Refuse(peer.NumberBusy)) // a call of the new class may not be repeated
		f.recordMessage(c)
		setUp(4, 1, "urgent")
		f.must(f.recordEvent(1).Answer("y"))
		f.recordMessage(c)
		reload(func(s *settings.Settings) { s.RequestClasses[0].DeadlineUs = -5 })
		setUp(5, 1, "urgent")
		f.must(f.recordEvent(1).Answer("y"))
		f.recordMessage(c)
		reload(func(*settings.Settings) {})
		setUp(6, 1, "urgent")
		f.recordMessage(c)
		f.must(open.Answer("y"))
		f.recordMessage(c)
		f.recordMetrics()
	})
}
