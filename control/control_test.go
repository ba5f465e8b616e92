package control

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns the settings of a small deployment.
func settings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "low", Aim: time.Second, Deadline: 8 * time.Second, Worth: 1, LateShare: 0.2},
			{Name: "high", Aim: time.Second, Deadline: 8 * time.Second, Worth: 4, LateShare: 0.2},
		},
		Nodes:              4,
		OwnCell:            -1,
		Tick:               5 * ms,
		ReleaseGuard:       300 * ms,
		AnswerGrace:        20 * ms,
		ColdCapacity:       0.3,
		WarmUpTime:         12 * time.Second,
		ColdOverloadFactor: 2,
		MaxAttempts:        4,
		MayHoldOff:         true,
		MaxHoldOff:         2 * time.Second,
		MayCancel:          true,
		ReportFields:       []ReportField{FreeLines, Lines},
	}
}

// node drives a Controller as one access node, on a clock that the test advances.
type node struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

func newNode(t *testing.T, s Settings) *node {
	t.Helper()
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &node{t: t, c: c, now: time.Hour}
}

// step advances the clock by d, delivers the events and returns the actions.
func (n *node) step(d time.Duration, events ...Event) []Action {
	n.now += d
	return n.c.Step(n.now, events)
}

// stepFor advances the clock by d in the given steps and returns all actions.
func (n *node) stepFor(d, step time.Duration) []Action {
	var all []Action
	for end := n.now + d; n.now < end; {
		all = append(all, n.step(step)...)
	}
	return all
}

// newList returns a complete list of servers with the given status, each in a cell of its own.
func newList(status ServerStatus, ids ...ServerID) ListReceived {
	l := ListReceived{Whole: true}
	for i, id := range ids {
		l.Entries = append(l.Entries, ServerEntry{ID: id, Cell: i, Zone: "z", Status: status})
	}
	return l
}

// newOffer returns the offer of a call with the given class and cell of first choice.
func newOffer(id CallID, class, cell int) CallOffered {
	return CallOffered{ID: id, Class: class, Budget: 3 * time.Second, FirstCell: cell}
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var matching []T
	for _, a := range actions {
		if v, ok := a.(T); ok {
			matching = append(matching, v)
		}
	}
	return matching
}

func TestResize(t *testing.T) {
	tests := []struct {
		name                                      string
		previous, meanStarts, occupancy, overhead float64
		want                                      float64
	}{
		{"at the target occupancy", 20, 20, maxOccupancy, 0, 20},
		{"within the limits", 20, 20, maxOccupancy * 20 / 18, 0, 18},
		{"largest decrease", 20, 20, tooHighOccupancy - 0.01, 0, 20 * (1 - maxDecrease)},
		{"largest increase", 20, 20, 0.1, 0, 20 * (1 + maxIncrease)},
		{"too high: limit of the decrease and extra decrement", 20, 20, 9, 0, 20 * (1 - maxDecrease) * (1 - extraDecrement)},
		{"overhead is subtracted from both occupancies", 20, 20, 0.9, 0.2, 20 * (maxOccupancy - 0.2) / 0.7},
		{"increase by one where the limit is less", 1, 1, 0.4, 0, 2},
		{"no increase by one for less than a call", 1, 1, 0.6, 0, 1.5},
		{"no increase by one of a window of less than a call", 0.5, 0.5, 0.1, 0, 0.75},
		{"a fraction of a call is kept", 0.5, 0.5, 9, 0, 0.5 * (1 - maxDecrease) * (1 - extraDecrement)},
		{"occupancy at the overhead", 20, 18, 0.2, 0.2, 18},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := resize(tt.previous, tt.meanStarts, tt.occupancy, tt.overhead)
			if math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("resize(%v, %v, %v, %v) = %v, want %v", tt.previous, tt.meanStarts, tt.occupancy, tt.overhead, got, tt.want)
			}
		})
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*Settings)
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"no aim", func(s *Settings) { s.Classes[0].Aim = 0 }},
		{"deadline before the aim", func(s *Settings) { s.Classes[0].Deadline = ms }},
		{"late share", func(s *Settings) { s.Classes[0].LateShare = 2 }},
		{"tick", func(s *Settings) { s.Tick = 0 }},
		{"release guard", func(s *Settings) { s.ReleaseGuard = -1 }},
		{"cold capacity", func(s *Settings) { s.ColdCapacity = 2 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.modify(&s)
			if _, err := New(s, 1); err == nil {
				t.Error("New accepted invalid settings")
			}
		})
	}
}

func TestFirstChoice(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a", "b", "c"))
	sent := actionsOf[SetUp](n.step(ms, newOffer("1", 0, 1)))
	if len(sent) != 1 || sent[0].Server != "b" {
		t.Fatalf("sent %v, want one set-up to b", sent)
	}
}

func TestBackOffAfterFull(t *testing.T) {
	for _, noLine := range []bool{false, true} {
		n := newNode(t, settings())
		n.step(0, newList(Active, "a"))
		n.step(ms, newOffer("1", 0, 0))
		full := AttemptEnded{ID: "1", Server: "a", Outcome: Full, NoLine: noLine}
		early := n.step(ms, full, newOffer("2", 0, 0))
		early = append(early, n.stepFor(240*ms, 5*ms)...)
		if sent := actionsOf[SetUp](early); len(sent) != 0 {
			t.Errorf("noLine %v: sent %v during the back-off", noLine, sent)
		}
		if sent := actionsOf[SetUp](n.stepFor(3*time.Second, 5*ms)); len(sent) == 0 {
			t.Errorf("noLine %v: nothing was sent after the back-off", noLine)
		}
	}
}

