package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// memory is a disk that can fail, stall, and be cut off as by a crash.
type memory struct {
	mu    sync.Mutex
	files map[string][]byte
	err   error         // of every write
	stall time.Duration // of every write
	room  int           // bytes that still fit; below 0 is no bound
}

func newMemory() *memory { return &memory{files: map[string][]byte{}, room: -1} }

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// copy is the disk as a process finds it that starts now.
func (m *memory) copy() *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := newMemory()
	for name, text := range m.files {
		c.files[name] = bytes.Clone(text)
	}
	return c
}

func (m *memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, ok := m.files[name]
	if !ok {
		return nil, fmt.Errorf("no file %s", name)
	}
	return bytes.Clone(text), nil
}

func (m *memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return nil, m.err
	}
	m.files[name] = nil
	return &memoryFile{m, name}, nil
}

func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return m.err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

func (m *memory) Sync() error  { return nil }
func (m *memory) Close() error { return nil }

type memoryFile struct {
	m    *memory
	name string
}

func (f *memoryFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	stall := f.m.stall
	f.m.mu.Unlock()
	time.Sleep(stall)
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.err != nil {
		return 0, f.m.err
	}
	n := len(p)
	if f.m.room >= 0 {
		n = min(n, f.m.room)
		f.m.room -= n
	}
	f.m.files[f.name] = append(f.m.files[f.name], p[:n]...)
	if n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *memoryFile) Sync() error  { return nil }
func (f *memoryFile) Close() error { return nil }

// long is a patience that only what has gone wrong wears out.
const long = 20 * time.Second

func options() Options { return Options{Name: "n1", CommitTimeout: long} }

// begin opens a ledger on a disk, with what is there as its state.
func begin(t testing.TB, d Disk, o Options) (*Ledger, *Contents) {
	t.Helper()
	found, err := Read(d, o.Name, o.Key)
	if err != nil {
		t.Fatal(err)
	}
	l := New(d, o, found)
	if err := l.BeginEpochAndWait(found.Records, long); err != nil {
		t.Fatal(err)
	}
	return l, found
}

func commit(t testing.TB, l *Ledger, records ...string) {
	t.Helper()
	for _, r := range records {
		if err := l.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Commit(); err != nil {
		t.Fatal(err)
	}
}

func read(t testing.TB, d Disk, o Options) *Contents {
	t.Helper()
	found, err := Read(d, o.Name, o.Key)
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func text(records [][]byte) string { return string(bytes.Join(records, []byte(" "))) }

func TestReadsCommittedRecords(t *testing.T) {
	for name, o := range map[string]Options{
		"plain": options(), "keyed": {Name: "n1", CommitTimeout: long, Key: []byte("a key")}, "synced": {Name: "n1", CommitTimeout: long, Sync: SyncAlways},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := OpenDirectory(t.TempDir() + "/ledger")
			if err != nil {
				t.Fatal(err)
			}
			path := d.(*directory).path
			want := ""
			for life := range 4 {
				if life > 0 {
					if d, err = OpenDirectory(path); err != nil {
						t.Fatal(err)
					}
				}
				l, found := begin(t, d, o)
				if got := text(found.Records); got != want || found.Gapped() || found.Torn || len(found.Damage) > 0 {
					t.Fatalf("life %d: %q, want %q; %+v", life, got, want, found)
				}
				commit(t, l, fmt.Sprint("a", life), fmt.Sprint("b", life))
				commit(t, l)
				commit(t, l, fmt.Sprint("c", life))
				if err := l.Append([]byte("never committed")); err != nil {
					t.Fatal(err)
				}
				if _, err := OpenDirectory(path); !errors.Is(err, ErrLocked) {
					t.Fatalf("a second owner gets in: %v", err)
				}
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
				want = strings.TrimSpace(fmt.Sprintf("%s a%d b%d c%d", want, life, life, life))
			}
		})
	}
}

