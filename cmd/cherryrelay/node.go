package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	decide "cherryrelay/internal/decide/pool"
	"cherryrelay/internal/dispatchers"
	"cherryrelay/internal/handover"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/lists/coordinator"
	"cherryrelay/internal/lists/files"
	"cherryrelay/internal/lists/stored"
	"cherryrelay/internal/management"
	"cherryrelay/internal/takeover"
)

// node holds the connected components of one call controller.
type node struct {
	config    *config.Config
	core      *call.Core
	pool      *dispatchers.Pool
	upgrade   *upgrade
	loop      *call.Loop
	log       *slog.Logger
	lines     *callers.Front     // the platform's front, over JSON lines
	api       *callers.Front     // the call-control API over WebSocket; nil if it is off
	manage    *management.Server // nil without a management address
	list      *coordinator.Stream
	lists     *lists.Registry
	files     *files.Watcher        // nil without a pool file
	store     *stored.Store         // nil without a state directory
	opened    *openedLedger         // the ledger as it was opened; nil without one
	ledger    *ledger.Ledger        // nil without one, or while the predecessor has it
	fleet     *fleet                // nil without a fleet
	takeovers *takeover.Participant // nil if calls are not transferred between controllers
	cancel    context.CancelFunc
	bounds    callers.Bounds
	terms     *callers.SetUpRules
	division  socketDivision
}

// start connects the components of a call controller and opens its fronts. The controller serves once run is called.
func start(c *config.Config, log *slog.Logger) (*node, error) {
	return startWithBounds(c, log, callerBounds(c))
}

// callerBounds returns the limits of a front for callers. The fronts share the sockets that the connections of operators leave.
func callerBounds(c *config.Config) callers.Bounds {
	sockets := c.Limits.Sockets
	if c.Management != "" && sockets > 0 {
		sockets = max(sockets-management.Descriptors, 2)
	}
	b := callers.DefaultBounds(sockets)
	if c.WebSocket != nil { // each front gets half
		b.MaxConnections = (b.MaxConnections + 1) / 2
	}
	return b
}