func TestEveryCallIsAnsweredOnce(t *testing.T) {
	tests := []struct {
		name string
		list []Event
	}{
		{"no server known", nil},
		{"empty list", []Event{ListReceived{Whole: true}}},
		{"all servers removed", []Event{newList(Active, "a"), ListReceived{Whole: true}}},
		{"all servers draining", []Event{newList(Draining, "a", "b")}},
		{"unresponsive server", []Event{newList(Active, "a")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, settings())
			n.step(0, tt.list...)
			all := n.step(ms, newOffer("1", 0, 0), newOffer("2", 1, 0))
			start := n.now
			answered := map[CallID]int{}
			attempts := map[CallID]int{}
			for step := 0; n.now < start+3*time.Second+n.c.settings.AnswerGrace; step++ {
				var events []Event
				for _, a := range all {
					switch a := a.(type) {
					case SetUp:
						if answered[a.ID] > 0 {
							t.Fatalf("sent %q after its final answer", a.ID)
						}
						attempts[a.ID]++
					case Refuse:
						answered[a.ID]++
					case Fail:
						answered[a.ID]++
					case Cancel:
						events = append(events, AttemptEnded{ID: a.ID, Server: "a", Attempt: a.Attempt, Outcome: Cancelled})
					}
				}
				if n.now == start+3*time.Second {
					for _, id := range []CallID{"1", "2"} {
						if attempts[id] > 0 {
							events = append(events, AttemptEnded{ID: id, Server: "a", Attempt: attempts[id] - 1, Outcome: TimedOut})
						}
					}
				}
				all = n.step(5*ms, events...)
			}
			for _, id := range []CallID{"1", "2"} {
				if answered[id] != 1 {
					t.Errorf("call %q has %d final answers, want 1", id, answered[id])
				}
			}
		})
	}
}

func TestCancelledCallFreesItsAttempt(t *testing.T) {
	// An attempt of a cancelled call must not block the trial calls of the server.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	n.step(ms, newOffer("1", 0, 0))
	n.stepFor(900*ms, 5*ms)
	n.step(ms, CallerLeft{ID: "1"})
	n.stepFor(n.c.byID["a"].backOffUntil-n.now+ms, 5*ms)
	if sent := actionsOf[SetUp](n.step(ms, newOffer("2", 0, 0))); len(sent) != 1 {
		t.Fatalf("sent %v, want the trial call", sent)
	}
}

func TestDrainAppliesInTheSameStep(t *testing.T) {
	for _, status := range []ServerStatus{Draining, Removed} {
		n := newNode(t, settings())
		n.step(0, newList(Active, "a", "b"))
		change := ListReceived{Entries: []ServerEntry{{ID: "a", Status: status}}}
		for _, s := range actionsOf[SetUp](n.step(ms, newOffer("1", 0, 0), change, newOffer("2", 0, 0))) {
			if s.Server == "a" {
				t.Errorf("status %v: set-up to a server that is not active", status)
			}
		}
	}
}

func TestReleaseGuardDelaysTheNextAttempt(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Reset, Cancelled} {
		n := newNode(t, settings())
		n.step(0, newList(Active, "a", "b"))
		n.step(ms, newOffer("1", 0, 0))
		n.step(ms, AttemptEnded{ID: "1", Server: "a", Outcome: outcome})
		endedAt := n.now
		for n.now < endedAt+295*ms {
			if sent := actionsOf[SetUp](n.step(5 * ms)); len(sent) > 0 {
				t.Fatalf("outcome %v: sent again after %v", outcome, n.now-endedAt)
			}
		}
		if sent := actionsOf[SetUp](n.stepFor(100*ms, 5*ms)); len(sent) != 1 {
			t.Errorf("outcome %v: %d attempts after the guard, want 1", outcome, len(sent))
		}
	}
}

func TestNonIdempotentCallsAreNotRepeated(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency = NonIdempotent
	n := newNode(t, s)
	n.step(0, newList(Active, "a", "b"))
	n.step(ms, newOffer("1", 0, 0))
	all := n.step(ms, AttemptEnded{ID: "1", Server: "a", Outcome: Reset})
	all = append(all, n.stepFor(time.Second, 5*ms)...)
	if sent, refused := actionsOf[SetUp](all), actionsOf[Refuse](all); len(sent)+len(refused) > 0 {
		t.Errorf("a non-idempotent call that may have run was sent %v or refused %v", sent, refused)
	}
	if failed := actionsOf[Fail](all); len(failed) != 1 {
		t.Errorf("%d Fail actions, want 1", len(failed))
	}
}

func TestColdServerIsNotOverloaded(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	cold := ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1, Status: Active, StartedAt: n.now}}}
	n.step(0, cold)
	sent := 0
	for i := 0; i < 400; i++ { // 4 s at 100 calls per second, with the cold server as first choice
		for _, s := range actionsOf[SetUp](n.step(10*ms, newOffer(CallID(fmt.Sprint(i)), 0, 1))) {
			if s.Server == "b" {
				sent++
			}
		}
	}
	if sent > 4 {
		t.Errorf("%d set-ups in 4 s to a cold server of unknown rate, want at most 4", sent)
	}
}

func TestColdServerStartsAtItsShareOfTheWarmRate(t *testing.T) {
	// Without this rate, a large server that restarted got one call per second from each node, and was not of use
	// for 25 s.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"), ReportReceived{Server: "a", OK: true, Report: []float64{-1, 100}})
	setWarmRate(n.c.byID["a"], 20)
	n.step(0, ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1, StartedAt: n.now}}})
	n.step(0, ReportReceived{Server: "b", OK: true, Report: []float64{-1, 50}})
	sent, start := 0, n.now
	for i := 0; n.now < start+time.Second; i++ {
		events := []Event{newOffer(CallID(fmt.Sprint(i)), 0, 1)}
		for _, k := range n.c.byID["b"].inProgress {
			events = append(events, CallStands{ID: k.id, Server: "b", Elapsed: 10 * ms})
		}
		for _, s := range actionsOf[SetUp](n.step(10*ms, events...)) {
			if s.Server == "b" {
				sent++
			}
		}
	}
	// b has half the size of a, so its share is a third of all calls, and 0.3 of that at the start. The rest goes to a.
	if sent < 2 || sent > 4 {
		t.Errorf("%d set-ups in the first second, want 2 to 4", sent)
	}
}