func TestOwnerAndKeyAreChecked(t *testing.T) {
	d := newMemory()
	o := options()
	o.Key = []byte("a key")
	l, _ := begin(t, d, o)
	commit(t, l, "a")
	for name, other := range map[string]Options{"another name": {Name: "n2", Key: o.Key}, "no key": {Name: "n1"}} {
		if _, err := Read(d, other.Name, other.Key); !errors.Is(err, ErrWrongOwner) && !errors.Is(err, ErrWrongKey) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if found := read(t, d, Options{Name: "n1", Key: []byte("another")}); len(found.Records) > 0 || !found.Torn && !found.Gapped() {
		t.Errorf("another key reads %q", text(found.Records))
	}
	later := d.copy()
	for name := range later.files {
		h := header{segmentMagic, ownerHash("n1"), true, 1, 1}.append(nil)
		copy(h[8:], []byte{version + 1})
		h = h[:headerSize-8]
		later.files[name] = append(h, sumOf(h)...)
	}
	if _, err := Read(later, o.Name, o.Key); !errors.Is(err, ErrFormat) {
		t.Errorf("a later form: %v", err)
	}
}

// sumOf is the checksum of a head.
func sumOf(p []byte) []byte { return binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(p)) }

// TestTruncatedLastSegment: the records up to the cut are read, and no gap is reported.
func TestTruncatedLastSegment(t *testing.T) {
	for _, key := range [][]byte{nil, []byte("a key")} {
		o := options()
		o.Key = key
		d := newMemory()
		l, _ := begin(t, d, o)
		commit(t, l, "one", "two")
		commit(t, l, "three")
		name := segmentName(l.seq - 3)
		whole := d.files[name]
		for cut := range whole {
			c := d.copy()
			c.files[name] = whole[:cut]
			found := read(t, c, o)
			if !strings.HasPrefix("one two three", text(found.Records)) || found.Gapped() || len(found.Damage) > 0 {
				t.Errorf("cut at %d: %q, %+v", cut, text(found.Records), found)
			}
			// And the next life goes on from there.
			next, _ := begin(t, c, o)
			commit(t, next, "four")
			if again := read(t, c, o); text(again.Records) != strings.TrimSpace(text(found.Records)+" four") || again.Gapped() {
				t.Errorf("cut at %d, and then: %q", cut, text(again.Records))
			}
		}
	}
}

// TestFlippedBits: no record is read that was not written, and where one is missing before others, a gap is reported.
func TestFlippedBits(t *testing.T) {
	o := options()
	o.SegmentSize = 150 // so that there are several
	d := newMemory()
	l, _ := begin(t, d, o)
	var all []string
	for i := range 12 {
		all = append(all, fmt.Sprint("record", i))
		commit(t, l, all[i])
	}
	for name, whole := range d.files {
		for at := range whole {
			c := d.copy()
			c.files[name] = bytes.Clone(whole)
			c.files[name][at] ^= 1 << (at % 8)
			found, err := Read(c, o.Name, o.Key)
			if err != nil {
				if errors.Is(err, ErrFormat) || errors.Is(err, ErrWrongOwner) || errors.Is(err, ErrWrongKey) {
					t.Errorf("%s, byte %d: damage taken for another ledger: %v", name, at, err)
				}
				continue
			}
			next := 0
			for i, r := range found.Records {
				k := slices.Index(all, string(r))
				if k < next {
					t.Fatalf("%s, byte %d: read %q", name, at, r)
				}
				if k > next && !found.Gaps[i] {
					t.Fatalf("%s, byte %d: %q follows number %d, and no gap is told", name, at, r, next)
				}
				next = k + 1
			}
			if next < len(all) && !found.Torn && !found.Gapped() {
				t.Fatalf("%s, byte %d: the end is missing, and nothing is told", name, at)
			}
		}
	}
}

