package peer

// Refusal is how a dispatcher turns a set-up down.
type Refusal struct {
	Status int    // of SIP
	Note   string // of SIP
	Cause  int    // of the call-control API
}

// The refusals.
var (
	NoLine = Refusal{503, "all_trunks_busy", 34}
	Full   = Refusal{503, "cpu_full", 42}
	Busy   = Refusal{486, "number_busy", 17}
	Broken = Refusal{504, "", 41}
	Moot   = Refusal{480, "", 27}
)