func TestOccupancy(t *testing.T) {
	target := targetWaitShare * float64(time.Second) // the aim in settings is one second
	tests := []struct {
		name   string
		fields []ReportField
		report []float64
		modify func(*server)
		want   float64
	}{
		{"nothing known", nil, nil, nil, 0},
		{"own delays", nil, nil, func(s *server) { s.excessDelay = time.Duration(target / 2) }, 0.5},
		{"reported utilisation", []ReportField{Utilisation}, []float64{0.7}, nil, 0.7},
		{"reported wait", []ReportField{QueueWait}, []float64{target / 1e6}, nil, 1},
		{"utilisation takes precedence over wait", []ReportField{QueueWait, Utilisation}, []float64{target / 1e6, 0.7}, nil, 0.7},
		{"missing values", []ReportField{QueueWait, Utilisation}, []float64{-1, -1}, nil, 0},
		{"full processor", nil, nil, func(s *server) { s.wasFull = true }, tooHighOccupancy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.ReportFields = tt.fields
			n := newNode(t, s)
			n.step(0, newList(Active, "a"), ReportReceived{Server: "a", OK: true, Report: tt.report})
			server := n.c.byID["a"]
			if tt.modify != nil {
				tt.modify(server)
			}
			if got := n.c.occupancy(server); got < tt.want-1e-6 || got > tt.want+1e-6 {
				t.Errorf("occupancy %v, want %v", got, tt.want)
			}
		})
	}
}

func TestListOnDemand(t *testing.T) {
	s := settings()
	s.ListOnDemand = true
	n := newNode(t, s)
	if requests := actionsOf[Subscribe](n.step(0, newList(Active, "a"))); len(requests) != 1 {
		t.Fatalf("%d requests for the list at the start, want 1", len(requests))
	}
	if requests := actionsOf[Subscribe](append(n.step(ms, ListReceived{Failed: true}), n.stepFor(2*time.Second, 5*ms)...)); len(requests) != 1 {
		t.Errorf("%d requests for the list after a failure, want 1", len(requests))
	}
}

func TestIdempotentByKeyCallsStayInTheirDedupScope(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = IdempotentByKey, DedupCell, 5*time.Second
	n := newNode(t, s)
	n.step(0, newList(Active, "a", "b"))
	n.step(ms, newOffer("1", 0, 0))
	all := n.step(ms, AttemptEnded{ID: "1", Server: "a", Outcome: Reset},
		ListReceived{Entries: []ServerEntry{{ID: "a", Status: Draining}}})
	all = append(all, n.stepFor(time.Second, 5*ms)...)
	if sent := actionsOf[SetUp](all); len(sent) != 0 {
		t.Errorf("sent %v outside the cell that discards repeats", sent)
	}
	if failed, refused := actionsOf[Fail](all), actionsOf[Refuse](all); len(failed) != 1 || len(refused) != 0 {
		t.Errorf("%d failures and %d refusals, want one failure", len(failed), len(refused))
	}
}

func TestTransitGoesOnlyToItsDestination(t *testing.T) {
	s := settings()
	s.Layout, s.OwnCell = Network, 2
	n := newNode(t, s)
	n.step(0, newList(Active, "a", "b", "c"))
	transit := newOffer("1", 0, 1)
	transit.Transit = true
	if sent := actionsOf[SetUp](n.step(ms, transit)); len(sent) != 1 || sent[0].Server != "b" {
		t.Errorf("transit call: sent %v, want one set-up to b", sent)
	}
	for i := 0; i < 50; i++ {
		for _, a := range actionsOf[SetUp](n.step(ms, newOffer(CallID(fmt.Sprint("x", i)), 0, 2))) {
			if a.Server == "c" {
				t.Fatal("set-up to the own exchange")
			}
		}
	}
}

func TestReplacementGetsTheRateOfItsCell(t *testing.T) {
	// A new server is listed before it reports its lines, and must not be treated as a small one.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a", "b"))
	setWarmRate(n.c.byID["a"], 40)
	setWarmRate(n.c.byID["b"], 4)
	n.step(0, ListReceived{Entries: []ServerEntry{{ID: "new", Cell: 0, StartedAt: n.now}}})
	if got := n.c.warmRate(n.c.byID["new"]); got != 40 {
		t.Errorf("warm rate %v, want that of the server in the same cell, 40", got)
	}
	// The replaced server may have been nobody's first choice. With its low rate, the new one was of no use under high load.
	n.step(0, ListReceived{Entries: []ServerEntry{{ID: "second", Cell: 1, StartedAt: n.now}, {ID: "b", Cell: 1, Status: Draining}}})
	if got := n.c.warmRate(n.c.byID["second"]); got != 44.0/3 {
		t.Errorf("warm rate %v, want a third of 44 next to a and new, as b drains", got)
	}
	n.c.byID["a"].lines = 300 // the lines of "second" are not reported yet
	if got := n.c.warmRate(n.c.byID["second"]); got != 44.0/3 {
		t.Errorf("warm rate %v next to a server with many lines, want a third of 44", got)
	}
	n.c.byID["a"].lines = 1
	n.step(0, ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1}}})
	n.step(0, ListReceived{Entries: []ServerEntry{{ID: "other", Cell: 7, StartedAt: n.now}}})
	if got := n.c.warmRate(n.c.byID["other"]); got != 44.0/5 {
		t.Errorf("warm rate %v of a server of unknown size, want a fifth of 44", got)
	}
}