func TestLostSegmentAndTornSnapshot(t *testing.T) {
	o := options()
	o.SegmentSize = 150
	d := newMemory()
	l, _ := begin(t, d, o)
	for i := range 12 {
		commit(t, l, fmt.Sprint("record", i))
	}
	var segments []string
	for name := range d.files {
		if strings.HasSuffix(name, ".segment") {
			segments = append(segments, name)
		}
	}
	slices.Sort(segments)
	if len(segments) < 4 {
		t.Fatalf("only %d segments", len(segments))
	}
	for i, name := range segments[:len(segments)-1] {
		c := d.copy()
		delete(c.files, name)
		if found := read(t, c, o); !found.Gapped() || len(found.Damage) == 0 {
			t.Errorf("segment %d is gone, and nothing is told: %+v", i, found)
		}
	}
	// A snapshot that was not put in place, and one that was cut after it had been.
	c := d.copy()
	c.files[snapshotName(1<<40)+".new"] = []byte("half of")
	if found := read(t, c, o); found.Gapped() || len(found.Records) != 12 {
		t.Errorf("a snapshot on its way: %+v", found)
	}
	for name, whole := range d.files {
		if strings.HasSuffix(name, ".snapshot") {
			c.files[name] = whole[:len(whole)-1]
		}
	}
	if found := read(t, c, o); !found.Gaps[0] {
		t.Errorf("a torn snapshot: %+v", found)
	}
}

// latest keeps the last record of each key.
func latest(records [][]byte, gaps map[int]bool) ([][]byte, error) {
	if len(gaps) > 0 {
		return nil, fmt.Errorf("gaps %v", gaps)
	}
	last := map[string][]byte{}
	for _, r := range records {
		last[strings.Split(string(r), "=")[0]] = r
	}
	var out [][]byte
	for _, k := range slices.Sorted(maps.Keys(last)) {
		out = append(out, last[k])
	}
	return out, nil
}

// TestCompaction: once snapshots have caught up with the writer, however slow they are beside it, the files
// take no more than a few segments, and what is read is the least of what was written.
func TestCompaction(t *testing.T) {
	o := options()
	o.SegmentSize = 2000
	o.Compact = latest
	d := newMemory()
	l, _ := begin(t, d, o)
	n := 0
	next := func() {
		commit(t, l, fmt.Sprintf("k%d=%d", n%10, n))
		n++
	}
	for n < 5000 {
		next()
	}
	for until := time.Now().Add(long); n%10 != 0 || l.Metrics().FileBytes > 5*o.SegmentSize || l.Metrics().Snapshots < 3; next() {
		if time.Now().After(until) {
			t.Fatalf("not cut: %+v", l.Metrics())
		}
		time.Sleep(time.Millisecond) // a writer that leaves snapshots the time to catch up
	}
	f := l.Metrics()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	found := read(t, d, o)
	if found.Bytes > f.FileBytes || found.Gapped() || f.Records != uint64(n) || f.Commits != uint64(n) {
		t.Errorf("%d bytes in %d files, figures %+v, damage %v", found.Bytes, found.FileCount, f, found.Damage)
	}
	least, err := o.Compact(found.Records, nil)
	want := make([]string, 10)
	for i := range want {
		want[i] = fmt.Sprintf("k%d=%d", i, n-10+i)
	}
	if err != nil || text(least) != strings.Join(want, " ") {
		t.Errorf("%s %v", text(least), err)
	}
}

