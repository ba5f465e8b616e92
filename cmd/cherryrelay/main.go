// Command cherryrelay is a call controller on sockets. It takes its configuration from LB_CONFIG, LB_NAME,
// LB_LISTEN and LB_OPERATOR, logs to standard error (with LB_LOG=debug all that the decision module is told and says), and serves
// out what it has taken when it gets SIGTERM. SIGHUP has it read its configuration again.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cherryrelay/internal/config"
	"cherryrelay/internal/logs"
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
	limitMemory(c.Limits.MemoryMB << 20)
	options := &slog.HandlerOptions{}
	if os.Getenv("LB_LOG") == "debug" {
		options.Level = slog.LevelDebug
	}
	log := slog.New(logs.Bound(slog.NewTextHandler(os.Stderr, options))).With("name", c.Name)
	slog.SetDefault(log)
	n, err := start(c, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				n.reload(config.Read(os.Getenv))
				continue
			}
			n.drain()
		}
	}()
	return n.run()
}

// limitMemory has the collector work harder well before the limit.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes / 2)
	}
}
