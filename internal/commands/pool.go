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
	// requestTimeout limits a request to a management address. The response of a working controller comes at once.
	requestTimeout = 2 * time.Second
	// maxResponseSize limits the bytes read of a response. Pages are far smaller.
	maxResponseSize = 1 << 20
)

var api = jsoniter.ConfigCompatibleWithStandardLibrary

func poolCommand(getenv func(string) string) *cobra.Command {
	c := &cobra.Command{
		Use: "pool", Short: "Pool files, and the active set of dispatchers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(poolCheck(), poolSeal(), poolDiff(), poolShow(getenv), poolHistory(getenv))
	return c
}

// clock returns the time since the Unix epoch, as the functions of decide/pool and decide/recovery expect it.
func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// readPool reads a pool file and returns it with its faults.
func readPool(path, keyFile string) (pool.Candidate, []pool.Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return pool.Candidate{}, nil, err //nolint:wrapcheck // the error names its operation
	}
	var key []byte
	if keyFile != "" {
		if key, err = files.ReadKey(keyFile); err != nil {
			return pool.Candidate{}, nil, fmt.Errorf("key: %w", err)
		}
	}
	c := poolfile.Parse(text, key)
	return c, pool.Check(clock(), &c), nil
}

// checkPool checks a pool file and prints its faults, or a summary if it has none.
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
	fmt.Fprintf(c.OutOrStdout(), "%s is valid: version %q, digest %s, %d servers, total weight %d\n", path, set.Label, set.Digest, len(set.Servers), weight)
	return nil
}

// checkFile checks a platform's, an operator's or a pool file, whose kind it finds out from the contents.
func checkFile(c *cobra.Command, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	variable := "LB_OPERATOR"
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")):
		variable = "LB_CONFIG"
	case bytes.Contains(text, []byte("[server ")) || bytes.HasSuffix(bytes.TrimSpace(text), []byte("[end]")):
		return checkPool(c, path, "")
	}
	if _, err := config.Read(func(key string) string { return map[string]string{variable: path}[key] }); err != nil {
		return printFaults(c, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s is valid\n", path)
	return nil
}

func poolCheck() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "check FILE", Short: "Print all faults of a pool file", Args: cobra.ExactArgs(1),
		RunE: withExitFailure(func(c *cobra.Command, args []string) error { return checkPool(c, args[0], keyFile) }),
	}
	c.Flags().StringVar(&keyFile, "key-file", "", "file with the key that the pool file must be sealed with")
	return c
}

func poolSeal() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "seal FILE --key-file KEY", Short: "Add the MAC to a pool file, or replace it", Args: cobra.ExactArgs(1),
		Long: "Checks the file and replaces it with a sealed one by a single rename, so that a controller that watches it sees a single change.",
		RunE: withExitFailure(func(c *cobra.Command, args []string) error {
			key, err := files.ReadKey(keyFile)
			if err != nil {
				return fmt.Errorf("key: %w", err)
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err //nolint:wrapcheck // the error names its operation
			}
			sealed, err := poolfile.Seal(text, key)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			set := poolfile.Parse(sealed, key)
			if faults := pool.Check(clock(), &set); len(faults) > 0 {
				return fmt.Errorf("%s is not sealed: %v (faults: %d)", args[0], faults[0], len(faults))
			}
			if err := replaceFile(args[0], sealed); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is sealed\n", args[0])
			return nil
		}),
	}
	c.Flags().StringVar(&keyFile, "key-file", "", "file with the key, of 16 bytes or more")
	if err := c.MarkFlagRequired("key-file"); err != nil {
		panic(err) // impossible: the flag is defined above
	}
	return c
}

// replaceFile replaces the contents of a file by a single rename, and keeps its permissions.
func replaceFile(path string, text []byte) (err error) {
	if target, err := filepath.EvalSymlinks(path); err == nil {
		path = target // replace the target, not the symbolic link
	}
	info, err := os.Stat(path)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
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
	return os.Rename(f.Name(), path) //nolint:wrapcheck // the error names its operation
}

func poolDiff() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use: "diff BEFORE AFTER", Short: "Print the changes from one pool file to another", Args: cobra.ExactArgs(2),
		RunE: withExitFailure(func(c *cobra.Command, args []string) error {
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
	c.Flags().StringVar(&keyFile, "key-file", "", "file with the key that the pool files are sealed with")
	return c
}

// managementClient sends requests to the management address of a running controller.
type managementClient struct {
	address string
	json    bool
	getenv  func(string) string
}

func (m *managementClient) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&m.address, "management", "", "management address of the controller (default: from the environment or its files)")
	c.Flags().BoolVar(&m.json, "json", false, "print JSON")
}

