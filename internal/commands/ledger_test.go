package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
)

// writeLedger writes a ledger with one established call and one open call.
func writeLedger(t *testing.T, path string) {
	t.Helper()
	d, err := ledger.OpenDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	l := ledger.New(d, ledger.Options{Name: "n1", CommitTimeout: time.Minute}, nil)
	if err := l.BeginEpochAndWait(nil, time.Minute); err != nil {
		t.Fatal(err)
	}
	at := time.Now().UnixMicro()
	for _, e := range []recovery.Event{
		{Kind: recovery.KindAccepted, ID: "00000000000000aa", AtUs: at, DeadlineUs: at + 9e6, Class: "c", Description: "a secret"},
		{Kind: recovery.KindAccepted, ID: "00000000000000bb", AtUs: at, DeadlineUs: at + 9e6, Class: "c"},
		{Kind: recovery.KindAttemptSent, ID: "00000000000000aa", AtUs: at, Server: "s"},
		{Kind: recovery.KindAttemptFailed, ID: "00000000000000aa", AtUs: at, Server: "s"},
		{Kind: recovery.KindAttemptSent, ID: "00000000000000aa", AtUs: at, Server: "s", Attempt: 1},
		{Kind: recovery.KindEstablished, ID: "00000000000000aa", AtUs: at, Server: "s", Attempt: 1},
	} {
		text, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Append(text); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Commit(); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestLedgerCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	writeLedger(t, path)
	expect := func(args string, status int, wants ...string) string {
		t.Helper()
		got, out, errOut := runCommand(nil, strings.Fields("ledger "+args)...)
		for _, want := range wants {
			if !strings.Contains(out+errOut, want) {
				t.Errorf("%s: printed %q%q, want %q", args, out, errOut, want)
			}
		}
		if got != status {
			t.Errorf("%s: status %d, want %d: %s", args, got, status, errOut)
		}
		return out
	}
	expect("inspect "+path, 0, "6 records", "gaps: 0, torn end: false", "open                1", "standing            1")
	expect("verify "+path, 0, "6 records, 2 calls: nothing is damaged")
	expect("verify --name n2 "+path, 1, "another controller's")
	if out := expect("dump --json "+path, 0, `"kind":"stood"`, `"call":"00000000000000bb"`); strings.Count(out, "\n") != 6 || strings.Contains(out, "secret") {
		t.Errorf("dump: %s", out)
	}
	expect("dump "+path, 0, "00000000000000aa back 0 s")
	expect("compact "+path, 1, "--name is required")
	expect("compact --name n1 "+path, 0, "compacted 6 records to 3")
	expect("verify "+path, 0, "3 records, 2 calls")
	expect("inspect", 2)
	expect("inspect "+path+"x", 1, "no such file")
	names, err := filepath.Glob(filepath.Join(path, "*.snapshot"))
	if err != nil || len(names) != 1 {
		t.Fatalf("%v %v", names, err)
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 1
	if err := os.WriteFile(names[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	expect("verify "+path, 1, "records are missing")
	expect("inspect "+path, 0, "damage: ")
}
