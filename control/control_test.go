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

// settings of a small deployment; the figures are the tests' own.
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

// node drives a Controller with a script and keeps what it did.
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

// at moves the clock on and gives the node a turn.
func (n *node) after(d time.Duration, events ...Event) []Action {
	n.now += d
	return n.c.Step(n.now, events)
}

// stepFor gives a turn each step until d has passed, and returns all actions.
func (n *node) stepFor(d, step time.Duration) []Action {
	var all []Action
	for end := n.now + d; n.now < end; {
		all = append(all, n.after(step)...)
	}
	return all
}

func newList(status ServerStatus, ids ...ServerID) ListReceived {
	l := ListReceived{Whole: true}
	for i, id := range ids {
		l.Entries = append(l.Entries, ServerEntry{ID: id, Cell: i, Zone: "z", Status: status})
	}
	return l
}

func newOffer(id CallID, class, cell int) CallOffered {
	return CallOffered{ID: id, Class: class, Budget: 3 * time.Second, FirstCell: cell}
}

// actionsOf keeps the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var kept []T
	for _, a := range actions {
		if v, ok := a.(T); ok {
			kept = append(kept, v)
		}
	}
	return kept
}

func TestResize(t *testing.T) {
	tests := []struct {
		name                            string
		past, mean, occupancy, overhead float64
		want                            float64
	}{
		{"at the wanted occupancy", 20, 20, maxOccupancy, 0, 20},
		{"within the clamps", 20, 20, maxOccupancy * 20 / 18, 0, 18},
		{"largest decrease", 20, 20, tooHighOccupancy - 0.01, 0, 20 * (1 - maxDecrease)},
		{"largest increase", 20, 20, 0.1, 0, 20 * (1 + maxIncrease)},
		{"too high: extra decrement on the clamp", 20, 20, 9, 0, 20 * (1 - maxDecrease) * (1 - extraDecrement)},
		{"overhead is left out of both sides", 20, 20, 0.9, 0.2, 20 * (maxOccupancy - 0.2) / 0.7},
		{"rise by one where the clamp allows less", 1, 1, 0.4, 0, 2},
		{"no rise by one for less than a call", 1, 1, 0.6, 0, 1.5},
		{"no rise by one of a window of less than a call", 0.5, 0.5, 0.1, 0, 0.75},
		{"a part of a call is kept", 0.5, 0.5, 9, 0, 0.5 * (1 - maxDecrease) * (1 - extraDecrement)},
		{"occupancy at the overhead", 20, 18, 0.2, 0.2, 18},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := resize(tt.past, tt.mean, tt.occupancy, tt.overhead)
			if math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("resize(%v, %v, %v, %v) = %v, want %v", tt.past, tt.mean, tt.occupancy, tt.overhead, got, tt.want)
			}
		})
	}
}

func TestNewRefusesImpossibleSettings(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(*Settings)
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"no aim", func(s *Settings) { s.Classes[0].Aim = 0 }},
		{"deadline before the aim", func(s *Settings) { s.Classes[0].Deadline = ms }},
		{"late share", func(s *Settings) { s.Classes[0].LateShare = 2 }},
		{"tick", func(s *Settings) { s.Tick = 0 }},
		{"release guard", func(s *Settings) { s.ReleaseGuard = -1 }},
		{"start share", func(s *Settings) { s.ColdCapacity = 2 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.spoil(&s)
			if _, err := New(s, 1); err == nil {
				t.Error("New took impossible settings")
			}
		})
	}
}

func TestFirstChoice(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a", "b", "c"))
	sent := actionsOf[SetUp](n.after(ms, newOffer("1", 0, 1)))
	if len(sent) != 1 || sent[0].Server != "b" {
		t.Fatalf("sent %v, want one set-up to b", sent)
	}
}

func TestFullRestsTheServer(t *testing.T) {
	for _, noLine := range []bool{false, true} {
		n := newNode(t, settings())
		n.after(0, newList(Active, "a"))
		n.after(ms, newOffer("1", 0, 0))
		full := AttemptEnded{ID: "1", Server: "a", Outcome: Full, NoLine: noLine}
		early := n.after(ms, full, newOffer("2", 0, 0))
		early = append(early, n.stepFor(240*ms, 5*ms)...)
		if sent := actionsOf[SetUp](early); len(sent) != 0 {
			t.Errorf("noLine %v: sent %v within the rest", noLine, sent)
		}
		if sent := actionsOf[SetUp](n.stepFor(3*time.Second, 5*ms)); len(sent) == 0 {
			t.Errorf("noLine %v: nothing was sent after the rest", noLine)
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
		{"all servers gone", []Event{newList(Active, "a"), ListReceived{Whole: true}}},
		{"all servers draining", []Event{newList(Draining, "a", "b")}},
		{"silent server", []Event{newList(Active, "a")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, settings())
			n.after(0, tt.list...)
			all := n.after(ms, newOffer("1", 0, 0), newOffer("2", 1, 0))
			start := n.now
			answered := map[CallID]int{}
			out := map[CallID]int{}
			for step := 0; n.now < start+3*time.Second+n.c.settings.AnswerGrace; step++ {
				var events []Event
				for _, a := range all {
					switch a := a.(type) {
					case SetUp:
						if answered[a.ID] > 0 {
							t.Fatalf("sent %q after its answer", a.ID)
						}
						out[a.ID]++
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
						if out[id] > 0 {
							events = append(events, AttemptEnded{ID: id, Server: "a", Attempt: out[id] - 1, Outcome: TimedOut})
						}
					}
				}
				all = n.after(5*ms, events...)
			}
			for _, id := range []CallID{"1", "2"} {
				if answered[id] != 1 {
					t.Errorf("call %q has %d final answers, want 1", id, answered[id])
				}
			}
		})
	}
}