// TestSlowCompaction: the bound on space holds while a snapshot takes its time. A commit that has no room waits for it, and
// goes on when it has come; with no end in sight the ledger is off, and begins anew in little space.
func TestSlowCompaction(t *testing.T) {
	o := options()
	o.SegmentSize, o.MaxSize = 1000, 8000
	var disk sync.Mutex // snapshots are written while it is free
	going := make(chan struct{}, 100)
	o.Compact = func(records [][]byte, gaps map[int]bool) ([][]byte, error) {
		going <- struct{}{}
		disk.Lock()
		defer disk.Unlock()
		return latest(records, gaps)
	}
	disk.Lock()
	d := newMemory()
	l, _ := begin(t, d, o)
	l.options.CommitTimeout = long
	record := func(i int) []byte { return []byte(fmt.Sprintf("k%d=%d", i%10, i)) }
	most := int64(0)
	push := func(i int) error {
		if err := l.Append(record(i)); err != nil {
			return err
		}
		err := l.Commit()
		most = max(most, l.Metrics().FileBytes)
		return err
	}
	i := 0
	for ; l.Metrics().FileBytes < o.MaxSize-100; i++ {
		if err := push(i); err != nil {
			t.Fatal(err)
		}
	}
	<-going // one snapshot is under way, and all that was written since is still there
	time.AfterFunc(20*time.Millisecond, disk.Unlock)
	for end := i + 1000; i < end; i++ {
		if err := push(i); err != nil {
			t.Fatalf("record %d: %v with %+v", i, err, l.Metrics())
		}
	}
	if most > o.MaxSize {
		t.Errorf("%d bytes, %d allowed", most, o.MaxSize)
	}
	disk.Lock() // no further one ends in time
	l.options.CommitTimeout = 20 * time.Millisecond
	var err error
	for end := i + 10000; err == nil && i < end; i++ {
		err = push(i)
	}
	if !errors.Is(err, ErrTimeout) || l.Enabled() {
		t.Fatalf("%v with %+v", err, l.Metrics())
	}
	disk.Unlock()
	l.options.CommitTimeout = long
	if err := l.BeginEpochAndWait([][]byte{record(0)}, long); err != nil {
		t.Fatal(err)
	}
	if f := l.Metrics(); f.FileBytes > o.SegmentSize || !f.Enabled {
		t.Errorf("%+v", f)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDiskFaults: the ledger is off at once, says why, and begins anew with a state that stands for all.
func TestDiskFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fail, heal func(*memory)
		patience   time.Duration
		want       error
	}{
		"full":      {func(m *memory) { m.room = 10 }, func(m *memory) { m.room = -1 }, long, nil},
		"read-only": {func(m *memory) { m.err = errors.New("read-only file system") }, func(m *memory) { m.err = nil }, long, nil},
		"slow":      {func(m *memory) { m.stall = 200 * time.Millisecond }, func(m *memory) { m.stall = 0 }, 20 * time.Millisecond, ErrTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			d := newMemory()
			o := options()
			l, _ := begin(t, d, o)
			commit(t, l, "before")
			l.options.CommitTimeout = test.patience
			d.set(func() { test.fail(d) })
			if err := l.Append([]byte("a record that does not fit")); err != nil {
				t.Fatal(err)
			}
			err := l.Commit()
			if err == nil || test.want != nil && !errors.Is(err, test.want) || l.Enabled() {
				t.Fatalf("commit: %v, on %v", err, l.Enabled())
			}
			if err := l.Append([]byte("x")); !errors.Is(err, ErrDisabled) || !errors.Is(l.Commit(), ErrDisabled) {
				t.Errorf("off, and appended to: %v", err)
			}
			// A Begin on a disk that still fails is told, too.
			if name != "slow" {
				if err := l.BeginEpoch([][]byte{[]byte("too early, and far too long for the room that is left")}); err != nil {
					t.Fatal(err)
				}
				if err := begun(t, l); err == nil {
					t.Error("it began on a disk that fails")
				}
			}
			d.set(func() { test.heal(d) })
			l.options.CommitTimeout = long
			if err := l.BeginEpoch([][]byte{[]byte("state")}); err != nil {
				t.Fatal(err)
			}
			if err := begun(t, l); err != nil {
				t.Fatal(err)
			}
			commit(t, l, "after")
			if found := read(t, d, o); text(found.Records) != "state after" || found.Gapped() {
				t.Errorf("read %q, %+v", text(found.Records), found)
			}
			if f := l.Metrics(); f.Failures != 1 || !f.Enabled {
				t.Errorf("figures %+v", f)
			}
		})
	}
}

func begun(t *testing.T, l *Ledger) error {
	t.Helper()
	for until := time.Now().Add(long); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if done, err := l.EpochResult(); done {
			return err
		}
	}
	t.Fatal("it never began")
	return nil
}

