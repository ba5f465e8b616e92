package membership

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"cherryrelay/internal/decide/members"
	"cherryrelay/internal/store"
)

// fleetOf starts so many members in this process, each with a client of its own, and waits until all are certain and see all.
func fleetOf(t *testing.T, s *store.Store, address string, n int, lease time.Duration) []*Fleet {
	t.Helper()
	var all []*Fleet
	for i := range n {
		client, err := clientv3.New(clientv3.Config{Endpoints: []string{address}, Logger: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		f := Start(client, Options{Name: fmt.Sprint("n", i), Address: "a", Prefix: "/m/", Lease: lease}, slog.New(slog.DiscardHandler))
		t.Cleanup(f.Close)
		f.Say(members.Serving)
		all = append(all, f)
	}
	for until := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		whole := 0
		for _, f := range all {
			if v := f.Show(); v.Certain && len(v.Members)+v.More == n {
				whole++
			}
		}
		if whole == n {
			return all
		}
		if time.Now().After(until) {
			t.Fatalf("%d of %d see all", whole, n)
		}
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost starts a fleet and tells what it costs the store while nothing happens.
func cost(t *testing.T, n int, lease, lasting time.Duration) (requests float64) {
	s := store.New(1)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	begun := time.Now()
	fleetOf(t, s, address, n, lease)
	joined := time.Since(begun)
	before, cpu := s.Counts().Sum(), processorTime()
	time.Sleep(lasting)
	requests = float64(s.Counts().Sum()-before) / lasting.Seconds() / float64(n)
	cpu = processorTime() - cpu
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d members, lease %v: all seen by all after %v; %.2f requests a second each; %.2f ms of processor a second each, store and clients together; heap %.1f MB",
		n, lease, joined.Round(time.Millisecond), requests, cpu.Seconds()*1000/lasting.Seconds()/float64(n), float64(m.HeapAlloc)/1e6)
	return requests
}

// TestIdleRequestRate: per TTL three renewals and one and a half verifications, and progress requests only after changes.
func TestIdleRequestRate(t *testing.T) {
	if got := cost(t, 30, time.Second, 2*time.Second); got > 5.5 {
		t.Errorf("%.2f requests a second each at a lease of a second, want some 4.5", got)
	}
}

func TestSoakMembers(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("make soak")
	}
	for _, n := range []int{3, 30, 300} {
		cost(t, n, 3*time.Second, 12*time.Second)
	}
}
