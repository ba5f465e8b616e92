package peer

// Refusal is the refusal of a set-up by a dispatcher.
type Refusal struct {
	Status int    // status of the SIP response
	Note   string // P-Reason header of the SIP response
	Cause  int    // cause in the call-control API
}

// Refusals for the usual reasons.
var (
	NoLine = Refusal{503, "all_trunks_busy", 34}
	Full   = Refusal{503, "cpu_full", 42}
	Busy   = Refusal{486, "number_busy", 17}
	Broken = Refusal{504, "", 41}
	Moot   = Refusal{480, "", 27}
)
