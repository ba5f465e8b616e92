package subset

import "container/heap"

// slot is a dispatcher's place in one ranking.
type slot struct {
	member *member
	index  int // in the heap that it is in
}

// slots is a heap of slots: the best one is at its root or, with worstFirst, the worst one.
type slots struct {
	all        []*slot
	worstFirst bool
}

func (h *slots) Len() int { return len(h.all) }

func (h *slots) Less(i, j int) bool {
	if h.worstFirst {
		i, j = j, i
	}
	return h.all[i].member.before(h.all[j].member)
}

func (h *slots) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].index, h.all[j].index = i, j
}

// Push is for container/heap.
func (h *slots) Push(x any) {
	s, ok := x.(*slot)
	if !ok {
		return
	}
	s.index = len(h.all)
	h.all = append(h.all, s)
}

// Pop is for container/heap.
func (h *slots) Pop() any {
	last := h.all[len(h.all)-1]
	h.all[len(h.all)-1] = nil
	h.all = h.all[:len(h.all)-1]
	return last
}

// holds reports whether the slot is in this heap.
func (h *slots) holds(s *slot) bool { return s.index < len(h.all) && h.all[s.index] == s }

// ranking keeps the best of its dispatchers chosen, as many as its quota. A change of one dispatcher, or of the quota by one, costs the
// logarithm of their number.
type ranking struct {
	chosen slots // the worst one at the root
	others slots // the best one at the root
	quota  int
	moved  func(m *member, by int) // told of each that is chosen (1), and each that no longer is (-1)
}

func newRanking(moved func(m *member, by int)) *ranking {
	return &ranking{chosen: slots{worstFirst: true}, moved: moved}
}

func (r *ranking) len() int { return r.chosen.Len() + r.others.Len() }

func (r *ranking) add(m *member) *slot {
	s := &slot{member: m}
	heap.Push(&r.chosen, s)
	r.moved(m, 1)
	r.settle()
	return s
}

func (r *ranking) remove(s *slot) {
	if r.chosen.holds(s) {
		heap.Remove(&r.chosen, s.index)
		r.moved(s.member, -1)
	} else if r.others.holds(s) {
		heap.Remove(&r.others, s.index)
	}
	r.settle()
}

func (r *ranking) resize(quota int) {
	r.quota = quota
	r.settle()
}

// settle fills the quota, and no more.
func (r *ranking) settle() {
	for r.chosen.Len() > r.quota {
		r.shift(&r.chosen, &r.others, -1)
	}
	for r.chosen.Len() < r.quota && r.others.Len() > 0 {
		r.shift(&r.others, &r.chosen, 1)
	}
}

// shift moves the root of one heap to the other.
func (r *ranking) shift(from, to *slots, by int) {
	if s, ok := heap.Pop(from).(*slot); ok {
		heap.Push(to, s)
		r.moved(s.member, by)
	}
}
