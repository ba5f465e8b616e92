package mutants

import "slices"

// List is all mutants.
func List() []Mutant { return slices.Concat(ofDispatchers(), ofCalls(), ofCallers()) }

// The tests of connections to dispatchers, of calls, of a call in all orders of what may be said of it, of connections from
// callers, and of connections.
var (
	dispatchersTests = Tests{"./internal/dispatchers", ""}
	callTests        = Tests{"./internal/call ./internal/dispatchers", "EachEnd|AfterARefusal|CouldNotBe|TheDecisions|AsItsAttempt|ALateAnswer|TheEndOfACall|AnEnd|OfUnknown|ReleasesIn|HeldBy|Ambiguous"}
	callOrderTests   = Tests{"./internal/call ./internal/dispatchers", "MessagesOfACall|AfterARefusal|CouldNotBe|TheDecisions|AsItsAttempt|TheEndOfACall|AnEnd|ReleasesIn"}
	callersTests     = Tests{"./internal/callers", ""}
	callersStories   = Tests{"./cmd/cherryrelay", "AnEndThatHasNotLeft|AnEndAsTheLast|AnEndIsNotATests|AConnectionIsKept|LastAnswersWait"}
	connTests        = Tests{"./internal/conn ./internal/callers ./internal/dispatchers", ""}
)
