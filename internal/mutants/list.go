package mutants

import "slices"

// List returns all mutants.
func List() []Mutant {
	return slices.Concat(dispatcherMutants(), callMutants(), callerMutants(), recoveredCallMutants())
}

// The tests that mutants name. callOrderTests include those that deliver the messages of a call in every order; callersScenarioTests
// run the whole controller; connTests include the users of package conn.
var (
	dispatchersTests     = Tests{"./internal/dispatchers", ""}
	refusalTests         = Tests{"./internal/call", "AreNotRefused|DrainEndsInTime|OfferedAgain|ClassThat"}
	shutdownRefusalTests = Tests{"./cmd/cherryrelay", "AShutdownDoesNotRefuse"}
	callTests            = Tests{"./internal/call ./internal/dispatchers", "EachEnd|AfterARefusal|CouldNotBe|TheDecisions|AsItsAttempt|ALateAnswer|TheEndOfACall|AnEnd|OfUnknown|ReleasesIn|HeldBy|Ambiguous"}
	callOrderTests       = Tests{"./internal/call ./internal/dispatchers", "MessagesOfACall|AfterARefusal|CouldNotBe|TheDecisions|AsItsAttempt|TheEndOfACall|AnEnd|ReleasesIn"}
	recoveredCallTests   = Tests{"./internal/call ./internal/decide/recovery", "Verify|Unlisted|Misplaced|PendingReleases|Unplaced|Transferred|Undecided|ContinuesAt|MayStill"}
	callersTests         = Tests{"./internal/callers", ""}
	callersScenarioTests = Tests{"./cmd/cherryrelay", "AnEndThatHasNotLeft|AnEndAsTheLast|AnEndIsNotATests|AConnectionIsKept|LastAnswersWait"}
	connTests            = Tests{"./internal/conn ./internal/callers ./internal/dispatchers", ""}
)
