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
		Use: "fleet", Short: "The members of the fleet, as a running controller knows them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		fleetPage(getenv, "show", "Show the members, and whether the controller holds its lease", membership.Path, printFleet),
		fleetPage(getenv, "takeovers", "Show the takeovers of ledgers, and the calls transferred between controllers", takeover.Path, printTakeovers),
		fleetPage(getenv, "history", "Show the latest events, oldest first", membership.HistoryPath, printFleetHistory),
	)
	return c
}

// fleetPage returns a command that requests a page of a controller and prints it.
func fleetPage[P any](getenv func(string) string, use, short, path string, printPage func(io.Writer, P) error) *cobra.Command {
	client := &managementClient{getenv: getenv}
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: withExitFailure(func(c *cobra.Command, _ []string) error {
		var page P
		if err := client.get(path, nil, &page); err != nil {
			return err
		}
		if client.json {
			return printJSON(c.OutOrStdout(), page)
		}
		return printPage(c.OutOrStdout(), page)
	})}
	client.addFlags(c)
	return c
}

// millis converts milliseconds to a duration.
func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func printTakeovers(out io.Writer, s takeover.Status) error {
	fmt.Fprintf(out, "%d ledgers taken over; calls: %d resumed, %d not resumed, %d transferred, %d unknown; %d ends reported for others; %d failed operations; %d pending lookups; last scan took %v\n",
		s.Sealed, s.Found, s.Expired, s.Transferred, s.NotFound, s.RemoteEnds, s.Failed, s.PendingLookups, millis(s.ScanMs))
	if len(s.Takeovers) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "time\tcontroller\tcalls\tduration\tstate of its process")
	for _, t := range s.Takeovers {
		state := "dead"
		switch {
		case t.PreviousClaimant != "" && t.PreviousClaimant != t.Name:
			state = "taken over before by " + t.PreviousClaimant + ", which has failed as well"
		case t.OwnerMayLive:
			state = "possibly alive: paused, or disconnected from the store"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\n", t.At.Format(time.DateTime), t.Name, t.Calls, millis(t.TookMs), state)
	}
	return table.Flush() //nolint:wrapcheck // the error names its operation
}

func printFleet(out io.Writer, s membership.Status) error {
	switch {
	case s.HoldsLease:
		fmt.Fprintf(out, "%s is %s as incarnation %d, holds its lease for another %v\n", s.Name, s.State, s.Incarnation, millis(s.LeaseRemainingMs))
	case s.Holder != "":
		fmt.Fprintf(out, "%s cannot join: its name is in use by %s\n", s.Name, s.Holder)
	default:
		fmt.Fprintf(out, "%s is %s, and does not hold its lease\n", s.Name, s.State)
	}
	if !s.MembersRead {
		fmt.Fprintln(out, "the members have not been read yet")
		return nil
	}
	usability := "too old to act on"
	if s.Actable {
		usability = "fresh enough to act on"
	}
	fmt.Fprintf(out, "the view is at most %v old, %s; revision %d, lease %v\n", millis(s.ViewAgeMs), usability, s.Revision, millis(s.LeaseMs))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tincarnation\tstate\taddress\tknown for\tgone for")
	for _, m := range s.Members {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t\n", m.Name, m.Incarnation, m.State, m.Address, millis(m.KnownMs))
	}
	for _, m := range s.Gone {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t%v\n", m.Name, m.Incarnation, m.State, m.Address, millis(m.KnownMs), millis(m.GoneMs))
	}
	if s.OmittedMembers > 0 {
		fmt.Fprintf(table, "and %d more\n", s.OmittedMembers)
	}
	return table.Flush() //nolint:wrapcheck // the error names its operation
}

func printFleetHistory(out io.Writer, h membership.History) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ago\tevent\tname\tincarnation\tstate\tcause")
	for _, e := range h.Events {
		fmt.Fprintf(table, "%v\t%s\t%s\t%d\t%s\t%s\n", millis(e.AgoMs), e.Kind, e.Name, e.Incarnation, e.State, e.Cause)
	}
	return table.Flush() //nolint:wrapcheck // the error names its operation
}
