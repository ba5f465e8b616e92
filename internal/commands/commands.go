// Package commands is the command line: the controller itself, and what operators ask of files and of one that runs.
package commands

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"cherryrelay/internal/config"
)

// Options are the flags of a controller that serves; empty ones leave it to the files.
type Options struct {
	LogFormat string
	LogLevel  string
}

// The exit statuses.
const (
	Yes      = 0
	No       = 1 // with the reasons on standard error
	WrongUse = 2
)

// no is an answer, or a failure, as against a wrong use of the command line.
type no struct{ error }

func (n no) Unwrap() error { return n.error }

// Run does what the arguments say and returns the exit status. Serve runs a controller to its end; getenv gives the
// environment that names its files.
func Run(args []string, getenv func(string) string, out, faults io.Writer, serve func(Options) error) int {
	root := root(getenv, serve)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(faults)
	err := root.Execute()
	var answer no
	switch {
	case err == nil:
		return Yes
	case errors.As(err, &answer):
		fmt.Fprintln(faults, "cherryrelay:", err)
		return No
	}
	fmt.Fprintln(faults, "cherryrelay:", err)
	fmt.Fprintln(faults, "see cherryrelay --help")
	return WrongUse
}

// answering is a command's work whose errors are answers.
func answering(work func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := work(c, args); err != nil {
			return no{err}
		}
		return nil
	}
}

func root(getenv func(string) string, serve func(Options) error) *cobra.Command {
	var o Options
	serving := answering(func(*cobra.Command, []string) error { return serve(o) })
	root := &cobra.Command{
		Use: "cherryrelay", Short: "A call controller; alone, it serves",
		Long: "Alone, or with serve, it runs a call controller with the files that LB_CONFIG and LB_OPERATOR name.\n" +
			"Exit status: 0 yes, 1 no or failed, 2 wrong use.",
		Args: cobra.NoArgs, RunE: serving, SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.PersistentFlags().StringVar(&o.LogFormat, "log-format", "", "text or json")
	root.PersistentFlags().StringVar(&o.LogLevel, "log-level", "", "debug, info, warn or error")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run a call controller", Args: cobra.NoArgs, RunE: serving},
		check(getenv),
		poolCommand(getenv),
		ledgerCommand(),
		fleetCommand(getenv),
		&cobra.Command{Use: "version", Short: "Tell the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), version())
		}},
	)
	return root
}

// version is that of the build, as far as it is known.
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

// check reads a configuration file as a controller would.
func check(getenv func(string) string) *cobra.Command {
	return &cobra.Command{
		Use: "check [FILE]", Short: "Check a configuration file, or those that the environment names",
		Long: "Checks the files that LB_CONFIG and LB_OPERATOR name, or one FILE: a platform's (JSON), an operator's or a\n" +
			"pool's (INI). Every fault is told, a line each.",
		Args: cobra.MaximumNArgs(1),
		RunE: answering(func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				return checkFile(c, args[0])
			}
			checked, err := config.Read(getenv)
			if err != nil {
				return tellAll(c, err)
			}
			if p := checked.Pool; p != nil {
				if err := checkPool(c, p.File, p.KeyFile); err != nil {
					return err
				}
			}
			fmt.Fprintln(c.OutOrStdout(), "the configuration can be used")
			return nil
		}),
	}
}

// tellAll tells every fault of an operator's file, and returns what is left to say.
func tellAll(c *cobra.Command, err error) error {
	var faults *config.Faults
	if !errors.As(err, &faults) {
		return err
	}
	for _, f := range faults.All {
		fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", faults.Path, f)
	}
	return fmt.Errorf("%s has faults: %d", faults.Path, len(faults.All))
}