func TestCallerThatLeftFreesItsAttempt(t *testing.T) {
	// A caller that left while its attempt was out must not block the trial calls of the server.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	n.after(ms, newOffer("1", 0, 0))
	n.stepFor(900*ms, 5*ms)
	n.after(ms, CallerLeft{ID: "1"})
	n.stepFor(n.c.byID["a"].backOffUntil-n.now+ms, 5*ms)
	if sent := actionsOf[SetUp](n.after(ms, newOffer("2", 0, 0))); len(sent) != 1 {
		t.Fatalf("sent %v, want the trial call", sent)
	}
}

func TestDrainIsKeptInTheSameTurn(t *testing.T) {
	for _, status := range []ServerStatus{Draining, Removed} {
		n := newNode(t, settings())
		n.after(0, newList(Active, "a", "b"))
		change := ListReceived{Entries: []ServerEntry{{ID: "a", Status: status}}}
		for _, s := range actionsOf[SetUp](n.after(ms, newOffer("1", 0, 0), change, newOffer("2", 0, 0))) {
			if s.Server == "a" {
				t.Errorf("status %v: set-up to a server that drains", status)
			}
		}
	}
}

func TestReleaseIsAwaited(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Reset, Cancelled} {
		n := newNode(t, settings())
		n.after(0, newList(Active, "a", "b"))
		n.after(ms, newOffer("1", 0, 0))
		n.after(ms, AttemptEnded{ID: "1", Server: "a", Outcome: outcome})
		told := n.now
		for n.now < told+295*ms {
			if sent := actionsOf[SetUp](n.after(5 * ms)); len(sent) > 0 {
				t.Fatalf("outcome %v: sent again after %v", outcome, n.now-told)
			}
		}
		if sent := actionsOf[SetUp](n.stepFor(100*ms, 5*ms)); len(sent) != 1 {
			t.Errorf("outcome %v: %d attempts after the guard, want 1", outcome, len(sent))
		}
	}
}

func TestUnsafeCallsAreNotRepeated(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency = NonIdempotent
	n := newNode(t, s)
	n.after(0, newList(Active, "a", "b"))
	n.after(ms, newOffer("1", 0, 0))
	all := n.after(ms, AttemptEnded{ID: "1", Server: "a", Outcome: Reset})
	all = append(all, n.stepFor(time.Second, 5*ms)...)
	if sent, refused := actionsOf[SetUp](all), actionsOf[Refuse](all); len(sent)+len(refused) > 0 {
		t.Errorf("an unsafe call that may have run was sent %v or refused %v", sent, refused)
	}
	if failed := actionsOf[Fail](all); len(failed) != 1 {
		t.Errorf("%d failures, want 1", len(failed))
	}
}

func TestColdServerIsNotPushedOver(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	cold := ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1, Status: Active, StartedAt: n.now}}}
	n.after(0, cold)
	sent := 0
	for i := 0; i < 400; i++ { // 4 s at 100 calls a second, all of which want the cold server
		for _, s := range actionsOf[SetUp](n.after(10*ms, newOffer(CallID(fmt.Sprint(i)), 0, 1))) {
			if s.Server == "b" {
				sent++
			}
		}
	}
	if sent > 4 {
		t.Errorf("%d set-ups to a cold server in 4 s by a node without history", sent)
	}
}

func TestColdServerStartsAtItsShareOfTheWarmRate(t *testing.T) {
	// A large server that died came back at one call a second from each node and took 25 s to be of use.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"), ReportReceived{Server: "a", OK: true, Report: []float64{-1, 100}})
	setWarmRate(n.c.byID["a"], 20)
	n.after(0, ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1, StartedAt: n.now}}})
	n.after(0, ReportReceived{Server: "b", OK: true, Report: []float64{-1, 50}})
	sent, start := 0, n.now
	for i := 0; n.now < start+time.Second; i++ {
		events := []Event{newOffer(CallID(fmt.Sprint(i)), 0, 1)}
		for _, k := range n.c.byID["b"].inProgress {
			events = append(events, CallStands{ID: k.id, Server: "b", Elapsed: 10 * ms})
		}
		for _, s := range actionsOf[SetUp](n.after(10*ms, events...)) {
			if s.Server == "b" {
				sent++
			}
		}
	}
	// Half the size of a, so a third of all, and 0.3 of that at the start; a gets what b can't take yet.
	if sent < 2 || sent > 4 {
		t.Errorf("%d set-ups in the first second, want 2 to 4", sent)
	}
}