// resolveAddress returns the address from the flag, the environment or the configuration files, in this order.
func (m *managementClient) resolveAddress() (string, error) {
	if m.address != "" {
		return m.address, nil
	}
	if address := m.getenv("LB_MANAGEMENT"); address != "" {
		return address, nil
	}
	c, err := config.Read(m.getenv)
	switch {
	case err != nil:
		return "", fmt.Errorf("--management is not set, and the configuration cannot be used: %w", err)
	case c.Management == "":
		return "", errors.New("--management is not set, and the configuration has no management address")
	}
	return c.Management, nil
}

// get requests a page and decodes its JSON.
func (m *managementClient) get(path string, query url.Values, page any) error {
	address, err := m.resolveAddress()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	return api.Unmarshal(text, page) //nolint:wrapcheck // the error names its operation
}

// activeSet is the active set of dispatchers, with all its servers.
type activeSet struct {
	lists.State
	Members []lists.ServerState `json:"members"`
}

// maxReadAttempts limits how often all pages are read again because the set changed between two of them.
const maxReadAttempts = 20

// readSet reads all pages of the active set, which must belong to the same version.
func (m *managementClient) readSet() (activeSet, error) {
	for range maxReadAttempts {
		var s activeSet
		if err := m.get(lists.StatePath, nil, &s.State); err != nil {
			return s, err
		}
		number, after, complete := -1, "", false
		for !complete {
			var page lists.Servers
			if err := m.get(lists.ServersPath, url.Values{"after": {after}}, &page); err != nil {
				return s, err
			}
			if number >= 0 && page.Number != number {
				break
			}
			number = page.Number
			s.Members = append(s.Members, page.Servers...)
			if complete = !page.More; !complete {
				after = page.Servers[len(page.Servers)-1].Name
			}
		}
		if complete && (s.Version == nil && number == 0 || s.Version != nil && s.Version.Number == number) {
			return s, nil
		}
	}
	return activeSet{}, errors.New("the set changes faster than it can be read")
}

func poolShow(getenv func(string) string) *cobra.Command {
	client := &managementClient{getenv: getenv}
	c := &cobra.Command{
		Use: "show", Short: "Show the active set of a running controller", Args: cobra.NoArgs,
		RunE: withExitFailure(func(c *cobra.Command, _ []string) error {
			s, err := client.readSet()
			if err != nil {
				return err
			}
			if client.json {
				return printJSON(c.OutOrStdout(), s)
			}
			return printSet(c.OutOrStdout(), s)
		}),
	}
	client.addFlags(c)
	return c
}

func poolHistory(getenv func(string) string) *cobra.Command {
	client := &managementClient{getenv: getenv}
	c := &cobra.Command{
		Use: "history", Short: "Show the latest versions, accepted and refused ones, newest first", Args: cobra.NoArgs,
		RunE: withExitFailure(func(c *cobra.Command, _ []string) error {
			var all []pool.Version
			for before, more := 0, true; more; {
				var page lists.Versions
				if err := client.get(lists.HistoryPath, url.Values{"before": {strconv.Itoa(before)}}, &page); err != nil {
					return err
				}
				all = append(all, page.Versions...)
				if more = page.More && len(page.Versions) > 0; more {
					before = page.Versions[len(page.Versions)-1].Number
				}
			}
			if client.json {
				return printJSON(c.OutOrStdout(), all)
			}
			for i := range all {
				printVersion(c.OutOrStdout(), &all[i])
			}
			return nil
		}),
	}
	client.addFlags(c)
	return c
}

func printJSON(out io.Writer, v any) error {
	text, err := api.MarshalIndent(v, "", "  ")
	if err != nil {
		return err //nolint:wrapcheck // the error names its operation
	}
	fmt.Fprintln(out, string(text))
	return nil
}

// printVersion prints a version and its changes, or its faults if it was refused.
func printVersion(out io.Writer, v *pool.Version) {
	outcome := "refused"
	if v.Accepted {
		outcome = "taken"
	}
	fmt.Fprintf(out, "%d  %s  %s from %s", v.Number, time.Unix(0, int64(v.At)).UTC().Format(time.RFC3339Nano), outcome, v.Source)
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
		fmt.Fprintf(out, "    seen %d more times\n", v.Repeats)
	}
}

func printSet(out io.Writer, s activeSet) error {
	if s.Version == nil {
		fmt.Fprintln(out, "no set is active")
	} else {
		fmt.Fprintf(out, "active for %v, stored: %s %s\n", (time.Duration(s.AgeMs) * time.Millisecond).Round(time.Second), s.Stored, s.NotSaved)
		printVersion(out, s.Version)
	}
	if s.LastRefused != nil {
		fmt.Fprintln(out, "the latest candidate was refused:")
		printVersion(out, s.LastRefused)
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
	return table.Flush() //nolint:wrapcheck // the error names its operation
}
