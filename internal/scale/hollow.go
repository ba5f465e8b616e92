package scale

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/config"
	"cherryrelay/internal/decide/members"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/dispatchers"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/lists/coordinator"
	"cherryrelay/internal/lists/etcd"
	"cherryrelay/internal/membership"
	"cherryrelay/internal/settings"
)

const (
	// tellStateEvery is the pace at which the fleet is told whether a controller serves, as in the program.
	tellStateEvery = 100 * time.Millisecond
	// closeConnectionsWithin is how long a pool takes to close its connections once no dispatcher is listed any more.
	closeConnectionsWithin = 4 * time.Second
	// markerPrefix begins the names of the entries whose changes are timed. Their group is markerGroup and the number of the change.
	markerPrefix = "marker-"
	markerGroup  = 1_000_000
)

// Spec is a hollow controller that is to be started.
type Spec struct {
	Name   string `json:"name"`
	Store  string `json:"store"`  // its address
	Prefix string `json:"prefix"` // of its list
}

// Hollow is a call controller that no caller can reach: the loop, list, membership, decisions and connections to dispatchers of the program,
// with their timers, wired as the program wires them. It has no listening sockets.
type Hollow struct {
	name    string
	loop    *call.Loop
	core    *call.Core
	pool    *dispatchers.Pool
	fleet   *membership.Fleet
	client  *clientv3.Client
	cancel  context.CancelFunc
	applied func(Applied)
	ready   atomic.Bool
	leaving bool // belongs to the loop
	known   bool // whether a list has been in force; belongs to the loop
}

// Applied tells that a change is in force at a controller.
type Applied struct {
	Controller string `json:"controller"`
	Kind       Kind   `json:"kind"`  // Change or Settings
	Scope      string `json:"scope"` // of a Change
	Number     int    `json:"number"`
	AtNs       int64  `json:"at_ns"` // Unix time
	First      bool   `json:"first"` // it was in the first list after a start: there is no change to time
}

// StartHollow starts a controller with a configuration of the program's form, of which it takes all but the listening addresses.
func StartHollow(c config.Config, s Spec, log slog.Handler, applied func(Applied)) (*Hollow, error) {
	logger := slog.New(log).With("name", s.Name)
	h := &Hollow{name: s.Name, loop: call.NewLoop(), applied: applied}
	var err error
	if h.core, err = call.New(h.loop, logger, c.Settings, uint64(time.Now().UnixNano())); err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	h.pool = dispatchers.New(h.loop, h.core, dispatchers.Options{ConnectTimeout: c.Settings.ConnectTimeout(), ReportFields: c.Settings.Report.Fields, Log: logger})
	h.core.SetDispatchers(h.pool)
	h.core.OnFlush(h.pool.Flush)
	h.loop.AddIdleCheck(h.pool.NoUnreadInput)
	keeper := lists.New(logger, func(u pool.Update) { h.loop.Post(func() { h.update(u) }) })
	if h.client, err = etcd.Dial([]string{s.Store}); err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	stream := coordinator.New("", 0, logger, keeper.Stream(pool.FromCoordinator))
	h.loop.AddIdleCheck(stream.Quiet)
	go stream.Run(ctx)
	h.fleet = membership.Start(h.client, membership.Options{Name: s.Name, Address: "hollow", Prefix: strings.TrimSuffix(c.Fleet.Prefix, "/") + "/",
		Lease: c.Fleet.Lease()}, logger)
	h.loop.Post(h.tellState)
	go etcd.Over(h.client, s.Prefix, logger, keeper.Stream(pool.FromEtcd)).Run(ctx)
	go h.loop.Run()
	applied(Applied{Controller: s.Name, Kind: Settings, Number: settingsNumber(&c), AtNs: time.Now().UnixNano(), First: true})
	return h, nil
}

// tellState tells the fleet whether this controller serves.
func (h *Hollow) tellState() {
	ready := h.core.Ready()
	h.ready.Store(ready)
	switch {
	case h.leaving:
		h.fleet.Say(members.Leaving)
	case ready:
		h.fleet.Say(members.Serving)
	default:
		h.fleet.Say(members.Joining)
	}
	h.loop.After(tellStateEvery, h.tellState)
}

// update puts a change of the list in force.
func (h *Hollow) update(u pool.Update) {
	h.core.Update(u)
	now := time.Now().UnixNano()
	for _, entry := range u.Servers {
		scope, is := strings.CutPrefix(string(entry.ID), markerPrefix)
		if !is || entry.Status == control.Removed {
			continue
		}
		h.applied(Applied{Controller: h.name, Kind: Change, Scope: scope, Number: entry.Cell - markerGroup, AtNs: now, First: !h.known})
	}
	h.known = h.known || u.Complete
}

// Reload takes the settings of a file, as the program does at SIGHUP.
func (h *Hollow) Reload(path string) error {
	fresh, err := readConfig(path)
	if err != nil {
		return err
	}
	h.loop.Post(func() {
		if err := h.core.Reconfigure(fresh.Settings); err != nil {
			return // the end of the run finds that it has not the last settings
		}
		h.pool.Reconfigure(fresh.Settings.ConnectTimeout(), fresh.Settings.Report.Fields)
		h.applied(Applied{Controller: h.name, Kind: Settings, Number: settingsNumber(fresh), AtNs: time.Now().UnixNano()})
	})
	return nil
}

// Joined reports whether the controller serves and is certain of its name.
func (h *Hollow) Joined() bool {
	_, _, certain := h.fleet.Certain()
	return certain && h.ready.Load()
}

// Members is how many members of the fleet the controller knows; 0 while its view may not be acted on.
func (h *Hollow) Members() int {
	shown := h.fleet.Show()
	if !shown.Actable {
		return 0
	}
	return len(shown.Members) + shown.More
}

// Close ends the controller: in order, or as a machine that is lost, without a word to the store. The store and the dispatchers are let go
// when it returns; the connections to dispatchers close a little later.
func (h *Hollow) Close(lost bool) error {
	h.cancel()
	if lost {
		err := h.client.Close()
		h.fleet.Close()
		h.unlist()
		return err //nolint:wrapcheck // it says what it is
	}
	h.loop.Post(func() { h.leaving = true })
	h.fleet.Close()
	h.unlist()
	return h.client.Close() //nolint:wrapcheck // it says what it is
}

// unlist has the pool close its connections, and ends the loop after that.
func (h *Hollow) unlist() {
	h.loop.Post(func() { h.pool.Update(pool.Update{Complete: true}) })
	time.AfterFunc(closeConnectionsWithin, h.loop.Quit)
}

// readConfig reads an operator's file as the program does.
func readConfig(path string) (*config.Config, error) {
	c, err := config.Read(func(name string) string {
		if name == "LB_OPERATOR" {
			return path
		}
		return ""
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	return c, nil
}

// marker is the entry of a scope whose changes are timed: every change turns its status round, which the program logs.
func marker(scope, address string, number int) (name string, entry coordinator.Endpoint) {
	name = markerPrefix + scope
	return name, coordinator.Endpoint{Name: name, Address: address, Group: markerGroup + number, Status: settings.StatusName(statusOf(number)), SinceMs: longRunning}
}

// longRunning is the start of the dispatchers, as the list has it, in Unix milliseconds: long ago.
var longRunning = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// statusOf is the status of a marker, as the program logs it.
func statusOf(number int) control.ServerStatus {
	if number%2 == 1 {
		return control.Draining
	}
	return control.Active
}

var errNoController = fmt.Errorf("scale: there is no such controller")