// TestColdRatesOfSeveralServersSumToTheirShare replaces six of ten servers at once. When the rate of each new server was computed
// as if it were the only new one, the rates added up to twice the load, and 300 nodes overloaded a server with 2.7 times its capacity.
func TestColdRatesOfSeveralServersSumToTheirShare(t *testing.T) {
	n := newNode(t, settings())
	var servers, replacements []ServerEntry
	for i := range 10 {
		servers = append(servers, ServerEntry{ID: ServerID(fmt.Sprint("old", i)), Cell: i})
	}
	n.step(0, ListReceived{Entries: servers, Whole: true})
	for _, s := range n.c.servers {
		s.lines = 50
		setWarmRate(s, 10)
	}
	for i := range 6 {
		servers[i].Status = Draining
		replacements = append(replacements, ServerEntry{ID: ServerID(fmt.Sprint("new", i)), Cell: 20 + i, StartedAt: n.now})
	}
	for linesReported := range 2 { // before they have reported their lines (0) and after (1)
		n.step(0, ListReceived{Entries: append(slices.Clone(servers), replacements...)})
		sum := 0.0
		for _, e := range replacements {
			s := n.c.byID[e.ID]
			if linesReported == 1 {
				s.lines = 50
			}
		}
		for _, e := range replacements {
			sum += n.c.warmRate(n.c.byID[e.ID])
		}
		if sum < 59 || sum > 61 {
			t.Errorf("lines reported %d: six new servers next to four get %.1f of 100 per second together, want 60", linesReported, sum)
		}
	}
}

func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	n.step(time.Second, ListReceived{Entries: []ServerEntry{{ID: "a", StartedAt: n.now}}})
	if s := n.c.byID["a"]; !s.cold || s.unlimited {
		t.Errorf("after a restart: cold %v, unlimited %v, want cold with a window", s.cold, s.unlimited)
	}
}

func TestLostSetUpDoesNotCountAsQueue(t *testing.T) {
	// One unresponsive connection of four reduced a server that answered at once on the others to a tenth of its calls.
	n := newNode(t, settings())
	n.step(time.Second, newList(Active, "a"))
	answer := func(id string) {
		n.step(10*ms, newOffer(CallID(id), 0, 0))
		n.step(30*ms, CallStands{ID: CallID(id), Server: "a", Elapsed: 30 * ms})
	}
	answer("first")
	n.step(10*ms, newOffer("lost", 0, 0), newOffer("late", 0, 0))
	for i := range 40 {
		answer(fmt.Sprint(i))
	}
	s := n.c.byID["a"]
	n.step(0, CallStands{ID: "late", Server: "a", Elapsed: 1610 * ms})
	if occupancy := n.c.occupancy(s); s.suspect || occupancy > 0.1 {
		t.Errorf("suspect %v, occupancy %.2f while all later calls are answered at once", s.suspect, occupancy)
	}
	n.step(ms, AttemptEnded{ID: "lost", Server: "a", Outcome: TimedOut, Elapsed: 1611 * ms})
	if s.suspect {
		t.Error("the server is suspect because of a lost set-up")
	}
	n.step(time.Second, newOffer("queued", 0, 0))
	n.stepFor(time.Second, 50*ms)
	if !s.suspect {
		t.Error("the server is not suspect although it answers nothing")
	}
}

func TestRemovedServersAreDeleted(t *testing.T) {
	// Servers are replaced by others with new ids all the time. When removed ones were never deleted, they still
	// counted in the division of the arrivals.
	n := newNode(t, settings())
	for i := range 200 {
		n.step(time.Second, newList(Active, "a", ServerID(fmt.Sprint("s", i))), newOffer(CallID(fmt.Sprint(i)), 0, 0))
		n.stepFor(2*time.Second, 500*ms)
		n.step(0, CallerLeft{ID: CallID(fmt.Sprint(i))})
	}
	if kept := len(n.c.servers); kept > 12 || len(n.c.byID) != kept {
		t.Errorf("%d servers are kept, %d by id, want at most 12 with 2 in the list", kept, len(n.c.byID))
	}
}

func TestAttemptLimit(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a", "b", "c", "d"))
	attempts, refused := 0, 0
	events := []Event{newOffer("1", 0, 0)}
	for i := 0; i < 500; i++ {
		all := n.step(5*ms, events...)
		events = nil
		refused += len(actionsOf[Refuse](all))
		for _, s := range actionsOf[SetUp](all) {
			events = append(events, AttemptEnded{ID: "1", Server: s.Server, Attempt: attempts, Outcome: Full})
			attempts++
		}
	}
	if attempts != settings().MaxAttempts || refused != 1 {
		t.Errorf("%d attempts and %d refusals, want %d and 1", attempts, refused, settings().MaxAttempts)
	}
}

