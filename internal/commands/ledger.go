package commands

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/lists/files"
)

// ledgerFlags are those of all commands on ledgers.
type ledgerFlags struct {
	name, keyFile string
	json          bool
}

func ledgerCommand() *cobra.Command {
	f := &ledgerFlags{}
	c := &cobra.Command{
		Use: "ledger", Short: "What is kept of the state of calls", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVar(&f.name, "name", "", "the controller's name, to be held against the ledger's; empty for any")
	c.PersistentFlags().StringVar(&f.keyFile, "key-file", "", "key that it is written with")
	dump := f.command("dump DIR", "Tell every event that is kept", f.dump)
	dump.Flags().BoolVar(&f.json, "json", false, "a JSON object a line")
	c.AddCommand(
		f.command("inspect DIR", "Tell what a ledger holds", f.inspect),
		f.command("verify DIR", "Say no if anything is damaged or missing", f.verify),
		dump,
		f.command("compact DIR", "Write a ledger anew, with what counts alone; no controller may have it", f.compact),
	)
	return c
}

func (f *ledgerFlags) command(use, short string, work func(out io.Writer, directory string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: answering(func(c *cobra.Command, args []string) error {
		return work(c.OutOrStdout(), args[0])
	})}
}

func (f *ledgerFlags) key() ([]byte, error) {
	if f.keyFile == "" {
		return nil, nil
	}
	key, err := files.Key(f.keyFile)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	return key, nil
}

// read reads a ledger without touching it, also one that a controller writes.
func (f *ledgerFlags) read(directory string) (*ledger.Contents, error) {
	key, err := f.key()
	if err != nil {
		return nil, err
	}
	d, err := ledger.OpenReadOnly(directory)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	return ledger.Read(d, f.name, key) //nolint:wrapcheck // it says what it is
}

func (f *ledgerFlags) inspect(out io.Writer, directory string) error {
	found, err := f.read(directory)
	if err != nil {
		return err
	}
	book, bad := recovery.Replay(found.Records, found.Gaps)
	states := map[string]int{}
	for _, call := range book.Calls() {
		name := [...]string{"open", "standing", "answered", "ended"}[call.State]
		if call.Doubtful {
			name += ", doubtful"
		}
		states[name]++
	}
	fmt.Fprintf(out, "%d files, %d bytes; %d records, %d of them of the snapshot; gaps: %d, torn end: %v\n",
		found.FileCount, found.Bytes, len(found.Records), found.SnapshotRecords, len(found.Gaps), found.Torn)
	if last := book.LastAlive(); last > 0 {
		fmt.Fprintf(out, "last event at %s\n", time.Unix(0, int64(last)).UTC().Format(time.RFC3339Nano))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range []string{"open", "open, doubtful", "standing", "standing, doubtful", "answered", "ended"} {
		fmt.Fprintf(table, "%s\t%d\n", name, states[name])
	}
	if err := table.Flush(); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	for _, text := range found.Damage {
		fmt.Fprintln(out, "damage:", text)
	}
	if bad != nil {
		fmt.Fprintln(out, "damage:", bad)
	}
	return nil
}

func (f *ledgerFlags) verify(out io.Writer, directory string) error {
	found, err := f.read(directory)
	if err != nil {
		return err
	}
	book, bad := recovery.Replay(found.Records, found.Gaps)
	switch {
	case bad != nil:
		return bad
	case found.Gapped():
		return fmt.Errorf("records are missing in %d places: %s", len(found.Gaps), found.Damage[0])
	case len(found.Damage) > 0:
		return errors.New(found.Damage[0])
	case book.UnexpectedEvents() > 0:
		return fmt.Errorf("%d events do not fit the others", book.UnexpectedEvents())
	}
	fmt.Fprintf(out, "%d records, %d calls: nothing is damaged or missing\n", len(found.Records), len(book.Calls()))
	return nil
}

var kinds = map[recovery.Kind]string{
	recovery.KindAccepted: "took", recovery.KindAttemptSent: "sent", recovery.KindAttemptFailed: "back", recovery.KindEstablished: "stood", recovery.KindRejected: "final",
	recovery.KindTerminated: "over", recovery.KindCancelled: "left",
}

// shownEvent is an event as operators see it: neither descriptions nor tokens are theirs to read.
type shownEvent struct {
	At      time.Time `json:"at"`
	Call    string    `json:"call"`
	Kind    string    `json:"kind"`
	Class   string    `json:"class,omitempty"`
	Called  string    `json:"called,omitempty"`
	Attempt int       `json:"attempt"`
	Server  string    `json:"server,omitempty"`
	Cause   int       `json:"cause,omitempty"`
	Reason  string    `json:"reason,omitempty"`
}

func (f *ledgerFlags) dump(out io.Writer, directory string) error {
	found, err := f.read(directory)
	if err != nil {
		return err
	}
	for i, record := range found.Records {
		if found.Gaps[i] {
			fmt.Fprintln(out, "# records may be missing here")
		}
		e, err := recovery.Decode(record)
		if err != nil {
			fmt.Fprintln(out, "#", err)
			continue
		}
		s := shownEvent{time.UnixMicro(e.AtUs).UTC(), e.ID, kinds[e.Kind], e.Class, e.Called, e.Attempt, e.Server, e.Cause, e.Reason}
		if !f.json {
			fmt.Fprintln(out, s.At.Format(time.RFC3339Nano), s.Call, s.Kind, s.Attempt, s.Server, s.Cause, s.Reason)
			continue
		}
		text, err := api.MarshalToString(s)
		if err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
		fmt.Fprintln(out, text)
	}
	return nil
}

func (f *ledgerFlags) compact(out io.Writer, directory string) (err error) {
	if f.name == "" {
		return errors.New("--name is wanted: the ledger is written anew under it")
	}
	key, err := f.key()
	if err != nil {
		return err
	}
	d, err := ledger.OpenDirectory(directory)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	found, err := ledger.Read(d, f.name, key)
	if err != nil {
		return errors.Join(err, d.Close())
	}
	least, err := recovery.Compact(found.Records, found.Gaps, clock())
	if err != nil {
		return errors.Join(err, d.Close())
	}
	l := ledger.New(d, ledger.Options{Name: f.name, Key: key, Sync: ledger.SyncAlways}, found)
	defer func() { err = errors.Join(err, l.Close()) }()
	if err := l.BeginEpochAndWait(slices.Clone(least), time.Minute); err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	fmt.Fprintf(out, "%d records are %d now\n", len(found.Records), len(least))
	return nil
}
