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

// startFleet starts n members in this process, each with a client of its own, and waits until each holds its lease and sees all members.
func startFleet(t *testing.T, s *store.Store, address string, n int, lease time.Duration) []*Fleet {
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
		f.SetState(members.Serving)
		all = append(all, f)
	}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, f := range all {
			if v := f.Status(); v.HoldsLease && len(v.Members)+v.OmittedMembers == n {
				ready++
			}
		}
		if ready == n {
			return all
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d members hold their lease and see all members", ready, n)
		}
	}
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdleLoad starts a fleet and measures its load while the membership does not change. It returns the number of requests to the store per
// second and member.
func measureIdleLoad(t *testing.T, n int, lease, period time.Duration) (requests float64) {
	s := store.New(1)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	start := time.Now()
	startFleet(t, s, address, n, lease)
	joined := time.Since(start)
	before, cpu := s.Counts().Total(), cpuTime()
	time.Sleep(period)
	requests = float64(s.Counts().Total()-before) / period.Seconds() / float64(n)
	cpu = cpuTime() - cpu
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d members, lease %v: complete after %v; per member and second %.2f requests and %.2f ms of CPU time (store and clients); heap %.1f MB",
		n, lease, joined.Round(time.Millisecond), requests, cpu.Seconds()*1000/period.Seconds()/float64(n), float64(m.HeapAlloc)/1e6)
	return requests
}

// TestIdleRequestRate guards against needless requests to the store. An idle member sends three renewals and one and a half verifications per
// TTL; it requests progress notifications only after changes.
func TestIdleRequestRate(t *testing.T) {
	if got := measureIdleLoad(t, 30, time.Second, 2*time.Second); got > 5.5 {
		t.Errorf("%.2f requests per second and member with a lease of one second, want about 4.5 and at most 5.5", got)
	}
}

// TestSoakMembers measures the idle load for fleets of different sizes.
func TestSoakMembers(t *testing.T) {
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("runs with make soak only")
	}
	for _, n := range []int{3, 30, 300} {
		measureIdleLoad(t, n, 3*time.Second, 12*time.Second)
	}
}