func TestOccupancy(t *testing.T) {
	target := targetWaitShare * float64(time.Second) // of the aim in settings
	tests := []struct {
		name   string
		fields []ReportField
		report []float64
		spoil  func(*server)
		want   float64
	}{
		{"nothing known", nil, nil, nil, 0},
		{"own delays", nil, nil, func(s *server) { s.excessDelay = time.Duration(target / 2) }, 0.5},
		{"reported utilisation", []ReportField{Utilisation}, []float64{0.7}, nil, 0.7},
		{"reported wait", []ReportField{QueueWait}, []float64{target / 1e6}, nil, 1},
		{"utilisation before wait", []ReportField{QueueWait, Utilisation}, []float64{target / 1e6, 0.7}, nil, 0.7},
		{"missing figures", []ReportField{QueueWait, Utilisation}, []float64{-1, -1}, nil, 0},
		{"a full of the processor", nil, nil, func(s *server) { s.wasFull = true }, tooHighOccupancy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.ReportFields = tt.fields
			n := newNode(t, s)
			n.after(0, newList(Active, "a"), ReportReceived{Server: "a", OK: true, Report: tt.report})
			server := n.c.byID["a"]
			if tt.spoil != nil {
				tt.spoil(server)
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
	if asked := actionsOf[Subscribe](n.after(0, newList(Active, "a"))); len(asked) != 1 {
		t.Fatalf("asked for the list %d times at the start, want once", len(asked))
	}
	if asked := actionsOf[Subscribe](append(n.after(ms, ListReceived{Failed: true}), n.stepFor(2*time.Second, 5*ms)...)); len(asked) != 1 {
		t.Errorf("asked %d times after a failure, want once", len(asked))
	}
}

func TestKeyedCallsStayWhereRepeatsAreDiscarded(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = IdempotentByKey, DedupCell, 5*time.Second
	n := newNode(t, s)
	n.after(0, newList(Active, "a", "b"))
	n.after(ms, newOffer("1", 0, 0))
	all := n.after(ms, AttemptEnded{ID: "1", Server: "a", Outcome: Reset},
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
	n.after(0, newList(Active, "a", "b", "c"))
	transit := newOffer("1", 0, 1)
	transit.Transit = true
	if sent := actionsOf[SetUp](n.after(ms, transit)); len(sent) != 1 || sent[0].Server != "b" {
		t.Errorf("transit call: sent %v, want one set-up to b", sent)
	}
	for i := 0; i < 50; i++ {
		for _, a := range actionsOf[SetUp](n.after(ms, newOffer(CallID(fmt.Sprint("x", i)), 0, 2))) {
			if a.Server == "c" {
				t.Fatal("set-up to the own exchange")
			}
		}
	}
}

func TestReplacementIsKnownByItsCell(t *testing.T) {
	// The list names a new server before its lines are told; it must not be taken for a small one.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a", "b"))
	setWarmRate(n.c.byID["a"], 40)
	setWarmRate(n.c.byID["b"], 4)
	n.after(0, ListReceived{Entries: []ServerEntry{{ID: "new", Cell: 0, StartedAt: n.now}}})
	if got := n.c.warmRate(n.c.byID["new"]); got != 40 {
		t.Errorf("warm rate %v, want that of the server in its place, 40", got)
	}
	// The one in its place may have been nobody's first choice; a new one that got as little was of no use in a rush.
	n.after(0, ListReceived{Entries: []ServerEntry{{ID: "second", Cell: 1, StartedAt: n.now}, {ID: "b", Cell: 1, Status: Draining}}})
	if got := n.c.warmRate(n.c.byID["second"]); got != 44.0/3 {
		t.Errorf("warm rate %v, want a third of 44 beside a and new, as b drains", got)
	}
	n.c.byID["a"].lines = 300 // and its own are not told yet
	if got := n.c.warmRate(n.c.byID["second"]); got != 44.0/3 {
		t.Errorf("warm rate %v beside a server of many lines, want a third of 44", got)
	}
	n.c.byID["a"].lines = 1
	n.after(0, ListReceived{Entries: []ServerEntry{{ID: "b", Cell: 1}}})
	n.after(0, ListReceived{Entries: []ServerEntry{{ID: "other", Cell: 7, StartedAt: n.now}}})
	if got := n.c.warmRate(n.c.byID["other"]); got != 44.0/5 {
		t.Errorf("warm rate %v of a server of no known size, want a fifth of 44", got)
	}
}

// TestColdPartsSumToTheWhole: six of ten servers are replaced within a moment. Each new one reckoned as the only one beside those that
// take calls, their rates summed to twice what there was to send, and 300 nodes pushed one of them over with 2.7 times what it could do.
func TestColdPartsSumToTheWhole(t *testing.T) {
	n := newNode(t, settings())
	var old, young []ServerEntry
	for i := range 10 {
		old = append(old, ServerEntry{ID: ServerID(fmt.Sprint("old", i)), Cell: i})
	}
	n.after(0, ListReceived{Entries: old, Whole: true})
	for _, s := range n.c.servers {
		s.lines = 50
		setWarmRate(s, 10)
	}
	for i := range 6 {
		old[i].Status = Draining
		young = append(young, ServerEntry{ID: ServerID(fmt.Sprint("new", i)), Cell: 20 + i, StartedAt: n.now})
	}
	for told := range 2 { // before they have told their lines, and after
		n.after(0, ListReceived{Entries: append(slices.Clone(old), young...)})
		sum := 0.0
		for _, e := range young {
			s := n.c.byID[e.ID]
			if told == 1 {
				s.lines = 50
			}
		}
		for _, e := range young {
			sum += n.c.warmRate(n.c.byID[e.ID])
		}
		if sum < 59 || sum > 61 {
			t.Errorf("lines told %d: six new ones beside four are to have %.1f of 100 a second together, want 60", told, sum)
		}
	}
}

func TestRestartUnderTheSameIdIsCold(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	n.after(time.Second, ListReceived{Entries: []ServerEntry{{ID: "a", StartedAt: n.now}}})
	if s := n.c.byID["a"]; !s.cold || s.unlimited {
		t.Errorf("after a new start: cold %v, window open %v", s.cold, s.unlimited)
	}
}

func TestALostSetUpIsNoQueue(t *testing.T) {
	// One link in four that is open but dead kept a server that answered all others at once at a tenth of its calls.
	n := newNode(t, settings())
	n.after(time.Second, newList(Active, "a"))
	answer := func(id string) {
		n.after(10*ms, newOffer(CallID(id), 0, 0))
		n.after(30*ms, CallStands{ID: CallID(id), Server: "a", Elapsed: 30 * ms})
	}
	answer("first")
	n.after(10*ms, newOffer("lost", 0, 0), newOffer("late", 0, 0))
	for i := range 40 {
		answer(fmt.Sprint(i))
	}
	s := n.c.byID["a"]
	n.after(0, CallStands{ID: "late", Server: "a", Elapsed: 1610 * ms})
	if o := n.c.occupancy(s); s.suspect || o > 0.1 {
		t.Errorf("suspect %v, occupancy %.2f while all later calls stand at once", s.suspect, o)
	}
	n.after(ms, AttemptEnded{ID: "lost", Server: "a", Outcome: TimedOut, Elapsed: 1611 * ms})
	if s.suspect {
		t.Error("suspect for a set-up that was lost")
	}
	n.after(time.Second, newOffer("queued", 0, 0))
	n.stepFor(time.Second, 50*ms)
	if !s.suspect {
		t.Error("not suspect though nothing comes back")
	}
}

func TestServersOfYesterdayAreForgotten(t *testing.T) {
	// Under new ids, new servers replace old ones all day. Each was kept for good, and was one more
	// that the arrivals were shared out to.
	n := newNode(t, settings())
	for i := range 200 {
		n.after(time.Second, newList(Active, "a", ServerID(fmt.Sprint("s", i))), newOffer(CallID(fmt.Sprint(i)), 0, 0))
		n.stepFor(2*time.Second, 500*ms)
		n.after(0, CallerLeft{ID: CallID(fmt.Sprint(i))})
	}
	if kept := len(n.c.servers); kept > 12 || len(n.c.byID) != kept {
		t.Errorf("%d servers are kept, %d by id, of 2 that are there", kept, len(n.c.byID))
	}
}

func TestAttemptLimit(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a", "b", "c", "d"))
	attempts, refused := 0, 0
	events := []Event{newOffer("1", 0, 0)}
	for i := 0; i < 500; i++ {
		all := n.after(5*ms, events...)
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

// TestRetune: calls keep the class they came with, and may have no more attempts than either settings allow; settings that
// make no sense change nothing.
func TestRetune(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a", "b"))
	n.after(ms, newOffer("1", 0, 0), newOffer("2", 0, 0))
	other := settings()
	other.Classes = []Class{{Name: "only", Aim: time.Second, Deadline: 8 * time.Second, Worth: 1, Idempotency: NonIdempotent, Cells: []int{1}}}
	other.MaxAttempts = 1
	bad := other
	bad.Classes = []Class{{Name: "only", Aim: time.Second}}
	if err := n.c.UpdateSettings(bad); err == nil {
		t.Fatal("a class without a deadline was taken")
	}
	all := n.after(ms, newOffer("3", 1, 0), AttemptEnded{ID: "1", Server: "a", Outcome: Failed})
	if sent := actionsOf[SetUp](all); len(sent) != 2 {
		t.Errorf("under the old settings %v are sent, want a second attempt of 1, and 3", sent)
	}
	if err := n.c.UpdateSettings(other); err != nil {
		t.Fatal(err)
	}
	all = n.after(ms, newOffer("4", 0, 0), AttemptEnded{ID: "2", Server: "a", Outcome: Failed})
	sent, refused := actionsOf[SetUp](all), actionsOf[Refuse](all)
	if len(sent) != 1 || sent[0].ID != "4" || sent[0].Server != "b" {
		t.Errorf("under the new settings %v are sent, want 4 to b", sent)
	}
	if len(refused) != 1 || refused[0].ID != "2" {
		t.Errorf("%v are refused, want 2: it has had its attempt, and as a call of its class it may come again", refused)
	}
}

func TestUnknownIdsAreIgnored(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	all := n.after(ms,
		CallStands{ID: "x", Server: "y"},
		AttemptEnded{ID: "x", Server: "y", Outcome: Full},
		CallerLeft{ID: "x"},
		ReportReceived{Server: "y", OK: true, Report: []float64{1, 2, 3}},
		CallOffered{ID: "z", Class: 9},
		Woken{},
	)
	if len(all) != 0 {
		t.Errorf("unknown ids led to %v", all)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		n := newNode(t, settings())
		other := newNode(t, settings())
		all := n.after(0, newList(Active, "a", "b", "c"))
		for i := 0; i < 200; i++ {
			other.after(3*ms, newOffer(CallID(fmt.Sprint("o", i)), 1, i%3))
			all = append(all, n.after(10*ms, newOffer(CallID(fmt.Sprint(i)), i%2, i%3))...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to other actions")
	}
}

// setWarmRate has a node know that it makes so many starts a second to the server.
func setWarmRate(s *server, perSecond float64) {
	s.observedTime = 4 * time.Second
	s.promptAnswers = perSecond * s.observedTime.Seconds()
}

func TestTrialCallsAreSpacedEverWider(t *testing.T) {
	// Small servers stayed jammed for a whole day by one trial call of each node at a time, each repeated
	// while it waited. Trials that fail must come ever more seldom.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	var trials []time.Duration
	attempts := map[CallID]int{}
	out := map[CallID]time.Duration{}
	for i := 0; i < 2000; i++ {
		var events []Event
		for k := 0; k < i; k += 10 { // in order of the calls
			id := CallID(fmt.Sprint(k))
			if at, ok := out[id]; ok && n.now >= at {
				delete(out, id)
				events = append(events, AttemptEnded{ID: id, Server: "a", Attempt: attempts[id] - 1,
					Outcome: TimedOut, Elapsed: time.Second, CallOver: true})
			}
		}
		if i%10 == 0 {
			events = append(events, newOffer(CallID(fmt.Sprint(i)), 0, 0))
		}
		for _, s := range actionsOf[SetUp](n.after(10*ms, events...)) {
			attempts[s.ID]++
			out[s.ID] = n.now + time.Second
			if s.Limit > 0 {
				trials = append(trials, n.now)
			}
		}
	}
	if len(trials) < 3 {
		t.Fatalf("%d trial calls in 20 s, want some", len(trials))
	}
	// Ten calls a second, so a rest of a tenth at first, that doubles to eight times the least one.
	longest := maxBackOffFactor * fullBackOff
	first, last := trials[1]-trials[0], trials[len(trials)-1]-trials[len(trials)-2]
	if last < first || last < longest {
		t.Errorf("trials %v apart at first and %v at last, want %v or more at last", first, last, longest)
	}
}

func TestOldAnswersDoNotLengthenTheRest(t *testing.T) {
	// After a burst each late answer of the calls sent before the server was suspect doubled its rest.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	var late []Event
	for i := 0; i < 8; i++ {
		id := CallID(fmt.Sprint(i))
		n.after(ms, newOffer(id, 0, 0))
		late = append(late, CallStands{ID: id, Server: "a", Elapsed: 600 * ms})
	}
	n.stepFor(600*ms, 5*ms)
	n.after(ms, late...)
	if sent := actionsOf[SetUp](append(n.after(ms, newOffer("x", 0, 0)), n.stepFor(600*ms, 5*ms)...)); len(sent) == 0 {
		t.Error("no trial call within the first rest")
	}
}

func TestRedialsAreKnownByTheNumber(t *testing.T) {
	// Half of an overloaded day's calls are further tries that nobody marks: fresh calls go before them.
	for _, marked := range []bool{false, true} {
		n := newNode(t, settings())
		n.after(0, newList(Draining, "a"))
		old := newOffer("old", 0, 0)
		old.Called = "tel-1"
		n.after(ms, old) // refused: no server
		n.after(3*time.Second, newList(Active, "a"))
		n.c.offeredCalls = 100 // a busy node, with short rests
		n.after(ms, AttemptEnded{ID: "none", Server: "a", Outcome: Full})
		again, fresh := newOffer("again", 0, 0), newOffer("fresh", 0, 0)
		again.Called, fresh.Called = "tel-1", "tel-2"
		again.Redial = marked
		all := append(n.after(ms, fresh, again), n.stepFor(time.Second, 5*ms)...)
		if sent := actionsOf[SetUp](all); len(sent) == 0 || sent[0].ID != "fresh" {
			t.Errorf("marked %v: sent %v, want the fresh call first", marked, sent)
		}
	}
}

func TestFreeLinesAreShared(t *testing.T) {
	// Calls of first choice may have every line that is told; of what spills over, each node takes its part.
	for cell, want := range map[int][2]int{0: {8, 8}, 1: {2, 3}} {
		n := newNode(t, settings())
		n.after(0, ListReceived{Whole: true, Entries: []ServerEntry{{ID: "a"}, {ID: "b", Cell: 1, Status: Active}}})
		n.c.byID["b"].freeLines = 0
		n.after(ms, ReportReceived{Server: "a", OK: true, Report: []float64{8, 100}})
		sent := 0
		for i := range 20 {
			call := newOffer(CallID(fmt.Sprint(i)), 0, 0)
			call.FirstCell = cell
			sent += len(actionsOf[SetUp](n.after(ms, call)))
		}
		if sent < want[0] || sent > want[1] {
			t.Errorf("first choice %d: %d of 8 free lines taken by one of 4 nodes, want %v", cell, sent, want)
		}
		n.after(ms, ReportReceived{Server: "a", OK: true, Report: []float64{0, 100}})
		if sent := actionsOf[SetUp](n.stepFor(500*ms, 5*ms)); len(sent) > 1 {
			t.Errorf("sent %v where no line was free", sent)
		}
	}
}

func TestClosedWindowHoldsAndSpreads(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	s := n.c.byID["a"]
	s.window, s.unlimited, s.periodStart, s.credit = 4, false, n.now, 1
	sent := 0
	for i := 0; i < 20; i++ {
		sent += len(actionsOf[SetUp](n.after(ms, newOffer(CallID(fmt.Sprint(i)), 0, 0))))
	}
	if sent != 1 {
		t.Errorf("%d starts at the begin of the period, want 1", sent)
	}
	for end := n.now + controlPeriod - 20*ms; n.now < end; {
		events := []Event{}
		for _, k := range s.inProgress { // answer at once, so that the server stays clear of suspicion
			events = append(events, CallStands{ID: k.id, Server: "a", Elapsed: 10 * ms})
		}
		sent += len(actionsOf[SetUp](n.after(10*ms, append(events, newOffer(CallID(fmt.Sprint(n.now)), 0, 0))...)))
	}
	if sent != 4 && sent != 5 {
		t.Errorf("%d starts in a period of a window of 4", sent)
	}
}

func TestWindowOfLessThanACall(t *testing.T) {
	// With windows of a call a second at least, two hundred nodes sent a small server ten times its load.
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	s := n.c.byID["a"]
	s.window, s.unlimited = controlPeriod.Seconds()/8, false
	sent := 0
	for i := 0; i < 8000; i++ {
		events := []Event{newOffer(CallID(fmt.Sprint(i)), 0, 0)}
		for _, k := range s.inProgress {
			events = append(events, CallStands{ID: k.id, Server: "a", Elapsed: 230 * ms})
		}
		sent += len(actionsOf[SetUp](n.after(10*ms, events...)))
		s.window = controlPeriod.Seconds() / 8
	}
	if sent != 9 && sent != 10 {
		t.Errorf("%d starts in 80 s at an eighth of a call a second, want 10", sent)
	}
}

// firstBackOff is the first rest of a server in doubt under the aim of the node's settings.
func firstBackOff(n *node) time.Duration {
	return time.Duration(suspectBackOffShare * float64(n.c.tightestAim))
}

// TestEndsOfOneBurstAreOneRest: of what was out at a server at once, each end doubled its rest: sixteen calls that found no line
// were told within 50 ms, and the largest server of a day rested 11 s while it told waits of 1 ms and 170 free lines.
func TestEndsOfOneBurstAreOneRest(t *testing.T) {
	for _, noLine := range []bool{true, false} {
		n := newNode(t, settings())
		n.after(0, newList(Active, "a"))
		s := n.c.byID["a"]
		var ids []CallID
		for i := range 16 {
			ids = append(ids, CallID(fmt.Sprint(i)))
			n.after(ms, newOffer(ids[i], 0, 0))
		}
		if len(s.inProgress) != len(ids) {
			t.Fatalf("%d calls out, want %d", len(s.inProgress), len(ids))
		}
		first := s.inProgress[0].sentAt
		for _, id := range ids {
			sent := n.c.calls[id].sentAt
			n.after(ms, AttemptEnded{ID: id, Server: "a", Outcome: Full, NoLine: noLine, Elapsed: n.now + ms - sent})
		}
		if rest := s.backOffUntil - n.now; rest > fullBackOff*2 {
			t.Errorf("no line %v: after %d ends within %v a rest of %v", noLine, len(ids), n.now-first, rest)
		}
		n.c.startBackOff(s, fullBackOff, n.now) // what was sent since doubles it
		if s.backOff < 2*fullBackOff {
			t.Errorf("no line %v: the next rest is %v, want it doubled", noLine, s.backOff)
		}
	}
}

// TestWhatGathersMakesNoMoreThanTheWantedWait: with a whole period's starts gathered in a rest, the calls held meanwhile left in
// one burst, made a queue of a third of the aim, and were the cause of the next rest.
func TestWhatGathersMakesNoMoreThanTheWantedWait(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, newList(Active, "a"))
	s := n.c.byID["a"]
	rate := 100.0 // starts a second
	s.unlimited, s.window = false, rate*controlPeriod.Seconds()
	s.backOffUntil = n.now + 2*controlPeriod
	for i := range 200 {
		n.after(ms, newOffer(CallID(fmt.Sprint(i)), 0, 0))
	}
	n.after(2 * controlPeriod)
	want := int(rate * targetWaitShare * n.c.tightestAim.Seconds())
	if got := len(s.inProgress); got > want+1 || got < want-1 {
		t.Errorf("%d starts at once after a rest, want the %d that make the wanted wait", got, want)
	}
	s.window = 0.1
	if n.c.advanceWindow(s); s.credit > 1 {
		t.Errorf("a window of less than a call gathers %.2f starts", s.credit)
	}
}

// TestRestsAreShortAtAnySize: counted in a node's own calls, as they once were, rests of many nodes lasted for tens of
// seconds after the trouble had passed.
func TestRestsAreShortAtAnySize(t *testing.T) {
	for _, peers := range []int{1, 3, 300} {
		many := settings()
		many.Nodes = peers
		n := newNode(t, many)
		n.after(0, newList(Active, "a"))
		n.after(10*time.Second, newOffer("1", 0, 0))
		s := n.c.byID["a"]
		first := firstBackOff(n)
		for _, least := range []time.Duration{first, 2 * first, 4 * first} {
			n.c.markSuspect(s, n.now)
			if rest := s.backOffUntil - n.now; rest < least || rest > least*3/2 {
				t.Errorf("%d nodes: rest %v, want %v to half more", peers, rest, least)
			}
		}
	}
}

// newRateNode is a node of twenty that is told free lines, lines, waits and rates.
func newRateNode(t *testing.T, servers ...string) *node {
	t.Helper()
	s := settings()
	s.Nodes, s.ReportFields = 20, []ReportField{FreeLines, Lines, QueueWait, MaxRate}
	n := newNode(t, s)
	entries := ListReceived{Whole: true}
	for i, id := range servers {
		entries.Entries = append(entries.Entries, ServerEntry{ID: ServerID(id), Cell: i})
	}
	n.after(0, entries)
	return n
}

func newReport(id string, free, wait, rate float64) Event {
	return ReportReceived{Server: ServerID(id), OK: true, Report: []float64{free, 100, wait, rate}}
}

// TestSecondChoicesKeepToTheRate: what spills over from a large server that is full goes to the others by the rate that they
// tell, and to none faster than this node's part of it. Evenly spread, it jammed small ones that had no calls of their own.
func TestSecondChoicesKeepToTheRate(t *testing.T) {
	n := newRateNode(t, "full", "large", "small")
	n.after(ms, newReport("full", 0, 0, 10), newReport("large", 100, 0, 40), newReport("small", 100, 0, 2))
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
		for _, a := range actionsOf[SetUp](n.after(10*ms, events...)) {
			sent[a.Server]++
		}
	}
	// 40 s of a twentieth of 40 and of 2 calls a second.
	if sent["full"] != 0 || sent["large"] < 60 || sent["large"] > 90 || sent["small"] < 2 || sent["small"] > 6 {
		t.Errorf("sent %v, want none, some 80, some 4", sent)
	}
}

// TestReportsEndADoubt: a short wait that a server tells after its rest ends the doubt, with one call at a time until one has
// stood; a long one is the rest that it needs. One that tells short waits and answers nothing rests for longer each time.
func TestReportsEndADoubt(t *testing.T) {
	n := newRateNode(t, "a", "b")
	s := n.c.byID["a"]
	n.after(ms, newReport("a", 100, 0, 40))
	rests := []time.Duration{}
	for round := range 3 {
		n.c.markSuspect(s, n.now)
		rests = append(rests, (s.backOffUntil - n.now).Truncate(firstBackOff(n)))
		n.after(ms, newReport("a", 100, 0, 40))
		if !s.suspect {
			t.Fatal("a report inside the rest ended the doubt")
		}
		n.stepFor(s.backOffUntil-n.now+ms, 5*ms)
		n.after(ms, newReport("a", 100, 0, 40))
		if s.suspect {
			t.Fatal("a short wait did not end the doubt")
		}
		s.credit = 5
		if got := actionsOf[SetUp](n.after(ms, newOffer(CallID(fmt.Sprint("x", round)), 0, 0), newOffer(CallID(fmt.Sprint("y", round)), 0, 0))); len(got) == 0 {
			t.Fatal("no call was sent")
		} else if len(s.inProgress) != 1 {
			t.Fatalf("%d calls at a server that has not proven itself, want 1", len(s.inProgress))
		}
		n.after(ms, CallerLeft{ID: CallID(fmt.Sprint("x", round))}, CallerLeft{ID: CallID(fmt.Sprint("y", round))})
	}
	if first := firstBackOff(n); rests[0] < first || rests[1] < 2*rests[0] || rests[2] < 2*rests[1]-first {
		t.Errorf("rests %v, want each twice the last", rests)
	}
	n.c.markSuspect(s, n.now)
	n.after(ms, newReport("a", 100, 3400, 1))
	if wait, least := s.backOffUntil-n.now, 3400*ms-time.Duration(targetWaitShare*float64(n.c.tightestAim)); wait < least-ms {
		t.Errorf("a server that tells a wait of 3.4 s rests %v, want %v", wait, least)
	}
	n.stepFor(s.backOffUntil-n.now+ms, 5*ms)
	n.after(ms, CallStands{ID: "none", Server: "a", Elapsed: 10 * ms})
	if s.suspect || s.backOff != 0 {
		t.Error("a call that stood at once did not end the doubt")
	}
}

// TestTrialsAreOfFirstChoice: a server in doubt gets nothing that spills over from others, unless calls have no first choice.
func TestTrialsAreOfFirstChoice(t *testing.T) {
	n := newRateNode(t, "a", "b")
	for _, s := range n.c.servers {
		s.suspect, s.backOffUntil = true, n.now
	}
	other, home := newOffer("other", 0, 0), newOffer("home", 0, 0)
	other.FirstCell, home.FirstCell = 1, 0
	n.c.byID["b"].backOffUntil = time.Hour * 24 * 365
	if sent := actionsOf[SetUp](n.after(ms, other)); len(sent) != 0 {
		t.Errorf("sent %v to a server in doubt", sent)
	}
	if sent := actionsOf[SetUp](n.after(ms, home)); len(sent) != 1 || sent[0].ID != "home" || sent[0].Server != "a" {
		t.Errorf("sent %v, want the call of first choice", sent)
	}
	// Nobody's first choice, and without calls to report on, it would be in doubt for ever.
	n.c.byID["a"].removeAttempt(n.c.calls["home"])
	n.after(maxBackOffFactor*maxFirstBackOff, CallerLeft{ID: "other"}, CallerLeft{ID: "home"})
	late := newOffer("late", 0, 0)
	late.FirstCell = 1
	if sent := actionsOf[SetUp](n.after(ms, late)); len(sent) != 1 || sent[0].Server != "a" {
		t.Errorf("sent %v, want a trial call of second choice after a long time without any", sent)
	}
	n.c.byID["a"].removeAttempt(n.c.calls["late"])
	none := newOffer("none", 0, 0)
	none.FirstCell = 9
	if sent := actionsOf[SetUp](n.after(ms, none)); len(sent) != 1 {
		t.Errorf("sent %v, want the call that has no first choice", sent)
	}
}

// BenchmarkStep is the cost of a turn at the size of the grown deployments: twelve servers, some of them
// with closed windows, and calls that wait.
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
		if i%3 == 0 { // some thirty calls a second, a burst after a stall
			events = append(events, newOffer(CallID(fmt.Sprint(i)), i%2, i%12))
		}
		actions := c.Step(now, events)
		events = events[:0]
		for _, a := range actionsOf[SetUp](actions) {
			events = append(events, CallStands{ID: a.ID, Server: a.Server, Elapsed: time.Duration(i%40) * 10 * ms})
		}
	}
}

// FuzzRules plays scripts of events and checks the rules that one node can break by itself.
func FuzzRules(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b"))
	f.Add([]byte("aabbccddeeffgghhiijjkkllmm"))
	f.Fuzz(func(t *testing.T, script []byte) {
		s := settings()
		s.Classes[1].Idempotency = Idempotency(len(script) % 3)
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		ids := []ServerID{"a", "b", "c"}
		now := time.Hour
		gone := map[ServerID]bool{"a": true, "b": true, "c": true}
		type state struct {
			out      bool
			server   ServerID
			attempts int
			ready    time.Duration
			deadline time.Duration
			unsafe   bool // may have run, and must not run again nor be refused
		}
		owed := map[CallID]*state{}
		var order []CallID
		classOf := map[CallID]int{}
		play := func(events ...Event) {
			for _, a := range c.Step(now, events) {
				switch a := a.(type) {
				case SetUp:
					k := owed[a.ID]
					switch {
					case k == nil:
						t.Fatalf("set-up of %q, which is not owed", a.ID)
					case k.out:
						t.Fatalf("two attempts of %q are out", a.ID)
					case gone[a.Server]:
						t.Fatalf("set-up to %q, which drains or is gone", a.Server)
					case now < k.ready:
						t.Fatalf("%q was sent %v before its release", a.ID, k.ready-now)
					case k.unsafe:
						t.Fatalf("%q may have run and was sent again", a.ID)
					case k.attempts == s.MaxAttempts:
						t.Fatalf("%q was sent more than %d times", a.ID, s.MaxAttempts)
					}
					k.out, k.server = true, a.Server
					k.attempts++
				case Refuse:
					if owed[a.ID] == nil {
						t.Fatalf("%q was refused without being owed", a.ID)
					}
					if owed[a.ID].unsafe {
						t.Fatalf("%q may have run and was refused", a.ID)
					}
					delete(owed, a.ID)
				case Fail:
					if owed[a.ID] == nil {
						t.Fatalf("%q failed without being owed", a.ID)
					}
					delete(owed, a.ID)
				case Cancel:
					if k := owed[a.ID]; k == nil || !k.out || a.Attempt != k.attempts-1 {
						t.Fatalf("cancel of attempt %d of %q, which is not out", a.Attempt, a.ID)
					}
				}
			}
			for _, id := range order {
				if k := owed[id]; k != nil && !k.out && now > k.deadline+s.AnswerGrace {
					t.Fatalf("%q has no final answer %v after its deadline", id, now-k.deadline)
				}
			}
		}
		for i, b := range script {
			now += 5 * ms
			switch b % 8 {
			case 0, 1, 2:
				id := CallID(fmt.Sprint(i))
				owed[id] = &state{deadline: now + 3*time.Second}
				order = append(order, id)
				classOf[id] = int(b/8) % 2
				play(newOffer(id, int(b/8)%2, int(b/16)%3))
			case 3:
				server := ids[int(b/8)%3]
				status := ServerStatus(int(b/24) % 3)
				gone[server] = status != Active
				play(ListReceived{Entries: []ServerEntry{{ID: server, Cell: int(b/8) % 3, Status: status}}})
			case 4, 5: // the oldest attempt ends
				for _, id := range order {
					k := owed[id]
					if k == nil || !k.out {
						continue
					}
					k.out = false
					o := []Outcome{Full, TimedOut, Reset, Cancelled, Unreachable, NotSent, Failed}[int(b/8)%7]
					if o == TimedOut || o == Reset || o == Cancelled {
						k.ready = now + s.ReleaseGuard
					}
					if classOf[id] == 1 && s.Classes[1].Idempotency == NonIdempotent {
						k.unsafe = k.unsafe || o == TimedOut || o == Reset || o == Cancelled || o == Failed
					}
					play(AttemptEnded{ID: id, Server: k.server, Attempt: k.attempts - 1, Outcome: o, Elapsed: ms})
					break
				}
			case 6: // the oldest attempt stands
				for _, id := range order {
					if k := owed[id]; k != nil && k.out {
						server := k.server
						delete(owed, id)
						play(CallStands{ID: id, Server: server, Elapsed: time.Duration(b) * ms})
						break
					}
				}
			case 7:
				for step := 0; step < int(b/8); step++ {
					now += 5 * ms
					var ended []Event
					for _, id := range order { // attempts end with their callers' time
						if k := owed[id]; k != nil && k.out && now >= k.deadline {
							k.out, k.ready = false, now+s.ReleaseGuard
							ended = append(ended, AttemptEnded{ID: id, Server: k.server, Attempt: k.attempts - 1,
								Outcome: TimedOut})
						}
					}
					play(ended...)
				}
			}
		}
	})
}
