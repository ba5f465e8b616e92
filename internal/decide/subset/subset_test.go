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

// allUsable is sound.
func allUsable(control.ServerID) bool { return true }

// members of the subset, by name.
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

// TestLoadPerDispatcher counts, at 3,000 dispatchers and as many controllers, how many controllers connect to each. It
// goes by the definition, as TestSubsetMatchesDefinition holds the rest to it.
func TestLoadPerDispatcher(t *testing.T) {
	const n, zones = 3000, 3
	for _, zoned := range []bool{false, true} {
		users := map[control.ServerID]int{}
		var mu sync.Mutex
		var wait sync.WaitGroup
		for w := range runtime.GOMAXPROCS(0) {
			wait.Go(func() {
				list := newMembers(n, zones)
				for i := w; i < n; i += runtime.GOMAXPROCS(0) {
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
						t.Errorf("controller %d has another subset than the definition says", i)
					}
					mu.Lock()
					for _, id := range ids {
						users[id]++
					}
					mu.Unlock()
				}
			})
		}
		wait.Wait()
		most, least := 0, n
		for i := range n {
			of := users[newEntry(i, zones).ID]
			most, least = max(most, of), min(least, of)
		}
		t.Logf("own zone preferred %v: mean %d, from %d to %d", zoned, DefaultSize, least, most)
		if float64(most) > 1.5*DefaultSize {
			t.Errorf("own zone preferred %v: %d controllers connect to one dispatcher, the mean is %d", zoned, most, DefaultSize)
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

// countDifferences counts the names that are in one of two sorted lists alone.
func countDifferences(a, b []control.ServerID, but control.ServerID) int {
	n := 0
	for _, lists := range [][2][]control.ServerID{{a, b}, {b, a}} {
		for _, id := range lists[0] {
			if _, both := slices.BinarySearch(lists[1], id); !both && id != but {
				n++
			}
		}
	}
	return n
}

// subsetByDefinition is the subset by its definition, computed from the whole list, without groups, in no order.
func subsetByDefinition(s *Subset, list []*member) (ids []control.ServerID) {
	var near, far []uint64
	isNear := func(m *member) bool { return s.options.Zone == "" || m.Zone == s.options.Zone }
	for _, m := range list {
		switch {
		case !m.Active:
		case isNear(m):
			near = append(near, m.score)
		default:
			far = append(far, m.score)
		}
	}
	spare := (s.options.Size + 4*(s.targetSize-s.options.Size) + 7) / 8
	n := min(len(near), s.targetSize-min(spare, len(far)))
	leastNear, leastFar := lowestOfBest(near, n), lowestOfBest(far, min(len(far), s.targetSize-n))
	for _, m := range list {
		if m.Active && (isNear(m) && m.score >= leastNear || !isNear(m) && m.score >= leastFar) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// lowestOfBest is the lowest of the n highest scores.
func lowestOfBest(scores []uint64, n int) uint64 {
	if n == 0 {
		return math.MaxUint64
	}
	slices.Sort(scores)
	return scores[len(scores)-n]
}

// TestSubsetMatchesDefinition plays lists that change and needs that come and go, and holds each step against the definition:
// one dispatcher moves at most one other into the subset or out of it, and Changes tells what differs.
func TestSubsetMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Identity: rapid.StringN(1, 8, 16).Draw(t, "identity"), Size: rapid.IntRange(1, 20).Draw(t, "size"), ShrinkAfter: time.Second}
		o.GrowthLimit = o.Size * rapid.IntRange(1, 5).Draw(t, "growth")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		if rapid.Bool().Draw(t, "zoned") {
			o.Zone = "zone-0"
		}
		s, now := New(o), time.Duration(0)
		told := map[control.ServerID]bool{}
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
				delete(told, e.ID)
			case 8:
				s.Grow(now)
			case 9:
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				s.Shrink(now, allUsable)
			}
			after := s.all()
			if want := slices.Sorted(slices.Values(subsetByDefinition(s, slices.Collect(maps.Values(s.members))))); !slices.Equal(after, want) {
				t.Fatalf("the subset is %v, by its definition %v", after, want)
			}
			if n := countDifferences(before, after, e.ID); s.targetSize == target && n > 1 {
				t.Fatalf("%d others moved", n)
			}
			joined, left := s.Changes()
			for _, id := range joined {
				told[id] = true
			}
			for _, id := range left {
				delete(told, id)
			}
			if len(told) != len(after) || s.Len() != len(after) {
				t.Fatalf("told of %d, counted %d, there are %d", len(told), s.Len(), len(after))
			}
			if len(s.members) <= o.Size && len(after) != s.Active() {
				t.Fatalf("%d of %d are in the subset, though the size is %d", len(after), s.Active(), o.Size)
			}
		}
	})
}

