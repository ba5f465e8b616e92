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

// settingsJSON are those of a controller with one class, in the platform's form.
const settingsJSON = `{"caps":{"connIdleUs":600000000,"connectTimeoutUs":500000,"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"allowedPools":[],"classWidth":[],"guardUs":500000,"layout":"skills","thisNode":-1},"membershipMode":"pushed",
"tenants":[{"name":"acme"}],"peersTotal":1,"report":{"fields":["idle","circuits"]},
"requestClasses":[{"name":"send-setup","aimUs":1500000,"deadlineUs":9000000,"worth":1,"lateValue":0.25,"semantics":"read_like","group":"all","windowUs":5000000}],
"resolutionUs":5000,"rules":{"coldUs":15000000,"graceToAnswerUs":20000,"startCapacity":0.28,"tipMultiple":2}}`

const (
	memoryMB = 256 // limits.memory_mb: what the deployment allows a controller
	// startTimeout bounds a start, also on a busy machine with a long list.
	startTimeout = 60 * time.Second
	// requestTimeout bounds a question to the management address.
	requestTimeout = 10 * time.Second
)

// controllerOptions is what a controller is started with, beside its addresses.
type controllerOptions struct {
	coordinator      string  // address; empty for none
	dispatchers      []entry // the list at the start
	operatorSections string  // sections of an operator's file; empty for none
}

// controller is a controller's process.
type controller struct {
	*process
	listenAddress, managementAddress string
}

// limits is the part of a configuration of that name.
type limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// known is the list that a configuration holds.
type known struct {
	Index   int64   `json:"index"`
	Updates []event `json:"updates"`
}

// configuration is the platform's file.
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

// startController starts a controller and does not wait for it.
func (b *bench) startController(ctx context.Context, s controllerOptions) (*controller, error) {
	lines, err := peer.Free()
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	management, err := peer.Free()
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	c := configuration{Name: "n1", Listen: lines, Management: management, Seed: "1", Limits: limits{memoryMB, b.sockets},
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
	return &controller{process: p, listenAddress: lines, managementAddress: management}, nil
}

// get gets a page of the management address.
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
	return resp.StatusCode, text, err //nolint:wrapcheck // it says what it is
}

// metric is a figure without labels, by its name without the prefix; 0 if it is not told.
func (c *controller) metric(ctx context.Context, name string) float64 {
	_, text, err := c.get(ctx, "/api/telemetry")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, found := strings.CutPrefix(string(line), "edge_lb_"+name+" "); found {
			value, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64) // what is no number is not told
			return value
		}
	}
	return 0
}

// waitForList waits until the controller has so many dispatchers on its list.
func (c *controller) waitForList(ctx context.Context, n int, within time.Duration) error {
	const pace = 5 * time.Millisecond
	ended := false
	err := waitUntil(ctx, within, pace, func() bool {
		ended = c.hasEnded()
		return ended || int(c.metric(ctx, "dispatchers_known")) == n
	})
	switch {
	case ended:
		return fmt.Errorf("capacity: the controller has ended: %s", c.lastLogLine())
	case err != nil:
		return fmt.Errorf("capacity: %d dispatchers are not known: %w", n, err)
	}
	return nil
}

// waitReady waits until the controller serves.
func (c *controller) waitReady(ctx context.Context) error {
	err := waitUntil(ctx, startTimeout, 5*time.Millisecond, func() bool {
		status, _, err := c.get(ctx, "/api/ready")
		return c.hasEnded() || err == nil && status == http.StatusOK
	})
	if c.hasEnded() {
		return fmt.Errorf("capacity: the controller has ended: %s", c.lastLogLine())
	}
	return err
}

// reload has the controller read its files again.
func (c *controller) reload() error {
	return c.cmd.Process.Signal(syscall.SIGHUP) //nolint:wrapcheck // it says what it is
}
