// Package subset decides which of the listed dispatchers one controller connects to: a deterministic subset by rendezvous hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), its own zone first. Each controller ranks all
// dispatchers by a hash of its own identity and theirs, and takes the first ones; so no controller needs to know of another, a restarted
// one finds the same dispatchers, and one that comes or goes moves no others' places. There is no I/O here, and the clock is an
// argument. docs/subset.md weighs the alternatives.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherryrelay/control"
)

const (
	// DefaultSize is the least size, rounded, at which hashing leaves no dispatcher with more than 1.5 times the mean number of
	// controllers, at 3,000 of each: with a mean of n, the chance that one has more falls with exp(-0.108 n).
	DefaultSize = 96
	// DefaultShrinkAfter is how long there must have been no need before a subset that has grown gives places back.
	DefaultShrinkAfter = time.Minute
	// MaxSize bounds sizes: each dispatcher in a subset is a connection.
	MaxSize = 1 << 20
	// defaultGrowthFactor is how many times its size a subset may grow to.
	defaultGrowthFactor = 8
	// otherZoneShare of the places go to other zones than the own one, so that the own one can be lost while it is still listed.
	otherZoneShare = 1.0 / 8
	// otherZoneGrowthShare is as much of the places that need has added: what refuses is more likely to be one zone than the rest.
	otherZoneGrowthShare = 1.0 / 2
)

// Options say what one controller's subset is.
type Options struct {
	Identity    string        // the controller's; it must be another's never, and the same after a restart
	Zone        string        // whose dispatchers are preferred; empty for none
	Size        int           // dispatchers in the subset; 0 for DefaultSize
	GrowthLimit int           // as many after growth; 0 for eight times the size
	ShrinkAfter time.Duration // without need until a subset shrinks; 0 for DefaultShrinkAfter
}

// WithDefaults fills in what is not given.
func (o Options) WithDefaults() Options {
	o.Size = cmp.Or(o.Size, DefaultSize)
	o.GrowthLimit = cmp.Or(o.GrowthLimit, min(defaultGrowthFactor*o.Size, MaxSize))
	o.ShrinkAfter = cmp.Or(o.ShrinkAfter, DefaultShrinkAfter)
	return o
}

// Check reports what a subset could not be made by.
func (o Options) Check() error {
	o = o.WithDefaults()
	switch {
	case o.Size < 1 || o.Size > MaxSize:
		return fmt.Errorf("size: %d is not from 1 to %d", o.Size, MaxSize)
	case o.GrowthLimit < o.Size || o.GrowthLimit > MaxSize:
		return fmt.Errorf("most: %d is not from the size, %d, to %d", o.GrowthLimit, o.Size, MaxSize)
	case o.ShrinkAfter < 0:
		return fmt.Errorf("quiet_ms: %d is below 0", o.ShrinkAfter.Milliseconds())
	}
	return nil
}

// Entry is a listed dispatcher.
type Entry struct {
	ID     control.ServerID
	Zone   string
	Cell   int  // the group that a call's first choice names
	Active bool // false: it drains, and fills no place
}

// member is an entry with its places in the rankings.
type member struct {
	Entry
	score       uint64
	zoneRanking *ranking // the own zone's or the others'
	zoneSlot,
	cellSlot *slot
	selectedBy int  // in how many rankings it is chosen
	reported   bool // it is in the subset as far as Changes has told
}

// ranksBefore reports whether a member ranks before another one.
func (m *member) ranksBefore(o *member) bool {
	if m.score != o.score {
		return m.score > o.score
	}
	return m.ID < o.ID
}

// cell is a group of dispatchers; it has places of its own while calls have it as their first choice.
type cell struct {
	*ranking
	inSubset   int // its dispatchers in the subset, by whatever ranking
	lastUsedAt time.Duration
	inUse      bool
}

// Subset is one controller's. It is not safe for concurrent use. Times are on any clock that does not go back.
type Subset struct {
	options    Options
	seed       uint64
	members    map[control.ServerID]*member
	ownZone    *ranking // of the own zone, or of all if no zone is preferred
	otherZones *ranking // of the other zones
	cells      map[int]*cell
	usedCells  map[int]*cell // those with places of their own
	targetSize int           // size by now
	lastNeedAt time.Duration // when more was last needed, or the size last changed
	changed    map[*member]bool
	onChange   func(*member, int)
	size       int // members in the subset
	growths    int
}