// TestCrashAtAnyPoint: whatever was appended and committed, over several lives, cut after any byte of the last write: each life
// reads all that was committed before it, and of what was not, only a beginning.
func TestCrashAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Name: "n1", CommitTimeout: long, SegmentSize: int64(rapid.IntRange(100, 1000).Draw(t, "segment"))}
		if rapid.Bool().Draw(t, "keyed") {
			o.Key = []byte("key")
		}
		o.Compact = func(r [][]byte, gaps map[int]bool) ([][]byte, error) {
			if len(gaps) > 0 {
				return nil, errors.New("gaps")
			}
			return r, nil
		}
		d := newMemory()
		var sure, maybe []string
		for life := range rapid.IntRange(1, 4).Draw(t, "lives") {
			found, err := Read(d, o.Name, o.Key)
			if err != nil {
				t.Fatal(err)
			}
			got := strings.Fields(text(found.Records))
			if len(got) < len(sure) || !slices.Equal(got[:len(sure)], sure) || len(got) > len(sure)+len(maybe) || !slices.Equal(got[len(sure):], maybe[:len(got)-len(sure)]) || found.Gapped() {
				t.Fatalf("life %d reads %q, sure are %q, maybe %q; %+v", life, got, sure, maybe, found)
			}
			sure, maybe = got, nil
			l := New(d, o, found)
			if rapid.IntRange(0, 4).Draw(t, "die at once") == 0 {
				_ = l.Close()
				continue
			}
			if err := l.BeginEpochAndWait(found.Records, long); err != nil {
				t.Fatal(err)
			}
			for i := range rapid.IntRange(0, 12).Draw(t, "commits") {
				maybe = nil
				for j := range rapid.IntRange(1, 3).Draw(t, "records") {
					maybe = append(maybe, fmt.Sprintf("%d.%d.%d", life, i, j))
					if err := l.Append([]byte(maybe[j])); err != nil {
						t.Fatal(err)
					}
				}
				before := d.copy()
				if err := l.Commit(); err != nil {
					t.Fatal(err)
				}
				if rapid.IntRange(0, 9).Draw(t, "crash") > 0 {
					sure, maybe = append(sure, maybe...), nil
					continue
				}
				// The crash comes in the middle of that commit's write.
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
				for name, text := range d.files {
					if old := before.files[name]; len(text) > len(old) && len(old) > 0 && strings.HasSuffix(name, ".segment") {
						before.files[name] = text[:rapid.IntRange(len(old), len(text)).Draw(t, "cut")]
					}
				}
				d = before
				l = nil
				break
			}
			if l != nil {
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// FuzzRead: whatever a segment holds, reading it ends, and changes nothing.
func FuzzRead(f *testing.F) {
	d := newMemory()
	l, _ := begin(f, d, options())
	commit(f, l, "one", "two")
	for name, text := range d.files {
		if strings.HasSuffix(name, ".segment") {
			f.Add(text)
			f.Add(text[:len(text)-1])
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := newMemory()
		d.files[segmentName(1)] = text
		first, err := Read(d, "n1", nil)
		again, errAgain := Read(d, "n1", nil)
		if (err == nil) != (errAgain == nil) || err == nil && !cmp.Equal(first.Records, again.Records) {
			t.Error("read twice, and not the same")
		}
	})
}

// BenchmarkCommit writes 32 records as one batch, as a turn does, and one by one.
func BenchmarkCommit(b *testing.B) {
	record := bytes.Repeat([]byte("r"), 300)
	for name, each := range map[string]bool{"batch": false, "single": true} {
		b.Run(name, func(b *testing.B) {
			d, err := OpenDirectory(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			o := options()
			o.Compact = func([][]byte, map[int]bool) ([][]byte, error) { return nil, nil }
			l, _ := begin(b, d, o)
			b.SetBytes(32 * 300)
			for b.Loop() {
				for range 32 {
					if err := l.Append(record); err != nil {
						b.Fatal(err)
					}
					if each {
						if err := l.Commit(); err != nil {
							b.Fatal(err)
						}
					}
				}
				if err := l.Commit(); err != nil {
					b.Fatal(err)
				}
			}
			_ = l.Close()
		})
	}
}