// TestUpdateSettings checks that calls keep their class and get the lower limit on attempts, and that invalid settings change
// nothing.
func TestUpdateSettings(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a", "b"))
	n.step(ms, newOffer("1", 0, 0), newOffer("2", 0, 0))
	other := settings()
	other.Classes = []Class{{Name: "only", Aim: time.Second, Deadline: 8 * time.Second, Worth: 1, Idempotency: NonIdempotent, Cells: []int{1}}}
	other.MaxAttempts = 1
	bad := other
	bad.Classes = []Class{{Name: "only", Aim: time.Second}}
	if err := n.c.UpdateSettings(bad); err == nil {
		t.Fatal("settings with a class without a deadline were accepted")
	}
	all := n.step(ms, newOffer("3", 1, 0), AttemptEnded{ID: "1", Server: "a", Outcome: Failed})
	if sent := actionsOf[SetUp](all); len(sent) != 2 {
		t.Errorf("under the old settings %v were sent, want a second attempt of 1, and 3", sent)
	}
	if err := n.c.UpdateSettings(other); err != nil {
		t.Fatal(err)
	}
	all = n.step(ms, newOffer("4", 0, 0), AttemptEnded{ID: "2", Server: "a", Outcome: Failed})
	sent, refused := actionsOf[SetUp](all), actionsOf[Refuse](all)
	if len(sent) != 1 || sent[0].ID != "4" || sent[0].Server != "b" {
		t.Errorf("under the new settings %v were sent, want 4 to b", sent)
	}
	if len(refused) != 1 || refused[0].ID != "2" {
		t.Errorf("%v were refused, want 2: it has no attempts left, and its class permits repetition", refused)
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	all := n.step(ms,
		CallStands{ID: "x", Server: "y"},
		AttemptEnded{ID: "x", Server: "y", Outcome: Full},
		CallerLeft{ID: "x"},
		ReportReceived{Server: "y", OK: true, Report: []float64{1, 2, 3}},
		CallOffered{ID: "z", Class: 9},
		Woken{},
	)
	if len(all) != 0 {
		t.Errorf("actions %v for unknown ids, want none", all)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		n := newNode(t, settings())
		other := newNode(t, settings())
		all := n.step(0, newList(Active, "a", "b", "c"))
		for i := 0; i < 200; i++ {
			other.step(3*ms, newOffer(CallID(fmt.Sprint("o", i)), 1, i%3))
			all = append(all, n.step(10*ms, newOffer(CallID(fmt.Sprint(i)), i%2, i%3))...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to different actions")
	}
}

// setWarmRate sets the state of a server to the given rate of prompt answers per second.
func setWarmRate(s *server, perSecond float64) {
	s.observedTime = 4 * time.Second
	s.promptAnswers = perSecond * s.observedTime.Seconds()
}

func TestTrialCallsHaveGrowingIntervals(t *testing.T) {
	// With one trial call of each node at a time, each repeated while it waited, small servers stayed overloaded
	// for a whole day. The interval must grow while trial calls fail.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	var trials []time.Duration
	attempts := map[CallID]int{}
	timeoutAt := map[CallID]time.Duration{}
	for i := 0; i < 2000; i++ {
		var events []Event
		for k := 0; k < i; k += 10 { // in order of the calls
			id := CallID(fmt.Sprint(k))
			if at, ok := timeoutAt[id]; ok && n.now >= at {
				delete(timeoutAt, id)
				events = append(events, AttemptEnded{ID: id, Server: "a", Attempt: attempts[id] - 1,
					Outcome: TimedOut, Elapsed: time.Second, CallOver: true})
			}
		}
		if i%10 == 0 {
			events = append(events, newOffer(CallID(fmt.Sprint(i)), 0, 0))
		}
		for _, s := range actionsOf[SetUp](n.step(10*ms, events...)) {
			attempts[s.ID]++
			timeoutAt[s.ID] = n.now + time.Second
			if s.Limit > 0 {
				trials = append(trials, n.now)
			}
		}
	}
	if len(trials) < 3 {
		t.Fatalf("%d trial calls in 20 s, want some", len(trials))
	}
	// The back-off doubles with each failed trial call, up to maxBackOffFactor times the first.
	longest := maxBackOffFactor * fullBackOff
	first, last := trials[1]-trials[0], trials[len(trials)-1]-trials[len(trials)-2]
	if last < first || last < longest {
		t.Errorf("first interval %v, last %v, want %v or more for the last", first, last, longest)
	}
}

func TestLateAnswersDoNotExtendTheBackOff(t *testing.T) {
	// After a burst, each late answer to a call sent before the server became suspect doubled the back-off.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	var late []Event
	for i := 0; i < 8; i++ {
		id := CallID(fmt.Sprint(i))
		n.step(ms, newOffer(id, 0, 0))
		late = append(late, CallStands{ID: id, Server: "a", Elapsed: 600 * ms})
	}
	n.stepFor(600*ms, 5*ms)
	n.step(ms, late...)
	if sent := actionsOf[SetUp](append(n.step(ms, newOffer("x", 0, 0)), n.stepFor(600*ms, 5*ms)...)); len(sent) == 0 {
		t.Error("no trial call after the first back-off")
	}
}

func TestRedialsAreRecognisedByNumber(t *testing.T) {
	// Under overload, half of the calls are redials without a mark. New calls have priority over them.
	for _, marked := range []bool{false, true} {
		n := newNode(t, settings())
		n.step(0, newList(Draining, "a"))
		unserved := newOffer("old", 0, 0)
		unserved.Called = "tel-1"
		n.step(ms, unserved) // refused: no server
		n.step(3*time.Second, newList(Active, "a"))
		n.c.offeredCalls = 100 // a busy node
		n.step(ms, AttemptEnded{ID: "none", Server: "a", Outcome: Full})
		redial, fresh := newOffer("again", 0, 0), newOffer("fresh", 0, 0)
		redial.Called, fresh.Called = "tel-1", "tel-2"
		redial.Redial = marked
		all := append(n.step(ms, fresh, redial), n.stepFor(time.Second, 5*ms)...)
		if sent := actionsOf[SetUp](all); len(sent) == 0 || sent[0].ID != "fresh" {
			t.Errorf("marked %v: sent %v, want the new call first", marked, sent)
		}
	}
}

func TestFreeLinesAreShared(t *testing.T) {
	// First-choice calls may use every reported free line. Overflow may use only this node's share of them.
	for cell, want := range map[int][2]int{0: {8, 8}, 1: {2, 3}} {
		n := newNode(t, settings())
		n.step(0, ListReceived{Whole: true, Entries: []ServerEntry{{ID: "a"}, {ID: "b", Cell: 1, Status: Active}}})
		n.c.byID["b"].freeLines = 0
		n.step(ms, ReportReceived{Server: "a", OK: true, Report: []float64{8, 100}})
		sent := 0
		for i := range 20 {
			call := newOffer(CallID(fmt.Sprint(i)), 0, 0)
			call.FirstCell = cell
			sent += len(actionsOf[SetUp](n.step(ms, call)))
		}
		if sent < want[0] || sent > want[1] {
			t.Errorf("first choice %d: one of 4 nodes used %d of 8 free lines, want %v", cell, sent, want)
		}
		n.step(ms, ReportReceived{Server: "a", OK: true, Report: []float64{0, 100}})
		if sent := actionsOf[SetUp](n.stepFor(500*ms, 5*ms)); len(sent) > 1 {
			t.Errorf("sent %v to a server without a free line", sent)
		}
	}
}

func TestWindowHoldsAndSpreadsCalls(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	s := n.c.byID["a"]
	s.window, s.unlimited, s.periodStart, s.credit = 4, false, n.now, 1
	sent := 0
	for i := 0; i < 20; i++ {
		sent += len(actionsOf[SetUp](n.step(ms, newOffer(CallID(fmt.Sprint(i)), 0, 0))))
	}
	if sent != 1 {
		t.Errorf("%d starts at the start of the period, want 1", sent)
	}
	for end := n.now + controlPeriod - 20*ms; n.now < end; {
		events := []Event{}
		for _, k := range s.inProgress { // answer at once, so that the server does not become suspect
			events = append(events, CallStands{ID: k.id, Server: "a", Elapsed: 10 * ms})
		}
		sent += len(actionsOf[SetUp](n.step(10*ms, append(events, newOffer(CallID(fmt.Sprint(n.now)), 0, 0))...)))
	}
	if sent != 4 && sent != 5 {
		t.Errorf("%d starts in a period with a window of 4, want 4 or 5", sent)
	}
}

func TestWindowOfLessThanACall(t *testing.T) {
	// With a minimum of one call per second and node, two hundred nodes sent a small server ten times its load.
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	s := n.c.byID["a"]
	s.window, s.unlimited = controlPeriod.Seconds()/8, false
	sent := 0
	for i := 0; i < 8000; i++ {
		events := []Event{newOffer(CallID(fmt.Sprint(i)), 0, 0)}
		for _, k := range s.inProgress {
			events = append(events, CallStands{ID: k.id, Server: "a", Elapsed: 230 * ms})
		}
		sent += len(actionsOf[SetUp](n.step(10*ms, events...)))
		s.window = controlPeriod.Seconds() / 8
	}
	if sent != 9 && sent != 10 {
		t.Errorf("%d starts in 80 s at an eighth of a call per second, want 9 or 10", sent)
	}
}

// firstBackOff returns the first back-off of a suspect server under the settings of the node.
func firstBackOff(n *node) time.Duration {
	return time.Duration(suspectBackOffShare * float64(n.c.tightestAim))
}

// TestOneBurstCausesOneBackOff guards against a back-off that doubles with the end of each of several attempts in progress. Sixteen
// refusals for lack of a line within 50 ms caused a back-off of 11 s for the largest server, while it reported waits of 1 ms and
// 170 free lines.
func TestOneBurstCausesOneBackOff(t *testing.T) {
	for _, noLine := range []bool{true, false} {
		n := newNode(t, settings())
		n.step(0, newList(Active, "a"))
		s := n.c.byID["a"]
		var ids []CallID
		for i := range 16 {
			ids = append(ids, CallID(fmt.Sprint(i)))
			n.step(ms, newOffer(ids[i], 0, 0))
		}
		if len(s.inProgress) != len(ids) {
			t.Fatalf("%d attempts in progress, want %d", len(s.inProgress), len(ids))
		}
		firstSentAt := s.inProgress[0].sentAt
		for _, id := range ids {
			sent := n.c.calls[id].sentAt
			n.step(ms, AttemptEnded{ID: id, Server: "a", Outcome: Full, NoLine: noLine, Elapsed: n.now + ms - sent})
		}
		if backOff := s.backOffUntil - n.now; backOff > fullBackOff*2 {
			t.Errorf("noLine %v: after %d attempts that ended within %v, back-off of %v", noLine, len(ids), n.now-firstSentAt, backOff)
		}
		n.c.startBackOff(s, fullBackOff, n.now) // a set-up that was sent after its start doubles it
		if s.backOff < 2*fullBackOff {
			t.Errorf("noLine %v: the next back-off is %v, want it doubled", noLine, s.backOff)
		}
	}
}

// TestCreditIsLimitedToTheTargetWait guards against a burst after a back-off. With the credit of a whole control period, the held
// calls were sent at once, caused a queue of a third of the aim, and so the next back-off.
func TestCreditIsLimitedToTheTargetWait(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, newList(Active, "a"))
	s := n.c.byID["a"]
	rate := 100.0 // starts per second
	s.unlimited, s.window = false, rate*controlPeriod.Seconds()
	s.backOffUntil = n.now + 2*controlPeriod
	for i := range 200 {
		n.step(ms, newOffer(CallID(fmt.Sprint(i)), 0, 0))
	}
	n.step(2 * controlPeriod)
	want := int(rate * targetWaitShare * n.c.tightestAim.Seconds())
	if got := len(s.inProgress); got > want+1 || got < want-1 {
		t.Errorf("%d starts at once after a back-off, want the %d that cause the target wait", got, want)
	}
	s.window = 0.1
	if n.c.advanceWindow(s); s.credit > 1 {
		t.Errorf("credit of %.2f starts with a window of less than a call, want at most 1", s.credit)
	}
}

// TestBackOffDoesNotGrowWithNodes guards against a back-off that is counted in a node's own calls. With many nodes, it lasted for
// tens of seconds after the overload had ended.
func TestBackOffDoesNotGrowWithNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 300} {
		cfg := settings()
		cfg.Nodes = nodes
		n := newNode(t, cfg)
		n.step(0, newList(Active, "a"))
		n.step(10*time.Second, newOffer("1", 0, 0))
		s := n.c.byID["a"]
		first := firstBackOff(n)
		for _, minBackOff := range []time.Duration{first, 2 * first, 4 * first} {
			n.c.markSuspect(s, n.now)
			if backOff := s.backOffUntil - n.now; backOff < minBackOff || backOff > minBackOff*3/2 {
				t.Errorf("%d nodes: back-off %v, want from %v to 1.5 times that", nodes, backOff, minBackOff)
			}
		}
	}
}

