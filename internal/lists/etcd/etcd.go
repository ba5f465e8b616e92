// Package etcd follows a list of dispatchers that is stored under a prefix in etcd: one key per dispatcher, its value a
// JSON object as in the coordinator's list.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/lists/coordinator"
)

const (
	// readTimeout bounds one read of the list and the dialling of a connection.
	readTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before the list is read again, which doubles.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, time.Second
	// keepAlive is the interval and the timeout of keepalive probes, which detect a connection whose peer is gone.
	keepAlive = 2 * time.Second
)

// Options specifies where the list is stored.
type Options struct {
	Endpoints []string `json:"endpoints"`
	Prefix    string   `json:"prefix"`
}

// Validate returns an error if an option is missing.
func (o *Options) Validate() error {
	switch {
	case len(o.Endpoints) == 0:
		return errors.New("etcd: no endpoints")
	case o.Prefix == "":
		return errors.New("etcd: no prefix")
	}
	return nil
}

// Dial returns a client for the endpoints, which need not be up yet.
func Dial(endpoints []string) (*clientv3.Client, error) {
	client, err := clientv3.New(clientv3.Config{
		Endpoints: endpoints, DialTimeout: readTimeout, DialKeepAliveTime: keepAlive, DialKeepAliveTimeout: keepAlive,
		BackoffWaitBetween: minRetryDelay, Logger: zap.NewNop(),
	})
	if err != nil {
		return nil, fmt.Errorf("etcd: %w", err)
	}
	return client, nil
}

// Watcher follows the dispatchers under a prefix.
type Watcher struct {
	client     *clientv3.Client
	ownsClient bool // Run closes the client when it ends
	prefix     string
	log        *slog.Logger
	onUpdate   func(call.Update) // called in order, by one goroutine
	onCaughtUp func(time.Time)   // called by the same goroutine
	servers    map[string]call.Server
}

// New follows the prefix with a client of its own. etcd need not be up yet.
func New(o Options, log *slog.Logger, onUpdate func(call.Update)) (*Watcher, error) {
	client, err := Dial(o.Endpoints)
	if err != nil {
		return nil, err
	}
	l := NewWithClient(client, o.Prefix, log, onUpdate)
	l.ownsClient = true
	return l, nil
}

// NewWithClient follows a prefix with a shared client, which it does not close.
func NewWithClient(client *clientv3.Client, prefix string, log *slog.Logger, onUpdate func(call.Update)) *Watcher {
	return &Watcher{client: client, prefix: prefix, log: log, onUpdate: onUpdate, onCaughtUp: func(time.Time) {}, servers: map[string]call.Server{}}
}

// OnCaughtUp sets a function that is called, between the updates, with times up to which the updates are complete. It must be called before
// Run.
func (l *Watcher) OnCaughtUp(f func(at time.Time)) { l.onCaughtUp = f }

// Run follows the list until the context ends. Whenever the watch cannot resume at its last revision, as after a
// compaction, Run reads the complete list again; dispatchers that were removed in between are missing from it.
func (l *Watcher) Run(ctx context.Context) {
	defer func() {
		if !l.ownsClient {
			return
		}
		if err := l.client.Close(); err != nil {
			l.log.Debug("closing the etcd client", "err", err)
		}
	}()
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := l.readAll(ctx)
		if err == nil {
			delay = minRetryDelay
			err = l.watch(ctx, revision+1)
		}
		if ctx.Err() != nil {
			return
		}
		l.log.Info("etcd watch ended, the list is read again", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// readAll reads the complete list and returns the revision at which it was read.
func (l *Watcher) readAll(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	resp, err := l.client.Get(ctx, l.prefix, clientv3.WithPrefix())
	if err != nil {
		return 0, fmt.Errorf("etcd: reading %s: %w", l.prefix, err)
	}
	u := call.Update{Complete: true}
	previous := l.servers
	l.servers = map[string]call.Server{}
	allRead := true
	for _, kv := range resp.Kvs {
		s, ok := l.applyPut(kv, previous)
		if !ok {
			allRead = false
			continue
		}
		u.Servers = append(u.Servers, s)
	}
	l.onUpdate(u)
	if allRead { // otherwise the list lacks a dispatcher that etcd has
		l.onCaughtUp(began)
	}
	return resp.Header.Revision, nil
}

// watch applies changes from a revision on. It returns when the watch cannot resume; the client itself resumes it after
// a broken connection.
func (l *Watcher) watch(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	for resp := range l.client.Watch(ctx, l.prefix, clientv3.WithPrefix(), clientv3.WithRev(revision)) {
		if err := resp.Err(); err != nil {
			if errors.Is(err, rpctypes.ErrCompacted) {
				return fmt.Errorf("etcd: revision %d is compacted: %w", revision, err)
			}
			return fmt.Errorf("etcd: watching: %w", err)
		}
		var u call.Update
		for _, e := range resp.Events {
			switch {
			case e.Type == mvccpb.Event_PUT:
				if s, ok := l.applyPut(e.Kv, l.servers); ok {
					u.Servers = append(u.Servers, s)
				}
			default:
				if s, ok := l.servers[string(e.Kv.Key)]; ok { // a deleted key removes the dispatcher
					s.Status = control.Removed
					delete(l.servers, string(e.Kv.Key))
					u.Servers = append(u.Servers, s)
				}
			}
		}
		if len(u.Servers) > 0 {
			l.onUpdate(u)
		}
	}
	return errors.New("etcd: the watch ended")
}

// applyPut decodes a key's value. A dispatcher whose value is invalid stays as it was in previous.
func (l *Watcher) applyPut(kv *mvccpb.KeyValue, previous map[string]call.Server) (call.Server, bool) {
	var p coordinator.Endpoint
	err := jsoniter.ConfigDefault.Unmarshal(kv.Value, &p)
	if p.Name == "" {
		p.Name = path.Base(string(kv.Key))
	}
	var s call.Server
	if err == nil {
		s, err = p.Server()
	}
	if err != nil {
		l.log.Error("etcd value is invalid, the dispatcher stays unchanged", "key", string(kv.Key), "err", err)
		s, ok := previous[string(kv.Key)]
		if ok {
			l.servers[string(kv.Key)] = s
		}
		return s, ok
	}
	l.servers[string(kv.Key)] = s
	return s, true
}
