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

// awaitFile waits until a file is there, or is not.
func awaitFile(t *testing.T, path string, there bool) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		_, err := os.Stat(path)
		if there && err == nil || !there && errors.Is(err, os.ErrNotExist) {
			return
		}
		if time.Since(begun) > patience {
			t.Fatalf("%s: there %v is never so: %v", path, there, err)
		}
	}
}

// TestAQueryOfAFailedControllerIsRemoved guards against calls that their holder transfers again and again, as a query stays whose controller has
// failed before its lookup ended.
func TestAQueryOfAFailedControllerIsRemoved(t *testing.T) {
	t.Parallel()
	site := t.TempDir()
	a, _ := controller(t, site, "a", nil, "01")
	query := filepath.Join(site, decide.QueriesDir, "01")
	if err := os.WriteFile(query, []byte(hex.EncodeToString(recovery.HashToken("t"))), 0o600); err != nil {
		t.Fatal(err)
	}
	a.heard(t, "given 01")                     // to nobody
	a.heard(t, "arrived 01 -1 may live false") // it comes back
	awaitFile(t, query, false)
}

// TestALookupWhoseQueryIsRemovedQueriesAgain guards against a lookup that nobody hears of, as its query has been taken for an earlier one of the
// same call.
func TestALookupWhoseQueryIsRemovedQueriesAgain(t *testing.T) {
	t.Parallel()
	site := t.TempDir()
	controller(t, site, "a", nil)
	b, _ := controller(t, site, "bb", nil)
	query := filepath.Join(site, decide.QueriesDir, "03")
	b.room.Lookup("03", recovery.HashToken("t"))
	awaitFile(t, query, true)
	if err := os.Remove(query); err != nil {
		t.Fatal(err)
	}
	awaitFile(t, query, true)
	if slices.Contains(words(b), "missing 03 cut false") {
		t.Error("the lookup has ended before")
	}
}