func startWithBounds(c *config.Config, log *slog.Logger, bounds callers.Bounds) (n *node, err error) {
	u := &upgrade{path: handover.Path(c.Listen)}
	u.requestListeners(log)
	seed, err := c.SeedNumber()
	if err != nil {
		return nil, err
	}
	loop := call.NewLoop()
	core, err := call.New(loop, log, c.Settings, seed)
	if err != nil {
		return nil, err
	}
	if c.Subset != nil {
		core.UseSubset(c.Subset.Options(c.Name))
	}
	pool := dispatchers.New(loop, core, dispatchers.Options{
		ConnectTimeout: c.Settings.ConnectTimeout(), ReportFields: c.Settings.Report.Fields, Log: log,
	})
	core.SetDispatchers(pool)
	core.OnFlush(pool.Flush)
	loop.AddIdleCheck(pool.NoUnreadInput)
	keeper := lists.New(log, func(u call.Update) { loop.Post(func() { core.Update(u) }) })
	keeper.Defer()
	if c.Subset != nil {
		limit := c.Subset.ListLimit(c.Limits.MemoryMB << 20)
		keeper.SetLimit(limit)
		log.Info("connecting to a subset of the list", "size", c.Subset.Size, "zone", c.Subset.Zone, "listed at most", limit)
	}
	for i := range c.Known.Updates {
		u, err := c.Known.Updates[i].Update()
		if err != nil {
			return nil, fmt.Errorf("known list: %w", err)
		}
		keeper.UpdateHandler(decide.FromStart)(u)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n = &node{config: c, pool: pool, upgrade: u, core: core, loop: loop, log: log, cancel: cancel, bounds: bounds, lists: keeper, terms: callers.NewSetUpRules(c.Settings)}
	u.node = n
	incomplete := n
	defer func() {
		if err != nil { // n is nil by then
			err = errors.Join(err, incomplete.close())
		}
	}()
	if c.Coordinator != "" || c.Etcd != nil || c.Pool != nil {
		core.AwaitListConfirmation()
	}
	if c.Pool != nil {
		if err := n.startPoolFile(ctx); err != nil {
			return nil, err
		}
	}
	keeper.Publish()
	if c.Ledger != nil {
		n.terms.SetResumeOverLines(c.Ledger.ResumeOverJSONLines)
		if err := n.startLedger(); err != nil {
			return nil, err
		}
	}
	lines := func() callers.Format { return new(callers.JSONLines) }
	if n.lines, err = n.openFront(c.Listen, lines); err != nil {
		return nil, err
	}
	if w := c.WebSocket; w != nil {
		api := func() callers.Format { return callers.NewWebSocket(w.Path) }
		if n.api, err = n.openFront(w.Listen, api); err != nil {
			return nil, err
		}
	}
	core.AddMetrics(func() []*dto.MetricFamily { return callers.Metrics(n.fronts()...) })
	if c.Management != "" {
		if n.manage, err = management.Listen(loop, core, log, c.Management); err != nil {
			return nil, err
		}
		for path, page := range keeper.Pages() {
			n.manage.AddPage(path, page)
		}
		n.manage.AddPage("/api/recovery", n.recoveryPage)
		n.manage.AddPage("/api/shares", n.sharesPage)
		log.Info("serving operators", "address", n.manage.Address())
	}
	n.list = coordinator.New(c.Coordinator, c.Known.Index, log, keeper.UpdateHandler(decide.FromCoordinator))
	n.list.OnCaughtUp(n.confirmList)
	loop.AddIdleCheck(n.list.AllDelivered)
	go n.list.Run(ctx)
	if err := n.followStore(ctx); err != nil {
		return nil, err
	}
	n.startTakeovers()
	n.applyLimits()
	core.OnFlush(n.divideSockets)
	u.run()
	return n, nil
}

// startPoolFile activates the pool file, or the last valid set if the file is invalid, and follows the file.
func (n *node) startPoolFile(ctx context.Context) error {
	o := *n.config.Pool
	n.files = files.New(o, n.log, func(c decide.Candidate) { n.applyPoolFile(c) })
	if s := n.config.State; s != nil {
		// The stored set is restored before a valid file, too: only the servers that the file adds to it get a cold start.
		switch m, err := stored.Load(s.Directory, o.File); {
		case err == nil:
			if v := n.lists.Restore(m); !v.Accepted {
				n.log.Error("the stored set of dispatchers is not used", "fault", v.Faults[0].String())
			}
		case !errors.Is(err, stored.ErrNotFound):
			n.log.Error("the stored set of dispatchers is not used", "err", err)
		}
		n.store = stored.Open(s.Directory, o.File, n.log)
		n.lists.SetStore(n.store)
	}
	v := n.applyPoolFile(n.files.ReadInitial())
	switch {
	case !v.Accepted && !n.lists.HasSet():
		more := ""
		if v.FaultCount > 1 {
			more = fmt.Sprintf(" (and %d more: cherryrelay pool check %s)", v.FaultCount-1, o.File)
		}
		return fmt.Errorf("pool %s: %v%s", o.File, v.Faults[0], more)
	case !v.Accepted:
		n.log.Error("the pool file is invalid: serving with the stored set", "file", o.File, "fault", v.Faults[0].String())
	}
	n.core.AddMetrics(n.lists.Metrics)
	go n.files.Run(ctx)
	return nil
}

// applyPoolFile applies a pool file that has just been read. A valid one is the whole list; without one the list may be old.
func (n *node) applyPoolFile(c decide.Candidate) decide.Verdict {
	v := n.lists.Apply(c)
	if v.Accepted {
		n.confirmList(time.Now())
	}
	return v
}

// confirmList reports to the core that the list contains everything that its source had at a time. Any goroutine may call it, after the
// updates that it has received by then.
func (n *node) confirmList(at time.Time) {
	n.loop.Post(func() { n.core.ListConfirmed(time.Duration(at.UnixNano())) })
}

func (n *node) openFront(address string, format func() callers.Format) (*callers.Front, error) {
	listener, err := n.upgrade.listener(address)
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	f := callers.New(n.loop, n.core, n.log, listener, format, n.bounds, n.terms)
	n.core.AddFront(f)
	n.core.OnFlush(f.Flush)
	n.loop.AddIdleCheck(f.NoUnreadInput)
	n.log.Info("serving", "address", f.Address())
	return f, nil
}

// maxShownShares limits the dispatchers on a page: the page has to stay below the bytes that are buffered for a slow reader.
const maxShownShares = 250

// sharesPage returns this controller's share of the dispatcher that the query names, or of the first maxShownShares dispatchers.
func (n *node) sharesPage(query url.Values) (any, error) {
	shares := n.core.Shares()
	if name := query.Get("dispatcher"); name != "" {
		shares = slices.DeleteFunc(shares, func(s call.DispatcherShare) bool { return string(s.ID) != name })
	}
	return shares[:min(len(shares), maxShownShares)], nil
}

// run serves until the node has drained.
func (n *node) run() error {
	n.loop.Run()
	return n.close()
}

func (n *node) close() error {
	n.cancel()
	if n.store != nil {
		n.store.Close()
	}
	var err error
	if n.takeovers != nil {
		err = n.takeovers.Close()
	}
	if n.ledger != nil { // before the successor is notified of the end
		err = errors.Join(err, n.ledger.Close())
	}
	if n.fleet != nil {
		err = errors.Join(err, n.fleet.close())
	}
	err = errors.Join(err, n.upgrade.finish())
	return errors.Join(err, n.closeListeners())
}

// closeListeners closes all listeners concurrently, as each waits a moment for its peers to read the last messages.
func (n *node) closeListeners() error {
	var closers []func() error
	for _, f := range []*callers.Front{n.lines, n.api} {
		if f != nil {
			closers = append(closers, f.Close)
		}
	}
	if n.manage != nil {
		closers = append(closers, n.manage.Close)
	}
	errs := make([]error, len(closers))
	var closing sync.WaitGroup
	for i, closeListener := range closers {
		closing.Go(func() { errs[i] = closeListener() })
	}
	closing.Wait()
	return errors.Join(errs...)
}

// drain starts a planned shutdown.
func (n *node) drain() {
	n.loop.Post(func() {
		n.leave()
		n.core.Drain()
	})
}

// reload applies the parts of a configuration that can change while calls are served (settings, coordinator and limits), all in one
// iteration of the event loop or none of them. The other parts keep their values from the start. The known list is one of them, as the
// numbers of the list continue. err is the error of reading the configuration.
func (n *node) reload(c *config.Config, err error) {
	n.loop.Post(func() {
		if err == nil {
			err = c.CheckReplacement(n.config)
		}
		if err == nil {
			err = n.core.Reconfigure(c.Settings)
		}
		n.core.CountReload(err == nil)
		if err != nil {
			n.log.Error("configuration is not reloaded", "err", err)
			return
		}
		n.terms = callers.NewSetUpRules(c.Settings).SetResumeOverLines(n.config.Ledger != nil && n.config.Ledger.ResumeOverJSONLines)
		for _, f := range n.fronts() {
			f.SetRules(n.terms)
		}
		n.pool.Reconfigure(c.Settings.ConnectTimeout(), c.Settings.Report.Fields)
		n.list.SetAddress(c.Coordinator)
		c.Listen, c.Management, c.Operator = n.config.Listen, n.config.Management, n.config.Operator // only a restart changes them
		n.config = c
		n.bounds.MaxConnections = callerBounds(c).MaxConnections
		n.applyLimits()
		if n.files != nil {
			n.files.PollSoon()
		}
		n.log.Info("configuration reloaded", "coordinator", c.Coordinator, "classes", len(c.Settings.RequestClasses))
	})
}