// newRateNode returns one of twenty nodes, whose servers report free lines, lines, waits and rates.
func newRateNode(t *testing.T, servers ...string) *node {
	t.Helper()
	s := settings()
	s.Nodes, s.ReportFields = 20, []ReportField{FreeLines, Lines, QueueWait, MaxRate}
	n := newNode(t, s)
	list := ListReceived{Whole: true}
	for i, id := range servers {
		list.Entries = append(list.Entries, ServerEntry{ID: ServerID(id), Cell: i})
	}
	n.step(0, list)
	return n
}

// newReport returns a report of a server with 100 lines.
func newReport(id string, freeLines, wait, rate float64) Event {
	return ReportReceived{Server: ServerID(id), OK: true, Report: []float64{freeLines, 100, wait, rate}}
}

// TestOverflowKeepsToTheReportedRate checks that overflow from a full server is distributed by the reported rates and that no server
// gets more than this node's share of its rate. Equally distributed overflow overloaded small servers without calls of their own.
func TestOverflowKeepsToTheReportedRate(t *testing.T) {
	n := newRateNode(t, "full", "large", "small")
	n.step(ms, newReport("full", 0, 0, 10), newReport("large", 100, 0, 40), newReport("small", 100, 0, 2))
	sent := map[ServerID]int{}
	for i := range 4000 {
		events := []Event{newOffer(CallID(fmt.Sprint(i)), 0, 0)}
		if i%10 == 0 {
			events = append(events, newReport("full", 0, 0, 10), newReport("large", 100, 0, 40), newReport("small", 100, 0, 2))
		}
		for id, s := range n.c.byID {
			for _, k := range s.inProgress {
				events = append(events, CallStands{ID: k.id, Server: id, Elapsed: 100 * ms})
			}
		}
		for _, a := range actionsOf[SetUp](n.step(10*ms, events...)) {
			sent[a.Server]++
		}
	}
	// In 40 s, a twentieth of 40 and of 2 calls per second.
	if sent["full"] != 0 || sent["large"] < 60 || sent["large"] > 90 || sent["small"] < 2 || sent["small"] > 6 {
		t.Errorf("sent %v, want full: 0, large: about 80, small: about 4", sent)
	}
}

