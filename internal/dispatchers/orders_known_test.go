package dispatchers

import "testing"

// TestALostAnswerBesideTheNextAttemptIsReleased guards against a call that its dispatcher holds and nobody releases: its answer went down with its
// connection while the next attempt was out there, which came to nothing.
func TestALostAnswerBesideTheNextAttemptIsReleased(t *testing.T) {
	t.Parallel()
	playNamed(t, map[string]namedOrder{"the answer of an earlier attempt is lost": {orderStart{links: 2}, "aom"}})
}
