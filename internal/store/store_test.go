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

// step is a read, or a change by compare-and-set from a revision.
type step struct {
	key, from string
	set       string // empty for a read
}

// got is what came of it; an answer that never came may stand for either.
type got struct {
	value        string
	done, silent bool
}

// register is a key with reads and compare-and-set, as a sequence of steps would have it.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(step).key
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
		value, in, out := state.(string), input.(step), output.(got)
		switch {
		case in.set == "":
			return out.silent || out.value == value, value
		case out.silent || out.done:
			if value != in.from {
				return out.silent, value
			}
			return true, in.set
		}
		return value != in.from, value
	},
}

// play has clients work on few keys at once, with answers that are late or lost, and returns what they saw. Reads ask for a quorum or not.
func play(t *testing.T, s *Store, serializable bool) []porcupine.Operation {
	t.Helper()
	c := client(t, s)
	begun := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var working sync.WaitGroup
	for id := range 6 {
		working.Go(func() {
			value := ""
			for i := range 60 {
				in := step{key: fmt.Sprint("k", (id+i)%2), from: value}
				if i%3 != 0 {
					in.set = fmt.Sprint(id, "-", i)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				called := time.Since(begun)
				out := got{silent: true}
				if in.set == "" {
					options := []clientv3.OpOption{}
					if serializable {
						options = append(options, clientv3.WithSerializable())
					}
					if resp, err := c.Get(ctx, in.key, options...); err == nil {
						out.silent, value = false, ""
						if len(resp.Kvs) > 0 {
							value = string(resp.Kvs[0].Value)
						}
						out.value = value
					}
				} else {
					at := clientv3.Compare(clientv3.Value(in.key), "=", in.from)
					if in.from == "" {
						at = clientv3.Compare(clientv3.CreateRevision(in.key), "=", 0)
					}
					if resp, err := c.Txn(ctx).If(at).Then(clientv3.OpPut(in.key, in.set)).Commit(); err == nil {
						if out = (got{done: resp.Succeeded}); out.done {
							value = in.set
						}
					}
				}
				cancel()
				returned := time.Since(begun)
				if out.silent {
					returned = time.Hour // it may still happen, as far as anybody knows
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: int64(called), Output: out, Return: int64(returned)})
				mu.Unlock()
			}
		})
	}
	for i := range 10 {
		time.Sleep(15 * time.Millisecond)
		s.Fault(Faults{Late: time.Duration(i%3) * 5 * time.Millisecond, Lost: i % 2, Stall: i == 7})
	}
	s.Fault(Faults{})
	working.Wait()
	return history
}

// TestHistoriesAreLinearizable: whatever is late or lost, what clients see is what one register would have told them, one step after
// another. Reads that ask for no quorum, from a store that holds an older view, are the offence that the check finds.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	if !porcupine.CheckOperations(register, play(t, New(1), false)) {
		t.Error("a history that no single register can have had")
	}
	s := New(1)
	s.Hold(true)
	if porcupine.CheckOperations(register, play(t, s, true)) {
		t.Error("reads of an older view passed the check")
	}
}

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
	begun := time.Now()
	for time.Since(begun) < 1500*time.Millisecond { // renewed, it outlasts its time
		if _, err := c.KeepAliveOnce(ctx, grant.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if keys := s.Keys("/a/"); len(keys) != 1 {
		t.Fatalf("a lease that was renewed has ended: %v", keys)
	}
	last := time.Now()
	var seen []string
	for len(seen) < 2 {
		resp, more := <-watch
		if !more {
			t.Fatal("the watch ended")
		}
		for _, e := range resp.Events {
			seen = append(seen, e.Type.String()+" "+string(e.Kv.Key))
		}
	}
	if seen[0] != "PUT /a/1" || seen[1] != "DELETE /a/1" || time.Since(last) < 800*time.Millisecond {
		t.Errorf("seen %v, the end %v after the last renewal", seen, time.Since(last))
	}
	if _, err := c.KeepAliveOnce(ctx, grant.ID); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("a lease that has ended is renewed with %v", err)
	}
	if _, err := c.Put(ctx, "/a/2", "x", clientv3.WithLease(grant.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("a key under a lease that has ended is made with %v", err)
	}
	// Progress is told once all before it was; a watch from before a compaction ends.
	s.Put("/b/1", "y")
	if err := c.RequestProgress(ctx); err != nil {
		t.Fatal(err)
	}
	if resp := <-watch; !resp.IsProgressNotify() || resp.Header.Revision != 4 {
		t.Errorf("progress is told as %+v", resp.Header)
	}
	s.Compact()
	if resp := <-c.Watch(ctx, "/a/", clientv3.WithPrefix(), clientv3.WithRev(1)); !errors.Is(resp.Err(), rpctypes.ErrCompacted) {
		t.Errorf("a watch from before the compaction has %v", resp.Err())
	}
	// An answer that never comes: the write has happened.
	s.Fault(Faults{Lost: 1})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.Put(short, "/c", "z"); !errors.Is(err, context.DeadlineExceeded) || len(s.Keys("/c")) != 1 {
		t.Errorf("a lost answer: %v, keys %v", err, s.Keys("/c"))
	}
}
