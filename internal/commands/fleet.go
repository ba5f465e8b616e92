package commands

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cherryrelay/internal/membership"
	"cherryrelay/internal/takeover"
)

func fleetCommand(getenv func(string) string) *cobra.Command {
	c := &cobra.Command{
		Use: "fleet", Short: "Who lives in the fleet, as a controller that runs knows it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		fleetPage(getenv, "show", "Show the members, and how far they are certain", membership.Path, printFleet),
		fleetPage(getenv, "takeovers", "Show whose calls a controller has taken over, and what passed between controllers", takeover.Path, printTakeovers),
		fleetPage(getenv, "history", "Show what has happened lately, oldest first", membership.HistoryPath, printFleetHistory),
	)
	return c
}

// fleetPage is a command that asks for one page and prints it.
func fleetPage[P any](getenv func(string) string, use, short, path string, show func(io.Writer, P) error) *cobra.Command {
	a := &asker{getenv: getenv}
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: answering(func(c *cobra.Command, _ []string) error {
		var page P
		if err := a.ask(path, nil, &page); err != nil {
			return err
		}
		if a.json {
			return printJSON(c.OutOrStdout(), page)
		}
		return show(c.OutOrStdout(), page)
	})}
	a.flags(c)
	return c
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func printTakeovers(out io.Writer, s takeover.Shown) error {
	fmt.Fprintf(out, "%d ledgers taken; %d calls found for their callers, %d left over, %d given to others, %d unknown; %d ends passed on; %d steps failed; %d calls looked for; a look takes %v\n",
		s.Sealed, s.Found, s.Left, s.Given, s.Unknown, s.Ends, s.Failed, s.Waiting, millis(s.LookMs))
	if len(s.Told) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "when\twhose\tcalls\ttook\tits process")
	for _, t := range s.Told {
		state := "dead"
		switch {
		case t.From != "" && t.From != t.Name:
			state = "taken by " + t.From + " before, which is lost as well"
		case t.Held:
			state = "may live: paused, or cut off from the store"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\n", t.At.Format(time.DateTime), t.Name, t.Calls, millis(t.TookMs), state)
	}
	return table.Flush() //nolint:wrapcheck // it says what it is
}

func printFleet(out io.Writer, s membership.Shown) error {
	switch {
	case s.Certain:
		fmt.Fprintf(out, "%s is %s as incarnation %d, certain for %v\n", s.Name, s.State, s.Incarnation, millis(s.LeftMs))
	case s.Holder != "":
		fmt.Fprintf(out, "%s is kept out: its name is in use by %s\n", s.Name, s.Holder)
	default:
		fmt.Fprintf(out, "%s is %s, and not certain of its name\n", s.Name, s.State)
	}
	if !s.Known {
		fmt.Fprintln(out, "the members were never read")
		return nil
	}
	use := "too old to act on"
	if s.Actable {
		use = "young enough to act on"
	}
	fmt.Fprintf(out, "the view is %v old at most, %s; revision %d, lease %v\n", millis(s.AgeMs), use, s.Revision, millis(s.LeaseMs))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tincarnation\tstate\taddress\tknown for\tgone since")
	for _, m := range s.Members {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t\n", m.Name, m.Incarnation, m.State, m.Address, millis(m.KnownMs))
	}
	for _, m := range s.Gone {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t%v\n", m.Name, m.Incarnation, m.State, m.Address, millis(m.KnownMs), millis(m.GoneMs))
	}
	if s.More > 0 {
		fmt.Fprintf(table, "and %d more\n", s.More)
	}
	return table.Flush() //nolint:wrapcheck // it says what it is
}

func printFleetHistory(out io.Writer, h membership.History) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ago\twhat\tname\tincarnation\tstate\tcause")
	for _, e := range h.Events {
		fmt.Fprintf(table, "%v\t%s\t%s\t%d\t%s\t%s\n", millis(e.AgoMs), e.Kind, e.Name, e.Incarnation, e.State, e.Cause)
	}
	return table.Flush() //nolint:wrapcheck // it says what it is
}