// New returns the subset of an empty list. The options must pass Check.
func New(o Options) *Subset {
	o = o.WithDefaults()
	s := &Subset{
		options: o, seed: xxhash.Sum64String(o.Identity), targetSize: o.Size, changed: map[*member]bool{},
		members: map[control.ServerID]*member{}, cells: map[int]*cell{}, usedCells: map[int]*cell{},
	}
	s.onChange = s.updateSelection
	s.ownZone, s.otherZones = newRanking(s.onChange), newRanking(s.onChange)
	return s
}

// updateSelection counts the places of a member.
func (s *Subset) updateSelection(m *member, by int) {
	before := m.selectedBy > 0
	m.selectedBy += by
	if after := m.selectedBy > 0; before != after {
		s.changed[m] = true
		s.size += by
		s.cells[m.Cell].inSubset += by
	}
}

// score is the weight of a dispatcher for this controller, as rendezvous hashing has it.
func (s *Subset) score(id control.ServerID) uint64 {
	d := xxhash.NewWithSeed(s.seed)
	_, _ = d.WriteString(string(id)) // it never fails
	return d.Sum64()
}

// Put takes in a dispatcher, or what has changed of it.
func (s *Subset) Put(e Entry) {
	m := s.members[e.ID]
	switch {
	case m == nil:
		m = &member{score: s.score(e.ID)}
		s.members[e.ID] = m
	case m.Entry == e:
		return
	}
	s.unrank(m)
	m.Entry = e
	s.rank(m)
	s.balance()
}

// Remove forgets a dispatcher that is listed no more. Changes does not tell of it.
func (s *Subset) Remove(id control.ServerID) {
	m := s.members[id]
	if m == nil {
		return
	}
	s.unrank(m)
	delete(s.members, id)
	delete(s.changed, m)
	s.balance()
}

func (s *Subset) rank(m *member) {
	if !m.Active {
		return
	}
	c := s.cells[m.Cell]
	if c == nil {
		c = &cell{ranking: newRanking(s.onChange)}
		s.cells[m.Cell] = c
	}
	m.cellSlot = c.add(m)
	m.zoneRanking = s.ownZone
	if s.options.Zone != "" && m.Zone != s.options.Zone {
		m.zoneRanking = s.otherZones
	}
	m.zoneSlot = m.zoneRanking.add(m)
}

func (s *Subset) unrank(m *member) {
	if m.zoneSlot == nil {
		return
	}
	m.zoneRanking.remove(m.zoneSlot)
	c := s.cells[m.Cell]
	c.remove(m.cellSlot)
	m.zoneRanking, m.zoneSlot, m.cellSlot = nil, nil, nil
	if c.len() == 0 && !c.inUse {
		delete(s.cells, m.Cell)
	}
}

// balance shares the places out between the own zone and the others: what one can't fill, the other may.
func (s *Subset) balance() {
	grown := float64(s.targetSize - s.options.Size)
	spare := int(math.Ceil(otherZoneShare*float64(s.options.Size) + otherZoneGrowthShare*grown))
	near := min(s.ownZone.len(), s.targetSize-min(spare, s.otherZones.len()))
	s.ownZone.setQuota(near)
	s.otherZones.setQuota(s.targetSize - near)
}

// UseCell gives the dispatchers of a call's first choice places of their own, as many as the subset has at most: those that rank first.
// Where all groups in use would have more than the options' Most, the one that was used least lately gives its places back.
func (s *Subset) UseCell(now time.Duration, group int) {
	c := s.cells[group]
	if c == nil {
		return
	}
	c.lastUsedAt = now
	if c.inUse {
		return
	}
	c.inUse = true
	s.usedCells[group] = c
	c.setQuota(s.targetSize)
	for s.usedCellPlaces() > s.options.GrowthLimit && len(s.usedCells) > 1 {
		s.releaseCell(s.leastRecentlyUsedCell())
	}
}

// usedCellPlaces is the number of places that groups in use have.
func (s *Subset) usedCellPlaces() int {
	n := 0
	for _, c := range s.usedCells {
		n += c.selected.Len()
	}
	return n
}

