package control

import "time"

// This file states when a set-up may be repeated: by this node, or by a caller that it has refused. Before
// an attempt may have run, there is no restriction.

// MayRefuse reports whether a set-up of the class may be refused, which tells its caller that another try,
// at any server, does no harm. If not, the set-up fails instead. mayHaveRun is set if an attempt is in
// progress or has ended without proof that it never ran.
func (class *Class) MayRefuse(mayHaveRun bool) bool {
	if !mayHaveRun {
		return true
	}
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return class.DedupScope == DedupAll
	default:
		return false
	}
}

// MayResendAnywhere reports whether a set-up that may have run may be sent to any server of its class, at
// the given time after the start of the first attempt that may have run.
func (class *Class) MayResendAnywhere(elapsed time.Duration) bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return class.DedupScope == DedupAll && elapsed < class.DedupWindow
	default:
		return false
	}
}

// mayResendTo reports whether a set-up that may have run on the server ran may be sent to the server s, at
// the given time after the start of the attempt at ran.
func (class *Class) mayResendTo(s, ran *server, elapsed time.Duration) bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return elapsed < class.DedupWindow && class.DedupScope.covers(s, ran)
	default:
		return false
	}
}

// covers reports whether the server s discards repeats of a set-up that ran on the server ran.
func (scope DedupScope) covers(s, ran *server) bool {
	switch scope {
	case DedupZone:
		return s.Zone == ran.Zone
	case DedupCell:
		return s.Cell == ran.Cell
	default:
		return true
	}
}
