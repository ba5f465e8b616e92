// Package logs limits the rate of log messages: thousands of misbehaving peers must not fill the log or keep the processor busy.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// limit is the size of a token bucket, and its refill per second.
type limit struct{ burst, refillRate float64 }

// Limits of messages above the debug level, and of those at it that are limited.
var (
	ordinary = limit{burst: 30, refillRate: 2}
	frequent = limit{burst: 4000, refillRate: 1000}
)

const (
	// maxMessages bounds the distinct messages with a bucket. The program has fewer.
	maxMessages = 256
)

// Handler returns a handler that writes records as text (the default) or json, from a level on: debug, info (the default), warn or error.
func Handler(out io.Writer, format, level string) (slog.Handler, error) {
	o := &slog.HandlerOptions{}
	if level != "" {
		var l slog.Level
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("log level: %q is none of debug, info, warn and error", level)
		}
		o.Level = l
	}
	switch format {
	case "", "text":
		return slog.NewTextHandler(out, o), nil
	case "json":
		return slog.NewJSONHandler(out, o), nil
	}
	return nil, fmt.Errorf("log format: %q is neither text nor json", format)
}

// Bounded limits the rate of each message with a token bucket before another handler. The first record after dropped ones has their number
// as not_logged. Debug records are not limited but for some messages, which may come more often than others.
type Bounded struct {
	slog.Handler
	limiter  *limiter
	frequent map[string]bool // the debug messages that are limited
}

// limiter holds a token bucket for each message.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// Bound returns a handler that limits what it passes to another one, some messages at the debug level among it.
func Bound(h slog.Handler, debugMessages ...string) *Bounded {
	b := &Bounded{Handler: h, limiter: &limiter{buckets: map[string]*bucket{}}, frequent: map[string]bool{}}
	for _, message := range debugMessages {
		b.frequent[message] = true
	}
	return b
}

// Handle passes a record on if its bucket has a token.
func (b *Bounded) Handle(ctx context.Context, r slog.Record) error {
	if debug := r.Level <= slog.LevelDebug; !debug || b.frequent[r.Message] {
		limit := ordinary
		if debug {
			limit = frequent
		}
		dropped, ok := b.limiter.allow(r.Message, r.Time, limit)
		if !ok {
			return nil
		}
		if dropped > 0 {
			r.AddAttrs(slog.Int("not_logged", dropped))
		}
	}
	return b.Handler.Handle(ctx, r) //nolint:wrapcheck // it is a wrapper
}

// allow takes a token of a message. It returns false if there is none, and else the number of records dropped since the last one.
func (l *limiter) allow(message string, now time.Time, limit limit) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[message]
	if b == nil {
		if len(l.buckets) >= maxMessages {
			clear(l.buckets)
		}
		b = &bucket{tokens: limit.burst, refilledAt: now}
		l.buckets[message] = b
	}
	b.tokens = min(limit.burst, b.tokens+limit.refillRate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// WithAttrs shares the limit.
func (b *Bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Bounded{Handler: b.Handler.WithAttrs(attrs), limiter: b.limiter, frequent: b.frequent}
}

// WithGroup shares the limit.
func (b *Bounded) WithGroup(name string) slog.Handler {
	return &Bounded{Handler: b.Handler.WithGroup(name), limiter: b.limiter, frequent: b.frequent}
}
