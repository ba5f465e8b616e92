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
	// stateReportInterval is the interval at which a controller reports its state to the fleet, the same as in the program.
	stateReportInterval = 100 * time.Millisecond
	// poolCloseTimeout is the time that a pool needs to close its connections after the list has become empty.
	poolCloseTimeout = 4 * time.Second
	// markerPrefix starts the names of markers, the list entries whose changes are timed. The group of a marker is markerGroup plus the number
	// of its last change.
	markerPrefix = "marker-"
	markerGroup  = 1_000_000
)

// ControllerSpec describes a hollow controller to start.
type ControllerSpec struct {
	Name   string `json:"name"`
	Store  string `json:"store"`  // address of the store
	Prefix string `json:"prefix"` // key prefix of its list
}

// HollowController is a call controller without listening sockets, so that no caller can reach it. Its event loop, list, membership, decision module,
// connections to dispatchers and timers are those of the program, connected in the same way.
type HollowController struct {
	name        string
	loop        *call.Loop
	core        *call.Core
	pool        *dispatchers.Pool
	fleet       *membership.Fleet
	client      *clientv3.Client
	cancel      context.CancelFunc
	onApplied   func(AppliedChange)
	ready       atomic.Bool
	leaving     bool // used by the event loop only
	listApplied bool // whether a complete list has been applied; used by the event loop only
}

// AppliedChange records that a controller has applied a change.
type AppliedChange struct {
	Controller string    `json:"controller"`
	Kind       EventKind `json:"kind"`  // Change or Settings
	Scope      string    `json:"scope"` // scope of the list, if Kind is Change
	Number     int       `json:"number"`
	AtNs       int64     `json:"at_ns"` // Unix time in nanoseconds
	First      bool      `json:"first"` // part of the first list or configuration after a start, which is not timed
}

// StartHollow starts a controller with a configuration of the program. The listening addresses in it are ignored. The controller calls applied
// for each change that it applies.
func StartHollow(c config.Config, s ControllerSpec, log slog.Handler, applied func(AppliedChange)) (*HollowController, error) {
	logger := slog.New(log).With("name", s.Name)
	h := &HollowController{name: s.Name, loop: call.NewLoop(), onApplied: applied}
	var err error
	if h.core, err = call.New(h.loop, logger, c.Settings, uint64(time.Now().UnixNano())); err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	h.pool = dispatchers.New(h.loop, h.core, dispatchers.Options{
		ConnectTimeout: c.Settings.ConnectTimeout(), ReportFields: c.Settings.Report.Fields, Log: logger})
	h.core.SetDispatchers(h.pool)
	h.core.OnFlush(h.pool.Flush)
	h.loop.AddIdleCheck(h.pool.NoUnreadInput)
	list := lists.New(logger, func(u pool.Update) { h.loop.Post(func() { h.update(u) }) })
	if h.client, err = etcd.Dial([]string{s.Store}); err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	stream := coordinator.New("", 0, logger, list.UpdateHandler(pool.FromCoordinator))
	h.loop.AddIdleCheck(stream.AllDelivered)
	go stream.Run(ctx)
	h.fleet = membership.Start(h.client, membership.Options{Name: s.Name, Address: "hollow", Prefix: strings.TrimSuffix(c.Fleet.Prefix, "/") + "/",
		Lease: c.Fleet.Lease()}, logger)
	h.loop.Post(h.reportState)
	go etcd.NewWithClient(h.client, s.Prefix, logger, list.UpdateHandler(pool.FromEtcd)).Run(ctx)
	go h.loop.Run()
	applied(AppliedChange{Controller: s.Name, Kind: Settings, Number: settingsNumber(&c), AtNs: time.Now().UnixNano(), First: true})
	return h, nil
}

