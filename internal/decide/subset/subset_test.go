package subset

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherryrelay/control"
)

func newEntry(i int, zones int) Entry {
	return Entry{ID: control.ServerID(fmt.Sprintf("dispatcher-%d", i)), Zone: fmt.Sprint("zone-", i%zones), Cell: i, Active: true}
}

func newFilledSubset(o Options, n, zones int) *Subset {
	s := New(o)
	for i := range n {
		s.Put(newEntry(i, zones))
	}
	return s
}

// allUsable regards every dispatcher as usable.
func allUsable(control.ServerID) bool { return true }

// all returns the sorted dispatchers of the subset.
func (s *Subset) all() []control.ServerID {
	var ids []control.ServerID
	for id, m := range s.members {
		if m.selectedBy > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestLoadPerDispatcher counts how many controllers connect to each dispatcher, with 3,000 of each. It computes the subsets by
// their definition; TestSubsetMatchesDefinition checks the implementation against it.
func TestLoadPerDispatcher(t *testing.T) {
	const n, zones = 3000, 3
	for _, zoned := range []bool{false, true} {
		users := map[control.ServerID]int{}
		var mu sync.Mutex
		var workers sync.WaitGroup
		for worker := range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				list := newMembers(n, zones)
				for i := worker; i < n; i += runtime.GOMAXPROCS(0) {
					o := Options{Identity: fmt.Sprintf("controller-%d", i)}
					if zoned {
						o.Zone = fmt.Sprint("zone-", i%zones)
					}
					s := New(o)
					for _, m := range list {
						m.score = s.score(m.ID)
					}
					ids := subsetByDefinition(s, list)
					if i < 10 && !slices.Equal(slices.Sorted(slices.Values(ids)), newFilledSubset(o, n, zones).all()) {
						t.Errorf("controller %d: the subset differs from its definition", i)
					}
					mu.Lock()
					for _, id := range ids {
						users[id]++
					}
					mu.Unlock()
				}
			})
		}
		workers.Wait()
		highest, lowest := 0, n
		for i := range n {
			count := users[newEntry(i, zones).ID]
			highest, lowest = max(highest, count), min(lowest, count)
		}
		t.Logf("own zone preferred %v: mean %d controllers per dispatcher, from %d to %d", zoned, DefaultSize, lowest, highest)
		if float64(highest) > 1.5*DefaultSize {
			t.Errorf("own zone preferred %v: %d controllers connect to one dispatcher, the mean is %d", zoned, highest, DefaultSize)
		}
	}
}

func newMembers(n, zones int) []*member {
	var list []*member
	for i := range n {
		list = append(list, &member{Entry: newEntry(i, zones)})
	}
	return list
}

// countDifferences counts the names that are in only one of two sorted lists, except for one name.
func countDifferences(a, b []control.ServerID, except control.ServerID) int {
	n := 0
	for _, lists := range [][2][]control.ServerID{{a, b}, {b, a}} {
		for _, id := range lists[0] {
			if _, found := slices.BinarySearch(lists[1], id); !found && id != except {
				n++
			}
		}
	}
	return n
}

// subsetByDefinition computes the unsorted subset from the whole list by its definition, without cells in use.
func subsetByDefinition(s *Subset, list []*member) (ids []control.ServerID) {
	var ownZone, otherZones []uint64
	inOwnZone := func(m *member) bool { return s.options.Zone == "" || m.Zone == s.options.Zone }
	for _, m := range list {
		switch {
		case !m.Active:
		case inOwnZone(m):
			ownZone = append(ownZone, m.score)
		default:
			otherZones = append(otherZones, m.score)
		}
	}
	minOtherZones := (s.options.Size + 4*(s.targetSize-s.options.Size) + 7) / 8
	n := min(len(ownZone), s.targetSize-min(minOtherZones, len(otherZones)))
	lowestOwnZone, lowestOtherZones := lowestOfBest(ownZone, n), lowestOfBest(otherZones, min(len(otherZones), s.targetSize-n))
	for _, m := range list {
		if m.Active && (inOwnZone(m) && m.score >= lowestOwnZone || !inOwnZone(m) && m.score >= lowestOtherZones) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// lowestOfBest returns the lowest of the n highest scores.
func lowestOfBest(scores []uint64, n int) uint64 {
	if n == 0 {
		return math.MaxUint64
	}
	slices.Sort(scores)
	return scores[len(scores)-n]
}

// TestSubsetMatchesDefinition applies random changes of the list and of the size, and compares each result with the definition.
// A change of one dispatcher moves at most one other into or out of the subset, and Changes reports all differences.
func TestSubsetMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Identity: rapid.StringN(1, 8, 16).Draw(t, "identity"), Size: rapid.IntRange(1, 20).Draw(t, "size"), ShrinkAfter: time.Second}
		o.GrowthLimit = o.Size * rapid.IntRange(1, 5).Draw(t, "growth")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		if rapid.Bool().Draw(t, "zoned") {
			o.Zone = "zone-0"
		}
		s, now := New(o), time.Duration(0)
		reported := map[control.ServerID]bool{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			before, target := s.all(), s.targetSize
			e := newEntry(rapid.IntRange(0, 60).Draw(t, "dispatcher"), zones)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				s.Put(e)
			case 5:
				e.Active = false
				s.Put(e)
			case 6, 7:
				s.Remove(e.ID)
				delete(reported, e.ID)
			case 8:
				s.Grow(now)
			case 9:
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				s.Shrink(now, allUsable)
			}
			after := s.all()
			if want := slices.Sorted(slices.Values(subsetByDefinition(s, slices.Collect(maps.Values(s.members))))); !slices.Equal(after, want) {
				t.Fatalf("the subset is %v, by definition %v", after, want)
			}
			if n := countDifferences(before, after, e.ID); s.targetSize == target && n > 1 {
				t.Fatalf("%d other dispatchers joined or left", n)
			}
			joined, left := s.Changes()
			for _, id := range joined {
				reported[id] = true
			}
			for _, id := range left {
				delete(reported, id)
			}
			if len(reported) != len(after) || s.Len() != len(after) {
				t.Fatalf("Changes reported %d dispatchers, Len is %d, the subset has %d", len(reported), s.Len(), len(after))
			}
			if len(s.members) <= o.Size && len(after) != s.ActiveCount() {
				t.Fatalf("%d of %d dispatchers are in the subset of size %d", len(after), s.ActiveCount(), o.Size)
			}
		}
	})
}

