package commands

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/spf13/cobra"

	"cherryrelay/internal/config"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/lists/files"
	"cherryrelay/internal/lists/poolfile"
)

const (
	// askWithin bounds one call at a management address, which answers at once or not at all.
	askWithin = 2 * time.Second
	// maxPage bounds an answer; pages are far smaller.
	maxPage = 1 << 20
)

var api = jsoniter.ConfigCompatibleWithStandardLibrary

func poolCommand(getenv func(string) string) *cobra.Command {
	c := &cobra.Command{
		Use: "pool", Short: "Pool files, and the set of dispatchers in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(poolCheck(), poolSeal(), poolDiff(), poolShow(getenv), poolHistory(getenv))
	return c
}

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// readPool reads and checks a pool file.
func readPool(path, keyFile string) (pool.Candidate, []pool.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return pool.Candidate{}, nil, err //nolint:wrapcheck // it says what it is
	}
	var key []byte
	if keyFile != "" {
		if key, err = files.Key(keyFile); err != nil {
			return pool.Candidate{}, nil, fmt.Errorf("key: %w", err)
		}
	}
	c := poolfile.Read(text, key)
	return c, pool.Check(clock(), &c), nil
}

func checkPool(c *cobra.Command, path, keyFile string) error {
	set, faults, err := readPool(path, keyFile)
	if err != nil {
		return err
	}
	for _, f := range faults {
		fmt.Fprintf(c.ErrOrStderr(), "%s: %v\n", path, f)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%s has faults: %d", path, len(faults))
	}
	weight := 0
	for _, m := range set.Servers {
		weight += max(m.Weight, 0)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s can be used: version %q, digest %s, %d servers, weights %d together\n", path, set.Label, set.Digest, len(set.Servers), weight)
	return nil
}

// checkFile checks a file of any kind.
func checkFile(c *cobra.Command, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	name := "LB_OPERATOR"
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")):
		name = "LB_CONFIG"
	case bytes.Contains(text, []byte("[server ")) || bytes.HasSuffix(bytes.TrimSpace(text), []byte("[end]")):
		return checkPool(c, path, "")
	}
	if _, err := config.Read(func(key string) string { return map[string]string{name: path}[key] }); err != nil {
		return tellAll(c, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s can be used\n", path)
	return nil
}

func poolCheck() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "check FILE", Short: "Tell all that is wrong with a pool file", Args: cobra.ExactArgs(1),
		RunE: answering(func(c *cobra.Command, args []string) error { return checkPool(c, args[0], keyFile) }),
	}
	c.Flags().StringVar(&keyFile, "key-file", "", "key that the file must be sealed with")
	return c
}

func poolSeal() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "seal FILE --key-file KEY", Short: "Give a pool file its MAC, in place of the one it has", Args: cobra.ExactArgs(1),
		Long: "Checks the file and replaces it by a sealed one in one rename, so that a controller that watches it sees one change.",
		RunE: answering(func(c *cobra.Command, args []string) error {
			key, err := files.Key(keyFile)
			if err != nil {
				return fmt.Errorf("key: %w", err)
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err //nolint:wrapcheck // it says what it is
			}
			sealed, err := poolfile.Seal(text, key)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			set := poolfile.Read(sealed, key)
			if faults := pool.Check(clock(), &set); len(faults) > 0 {
				return fmt.Errorf("%s is not sealed: %v (faults: %d)", args[0], faults[0], len(faults))
			}
			if err := replace(args[0], sealed); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is sealed\n", args[0])
			return nil
		}),
	}
	c.Flags().StringVar(&keyFile, "key-file", "", "file with the key, of 16 bytes or more")
	if err := c.MarkFlagRequired("key-file"); err != nil {
		panic(err) // the flag is named one line above
	}
	return c
}

// replace puts other bytes at a path by one rename, with the rights that the file has.
func replace(path string, text []byte) (err error) {
	if real, err := filepath.EvalSymlinks(path); err == nil {
		path = real // a link stays one
	}
	info, err := os.Stat(path)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(info.Mode().Perm()), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path) //nolint:wrapcheck // it says what it is
}

func poolDiff() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "diff BEFORE AFTER", Short: "Tell what a pool file changes against another", Args: cobra.ExactArgs(2),
		RunE: answering(func(c *cobra.Command, args []string) error {
			var sets [2]pool.Candidate
			for i, path := range args {
				set, faults, err := readPool(path, keyFile)
				if err != nil {
					return err
				}
				if len(faults) > 0 {
					return fmt.Errorf("%s: %v (faults: %d)", path, faults[0], len(faults))
				}
				sets[i] = set
			}
			change := pool.Compare(sets[0].Servers, sets[1].Servers)
			fmt.Fprintln(c.OutOrStdout(), strings.ReplaceAll(change.String(), "; ", "\n"))
			return nil
		}),
	}
	c.Flags().StringVar(&keyFile, "key-file", "", "key that the files are sealed with")
	return c
}

// asker asks a controller that runs.
type asker struct {
	address string
	json    bool
	getenv  func(string) string
}

func (a *asker) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.address, "management", "", "the controller's management address (else that of the environment's files)")
	c.Flags().BoolVar(&a.json, "json", false, "as JSON")
}

