// Command cherryrelay is a call controller on sockets. Without a sub-command it serves: it takes its configuration from LB_CONFIG, LB_NAME,
// LB_LISTEN and LB_OPERATOR, logs to standard error (with LB_LOG=debug all that the decision module is told and says), and serves
// out what it has taken when it gets SIGTERM. SIGHUP has it read its configuration again.
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
	signals := make(chan os.Signal, 8) // from the first moment: an early SIGTERM is served out as well
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	c, err := config.Read(os.Getenv)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	limitMemory(c.Limits.MemoryMB << 20)
	debugging := ""
	if os.Getenv("LB_LOG") == "debug" { // nothing else that it may hold has ever counted
		debugging = "debug"
	}
	handler, err := logs.Handler(os.Stderr, cmp.Or(o.LogFormat, c.Log.Format), cmp.Or(o.LogLevel, debugging, c.Log.Level))
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	log := slog.New(logs.Bound(handler, endlog.Messages()...)).With("name", c.Name)
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

// limitMemory has the collector work harder well before the limit.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes / 2)
	}
}
