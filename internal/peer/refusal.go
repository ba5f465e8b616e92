package peer

// Refusal is the refusal of a set-up by a dispatcher.
type Refusal struct {
	Status int    // status of the SIP response
	Reason string // P-Reason header of the SIP response
	Cause  int    // cause in the call-control API
}

// Refusals for the usual reasons.
var (
	NoLine           = Refusal{503, "all_trunks_busy", 34}
	Overloaded       = Refusal{503, "cpu_full", 42}
	NumberBusy       = Refusal{486, "number_busy", 17}
	TemporaryFailure = Refusal{504, "", 41}
	Unavailable      = Refusal{480, "", 27}
)
