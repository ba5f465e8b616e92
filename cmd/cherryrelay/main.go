// Command cherryrelay is a call controller on sockets. It takes its configuration from LB_CONFIG, LB_NAME and
// LB_LISTEN, logs to standard error (with LB_LOG=debug all that the decision module is told and says), and serves out what it has taken when it gets SIGTERM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/coordinator"
	"cherryrelay/internal/dispatchers"
)

func main() {
	c, err := config.Read(os.Getenv)
	if err == nil {
		err = serve(c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cherryrelay:", err)
		os.Exit(1)
	}
}

func serve(c *config.Config) error {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.MemoryMB << 20 / 2) // the collector works harder well before the limit
	}
	options := &slog.HandlerOptions{}
	if os.Getenv("LB_LOG") == "debug" {
		options.Level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, options)).With("name", c.Name)
	slog.SetDefault(log)
	seed, err := c.SeedNumber()
	if err != nil {
		return err
	}
	loop := call.NewLoop()
	core, err := call.New(loop, log, c.Settings, seed)
	if err != nil {
		return err
	}
	pool := dispatchers.New(loop, core, dispatchers.Options{
		ConnectTimeout: c.Settings.ConnectTimeout(), Fields: c.Settings.Report.Fields, Log: log, Wire: dispatchers.NewSIP,
	})
	core.Serve(pool)
	core.OnFlush(pool.Flush)
	for i := range c.Known.Updates {
		u, err := c.Known.Updates[i].Update()
		if err != nil {
			return fmt.Errorf("known list: %w", err)
		}
		loop.Post(func() { core.Update(u) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Coordinator != "" {
		take := func(u call.Update) { loop.Post(func() { core.Update(u) }) }
		go coordinator.New(c.Coordinator, c.Known.Index, log, take).Run(ctx)
	}
	front, err := callers.Listen(loop, core, log, c.Listen, func() callers.Format { return new(callers.Lines) })
	if err != nil {
		return err
	}
	core.AddFront(front)
	core.OnFlush(front.Flush)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() {
		for range term {
			loop.Post(core.Drain)
		}
	}()
	log.Info("serving", "address", front.Address())
	loop.Run()
	if err := front.Close(); err != nil {
		log.Info("closing", "err", err)
	}
	return nil
}
