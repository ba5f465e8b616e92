// Package etcd follows a list of dispatchers that is kept under a prefix in etcd: one key a dispatcher, its value the
// JSON object of the coordinator's list.
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
	// readTimeout bounds one read of the list.
	readTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the pause before the list is read anew, which doubles.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, time.Second
	// keepAlive finds a connection whose other end is gone.
	keepAlive = 2 * time.Second
)

// Options say where the list is.
type Options struct {
	Endpoints []string `json:"endpoints"`
	Prefix    string   `json:"prefix"`
}

// Check reports what is missing.
func (o *Options) Check() error {
	switch {
	case len(o.Endpoints) == 0:
		return errors.New("etcd: no endpoints")
	case o.Prefix == "":
		return errors.New("etcd: no prefix")
	}
	return nil
}

// Dial makes a client for endpoints, which need not be up yet.
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

// List follows the prefix.
type List struct {
	client     *clientv3.Client
	ownsClient bool // the client is closed with the list
	prefix     string
	log        *slog.Logger
	onUpdate   func(call.Update) // called in order, by one goroutine
	servers    map[string]call.Server
}

// New connects to etcd, which need not be up yet.
func New(o Options, log *slog.Logger, onUpdate func(call.Update)) (*List, error) {
	client, err := Dial(o.Endpoints)
	if err != nil {
		return nil, err
	}
	l := Over(client, o.Prefix, log, onUpdate)
	l.ownsClient = true
	return l, nil
}

// Over follows a prefix with a client that others use as well, and does not close it.
func Over(client *clientv3.Client, prefix string, log *slog.Logger, onUpdate func(call.Update)) *List {
	return &List{client: client, prefix: prefix, log: log, onUpdate: onUpdate, servers: map[string]call.Server{}}
}

// Run follows the list until the context ends. Whenever the watch cannot go on from where it was, as after a
// compaction, the list is read anew: what has gone in between is missing from it.
func (l *List) Run(ctx context.Context) {
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
		l.log.Info("etcd list is read anew", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// readAll takes in the whole list and returns the revision it was read at.
func (l *List) readAll(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	resp, err := l.client.Get(ctx, l.prefix, clientv3.WithPrefix())
	if err != nil {
		return 0, fmt.Errorf("etcd: reading %s: %w", l.prefix, err)
	}
	u := call.Update{Complete: true}
	previous := l.servers
	l.servers = map[string]call.Server{}
	for _, kv := range resp.Kvs {
		if s, ok := l.applyPut(kv, previous); ok {
			u.Servers = append(u.Servers, s)
		}
	}
	l.onUpdate(u)
	return resp.Header.Revision, nil
}

// watch takes in changes from the revision on. It returns when the watch has ended for good: the client itself goes on
// after a connection that broke.
func (l *List) watch(ctx context.Context, revision int64) error {
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
				if s, ok := l.servers[string(e.Kv.Key)]; ok { // a deleted key is a dispatcher that has gone
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

// applyPut reads a key's value. One that makes no sense leaves the dispatcher as it was before.
func (l *List) applyPut(kv *mvccpb.KeyValue, previous map[string]call.Server) (call.Server, bool) {
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
		l.log.Error("etcd key that cannot be used", "key", string(kv.Key), "err", err)
		s, ok := previous[string(kv.Key)]
		if ok {
			l.servers[string(kv.Key)] = s
		}
		return s, ok
	}
	l.servers[string(kv.Key)] = s
	return s, true
}
