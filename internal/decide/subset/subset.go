// Package subset decides which of the listed dispatchers a controller connects to: a deterministic subset by rendezvous hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998), which prefers the controller's own zone.
// Each controller ranks all dispatchers by a hash of its own identity and theirs, and selects the first ones. So controllers
// need not know of each other, a restarted one selects the same dispatchers, and adding or removing a dispatcher does not
// change the rank of any other. The package does no I/O, and the time is an argument. docs/subset.md compares the alternatives.
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
	// DefaultSize is the smallest size, rounded, at which hashing leaves no dispatcher with more than 1.5 times the mean number
	// of controllers, at 3,000 of each. With a mean of n, the probability that a dispatcher exceeds that falls with
	// exp(-0.108 n).
	DefaultSize = 96
	// DefaultShrinkAfter is how long a grown subset must not have been needed before it shrinks.
	DefaultShrinkAfter = time.Minute
	// MaxSize limits sizes: each dispatcher in a subset is a connection.
	MaxSize = 1 << 20
	// defaultGrowthFactor is how many times its base size a subset may grow to.
	defaultGrowthFactor = 8
	// otherZoneShare is the share of places for dispatchers of other zones, so that the own zone may fail while its dispatchers
	// are still listed.
	otherZoneShare = 1.0 / 8
	// otherZoneGrowthShare is the share of the places added by growth that go to other zones. It is higher, since dispatchers
	// that refuse calls are more likely to belong to one zone than to the others.
	otherZoneGrowthShare = 1.0 / 2
)

// Options configure the subset of one controller.
type Options struct {
	Identity    string        // identity of the controller, unique and the same after a restart
	Zone        string        // zone whose dispatchers are preferred; empty for none
	Size        int           // number of dispatchers before growth; 0 for DefaultSize
	GrowthLimit int           // maximum after growth; 0 for eight times Size
	ShrinkAfter time.Duration // how long growth must not have been needed before the subset shrinks; 0 for DefaultShrinkAfter
}

// WithDefaults replaces zero values by defaults.
func (o Options) WithDefaults() Options {
	o.Size = cmp.Or(o.Size, DefaultSize)
	o.GrowthLimit = cmp.Or(o.GrowthLimit, min(defaultGrowthFactor*o.Size, MaxSize))
	o.ShrinkAfter = cmp.Or(o.ShrinkAfter, DefaultShrinkAfter)
	return o
}

// Check returns an error that names the setting if an option is out of range.
func (o Options) Check() error {
	o = o.WithDefaults()
	switch {
	case o.Size < 1 || o.Size > MaxSize:
		return fmt.Errorf("size: %d is not from 1 to %d", o.Size, MaxSize)
	case o.GrowthLimit < o.Size || o.GrowthLimit > MaxSize:
		return fmt.Errorf("most: %d is not from %d (the size) to %d", o.GrowthLimit, o.Size, MaxSize)
	case o.ShrinkAfter < 0:
		return fmt.Errorf("quiet_ms: %d is negative", o.ShrinkAfter.Milliseconds())
	}
	return nil
}

// Entry is a listed dispatcher.
type Entry struct {
	ID     control.ServerID
	Zone   string
	Cell   int  // the group that a call's first choice names
	Active bool // false if it is draining; it fills no place then
}

// member is an entry with its slots in the rankings.
type member struct {
	Entry
	score       uint64
	zoneRanking *ranking // ownZone or otherZones of the Subset
	zoneSlot,
	cellSlot *slot
	selectedBy int  // number of rankings that select it
	reported   bool // it was in the subset at the last call of Changes
}

// ranksBefore reports whether a member ranks before another one.
func (m *member) ranksBefore(other *member) bool {
	if m.score != other.score {
		return m.score > other.score
	}
	return m.ID < other.ID
}

// cell is a group of dispatchers. It has places of its own while calls have it as their first choice.
type cell struct {
	*ranking
	inSubset   int // its dispatchers in the subset, by any ranking
	lastUsedAt time.Duration
	inUse      bool
}

// Subset is the subset of one controller. It is not safe for concurrent use. Times are readings of any monotonic clock.
type Subset struct {
	options    Options
	seed       uint64
	members    map[control.ServerID]*member
	ownZone    *ranking // dispatchers of the own zone, or all if no zone is preferred
	otherZones *ranking // dispatchers of the other zones
	cells      map[int]*cell
	usedCells  map[int]*cell // cells with places of their own
	targetSize int           // current size without the places of cells
	lastNeedAt time.Duration // when growth was last needed, or the subset last shrunk
	changed    map[*member]bool
	onChange   func(*member, int)
	size       int // members in the subset
	growths    int
}

// New returns a Subset of an empty list. The options must pass Check.
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

// updateSelection updates the number of rankings that select a member, and the counts that depend on it.
func (s *Subset) updateSelection(m *member, by int) {
	before := m.selectedBy > 0
	m.selectedBy += by
	if after := m.selectedBy > 0; before != after {
		s.changed[m] = true
		s.size += by
		s.cells[m.Cell].inSubset += by
	}
}

// score returns the rendezvous hash of a dispatcher for this controller.
func (s *Subset) score(id control.ServerID) uint64 {
	d := xxhash.NewWithSeed(s.seed)
	_, _ = d.WriteString(string(id)) // Digest.WriteString never fails
	return d.Sum64()
}

// Put adds a dispatcher or updates it.
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

