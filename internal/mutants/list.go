package mutants

import "slices"

// List is all mutants.
func List() []Mutant { return slices.Concat(ofDispatchers(), ofCalls(), ofCallers()) }

// callTests are those of calls, and of calls over connections; connTests those of connections.
var (
	callTests = Tests{"./internal/call ./internal/dispatchers", "Overtaken|InEveryOrder|OfUnknown|EveryCallIs|ALateAnswer|TheEndOfACall|AnEnd|HaveFailed|Leave|LedgerHas|TakingUp|NobodyComes"}
	connTests = Tests{"./internal/conn ./internal/callers ./internal/dispatchers", ""}
)
