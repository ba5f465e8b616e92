package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/coordinator"
	"cherryrelay/internal/dispatchers"
	"cherryrelay/internal/etcd"
)

// node is one call controller, wired up.
type node struct {
	core   *call.Core
	loop   *call.Loop
	log    *slog.Logger
	lines  *callers.Front // the platform's front
	api    *callers.Front // the call-control API; nil if it is off
	cancel context.CancelFunc
}

// start wires a call controller and opens its fronts. It serves once run is called.
func start(c *config.Config, log *slog.Logger) (n *node, err error) {
	seed, err := c.SeedNumber()
	if err != nil {
		return nil, err
	}
	loop := call.NewLoop()
	core, err := call.New(loop, log, c.Settings, seed)
	if err != nil {
		return nil, err
	}
	pool := dispatchers.New(loop, core, dispatchers.Options{
		ConnectTimeout: c.Settings.ConnectTimeout(), Fields: c.Settings.Report.Fields, Log: log,
	})
	core.Serve(pool)
	core.OnFlush(pool.Flush)
	for i := range c.Known.Updates {
		u, err := c.Known.Updates[i].Update()
		if err != nil {
			return nil, fmt.Errorf("known list: %w", err)
		}
		loop.Post(func() { core.Update(u) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	n = &node{core: core, loop: loop, log: log, cancel: cancel}
	defer func() {
		if err != nil {
			err = errors.Join(err, n.close())
		}
	}()
	lines := func() callers.Format { return new(callers.Lines) }
	if n.lines, err = n.front(c.Listen, lines); err != nil {
		return nil, err
	}
	if w := c.WebSocket; w != nil {
		api := func() callers.Format { return callers.NewWebSocket(w.Path) }
		if n.api, err = n.front(w.Listen, api); err != nil {
			return nil, err
		}
	}
	take := func(u call.Update) { loop.Post(func() { core.Update(u) }) }
	if c.Coordinator != "" {
		go coordinator.New(c.Coordinator, c.Known.Index, log, take).Run(ctx)
	}
	if c.Etcd != nil {
		list, err := etcd.New(*c.Etcd, log, take)
		if err != nil {
			return nil, err
		}
		go list.Run(ctx)
	}
	return n, nil
}

func (n *node) front(address string, format func() callers.Format) (*callers.Front, error) {
	f, err := callers.Listen(n.loop, n.core, n.log, address, format)
	if err != nil {
		return nil, err
	}
	n.core.AddFront(f)
	n.core.OnFlush(f.Flush)
	n.log.Info("serving", "address", f.Address())
	return f, nil
}

// run serves until the node has drained.
func (n *node) run() error {
	n.loop.Run()
	return n.close()
}

func (n *node) close() error {
	n.cancel()
	var err error
	for _, f := range []*callers.Front{n.lines, n.api} {
		if f != nil {
			err = errors.Join(err, f.Close())
		}
	}
	return err
}

// drain begins a planned end.
func (n *node) drain() { n.loop.Post(n.core.Drain) }
