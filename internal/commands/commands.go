// Package commands implements the command line: it runs the controller, and checks, writes and shows files, ledgers and the
// state of a running controller for operators.
package commands

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"cherryrelay/internal/config"
)

// Options holds the flags of the command serve. An empty one leaves the value to the configuration files.
type Options struct {
	LogFormat string
	LogLevel  string
}

// Exit statuses.
const (
	ExitSuccess = 0
	ExitFailure = 1 // the check or the command failed; the reasons are on standard error
	ExitUsage   = 2
)

// commandError is the error of a command that has run, as opposed to a wrong use of the command line.
type commandError struct{ error }

func (e commandError) Unwrap() error { return e.error }

// Run executes the command that the arguments name and returns the exit status. Serve runs a controller until it ends; getenv
// returns the environment variables that name the configuration files.
func Run(args []string, getenv func(string) string, out, errOut io.Writer, serve func(Options) error) int {
	root := rootCommand(getenv, serve)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	var failure commandError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &failure):
		fmt.Fprintln(errOut, "cherryrelay:", err)
		return ExitFailure
	}
	fmt.Fprintln(errOut, "cherryrelay:", err)
	fmt.Fprintln(errOut, "see cherryrelay --help")
	return ExitUsage
}

// withExitFailure wraps the errors of a command, so that the exit status is that of a failure and not that of a wrong use.
func withExitFailure(run func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := run(c, args); err != nil {
			return commandError{err}
		}
		return nil
	}
}

func rootCommand(getenv func(string) string, serve func(Options) error) *cobra.Command {
	var o Options
	runServe := withExitFailure(func(*cobra.Command, []string) error { return serve(o) })
	root := &cobra.Command{
		Use: "cherryrelay", Short: "Call controller; without a command, it runs serve",
		Long: "Without a command, or with serve, it runs a call controller with the files that LB_CONFIG and LB_OPERATOR name.\n" +
			"Exit status: 0 success, 1 failure or a failed check, 2 wrong use.",
		Args: cobra.NoArgs, RunE: runServe, SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.PersistentFlags().StringVar(&o.LogFormat, "log-format", "", "format of the log: text or json")
	root.PersistentFlags().StringVar(&o.LogLevel, "log-level", "", "level of the log: debug, info, warn or error")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run a call controller", Args: cobra.NoArgs, RunE: runServe},
		checkCommand(getenv),
		poolCommand(getenv),
		ledgerCommand(),
		fleetCommand(getenv),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), version())
		}},
	)
	return root
}

// version returns the version, the Go release and the revision of the build, as far as they are known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "cherryrelay, unknown version"
	}
	text := "cherryrelay " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" {
			text += " " + s.Value
		}
	}
	return text
}

// checkCommand returns the command that checks configuration files by the same rules as a controller at its start.
func checkCommand(getenv func(string) string) *cobra.Command {
	return &cobra.Command{
		Use: "check [FILE]", Short: "Check a configuration file, or the files that the environment names",
		Long: "Checks the files that LB_CONFIG and LB_OPERATOR name, or one FILE: a platform's (JSON), an operator's or a\n" +
			"pool's (INI). Every fault is printed on a line of its own.",
		Args: cobra.MaximumNArgs(1),
		RunE: withExitFailure(func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				return checkFile(c, args[0])
			}
			checked, err := config.Read(getenv)
			if err != nil {
				return printFaults(c, err)
			}
			if p := checked.Pool; p != nil {
				if err := checkPool(c, p.File, p.KeyFile); err != nil {
					return err
				}
			}
			fmt.Fprintln(c.OutOrStdout(), "the configuration is valid")
			return nil
		}),
	}
}

// printFaults prints every fault of an operator's file, and returns an error that summarizes them. Other errors are returned
// as they are.
func printFaults(c *cobra.Command, err error) error {
	var faults *config.Faults
	if !errors.As(err, &faults) {
		return err
	}
	for _, f := range faults.All {
		fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", faults.Path, f)
	}
	return fmt.Errorf("%s has faults: %d", faults.Path, len(faults.All))
}
