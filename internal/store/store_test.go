package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// client starts the store and returns an etcd client for it.
func client(t *testing.T, s *Store) *clientv3.Client {
	t.Helper()
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := clientv3.New(clientv3.Config{Endpoints: []string{address}, Logger: zap.NewNop(), DialTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// operation is a read, or a compare-and-set from an expected value.
type operation struct {
	key, expected string
	set           string // empty for a read
}

// result is the outcome of an operation. An unanswered compare-and-set may or may not have taken effect.
type result struct {
	value                 string
	succeeded, unanswered bool
}

// registerModel is the sequential model of a key with reads and compare-and-set.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(operation).key
			byKey[key] = append(byKey[key], o)
		}
		var all [][]porcupine.Operation
		for _, part := range byKey {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(string), input.(operation), output.(result)
		switch {
		case in.set == "":
			return out.unanswered || out.value == value, value
		case out.unanswered || out.succeeded:
			if value != in.expected {
				return out.unanswered, value
			}
			return true, in.set
		}
		return value != in.expected, value
	},
}

// runClients runs concurrent clients on two keys, with delayed and lost responses and a stall, and returns the history of their operations. Reads
// are linearizable or serializable.
func runClients(t *testing.T, s *Store, serializable bool) []porcupine.Operation {
	t.Helper()
	c := client(t, s)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for id := range 6 {
		clients.Go(func() {
			value := ""
			for i := range 60 {
				in := operation{key: fmt.Sprint("k", (id+i)%2), expected: value}
				if i%3 != 0 {
					in.set = fmt.Sprint(id, "-", i)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				called := time.Since(start)
				out := result{unanswered: true}
				if in.set == "" {
					options := []clientv3.OpOption{}
					if serializable {
						options = append(options, clientv3.WithSerializable())
					}
					if resp, err := c.Get(ctx, in.key, options...); err == nil {
						out.unanswered, value = false, ""
						if len(resp.Kvs) > 0 {
							value = string(resp.Kvs[0].Value)
						}
						out.value = value
					}
				} else {
					condition := clientv3.Compare(clientv3.Value(in.key), "=", in.expected)
					if in.expected == "" {
						condition = clientv3.Compare(clientv3.CreateRevision(in.key), "=", 0)
					}
					if resp, err := c.Txn(ctx).If(condition).Then(clientv3.OpPut(in.key, in.set)).Commit(); err == nil {
						if out = (result{succeeded: resp.Succeeded}); out.succeeded {
							value = in.set
						}
					}
				}
				cancel()
				returned := time.Since(start)
				if out.unanswered {
					returned = time.Hour // the operation may still take effect at any later time
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: int64(called), Output: out, Return: int64(returned)})
				mu.Unlock()
			}
		})
	}
	for i := range 10 {
		time.Sleep(15 * time.Millisecond)
		s.SetFaults(Faults{ResponseDelay: time.Duration(i%3) * 5 * time.Millisecond, LostWriteResponses: i % 2, Stall: i == 7})
	}
	s.SetFaults(Faults{})
	clients.Wait()
	return history
}

// TestHistoriesAreLinearizable guards against responses that no sequential execution explains, when responses are delayed or lost. The second
// part proves that the check finds violations: serializable reads from a frozen state must fail it.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	if !porcupine.CheckOperations(registerModel, runClients(t, New(1), false)) {
		t.Error("the history is not linearizable")
	}
	s := New(1)
	s.FreezeSerializableReads(true)
	if porcupine.CheckOperations(registerModel, runClients(t, s, true)) {
		t.Error("the check accepted reads from a frozen state")
	}
}

// TestLeasesAndWatches checks the renewal and expiry of leases, the events, progress notifications and compaction errors of watches, and writes
// whose response is lost.
func TestLeasesAndWatches(t *testing.T) {
	t.Parallel()
	s := New(1)
	c, ctx := client(t, s), t.Context()
	grant, err := c.Grant(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "/a/1", "x", clientv3.WithLease(grant.ID)); err != nil {
		t.Fatal(err)
	}
	watch := c.Watch(ctx, "/a/", clientv3.WithPrefix(), clientv3.WithRev(1))
	start := time.Now()
	for time.Since(start) < 1500*time.Millisecond { // renewals keep the lease beyond its TTL of 1 s
		if _, err := c.KeepAliveOnce(ctx, grant.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if keys := s.Keys("/a/"); len(keys) != 1 {
		t.Fatalf("keys under a renewed lease: %v, want one", keys)
	}
	last := time.Now()
	var seen []string
	for len(seen) < 2 {
		resp, more := <-watch
		if !more {
			t.Fatal("the watch channel is closed")
		}
		for _, e := range resp.Events {
			seen = append(seen, e.Type.String()+" "+string(e.Kv.Key))
		}
	}
	if seen[0] != "PUT /a/1" || seen[1] != "DELETE /a/1" || time.Since(last) < 800*time.Millisecond {
		t.Errorf("events %v, the last one %v after the last renewal", seen, time.Since(last))
	}
	if _, err := c.KeepAliveOnce(ctx, grant.ID); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("renewal of an expired lease: %v, want ErrLeaseNotFound", err)
	}
	if _, err := c.Put(ctx, "/a/2", "x", clientv3.WithLease(grant.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("put with an expired lease: %v, want ErrLeaseNotFound", err)
	}
	// A progress notification follows all events before it. A watch from a compacted revision ends.
	s.Put("/b/1", "y")
	if err := c.RequestProgress(ctx); err != nil {
		t.Fatal(err)
	}
	if resp := <-watch; !resp.IsProgressNotify() || resp.Header.Revision != 4 {
		t.Errorf("progress notification with header %+v, want revision 4", resp.Header)
	}
	s.Compact()
	if resp := <-c.Watch(ctx, "/a/", clientv3.WithPrefix(), clientv3.WithRev(1)); !errors.Is(resp.Err(), rpctypes.ErrCompacted) {
		t.Errorf("watch from a compacted revision: %v, want ErrCompacted", resp.Err())
	}
	// The response is lost, but the write has taken effect.
	s.SetFaults(Faults{LostWriteResponses: 1})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.Put(short, "/c", "z"); !errors.Is(err, context.DeadlineExceeded) || len(s.Keys("/c")) != 1 {
		t.Errorf("put with a lost response: %v, keys %v", err, s.Keys("/c"))
	}
}
