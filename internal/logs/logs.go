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

const (
	// burst and refillRate (per second) are those of each message's token bucket.
	burst, refillRate = 30, 2
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
// as not_logged. Debug records are not limited.
type Bounded struct {
	slog.Handler
	limiter *limiter
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

// Bound returns a handler that limits what it passes to another one.
func Bound(h slog.Handler) *Bounded {
	return &Bounded{Handler: h, limiter: &limiter{buckets: map[string]*bucket{}}}
}

// Handle passes a record on if its bucket has a token.
func (b *Bounded) Handle(ctx context.Context, r slog.Record) error {
	if r.Level > slog.LevelDebug {
		dropped, ok := b.limiter.allow(r.Message, r.Time)
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
func (l *limiter) allow(message string, now time.Time) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[message]
	if b == nil {
		if len(l.buckets) >= maxMessages {
			clear(l.buckets)
		}
		b = &bucket{tokens: burst, refilledAt: now}
		l.buckets[message] = b
	}
	b.tokens = min(burst, b.tokens+refillRate*now.Sub(b.refilledAt).Seconds())
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
	return &Bounded{Handler: b.Handler.WithAttrs(attrs), limiter: b.limiter}
}

// WithGroup shares the limit.
func (b *Bounded) WithGroup(name string) slog.Handler {
	return &Bounded{Handler: b.Handler.WithGroup(name), limiter: b.limiter}
}