// TestShortReportedWaitEndsSuspicion checks that a server is no longer suspect when it reports a short wait after its back-off, but
// gets one call at a time until one is answered. A long reported wait extends the back-off. A server that reports short waits but
// answers nothing gets a longer back-off each time.
func TestShortReportedWaitEndsSuspicion(t *testing.T) {
	n := newRateNode(t, "a", "b")
	s := n.c.byID["a"]
	n.step(ms, newReport("a", 100, 0, 40))
	backOffs := []time.Duration{}
	for round := range 3 {
		n.c.markSuspect(s, n.now)
		backOffs = append(backOffs, (s.backOffUntil - n.now).Truncate(firstBackOff(n)))
		n.step(ms, newReport("a", 100, 0, 40))
		if !s.suspect {
			t.Fatal("the server is not suspect after a report during the back-off")
		}
		n.stepFor(s.backOffUntil-n.now+ms, 5*ms)
		n.step(ms, newReport("a", 100, 0, 40))
		if s.suspect {
			t.Fatal("the server is suspect after a short reported wait")
		}
		s.credit = 5
		if sent := actionsOf[SetUp](n.step(ms, newOffer(CallID(fmt.Sprint("x", round)), 0, 0), newOffer(CallID(fmt.Sprint("y", round)), 0, 0))); len(sent) == 0 {
			t.Fatal("no call was sent")
		} else if len(s.inProgress) != 1 {
			t.Fatalf("%d attempts in progress at a server that has not answered since, want 1", len(s.inProgress))
		}
		n.step(ms, CallerLeft{ID: CallID(fmt.Sprint("x", round))}, CallerLeft{ID: CallID(fmt.Sprint("y", round))})
	}
	if first := firstBackOff(n); backOffs[0] < first || backOffs[1] < 2*backOffs[0] || backOffs[2] < 2*backOffs[1]-first {
		t.Errorf("back-offs %v, want each twice the previous one", backOffs)
	}
	n.c.markSuspect(s, n.now)
	n.step(ms, newReport("a", 100, 3400, 1))
	if backOff, minBackOff := s.backOffUntil-n.now, 3400*ms-time.Duration(targetWaitShare*float64(n.c.tightestAim)); backOff < minBackOff-ms {
		t.Errorf("back-off of %v after a reported wait of 3.4 s, want %v", backOff, minBackOff)
	}
	n.stepFor(s.backOffUntil-n.now+ms, 5*ms)
	n.step(ms, CallStands{ID: "none", Server: "a", Elapsed: 10 * ms})
	if s.suspect || s.backOff != 0 {
		t.Error("the server is suspect or has a back-off after a prompt answer")
	}
}

// TestTrialCallsAreOfFirstChoice checks that a suspect server gets no overflow, except after a long time without trial calls. Calls
// without a first choice are no overflow.
func TestTrialCallsAreOfFirstChoice(t *testing.T) {
	n := newRateNode(t, "a", "b")
	for _, s := range n.c.servers {
		s.suspect, s.backOffUntil = true, n.now
	}
	overflow, firstChoice := newOffer("other", 0, 0), newOffer("home", 0, 0)
	overflow.FirstCell, firstChoice.FirstCell = 1, 0
	n.c.byID["b"].backOffUntil = time.Hour * 24 * 365
	if sent := actionsOf[SetUp](n.step(ms, overflow)); len(sent) != 0 {
		t.Errorf("sent overflow %v to a suspect server", sent)
	}
	if sent := actionsOf[SetUp](n.step(ms, firstChoice)); len(sent) != 1 || sent[0].ID != "home" || sent[0].Server != "a" {
		t.Errorf("sent %v, want the first-choice call", sent)
	}
	// A server that is nobody's first choice would otherwise get no calls and stay suspect for ever.
	n.c.byID["a"].removeAttempt(n.c.calls["home"])
	n.step(maxBackOffFactor*maxFirstBackOff, CallerLeft{ID: "other"}, CallerLeft{ID: "home"})
	lateOverflow := newOffer("late", 0, 0)
	lateOverflow.FirstCell = 1
	if sent := actionsOf[SetUp](n.step(ms, lateOverflow)); len(sent) != 1 || sent[0].Server != "a" {
		t.Errorf("sent %v, want an overflow trial call after a long time without any", sent)
	}
	n.c.byID["a"].removeAttempt(n.c.calls["late"])
	noFirstChoice := newOffer("none", 0, 0)
	noFirstChoice.FirstCell = 9
	if sent := actionsOf[SetUp](n.step(ms, noFirstChoice)); len(sent) != 1 {
		t.Errorf("sent %v, want the call without a first choice", sent)
	}
}

