package call

import (
	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// This file converts the rules on repeated set-ups between the settings of a class and the ledger.

// repetitionOf returns the stored form of the rules of a class.
func repetitionOf(class *control.Class) recovery.Repetition {
	switch class.Idempotency {
	case control.Idempotent:
		return recovery.RepeatFreely
	case control.IdempotentByKey:
		return keyedRepetition(class.DedupScope)
	default:
		return recovery.RepeatIfItNeverRan
	}
}

func keyedRepetition(scope control.DedupScope) recovery.Repetition {
	switch scope {
	case control.DedupZone:
		return recovery.RepeatByKeyInZone
	case control.DedupCell:
		return recovery.RepeatByKeyInCell
	default:
		return recovery.RepeatByKey
	}
}

// restoreRepetition sets the rules of a class to the stored ones, if they are known.
func restoreRepetition(class *control.Class, stored recovery.Repetition) {
	switch stored {
	case recovery.RepetitionUnknown: // the settings of this process apply
	case recovery.RepeatFreely:
		class.Idempotency = control.Idempotent
	case recovery.RepeatByKey:
		class.Idempotency, class.DedupScope = control.IdempotentByKey, control.DedupAll
	case recovery.RepeatByKeyInZone:
		class.Idempotency, class.DedupScope = control.IdempotentByKey, control.DedupZone
	case recovery.RepeatByKeyInCell:
		class.Idempotency, class.DedupScope = control.IdempotentByKey, control.DedupCell
	default:
		class.Idempotency = control.NonIdempotent
	}
}
