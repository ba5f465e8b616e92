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

// ledgerFlags holds the flags of the commands on ledgers.
type ledgerFlags struct {
	name, keyFile string
	json          bool
}

func ledgerCommand() *cobra.Command {
	f := &ledgerFlags{}
	c := &cobra.Command{
		Use: "ledger", Short: "The stored state of calls", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVar(&f.name, "name", "", "name that the controller of the ledger must have; empty for any")
	c.PersistentFlags().StringVar(&f.keyFile, "key-file", "", "file with the key that the ledger is written with")
	dump := f.command("dump DIR", "Print every stored event", f.dump)
	dump.Flags().BoolVar(&f.json, "json", false, "print a JSON object per line")
	c.AddCommand(
		f.command("inspect DIR", "Summarize the contents of a ledger", f.inspect),
		f.command("verify DIR", "Fail if anything is damaged or missing", f.verify),
		dump,
		f.command("compact DIR", "Rewrite a ledger with only the records that are still needed; no controller may use it meanwhile", f.compact),
	)
	return c
}

func (f *ledgerFlags) command(use, short string, run func(out io.Writer, directory string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: withExitFailure(func(c *cobra.Command, args []string) error {
		return run(c.OutOrStdout(), args[0])
	})}
}

func (f *ledgerFlags) key() ([]byte, error) {
	if f.keyFile == "" {
		return nil, nil
	}
	key, err := files.ReadKey(f.keyFile)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	return key, nil
}

// read reads a ledger without changing it. A controller may be writing it.
func (f *ledgerFlags) read(directory string) (*ledger.Contents, error) {
	key, err := f.key()
	if err != nil {
		return nil, err
	}
	d, err := ledger.OpenReadOnly(directory)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	return ledger.Read(d, f.name, key) //nolint:wrapcheck // the error names its operation
}

func (f *ledgerFlags) inspect(out io.Writer, directory string) error {
	contents, err := f.read(directory)
	if err != nil {
		return err
	}
	calls, decodeErr := recovery.Replay(contents.Records, contents.Gaps)
	states := map[string]int{}
	for _, call := range calls.Calls() {
		name := [...]string{"open", "standing", "answered", "ended"}[call.State]
		if call.Doubtful {
			name += ", doubtful"
		}
		states[name]++
	}
	fmt.Fprintf(out, "%d files, %d bytes; %d records, %d of them from the snapshot; gaps: %d, torn end: %v\n",
		contents.FileCount, contents.Bytes, len(contents.Records), contents.SnapshotRecords, len(contents.Gaps), contents.Torn)
	if last := calls.LastAlive(); last > 0 {
		fmt.Fprintf(out, "last event at %s\n", time.Unix(0, int64(last)).UTC().Format(time.RFC3339Nano))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range []string{"open", "open, doubtful", "standing", "standing, doubtful", "answered", "ended"} {
		fmt.Fprintf(table, "%s\t%d\n", name, states[name])
	}
	if err := table.Flush(); err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	for _, text := range contents.Damage {
		fmt.Fprintln(out, "damage:", text)
	}
	if decodeErr != nil {
		fmt.Fprintln(out, "damage:", decodeErr)
	}
	return nil
}

func (f *ledgerFlags) verify(out io.Writer, directory string) error {
	contents, err := f.read(directory)
	if err != nil {
		return err
	}
	calls, decodeErr := recovery.Replay(contents.Records, contents.Gaps)
	switch {
	case decodeErr != nil:
		return decodeErr
	case contents.Gapped():
		return fmt.Errorf("records are missing in %d places: %s", len(contents.Gaps), contents.Damage[0])
	case len(contents.Damage) > 0:
		return errors.New(contents.Damage[0])
	case calls.UnexpectedEvents() > 0:
		return fmt.Errorf("%d events do not fit the events before them", calls.UnexpectedEvents())
	}
	fmt.Fprintf(out, "%d records, %d calls: nothing is damaged or missing\n", len(contents.Records), len(calls.Calls()))
	return nil
}

// kinds names the kinds of events in the output.
var kinds = map[recovery.Kind]string{
	recovery.KindAccepted: "took", recovery.KindAttemptSent: "sent", recovery.KindAttemptFailed: "back", recovery.KindEstablished: "stood", recovery.KindRejected: "final",
	recovery.KindTerminated: "over", recovery.KindCancelled: "left",
}

// shownEvent is an event in the output for operators. It has no session description and no token, which are confidential.
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
	contents, err := f.read(directory)
	if err != nil {
		return err
	}
	for i, record := range contents.Records {
		if contents.Gaps[i] {
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
			return err //nolint:wrapcheck // the error names its operation
		}
		fmt.Fprintln(out, text)
	}
	return nil
}

func (f *ledgerFlags) compact(out io.Writer, directory string) (err error) {
	if f.name == "" {
		return errors.New("--name is required: the ledger is rewritten under this name")
	}
	key, err := f.key()
	if err != nil {
		return err
	}
	d, err := ledger.OpenDirectory(directory)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	contents, err := ledger.Read(d, f.name, key)
	if err != nil {
		return errors.Join(err, d.Close())
	}
	compacted, err := recovery.Compact(contents.Records, contents.Gaps, clock())
	if err != nil {
		return errors.Join(err, d.Close())
	}
	l := ledger.New(d, ledger.Options{Name: f.name, Key: key, Sync: ledger.SyncAlways}, contents)
	defer func() { err = errors.Join(err, l.Close()) }()
	if err := l.BeginEpochAndWait(slices.Clone(compacted), time.Minute); err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	fmt.Fprintf(out, "compacted %d records to %d\n", len(contents.Records), len(compacted))
	return nil
}
