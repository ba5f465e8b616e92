package links

// SocketQuota divides the sockets of a process between callers and connections to dispatchers. It does not include the
// descriptors that the process needs for itself.
type SocketQuota struct {
	Sockets    int // for both together
	MaxCallers int // the most that callers may hold at a time
	Reserved   int // kept for callers even when unused
	Headroom   int // free for new callers beyond those connected, until idle connections to dispatchers are closed
}

// Divide returns how many sockets callers and dispatchers may hold while the given number of callers is connected. Dispatchers
// get what callers neither use nor have reserved, and at least one connection.
func (s SocketQuota) Divide(connected int) (callers, dispatchers int) {
	callers = min(max(s.Reserved, connected)+s.Headroom, s.MaxCallers)
	dispatchers = max(s.Sockets-callers, 1)
	return callers, dispatchers
}

// CallerLimit returns how many callers may be connected while connections to dispatchers hold the given number of sockets.
// Sockets that dispatchers hold beyond their part are not available to callers until they are closed.
func (s SocketQuota) CallerLimit(connected, held int) int {
	callers, dispatchers := s.Divide(connected)
	return max(callers-max(held-dispatchers, 0), 1)
}