// Remove removes a dispatcher that is no longer listed. Changes does not report it.
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

// balance divides the places between the own zone and the others. Places that one cannot fill go to the other.
func (s *Subset) balance() {
	grown := float64(s.targetSize - s.options.Size)
	minOtherZones := int(math.Ceil(otherZoneShare*float64(s.options.Size) + otherZoneGrowthShare*grown))
	ownZone := min(s.ownZone.len(), s.targetSize-min(minOtherZones, s.otherZones.len()))
	s.ownZone.setQuota(ownZone)
	s.otherZones.setQuota(s.targetSize - ownZone)
}

// UseCell gives the cell that is the first choice of a call places of its own, for its best-ranked dispatchers, up to the
// current target size. If the cells in use then have more than GrowthLimit places together, the least recently used ones lose
// theirs.
func (s *Subset) UseCell(now time.Duration, number int) {
	c := s.cells[number]
	if c == nil {
		return
	}
	c.lastUsedAt = now
	if c.inUse {
		return
	}
	c.inUse = true
	s.usedCells[number] = c
	c.setQuota(s.targetSize)
	for s.usedCellPlaces() > s.options.GrowthLimit && len(s.usedCells) > 1 {
		s.releaseCell(s.leastRecentlyUsedCell())
	}
}

// usedCellPlaces returns the number of places that the cells in use have.
func (s *Subset) usedCellPlaces() int {
	n := 0
	for _, c := range s.usedCells {
		n += c.selected.Len()
	}
	return n
}

// leastRecentlyUsedCell returns the cell in use that was used least recently.
func (s *Subset) leastRecentlyUsedCell() int {
	oldest, found := 0, false
	for number, c := range s.usedCells {
		if !found || c.lastUsedAt < s.usedCells[oldest].lastUsedAt || c.lastUsedAt == s.usedCells[oldest].lastUsedAt && number < oldest {
			oldest, found = number, true
		}
	}
	return oldest
}

func (s *Subset) releaseCell(number int) {
	c := s.usedCells[number]
	c.inUse = false
	delete(s.usedCells, number)
	c.setQuota(0)
	if c.len() == 0 {
		delete(s.cells, number)
	}
}

// Grow adds as many places as the base size, because dispatchers refuse calls or are at capacity. It reports whether that added
// any dispatcher.
func (s *Subset) Grow(now time.Duration) bool {
	s.lastNeedAt = now
	before := s.size
	for s.size == before && s.targetSize < s.options.GrowthLimit && s.targetSize < s.ActiveCount() {
		s.setTargetSize(min(s.targetSize+s.options.Size, s.options.GrowthLimit))
	}
	if s.size == before {
		return false
	}
	s.growths++
	return true
}

// Shrink removes what has not been needed for ShrinkAfter: the places of one growth step, and the places of cells that no call
// had as first choice. The places of growth stay while too few of the remaining dispatchers would be usable. It takes time
// proportional to the subset and the cells in use.
func (s *Subset) Shrink(now time.Duration, usable func(control.ServerID) bool) {
	for number, c := range s.usedCells {
		if now-c.lastUsedAt >= s.options.ShrinkAfter {
			s.releaseCell(number)
		}
	}
	if s.targetSize > s.options.Size && now-s.lastNeedAt >= s.options.ShrinkAfter {
		s.lastNeedAt = now
		before := s.targetSize
		if s.setTargetSize(max(s.targetSize-s.options.Size, s.options.Size)); s.TooFewUsable(usable) {
			s.setTargetSize(before)
		}
	}
}

// TooFewUsable reports whether fewer dispatchers are usable than half of the base size, or half of the listed dispatchers if
// that is less. Places of cells in use do not count. It takes time proportional to the subset.
func (s *Subset) TooFewUsable(usable func(control.ServerID) bool) bool {
	n := 0
	for _, r := range []*ranking{s.ownZone, s.otherZones} {
		for _, place := range r.selected.slots {
			if usable(place.member.ID) {
				n++
			}
		}
	}
	return 2*n < min(s.options.Size, s.ActiveCount())
}

// AtBaseSize reports whether there is nothing to shrink: no growth, and no cell in use.
func (s *Subset) AtBaseSize() bool { return s.targetSize == s.options.Size && len(s.usedCells) == 0 }

func (s *Subset) setTargetSize(target int) {
	s.targetSize = target
	s.balance()
	for _, c := range s.usedCells {
		c.setQuota(target)
	}
}

// Changes returns the sorted dispatchers that have joined and left the subset since its last call. A dispatcher that is
// draining has left. One that was removed is not included.
func (s *Subset) Changes() (joined, left []control.ServerID) {
	for m := range s.changed {
		selected := m.selectedBy > 0
		switch {
		case selected && !m.reported:
			joined = append(joined, m.ID)
		case !selected && m.reported:
			left = append(left, m.ID)
		}
		m.reported = selected
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

// CountInCell returns the number of dispatchers of the cell that are in the subset.
func (s *Subset) CountInCell(number int) int {
	if c := s.cells[number]; c != nil {
		return c.inSubset
	}
	return 0
}

// ActiveCount returns the number of listed dispatchers that can fill a place.
func (s *Subset) ActiveCount() int { return s.ownZone.len() + s.otherZones.len() }

// Len returns the number of dispatchers in the subset.
func (s *Subset) Len() int { return s.size }

// Growths returns how often the subset has grown.
func (s *Subset) Growths() int { return s.growths }