// leastRecentlyUsedCell is the group whose last use is the longest ago.
func (s *Subset) leastRecentlyUsedCell() int {
	stalest, found := 0, false
	for group, c := range s.usedCells {
		if !found || c.lastUsedAt < s.usedCells[stalest].lastUsedAt || c.lastUsedAt == s.usedCells[stalest].lastUsedAt && group < stalest {
			stalest, found = group, true
		}
	}
	return stalest
}

func (s *Subset) releaseCell(group int) {
	c := s.usedCells[group]
	c.inUse = false
	delete(s.usedCells, group)
	c.setQuota(0)
	if c.len() == 0 {
		delete(s.cells, group)
	}
}

// Grow gives the subset as many more places as it has without need, as it has dispatchers that refuse or are full. It reports whether that
// brought any dispatcher.
func (s *Subset) Grow(now time.Duration) bool {
	s.lastNeedAt = now
	before := s.size
	for s.size == before && s.targetSize < s.options.GrowthLimit && s.targetSize < s.Active() {
		s.setTargetSize(min(s.targetSize+s.options.Size, s.options.GrowthLimit))
	}
	if s.size == before {
		return false
	}
	s.growths++
	return true
}

// Shrink gives back what has not been needed for long: what one growth has brought, and groups that no call has had as first choice. The
// places stay needed while those that would remain are scarce. Its cost goes by the subset and the groups in use.
func (s *Subset) Shrink(now time.Duration, sound func(control.ServerID) bool) {
	for group, c := range s.usedCells {
		if now-c.lastUsedAt >= s.options.ShrinkAfter {
			s.releaseCell(group)
		}
	}
	if s.targetSize > s.options.Size && now-s.lastNeedAt >= s.options.ShrinkAfter {
		s.lastNeedAt = now
		before := s.targetSize
		if s.setTargetSize(max(s.targetSize-s.options.Size, s.options.Size)); s.TooFewUsable(sound) {
			s.setTargetSize(before)
		}
	}
}

// TooFewUsable reports whether sound holds for less than half as many dispatchers as the subset has without need, or as are listed if that is
// less. Places of groups in use don't count. Its cost goes by the subset.
func (s *Subset) TooFewUsable(sound func(control.ServerID) bool) bool {
	n := 0
	for _, r := range []*ranking{s.ownZone, s.otherZones} {
		for _, o := range r.selected.slots {
			if sound(o.member.ID) {
				n++
			}
		}
	}
	return 2*n < min(s.options.Size, s.Active())
}

// AtBaseSize reports whether there is nothing to give back.
func (s *Subset) AtBaseSize() bool { return s.targetSize == s.options.Size && len(s.usedCells) == 0 }

func (s *Subset) setTargetSize(target int) {
	s.targetSize = target
	s.balance()
	for _, c := range s.usedCells {
		c.setQuota(target)
	}
}

// Changes are the dispatchers that have joined and left the subset since it was last asked, by name. One that drains has left; one
// that was removed is not named.
func (s *Subset) Changes() (joined, left []control.ServerID) {
	for m := range s.changed {
		in := m.selectedBy > 0
		switch {
		case in && !m.reported:
			joined = append(joined, m.ID)
		case !in && m.reported:
			left = append(left, m.ID)
		}
		m.reported = in
	}
	clear(s.changed)
	slices.Sort(joined)
	slices.Sort(left)
	return joined, left
}

// Has reports whether a dispatcher is in the subset.
func (s *Subset) Has(id control.ServerID) bool {
	m := s.members[id]
	return m != nil && m.selectedBy > 0
}

// CountInCell is the number of dispatchers of the group that are in the subset.
func (s *Subset) CountInCell(group int) int {
	if c := s.cells[group]; c != nil {
		return c.inSubset
	}
	return 0
}

// Active is the number of listed dispatchers that can fill a place.
func (s *Subset) Active() int { return s.ownZone.len() + s.otherZones.len() }

// Len is the number of dispatchers in the subset.
func (s *Subset) Len() int { return s.size }

// Growths is how often it has grown.
func (s *Subset) Growths() int { return s.growths }
