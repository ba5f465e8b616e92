// Command cherryrelay is a call controller on sockets. Without a sub-command it serves calls: it reads its configuration from LB_CONFIG,
// LB_NAME, LB_LISTEN and LB_OPERATOR and logs to standard error (with LB_LOG=debug also every input and output of the decision module).
// On SIGTERM it completes the set-ups that it has accepted and ends. On SIGHUP it reloads its configuration.
package main

import (
	"cmp"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cherryrelay/internal/commands"
	"cherryrelay/internal/config"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/logs"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, serve))
}

func serve(o commands.Options) error {
	signals := make(chan os.Signal, 8) // registered first, so that an early SIGTERM drains as well
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	c, err := config.Read(os.Getenv)
	if err != nil {
		return err //nolint:wrapcheck // the error names its source
	}
	limitMemory(c.Limits.MemoryMB << 20)
	debugging := ""
	if os.Getenv("LB_LOG") == "debug" { // other values of LB_LOG have no effect
		debugging = "debug"
	}
	handler, err := logs.Handler(os.Stderr, cmp.Or(o.LogFormat, c.Log.Format), cmp.Or(o.LogLevel, debugging, c.Log.Level))
	if err != nil {
		return err //nolint:wrapcheck // the error names its source
	}
	log := slog.New(logs.LimitRate(handler, endlog.Messages()...)).With("name", c.Name)
	slog.SetDefault(log)
	n, err := start(c, log)
	if err != nil {
		return err
	}
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

// limitMemory sets the garbage collector's soft limit to half of the memory limit; 0 sets none.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes / 2)
	}
}
