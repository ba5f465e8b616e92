// Command cherryrelay is a call controller on sockets. It takes its configuration from LB_CONFIG, LB_NAME,
// LB_LISTEN and LB_OPERATOR, logs to standard error (with LB_LOG=debug all that the decision module is told and says), and serves
// out what it has taken when it gets SIGTERM.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cherryrelay/internal/config"
)

func main() {
	if err := serve(); err != nil {
		fmt.Fprintln(os.Stderr, "cherryrelay:", err)
		os.Exit(1)
	}
}

func serve() error {
	c, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.MemoryMB << 20 / 2) // the collector works harder well before the limit
	}
	options := &slog.HandlerOptions{}
	if os.Getenv("LB_LOG") == "debug" {
		options.Level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, options)).With("name", c.Name)
	slog.SetDefault(log)
	n, err := start(c, log)
	if err != nil {
		return err
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() {
		for range term {
			n.drain()
		}
	}()
	return n.run()
}
