package subset

import "container/heap"

// slot is the place of a dispatcher in one ranking.
type slot struct {
	member *member
	index  int // in the heap that holds it
}

// slotHeap is a heap of slots with the best one at its root or, with worstFirst, the worst one.
type slotHeap struct {
	slots      []*slot
	worstFirst bool
}

func (h *slotHeap) Len() int { return len(h.slots) }

func (h *slotHeap) Less(i, j int) bool {
	if h.worstFirst {
		i, j = j, i
	}
	return h.slots[i].member.ranksBefore(h.slots[j].member)
}

func (h *slotHeap) Swap(i, j int) {
	h.slots[i], h.slots[j] = h.slots[j], h.slots[i]
	h.slots[i].index, h.slots[j].index = i, j
}

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) {
	s, ok := x.(*slot)
	if !ok {
		return
	}
	s.index = len(h.slots)
	h.slots = append(h.slots, s)
}

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := h.slots[len(h.slots)-1]
	h.slots[len(h.slots)-1] = nil
	h.slots = h.slots[:len(h.slots)-1]
	return last
}

// contains reports whether the slot is in this heap.
func (h *slotHeap) contains(s *slot) bool { return s.index < len(h.slots) && h.slots[s.index] == s }

// ranking selects the best of its dispatchers, as many as its quota. Changing one dispatcher, or the quota by one, takes time
// logarithmic in their number.
type ranking struct {
	selected   slotHeap // the worst one at the root
	unselected slotHeap // the best one at the root
	quota      int
	onChange   func(m *member, by int) // called for each that becomes selected (1) and each that no longer is (-1)
}

func newRanking(onChange func(m *member, by int)) *ranking {
	return &ranking{selected: slotHeap{worstFirst: true}, onChange: onChange}
}

func (r *ranking) len() int { return r.selected.Len() + r.unselected.Len() }

func (r *ranking) add(m *member) *slot {
	s := &slot{member: m}
	heap.Push(&r.selected, s)
	r.onChange(m, 1)
	r.rebalance()
	return s
}

func (r *ranking) remove(s *slot) {
	if r.selected.contains(s) {
		heap.Remove(&r.selected, s.index)
		r.onChange(s.member, -1)
	} else if r.unselected.contains(s) {
		heap.Remove(&r.unselected, s.index)
	}
	r.rebalance()
}

func (r *ranking) setQuota(quota int) {
	r.quota = quota
	r.rebalance()
}

// rebalance moves slots between the heaps until exactly the quota is selected, as far as there are enough.
func (r *ranking) rebalance() {
	for r.selected.Len() > r.quota {
		r.moveRoot(&r.selected, &r.unselected, -1)
	}
	for r.selected.Len() < r.quota && r.unselected.Len() > 0 {
		r.moveRoot(&r.unselected, &r.selected, 1)
	}
}

// moveRoot moves the root of one heap to the other.
func (r *ranking) moveRoot(from, to *slotHeap, by int) {
	if s, ok := heap.Pop(from).(*slot); ok {
		heap.Push(to, s)
		r.onChange(s.member, by)
	}
}
