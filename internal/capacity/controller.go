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

// settings are those of a controller with one class, in the platform's form.
const settings = `{"caps":{"connIdleUs":600000000,"connectTimeoutUs":500000,"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"allowedPools":[],"classWidth":[],"guardUs":500000,"layout":"skills","thisNode":-1},"membershipMode":"pushed",
"tenants":[{"name":"acme"}],"peersTotal":1,"report":{"fields":["idle","circuits"]},
"requestClasses":[{"name":"send-setup","aimUs":1500000,"deadlineUs":9000000,"worth":1,"lateValue":0.25,"semantics":"read_like","group":"all","windowUs":5000000}],
"resolutionUs":5000,"rules":{"coldUs":15000000,"graceToAnswerUs":20000,"startCapacity":0.28,"tipMultiple":2}}`

const (
	memoryMB = 256 // limits.memory_mb: what the deployment allows a controller
	// startWithin bounds a start, also on a busy machine with a long list.
	startWithin = 60 * time.Second
	// askWithin bounds a question to the management address.
	askWithin = 10 * time.Second
)

// site is what a controller is started with, beside its addresses.
type site struct {
	coordinator string  // address; empty for none
	known       []entry // the list at the start
	operator    string  // sections of an operator's file; empty for none
}

// controller is a controller's process.
type controller struct {
	*process
	lines, management string
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

// control starts a controller and does not wait for it.
func (b *bench) control(ctx context.Context, s site) (*controller, error) {
	lines, err := peer.Free()
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	management, err := peer.Free()
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	c := configuration{Name: "n1", Listen: lines, Management: management, Seed: "1", Limits: limits{memoryMB, b.sockets},
		Coordinator: s.coordinator, Known: known{Updates: []event{}}, Settings: json.RawMessage(settings)}
	if s.known != nil {
		c.Known.Updates = append(c.Known.Updates, event{Endpoints: endpoints{Snapshot: true, Endpoints: s.known}})
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
	if s.operator != "" {
		operator := filepath.Join(b.directory, "operator.ini")
		if err := os.WriteFile(operator, []byte(s.operator), 0o600); err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		environment = append(environment, "LB_OPERATOR="+operator)
	}
	p, err := b.process(ctx, environment, b.program)
	if err != nil {
		return nil, err
	}
	return &controller{process: p, lines: lines, management: management}, nil
}

// ask gets a page of the management address.
func (c *controller) ask(ctx context.Context, path string) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.management+path, nil)
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

// telemetry is a figure without labels, by its name without the prefix; 0 if it is not told.
func (c *controller) telemetry(ctx context.Context, name string) float64 {
	_, text, err := c.ask(ctx, "/api/telemetry")
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

// knows waits until the controller has so many dispatchers on its list.
func (c *controller) knows(ctx context.Context, n int, within time.Duration) error {
	const pace = 5 * time.Millisecond
	ended := false
	err := until(ctx, within, pace, func() bool {
		ended = c.over()
		return ended || int(c.telemetry(ctx, "dispatchers_known")) == n
	})
	switch {
	case ended:
		return fmt.Errorf("capacity: the controller has ended: %s", c.lastLine())
	case err != nil:
		return fmt.Errorf("capacity: %d dispatchers are not known: %w", n, err)
	}
	return nil
}

// ready waits until the controller serves.
func (c *controller) ready(ctx context.Context) error {
	err := until(ctx, startWithin, 5*time.Millisecond, func() bool {
		status, _, err := c.ask(ctx, "/api/ready")
		return c.over() || err == nil && status == http.StatusOK
	})
	if c.over() {
		return fmt.Errorf("capacity: the controller has ended: %s", c.lastLine())
	}
	return err
}

// reload has the controller read its files again.
func (c *controller) reload() error {
	return c.cmd.Process.Signal(syscall.SIGHUP) //nolint:wrapcheck // it says what it is
}
