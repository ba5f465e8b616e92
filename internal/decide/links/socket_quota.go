package links

// SocketQuota divides the descriptors of a process, beside those that it needs itself, between callers and connections to dispatchers.
type SocketQuota struct {
	Sockets    int // that there are for both
	MaxCallers int // that callers may hold at most, for a moment
	Reserved   int // that are kept for callers, whether they come or not
	Headroom   int // that are kept beyond the callers that there are: so many may come before idle connections to dispatchers have made room
}

// Divide is what callers and dispatchers may hold while so many callers are connected: what callers do not use is the dispatchers', but for
// what is kept. One connection to a dispatcher there may be in any case.
func (s SocketQuota) Divide(connected int) (callers, dispatchers int) {
	callers = min(max(s.Reserved, connected)+s.Headroom, s.MaxCallers)
	dispatchers = max(s.Sockets-callers, 1)
	return callers, dispatchers
}

// CallerLimit is how many callers may be connected while connections to dispatchers hold so many sockets: until those that are beyond their part
// have ended, their sockets are not there.
func (s SocketQuota) CallerLimit(connected, held int) int {
	callers, dispatchers := s.Divide(connected)
	return max(callers-max(held-dispatchers, 0), 1)
}