// TestZoneFailure: the subset of a controller that prefers a zone has some of others, for when that zone is lost while it is listed; and with
// a zone off the list, the places are filled by what is left.
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
			t.Fatal("nobody of another zone is in the subset")
		}
		if o.Zone != "" && others > (o.Size+7)/8 && n/zones >= o.Size {
			t.Fatalf("%d of %d are of other zones", others, o.Size)
		}
		left := 0
		for i := range n {
			if i%zones == 0 {
				s.Remove(newEntry(i, zones).ID)
			} else {
				left++
			}
		}
		if s.Len() != min(left, o.Size) {
			t.Fatalf("%d in the subset, %d are left", s.Len(), left)
		}
	})
}

// TestGrowAndShrink follows needs over time.
func TestGrowAndShrink(t *testing.T) {
	s := newFilledSubset(Options{Identity: "a", Size: 10, GrowthLimit: 35, ShrinkAfter: time.Minute}, 300, 1)
	now := time.Hour
	for i, want := range []int{20, 30, 35, 35} {
		if grew := s.Grow(now); s.Len() != want || grew != (i < 3) {
			t.Fatalf("growth %d: %d in the subset, grew %v", i, s.Len(), grew)
		}
	}
	now += 50 * time.Second
	s.Grow(now) // which it can't, but the need is noted
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{59 * time.Second, 35}, {time.Second, 25}, {59 * time.Second, 25}, {time.Second, 15}, {time.Minute, 10}, {time.Hour, 10}} {
		now += step.after
		if s.Shrink(now, allUsable); s.Len() != step.want {
			t.Fatalf("%v later %d in the subset, not %d", step.after, s.Len(), step.want)
		}
	}
	s.Grow(now)
	s.Changes()
	now += time.Hour
	nobody := func(control.ServerID) bool { return false }
	if s.Shrink(now, nobody); s.Len() != 20 {
		t.Errorf("%d in the subset, though those that remain refuse", s.Len())
	}
	if joined, left := s.Changes(); len(joined)+len(left) > 0 {
		t.Errorf("%v joined and %v left", joined, left)
	}
	s.Shrink(now+time.Hour, allUsable)
	if !s.AtBaseSize() || s.Growths() != 4 {
		t.Fatalf("resting %v, %d growths", s.AtBaseSize(), s.Growths())
	}
}

// TestUseCell has every dispatcher be some call's first choice.
func TestUseCell(t *testing.T) {
	const most = 30
	s := newFilledSubset(Options{Identity: "a", Size: 10, GrowthLimit: most, ShrinkAfter: time.Minute}, 300, 1)
	now := time.Duration(0)
	for i := range 300 {
		now += time.Millisecond
		if s.UseCell(now, i); !s.Has(newEntry(i, 1).ID) || s.CountInCell(i) != 1 {
			t.Fatalf("dispatcher %d is out of reach", i)
		}
		if s.Len() > 10+most {
			t.Fatalf("%d in the subset", s.Len())
		}
	}
	s.UseCell(now, 12345) // nobody's group
	if s.Shrink(now+time.Minute, allUsable); s.Len() != 10 || !s.AtBaseSize() {
		t.Fatalf("%d in the subset after the quiet", s.Len())
	}
}

func TestOptionsCheck(t *testing.T) {
	for name, test := range map[string]struct {
		Options
		good bool
	}{
		"defaults":         {good: true},
		"a size":           {Options: Options{Size: 7}, good: true},
		"a size below one": {Options: Options{Size: -1}},
		"most below size":  {Options: Options{Size: 20, GrowthLimit: 10}},
		"no such size":     {Options: Options{Size: MaxSize + 1}},
		"quiet below zero": {Options: Options{ShrinkAfter: -1}},
	} {
		if err := test.Check(); (err == nil) != test.good {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// BenchmarkChange has one dispatcher go and come back.
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