// BenchmarkStep measures a step in a large deployment: twelve servers, some with exhausted windows, and held calls.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Nodes = 250
	c, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	var ids []ServerID
	for i := range 12 {
		ids = append(ids, ServerID(fmt.Sprint("server-", i)))
	}
	now := time.Hour
	c.Step(now, []Event{newList(Active, ids...)})
	var events []Event
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		if i%3 == 0 { // about thirty calls per second, as in a burst after a stall
			events = append(events, newOffer(CallID(fmt.Sprint(i)), i%2, i%12))
		}
		actions := c.Step(now, events)
		events = events[:0]
		for _, a := range actionsOf[SetUp](actions) {
			events = append(events, CallStands{ID: a.ID, Server: a.Server, Elapsed: time.Duration(i%40) * 10 * ms})
		}
	}
}

// FuzzInvariants converts the input to a sequence of events and checks the invariants of a single node.
func FuzzInvariants(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b"))
	f.Add([]byte("aabbccddeeffgghhiijjkkllmm"))
	f.Fuzz(func(t *testing.T, input []byte) {
		s := settings()
		s.Classes[1].Idempotency = Idempotency(len(input) % 3)
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		ids := []ServerID{"a", "b", "c"}
		now := time.Hour
		unavailable := map[ServerID]bool{"a": true, "b": true, "c": true}
		type state struct {
			inProgress    bool
			server        ServerID
			attempts      int
			notBefore     time.Duration
			deadline      time.Duration
			mustNotRepeat bool // may have run, and must be neither repeated nor refused
		}
		pending := map[CallID]*state{}
		var order []CallID
		classOf := map[CallID]int{}
		deliver := func(events ...Event) {
			for _, a := range c.Step(now, events) {
				switch a := a.(type) {
				case SetUp:
					k := pending[a.ID]
					switch {
					case k == nil:
						t.Fatalf("set-up of %q, which is not pending", a.ID)
					case k.inProgress:
						t.Fatalf("two attempts of %q in progress", a.ID)
					case unavailable[a.Server]:
						t.Fatalf("set-up to %q, which is draining or removed", a.Server)
					case now < k.notBefore:
						t.Fatalf("%q was sent %v before the end of the release guard", a.ID, k.notBefore-now)
					case k.mustNotRepeat:
						t.Fatalf("%q may have run and was sent again", a.ID)
					case k.attempts == s.MaxAttempts:
						t.Fatalf("%q was sent more than %d times", a.ID, s.MaxAttempts)
					}
					k.inProgress, k.server = true, a.Server
					k.attempts++
				case Refuse:
					if pending[a.ID] == nil {
						t.Fatalf("%q was refused but is not pending", a.ID)
					}
					if pending[a.ID].mustNotRepeat {
						t.Fatalf("%q may have run and was refused", a.ID)
					}
					delete(pending, a.ID)
				case Fail:
					if pending[a.ID] == nil {
						t.Fatalf("%q failed but is not pending", a.ID)
					}
					delete(pending, a.ID)
				case Cancel:
					if k := pending[a.ID]; k == nil || !k.inProgress || a.Attempt != k.attempts-1 {
						t.Fatalf("cancelled attempt %d of %q, which is not in progress", a.Attempt, a.ID)
					}
				}
			}
			for _, id := range order {
				if k := pending[id]; k != nil && !k.inProgress && now > k.deadline+s.AnswerGrace {
					t.Fatalf("%q has no final answer %v after its deadline", id, now-k.deadline)
				}
			}
		}
		for i, b := range input {
			now += 5 * ms
			switch b % 8 {
			case 0, 1, 2:
				id := CallID(fmt.Sprint(i))
				pending[id] = &state{deadline: now + 3*time.Second}
				order = append(order, id)
				classOf[id] = int(b/8) % 2
				deliver(newOffer(id, int(b/8)%2, int(b/16)%3))
			case 3:
				server := ids[int(b/8)%3]
				status := ServerStatus(int(b/24) % 3)
				unavailable[server] = status != Active
				deliver(ListReceived{Entries: []ServerEntry{{ID: server, Cell: int(b/8) % 3, Status: status}}})
			case 4, 5: // the oldest attempt ends
				for _, id := range order {
					k := pending[id]
					if k == nil || !k.inProgress {
						continue
					}
					k.inProgress = false
					outcome := []Outcome{Full, TimedOut, Reset, Cancelled, Unreachable, NotSent, Failed}[int(b/8)%7]
					if outcome == TimedOut || outcome == Reset || outcome == Cancelled {
						k.notBefore = now + s.ReleaseGuard
					}
					if classOf[id] == 1 && s.Classes[1].Idempotency == NonIdempotent {
						k.mustNotRepeat = k.mustNotRepeat || outcome == TimedOut || outcome == Reset || outcome == Cancelled || outcome == Failed
					}
					deliver(AttemptEnded{ID: id, Server: k.server, Attempt: k.attempts - 1, Outcome: outcome, Elapsed: ms})
					break
				}
			case 6: // the oldest attempt is answered
				for _, id := range order {
					if k := pending[id]; k != nil && k.inProgress {
						server := k.server
						delete(pending, id)
						deliver(CallStands{ID: id, Server: server, Elapsed: time.Duration(b) * ms})
						break
					}
				}
			case 7:
				for step := 0; step < int(b/8); step++ {
					now += 5 * ms
					var ended []Event
					for _, id := range order { // attempts end at the deadline of their calls
						if k := pending[id]; k != nil && k.inProgress && now >= k.deadline {
							k.inProgress, k.notBefore = false, now+s.ReleaseGuard
							ended = append(ended, AttemptEnded{ID: id, Server: k.server, Attempt: k.attempts - 1,
								Outcome: TimedOut})
						}
					}
					deliver(ended...)
				}
			}
		}
	})
}