// where is the address: the flag's, or that of the configuration.
func (a *asker) where() (string, error) {
	if a.address != "" {
		return a.address, nil
	}
	if address := a.getenv("LB_MANAGEMENT"); address != "" {
		return address, nil
	}
	c, err := config.Read(a.getenv)
	switch {
	case err != nil:
		return "", fmt.Errorf("no --management, and none from the files: %w", err)
	case c.Management == "":
		return "", errors.New("no --management, and the configuration names none")
	}
	return c.Management, nil
}

// ask gets one page.
func (a *asker) ask(path string, query url.Values, into any) error {
	address, err := a.where()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxPage))
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	return api.Unmarshal(text, into) //nolint:wrapcheck // it says what it is
}

// shown is the set in force with all its servers.
type shown struct {
	lists.State
	Members []lists.ServerState `json:"members"`
}

// maxRestarts bounds how often the pages are read anew because the set changed between two of them.
const maxRestarts = 20

// set reads the whole set, of one version.
func (a *asker) set() (shown, error) {
	for range maxRestarts {
		var s shown
		if err := a.ask(lists.StatePath, nil, &s.State); err != nil {
			return s, err
		}
		number, after, whole := -1, "", false
		for !whole {
			var page lists.Servers
			if err := a.ask(lists.ServersPath, url.Values{"after": {after}}, &page); err != nil {
				return s, err
			}
			if number >= 0 && page.Number != number {
				break
			}
			number = page.Number
			s.Members = append(s.Members, page.Servers...)
			if whole = !page.More; !whole {
				after = page.Servers[len(page.Servers)-1].Name
			}
		}
		if whole && (s.Version == nil && number == 0 || s.Version != nil && s.Version.Number == number) {
			return s, nil
		}
	}
	return shown{}, errors.New("the set changes faster than it can be read")
}

func poolShow(getenv func(string) string) *cobra.Command {
	a := &asker{getenv: getenv}
	c := &cobra.Command{
		Use: "show", Short: "Show the set in force at a controller that runs", Args: cobra.NoArgs,
		RunE: answering(func(c *cobra.Command, _ []string) error {
			s, err := a.set()
			if err != nil {
				return err
			}
			if a.json {
				return printJSON(c.OutOrStdout(), s)
			}
			return printSet(c.OutOrStdout(), s)
		}),
	}
	a.flags(c)
	return c
}

func poolHistory(getenv func(string) string) *cobra.Command {
	a := &asker{getenv: getenv}
	c := &cobra.Command{
		Use: "history", Short: "Show the last versions, taken and refused, the newest first", Args: cobra.NoArgs,
		RunE: answering(func(c *cobra.Command, _ []string) error {
			var all []pool.Version
			for before, more := 0, true; more; {
				var page lists.Versions
				if err := a.ask(lists.HistoryPath, url.Values{"before": {strconv.Itoa(before)}}, &page); err != nil {
					return err
				}
				all = append(all, page.Versions...)
				if more = page.More && len(page.Versions) > 0; more {
					before = page.Versions[len(page.Versions)-1].Number
				}
			}
			if a.json {
				return printJSON(c.OutOrStdout(), all)
			}
			for i := range all {
				printVersion(c.OutOrStdout(), &all[i])
			}
			return nil
		}),
	}
	a.flags(c)
	return c
}

func printJSON(out io.Writer, v any) error {
	text, err := api.MarshalIndent(v, "", "  ")
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	fmt.Fprintln(out, string(text))
	return nil
}

// printVersion tells of one version, with its faults.
func printVersion(out io.Writer, v *pool.Version) {
	what := "refused"
	if v.Accepted {
		what = "taken"
	}
	fmt.Fprintf(out, "%d  %s  %s from %s", v.Number, time.Unix(0, int64(v.At)).UTC().Format(time.RFC3339Nano), what, v.Source)
	if v.Label != "" {
		fmt.Fprintf(out, ", version %s", v.Label)
	}
	if v.Digest != "" {
		fmt.Fprintf(out, ", digest %s", v.Digest)
	}
	if v.Accepted {
		fmt.Fprintf(out, ", %d servers: %s\n", v.Servers, v.Change.String())
		return
	}
	fmt.Fprintln(out)
	for _, f := range v.Faults {
		fmt.Fprintln(out, "   ", f)
	}
	if more := v.FaultCount - len(v.Faults); more > 0 {
		fmt.Fprintf(out, "    and %d more\n", more)
	}
	if v.Repeats > 0 {
		fmt.Fprintf(out, "    seen %d times more\n", v.Repeats)
	}
}

func printSet(out io.Writer, s shown) error {
	if s.Version == nil {
		fmt.Fprintln(out, "no set is in force")
	} else {
		fmt.Fprintf(out, "in force for %v, stored: %s %s\n", (time.Duration(s.AgeMs) * time.Millisecond).Round(time.Second), s.Stored, s.NotSaved)
		printVersion(out, s.Version)
	}
	if s.Trouble != nil {
		fmt.Fprintln(out, "the last candidate is refused:")
		printVersion(out, s.Trouble)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\taddress\tzone\tgroup\tstatus\tweight\tsince")
	for _, m := range s.Members {
		since := ""
		if !m.Since.IsZero() {
			since = m.Since.Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", m.Name, m.Address, m.Zone, m.Group, m.Status, m.Weight, since)
	}
	return table.Flush() //nolint:wrapcheck // it says what it is
}
