package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cherryrelay/internal/peer"
)

// settingsJSON configures a controller with one request class, in the format of the platform.
const settingsJSON = `{"caps":{"connIdleUs":600000000,"connectTimeoutUs":500000,"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"allowedPools":[],"classWidth":[],"guardUs":500000,"layout":"skills","thisNode":-1},"membershipMode":"pushed",
"tenants":[{"name":"acme"}],"peersTotal":1,"report":{"fields":["idle","circuits"]},
"requestClasses":[{"name":"send-setup","aimUs":1500000,"deadlineUs":9000000,"worth":1,"lateValue":0.25,"semantics":"read_like","group":"all","windowUs":5000000}],
"resolutionUs":5000,"rules":{"coldUs":15000000,"graceToAnswerUs":20000,"startCapacity":0.28,"tipMultiple":2}}`

const (
	memoryMB = 256 // limits.memory_mb of a controller in the deployment
	// startTimeout allows for a long list on a busy machine.
	startTimeout = 60 * time.Second
	// requestTimeout applies to requests to the management address.
	requestTimeout = 10 * time.Second
)

// controllerOptions configures a controller that is started; its addresses are chosen by startController.
type controllerOptions struct {
	coordinator      string  // address; empty without a coordinator
	dispatchers      []entry // initial list
	operatorSections string  // contents of the operator's file; empty for no file
}

// controller is a running controller process.
type controller struct {
	*process
	listenAddress, managementAddress string
}

// limits is the section "limits" of the configuration.
type limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// known is the section "known" of the configuration: the initial list.
type known struct {
	Index   int64   `json:"index"`
	Updates []event `json:"updates"`
}

// configuration is the configuration file in the format of the platform.
type configuration struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Management  string          `json:"management"`
	Seed        string          `json:"seed"`
	Limits      limits          `json:"limits"`
	Coordinator string          `json:"coordinator"`
	Known       known           `json:"known"`
	Settings    json.RawMessage `json:"settings"`
}

// startController starts a controller without waiting until it is ready.
func (b *bench) startController(ctx context.Context, s controllerOptions) (*controller, error) {
	listenAddress, err := peer.FreeAddress()
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	management, err := peer.FreeAddress()
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	c := configuration{Name: "n1", Listen: listenAddress, Management: management, Seed: "1", Limits: limits{memoryMB, b.sockets},
		Coordinator: s.coordinator, Known: known{Updates: []event{}}, Settings: json.RawMessage(settingsJSON)}
	if s.dispatchers != nil {
		c.Known.Updates = append(c.Known.Updates, event{Endpoints: endpoints{Snapshot: true, Endpoints: s.dispatchers}})
	}
	text, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	path := filepath.Join(b.directory, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	environment := []string{"LB_CONFIG=" + path}
	if s.operatorSections != "" {
		operator := filepath.Join(b.directory, "operator.ini")
		if err := os.WriteFile(operator, []byte(s.operatorSections), 0o600); err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		environment = append(environment, "LB_OPERATOR="+operator)
	}
	p, err := b.startProcess(ctx, environment, b.program)
	if err != nil {
		return nil, err
	}
	return &controller{process: p, listenAddress: listenAddress, managementAddress: management}, nil
}

// get requests a path of the management address.
func (c *controller) get(ctx context.Context, path string) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.managementAddress+path, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("capacity: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, fmt.Errorf("capacity: %w", err)
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err //nolint:wrapcheck // the error names its operation
}

// metric returns the value of a metric without labels. The name excludes the prefix edge_lb_. It returns 0 if the metric is missing.
func (c *controller) metric(ctx context.Context, name string) float64 {
	_, text, err := c.get(ctx, "/api/telemetry")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, found := strings.CutPrefix(string(line), "edge_lb_"+name+" "); found {
			value, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64) // an invalid number counts as 0
			return value
		}
	}
	return 0
}

// waitForList waits until the list of the controller has n dispatchers.
func (c *controller) waitForList(ctx context.Context, n int, timeout time.Duration) error {
	const interval = 5 * time.Millisecond
	exited := false
	err := waitUntil(ctx, timeout, interval, func() bool {
		exited = c.hasEnded()
		return exited || int(c.metric(ctx, "dispatchers_known")) == n
	})
	switch {
	case exited:
		return fmt.Errorf("capacity: the controller exited: %s", c.lastLogLine())
	case err != nil:
		return fmt.Errorf("capacity: waiting for a list of %d dispatchers: %w", n, err)
	}
	return nil
}

// waitReady waits until the controller reports that it is ready.
func (c *controller) waitReady(ctx context.Context) error {
	err := waitUntil(ctx, startTimeout, 5*time.Millisecond, func() bool {
		status, _, err := c.get(ctx, "/api/ready")
		return c.hasEnded() || err == nil && status == http.StatusOK
	})
	if c.hasEnded() {
		return fmt.Errorf("capacity: the controller exited: %s", c.lastLogLine())
	}
	return err
}

// reload makes the controller reload its configuration files.
func (c *controller) reload() error {
	return c.cmd.Process.Signal(syscall.SIGHUP) //nolint:wrapcheck // the error names its operation
}
