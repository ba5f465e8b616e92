package links

// Share divides the descriptors of a process, beside those that it needs itself, between callers and connections to dispatchers.
type Share struct {
	Sockets int // that there are for both
	Callers int // that callers may hold at most, for a moment
	Kept    int // that are kept for callers, whether they come or not
	Ahead   int // that are kept beyond the callers that there are: so many may come before idle connections to dispatchers have made room
}

// Divide is what callers and dispatchers may hold while so many callers are connected: what callers do not use is the dispatchers', but for
// what is kept. One connection to a dispatcher there may be in any case.
func (s Share) Divide(connected int) (callers, dispatchers int) {
	callers = min(max(s.Kept, connected)+s.Ahead, s.Callers)
	dispatchers = max(s.Sockets-callers, 1)
	return callers, dispatchers
}

// Accept is how many callers may be connected while connections to dispatchers hold so many sockets: until those that are beyond their part
// have ended, their sockets are not there.
func (s Share) Accept(connected, held int) int {
	callers, dispatchers := s.Divide(connected)
	return max(callers-max(held-dispatchers, 0), 1)
}
