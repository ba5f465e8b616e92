package takeover

import (
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
)

// awaitFile waits until a file exists, or until it does not.
func awaitFile(t *testing.T, path string, exists bool) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		_, err := os.Stat(path)
		if exists && err == nil || !exists && errors.Is(err, os.ErrNotExist) {
			return
		}
		if time.Since(start) > timeout {
			t.Fatalf("%s: want exists %v, stat returned %v", path, exists, err)
		}
	}
}

// TestAQueryOfAFailedControllerIsRemoved guards against a call that its holder transfers again and again. That happens if a query is never removed
// because the controller that wrote it failed before its lookup ended.
func TestAQueryOfAFailedControllerIsRemoved(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, _ := startController(t, dir, "a", nil, "01")
	query := filepath.Join(dir, decide.QueriesDir, "01")
	if err := os.WriteFile(query, []byte(hex.EncodeToString(recovery.HashToken("t"))), 0o600); err != nil {
		t.Fatal(err)
	}
	a.await(t, "written 01")                                  // no other controller claims it
	a.await(t, "received 01, cause -1, owner may live false") // its previous holder claims it again
	awaitFile(t, query, false)
}

// TestALookupWhoseQueryIsRemovedQueriesAgain guards against a lookup that no other controller sees, because another controller has removed its query
// as an expired one for the same call.
func TestALookupWhoseQueryIsRemovedQueriesAgain(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	startController(t, dir, "a", nil)
	b, _ := startController(t, dir, "bb", nil)
	query := filepath.Join(dir, decide.QueriesDir, "03")
	b.participant.Lookup("03", recovery.HashToken("t"))
	awaitFile(t, query, true)
	if err := os.Remove(query); err != nil {
		t.Fatal(err)
	}
	awaitFile(t, query, true)
	if slices.Contains(results(b), "not found 03, no holder false") {
		t.Error("the lookup ended before its query was written again")
	}
}
