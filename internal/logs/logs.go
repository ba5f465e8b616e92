// Package logs creates log handlers and limits the rate of log messages, so that thousands of misbehaving peers cannot fill the log
// or keep the processor busy.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// limit is the size of a token bucket, and the tokens added to it per second.
type limit struct{ burst, refillRate float64 }

// Rate limits for each message above the debug level, and for each debug message that is limited at all.
var (
	ordinary = limit{burst: 30, refillRate: 2}
	frequent = limit{burst: 4000, refillRate: 1000}
)

const (
	// maxMessages limits the distinct messages with a bucket. The program has fewer.
	maxMessages = 256
)

// Handler returns a handler that writes records as text (the default) or json if their level is at least debug, info (the default),
// warn or error.
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

// RateLimiter limits the rate of each message with a token bucket and passes the remaining records to another handler. The first record
// after dropped ones has their number as the attribute not_logged. Debug records are not limited, except for some messages, which have a
// higher limit than those above the debug level.
type RateLimiter struct {
	slog.Handler
	limiter  *limiter
	frequent map[string]bool // the debug messages that are limited
}

// limiter holds a token bucket for each message.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of a message.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int // records since the last one that was passed on
}

// LimitRate returns a handler that limits the rate of the records that it passes to h. At the debug level, only debugMessages are limited.
func LimitRate(h slog.Handler, debugMessages ...string) *RateLimiter {
	b := &RateLimiter{Handler: h, limiter: &limiter{buckets: map[string]*bucket{}}, frequent: map[string]bool{}}
	for _, message := range debugMessages {
		b.frequent[message] = true
	}
	return b
}

// Handle passes a record on if its bucket has a token.
func (b *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
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
	return b.Handler.Handle(ctx, r) //nolint:wrapcheck // slog expects the error of the wrapped handler
}

// allow takes a token from the bucket of a message. It returns false if there is none; otherwise it returns the number of records that
// were dropped since the last one that was passed on.
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

// WithAttrs returns a handler with additional attributes that shares the token buckets.
func (b *RateLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &RateLimiter{Handler: b.Handler.WithAttrs(attrs), limiter: b.limiter, frequent: b.frequent}
}

// WithGroup returns a handler with a group that shares the token buckets.
func (b *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{Handler: b.Handler.WithGroup(name), limiter: b.limiter, frequent: b.frequent}
}