// reportState reports the state of this controller to the fleet, and schedules the next report.
func (h *HollowController) reportState() {
	ready := h.core.Ready()
	h.ready.Store(ready)
	switch {
	case h.leaving:
		h.fleet.SetState(members.Leaving)
	case ready:
		h.fleet.SetState(members.Serving)
	default:
		h.fleet.SetState(members.Joining)
	}
	h.loop.After(stateReportInterval, h.reportState)
}

// update applies a change of the list and reports the markers in it.
func (h *HollowController) update(u pool.Update) {
	h.core.Update(u)
	now := time.Now().UnixNano()
	for _, entry := range u.Servers {
		scope, isMarker := strings.CutPrefix(string(entry.ID), markerPrefix)
		if !isMarker || entry.Status == control.Removed {
			continue
		}
		h.onApplied(AppliedChange{Controller: h.name, Kind: Change, Scope: scope, Number: entry.Cell - markerGroup, AtNs: now, First: !h.listApplied})
	}
	h.listApplied = h.listApplied || u.Complete
}

// Reload reads a file and applies its settings, as the program does at SIGHUP.
func (h *HollowController) Reload(path string) error {
	c, err := readConfig(path)
	if err != nil {
		return err
	}
	h.loop.Post(func() {
		if err := h.core.Reconfigure(c.Settings); err != nil {
			return // the check at the end of the run finds controllers without the last settings
		}
		h.pool.Reconfigure(c.Settings.ConnectTimeout(), c.Settings.Report.Fields)
		h.onApplied(AppliedChange{Controller: h.name, Kind: Settings, Number: settingsNumber(c), AtNs: time.Now().UnixNano()})
	})
	return nil
}

// Joined reports whether the controller is ready and holds its lease.
func (h *HollowController) Joined() bool {
	_, _, certain := h.fleet.HoldsLease()
	return certain && h.ready.Load()
}

// Members returns the number of fleet members that the controller knows, or 0 while its view is not actable.
func (h *HollowController) Members() int {
	view := h.fleet.Status()
	if !view.Actable {
		return 0
	}
	return len(view.Members) + view.OmittedMembers
}

// Close shuts the controller down gracefully or, if crashed is set, as in the crash of a machine: without a notification of the store. The
// connection to the store is closed when Close returns; the connections to dispatchers close within poolCloseTimeout.
func (h *HollowController) Close(crashed bool) error {
	h.cancel()
	if crashed {
		err := h.client.Close()
		h.fleet.Close()
		h.clearList()
		return err //nolint:wrapcheck // the error needs no context
	}
	h.loop.Post(func() { h.leaving = true })
	h.fleet.Close()
	h.clearList()
	return h.client.Close() //nolint:wrapcheck // the error needs no context
}

// clearList applies an empty list, which makes the pool close its connections, and stops the event loop after poolCloseTimeout.
func (h *HollowController) clearList() {
	h.loop.Post(func() { h.pool.Update(pool.Update{Complete: true}) })
	time.AfterFunc(poolCloseTimeout, h.loop.Quit)
}

// readConfig reads an operator file in the same way as the program.
func readConfig(path string) (*config.Config, error) {
	c, err := config.Read(func(name string) string {
		if name == "LB_OPERATOR" {
			return path
		}
		return ""
	})
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	return c, nil
}

// markerEntry returns the list entry whose changes are timed for a scope. Every change toggles its status, because the program logs status changes.
func markerEntry(scope, address string, number int) (name string, entry coordinator.Endpoint) {
	name = markerPrefix + scope
	return name, coordinator.Endpoint{Name: name, Address: address, Group: markerGroup + number, Status: settings.StatusName(markerStatus(number)),
		SinceMs: dispatcherStartMs}
}

// dispatcherStartMs is the start time of all dispatchers in the list, in Unix milliseconds. It lies far enough back that none counts as new.
var dispatcherStartMs = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// markerStatus returns the status of a marker after the change with the given number.
func markerStatus(number int) control.ServerStatus {
	if number%2 == 1 {
		return control.Draining
	}
	return control.Active
}

var errUnknownController = fmt.Errorf("scale worker: unknown controller")