// TestZoneFailure checks that a subset that prefers a zone also has dispatchers of other zones, in case that zone fails while
// it is listed, and that the other zones fill its places once it is off the list.
func TestZoneFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(30, 400).Draw(t, "dispatchers")
		zones := rapid.IntRange(2, 5).Draw(t, "zones")
		o := Options{Identity: rapid.StringN(1, 8, 16).Draw(t, "identity"), Size: rapid.IntRange(4, 40).Draw(t, "size")}
		if rapid.Bool().Draw(t, "zoned") {
			o.Zone = "zone-0"
		}
		s := newFilledSubset(o, n, zones)
		others := 0
		for _, id := range s.all() {
			if s.members[id].Zone != "zone-0" {
				others++
			}
		}
		if o.Zone != "" && others == 0 {
			t.Fatal("no dispatcher of another zone is in the subset")
		}
		if o.Zone != "" && others > (o.Size+7)/8 && n/zones >= o.Size {
			t.Fatalf("%d of %d dispatchers are of other zones", others, o.Size)
		}
		listed := 0
		for i := range n {
			if i%zones == 0 {
				s.Remove(newEntry(i, zones).ID)
			} else {
				listed++
			}
		}
		if s.Len() != min(listed, o.Size) {
			t.Fatalf("%d dispatchers in the subset, %d are listed", s.Len(), listed)
		}
	})
}

// TestGrowAndShrink checks that growth is bounded and that the subset shrinks step by step once growth is no longer needed.
func TestGrowAndShrink(t *testing.T) {
	s := newFilledSubset(Options{Identity: "a", Size: 10, GrowthLimit: 35, ShrinkAfter: time.Minute}, 300, 1)
	now := time.Hour
	for i, want := range []int{20, 30, 35, 35} {
		if grew := s.Grow(now); s.Len() != want || grew != (i < 3) {
			t.Fatalf("growth %d: %d dispatchers in the subset, grew %v", i, s.Len(), grew)
		}
	}
	now += 50 * time.Second
	s.Grow(now) // at its limit, but the need is recorded
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{59 * time.Second, 35}, {time.Second, 25}, {59 * time.Second, 25}, {time.Second, 15}, {time.Minute, 10}, {time.Hour, 10}} {
		now += step.after
		if s.Shrink(now, allUsable); s.Len() != step.want {
			t.Fatalf("after %v: %d dispatchers in the subset, want %d", step.after, s.Len(), step.want)
		}
	}
	s.Grow(now)
	s.Changes()
	now += time.Hour
	noneUsable := func(control.ServerID) bool { return false }
	if s.Shrink(now, noneUsable); s.Len() != 20 {
		t.Errorf("shrunk to %d although no dispatcher is usable", s.Len())
	}
	if joined, left := s.Changes(); len(joined)+len(left) > 0 {
		t.Errorf("%v joined and %v left", joined, left)
	}
	s.Shrink(now+time.Hour, allUsable)
	if !s.AtBaseSize() || s.Growths() != 4 {
		t.Fatalf("at base size %v, %d growths", s.AtBaseSize(), s.Growths())
	}
}

// TestUseCell uses the cell of every dispatcher in turn. The dispatcher must then be in the subset, and the subset must stay
// bounded.
func TestUseCell(t *testing.T) {
	const growthLimit = 30
	s := newFilledSubset(Options{Identity: "a", Size: 10, GrowthLimit: growthLimit, ShrinkAfter: time.Minute}, 300, 1)
	now := time.Duration(0)
	for i := range 300 {
		now += time.Millisecond
		if s.UseCell(now, i); !s.Has(newEntry(i, 1).ID) || s.CountInCell(i) != 1 {
			t.Fatalf("dispatcher %d is not in the subset", i)
		}
		if s.Len() > 10+growthLimit {
			t.Fatalf("%d dispatchers in the subset", s.Len())
		}
	}
	s.UseCell(now, 12345) // a cell without dispatchers
	if s.Shrink(now+time.Minute, allUsable); s.Len() != 10 || !s.AtBaseSize() {
		t.Fatalf("%d dispatchers in the subset after shrinking", s.Len())
	}
}

func TestOptionsCheck(t *testing.T) {
	for name, test := range map[string]struct {
		Options
		valid bool
	}{
		"defaults":                {valid: true},
		"size":                    {Options: Options{Size: 7}, valid: true},
		"size below one":          {Options: Options{Size: -1}},
		"growth limit below size": {Options: Options{Size: 20, GrowthLimit: 10}},
		"size too large":          {Options: Options{Size: MaxSize + 1}},
		"negative shrink time":    {Options: Options{ShrinkAfter: -1}},
	} {
		if err := test.Check(); (err == nil) != test.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// BenchmarkChange removes and adds one dispatcher.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{3000, 37000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFilledSubset(Options{Identity: "a"}, n, 18)
			for i := 0; b.Loop(); i++ {
				e := newEntry(i%n, 18)
				s.Remove(e.ID)
				s.Put(e)
				s.Changes()
			}
		})
	}
}
