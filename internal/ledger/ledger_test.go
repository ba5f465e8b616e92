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

// memoryDisk is a Disk in memory that injects faults: failing, slow and truncated writes.
type memoryDisk struct {
	mu         sync.Mutex
	files      map[string][]byte
	writeErr   error         // of every write
	writeDelay time.Duration // of every write
	freeSpace  int           // bytes that can still be written; negative for no limit
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}, freeSpace: -1} }

func (m *memoryDisk) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// copy returns a copy of the disk, as a process that starts now would find it.
func (m *memoryDisk) copy() *memoryDisk {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := newMemoryDisk()
	for name, data := range m.files {
		c.files[name] = bytes.Clone(data)
	}
	return c
}

func (m *memoryDisk) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryDisk) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.files[name]
	if !ok {
		return nil, fmt.Errorf("no file %s", name)
	}
	return bytes.Clone(data), nil
}

func (m *memoryDisk) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writeErr != nil {
		return nil, m.writeErr
	}
	m.files[name] = nil
	return &memoryFile{m, name}, nil
}

func (m *memoryDisk) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writeErr != nil {
		return m.writeErr
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryDisk) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

func (m *memoryDisk) Sync() error  { return nil }
func (m *memoryDisk) Close() error { return nil }

type memoryFile struct {
	m    *memoryDisk
	name string
}

func (f *memoryFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	delay := f.m.writeDelay
	f.m.mu.Unlock()
	time.Sleep(delay)
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.writeErr != nil {
		return 0, f.m.writeErr
	}
	n := len(p)
	if f.m.freeSpace >= 0 {
		n = min(n, f.m.freeSpace)
		f.m.freeSpace -= n
	}
	f.m.files[f.name] = append(f.m.files[f.name], p[:n]...)
	if n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *memoryFile) Sync() error  { return nil }
func (f *memoryFile) Close() error { return nil }

// testTimeout is a timeout that only expires if something is wrong.
const testTimeout = 20 * time.Second

func testOptions() Options { return Options{Name: "n1", CommitTimeout: testTimeout} }

// openLedger opens a ledger on a disk and begins an epoch with the records on it.
func openLedger(t testing.TB, d Disk, o Options) (*Ledger, *Contents) {
	t.Helper()
	found, err := Read(d, o.Name, o.Key)
	if err != nil {
		t.Fatal(err)
	}
	l := New(d, o, found)
	if err := l.BeginEpochAndWait(found.Records, testTimeout); err != nil {
		t.Fatal(err)
	}
	return l, found
}

func mustCommit(t testing.TB, l *Ledger, records ...string) {
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

func mustRead(t testing.TB, d Disk, o Options) *Contents {
	t.Helper()
	found, err := Read(d, o.Name, o.Key)
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func joinRecords(records [][]byte) string { return string(bytes.Join(records, []byte(" "))) }

func TestReadsCommittedRecords(t *testing.T) {
	for name, o := range map[string]Options{
		"plain": testOptions(), "keyed": {Name: "n1", CommitTimeout: testTimeout, Key: []byte("a key")}, "synced": {Name: "n1", CommitTimeout: testTimeout, Sync: SyncAlways},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := OpenDirectory(t.TempDir() + "/ledger")
			if err != nil {
				t.Fatal(err)
			}
			path := d.(*directory).path
			want := ""
			for process := range 4 {
				if process > 0 {
					if d, err = OpenDirectory(path); err != nil {
						t.Fatal(err)
					}
				}
				l, found := openLedger(t, d, o)
				if got := joinRecords(found.Records); got != want || found.Gapped() || found.Torn || len(found.Damage) > 0 {
					t.Fatalf("process %d: %q, want %q; %+v", process, got, want, found)
				}
				mustCommit(t, l, fmt.Sprint("a", process), fmt.Sprint("b", process))
				mustCommit(t, l)
				mustCommit(t, l, fmt.Sprint("c", process))
				if err := l.Append([]byte("never committed")); err != nil {
					t.Fatal(err)
				}
				if _, err := OpenDirectory(path); !errors.Is(err, ErrLocked) {
					t.Fatalf("a second owner opens the directory: %v", err)
				}
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
				want = strings.TrimSpace(fmt.Sprintf("%s a%d b%d c%d", want, process, process, process))
			}
		})
	}
}

func TestOwnerAndKeyAreChecked(t *testing.T) {
	d := newMemoryDisk()
	o := testOptions()
	o.Key = []byte("a key")
	l, _ := openLedger(t, d, o)
	mustCommit(t, l, "a")
	for name, other := range map[string]Options{"another name": {Name: "n2", Key: o.Key}, "no key": {Name: "n1"}} {
		if _, err := Read(d, other.Name, other.Key); !errors.Is(err, ErrWrongOwner) && !errors.Is(err, ErrWrongKey) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if found := mustRead(t, d, Options{Name: "n1", Key: []byte("another")}); len(found.Records) > 0 || !found.Torn && !found.Gapped() {
		t.Errorf("read with another key: %q", joinRecords(found.Records))
	}
	later := d.copy()
	for name := range later.files {
		h := header{segmentMagic, ownerHash("n1"), true, 1, 1}.append(nil)
		copy(h[8:], []byte{version + 1})
		h = h[:headerSize-8]
		later.files[name] = append(h, checksumOf(h)...)
	}
	if _, err := Read(later, o.Name, o.Key); !errors.Is(err, ErrFormat) {
		t.Errorf("later format version: %v", err)
	}
}

// checksumOf returns the encoded checksum of a header.
func checksumOf(p []byte) []byte { return binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(p)) }

// TestTruncatedLastSegment checks that the records before the point of truncation are read, and that no gap is reported.
func TestTruncatedLastSegment(t *testing.T) {
	for _, key := range [][]byte{nil, []byte("a key")} {
		o := testOptions()
		o.Key = key
		d := newMemoryDisk()
		l, _ := openLedger(t, d, o)
		mustCommit(t, l, "one", "two")
		mustCommit(t, l, "three")
		name := segmentName(l.seq - 3)
		complete := d.files[name]
		for length := range complete {
			c := d.copy()
			c.files[name] = complete[:length]
			found := mustRead(t, c, o)
			if !strings.HasPrefix("one two three", joinRecords(found.Records)) || found.Gapped() || len(found.Damage) > 0 {
				t.Errorf("truncated at %d: %q, %+v", length, joinRecords(found.Records), found)
			}
			// The next process continues from there.
			next, _ := openLedger(t, c, o)
			mustCommit(t, next, "four")
			if again := mustRead(t, c, o); joinRecords(again.Records) != strings.TrimSpace(joinRecords(found.Records)+" four") || again.Gapped() {
				t.Errorf("truncated at %d, then appended to: %q", length, joinRecords(again.Records))
			}
		}
	}
}

// TestFlippedBits checks that a flipped bit never results in a record that was not written, and that a gap is reported where a record is missing
// before others.
func TestFlippedBits(t *testing.T) {
	o := testOptions()
	o.SegmentSize = 150 // results in several segments
	d := newMemoryDisk()
	l, _ := openLedger(t, d, o)
	var all []string
	for i := range 12 {
		all = append(all, fmt.Sprint("record", i))
		mustCommit(t, l, all[i])
	}
	for name, complete := range d.files {
		for at := range complete {
			c := d.copy()
			c.files[name] = bytes.Clone(complete)
			c.files[name][at] ^= 1 << (at % 8)
			found, err := Read(c, o.Name, o.Key)
			if err != nil {
				if errors.Is(err, ErrFormat) || errors.Is(err, ErrWrongOwner) || errors.Is(err, ErrWrongKey) {
					t.Errorf("%s, byte %d: damage reported as another ledger: %v", name, at, err)
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
					t.Fatalf("%s, byte %d: %q follows record %d, and no gap is reported", name, at, r, next)
				}
				next = k + 1
			}
			if next < len(all) && !found.Torn && !found.Gapped() {
				t.Fatalf("%s, byte %d: the end is missing, and nothing is reported", name, at)
			}
		}
	}
}

func TestMissingSegmentAndTornSnapshot(t *testing.T) {
	o := testOptions()
	o.SegmentSize = 150
	d := newMemoryDisk()
	l, _ := openLedger(t, d, o)
	for i := range 12 {
		mustCommit(t, l, fmt.Sprint("record", i))
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
		if found := mustRead(t, c, o); !found.Gapped() || len(found.Damage) == 0 {
			t.Errorf("segment %d is missing, and nothing is reported: %+v", i, found)
		}
	}
	// A snapshot that was not renamed yet, and one that was truncated after that.
	c := d.copy()
	c.files[snapshotName(1<<40)+".new"] = []byte("half of")
	if found := mustRead(t, c, o); found.Gapped() || len(found.Records) != 12 {
		t.Errorf("an unfinished snapshot: %+v", found)
	}
	for name, complete := range d.files {
		if strings.HasSuffix(name, ".snapshot") {
			c.files[name] = complete[:len(complete)-1]
		}
	}
	if found := mustRead(t, c, o); !found.Gaps[0] {
		t.Errorf("a torn snapshot: %+v", found)
	}
}

// keepLatest is a Compact function that keeps the last record of each key.
func keepLatest(records [][]byte, gaps map[int]bool) ([][]byte, error) {
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

// TestCompaction checks that the files are no larger than a few segments once compaction has caught up with the writer, however slow it
// is, and that the latest record of each key can be read.
func TestCompaction(t *testing.T) {
	o := testOptions()
	o.SegmentSize = 2000
	o.Compact = keepLatest
	d := newMemoryDisk()
	l, _ := openLedger(t, d, o)
	n := 0
	next := func() {
		mustCommit(t, l, fmt.Sprintf("k%d=%d", n%10, n))
		n++
	}
	for n < 5000 {
		next()
	}
	for until := time.Now().Add(testTimeout); n%10 != 0 || l.Metrics().FileBytes > 5*o.SegmentSize || l.Metrics().Snapshots < 3; next() {
		if time.Now().After(until) {
			t.Fatalf("not compacted: %+v", l.Metrics())
		}
		time.Sleep(time.Millisecond) // gives compaction the time to catch up
	}
	f := l.Metrics()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	found := mustRead(t, d, o)
	if found.Bytes > f.FileBytes || found.Gapped() || f.Records != uint64(n) || f.Commits != uint64(n) {
		t.Errorf("%d bytes in %d files, metrics %+v, damage %v", found.Bytes, found.FileCount, f, found.Damage)
	}
	compacted, err := o.Compact(found.Records, nil)
	want := make([]string, 10)
	for i := range want {
		want[i] = fmt.Sprintf("k%d=%d", i, n-10+i)
	}
	if err != nil || joinRecords(compacted) != strings.Join(want, " ") {
		t.Errorf("%s %v", joinRecords(compacted), err)
	}
}

// TestSlowCompaction checks that the size limit holds while a compaction is slow. A commit that would exceed it waits for the compaction. If
// that takes longer than the commit's timeout, the ledger is disabled, and a new epoch begins with little space used.
func TestSlowCompaction(t *testing.T) {
	o := testOptions()
	o.SegmentSize, o.MaxSize = 1000, 8000
	var blockCompaction sync.Mutex // while it is locked, compactions wait
	compacting := make(chan struct{}, 100)
	o.Compact = func(records [][]byte, gaps map[int]bool) ([][]byte, error) {
		compacting <- struct{}{}
		blockCompaction.Lock()
		defer blockCompaction.Unlock()
		return keepLatest(records, gaps)
	}
	blockCompaction.Lock()
	d := newMemoryDisk()
	l, _ := openLedger(t, d, o)
	l.options.CommitTimeout = testTimeout
	record := func(i int) []byte { return []byte(fmt.Sprintf("k%d=%d", i%10, i)) }
	largest := int64(0)
	push := func(i int) error {
		if err := l.Append(record(i)); err != nil {
			return err
		}
		err := l.Commit()
		largest = max(largest, l.Metrics().FileBytes)
		return err
	}
	i := 0
	for ; l.Metrics().FileBytes < o.MaxSize-100; i++ {
		if err := push(i); err != nil {
			t.Fatal(err)
		}
	}
	<-compacting // one compaction is running, and the files that it replaces still exist
	time.AfterFunc(20*time.Millisecond, blockCompaction.Unlock)
	for end := i + 1000; i < end; i++ {
		if err := push(i); err != nil {
			t.Fatalf("record %d: %v, metrics %+v", i, err, l.Metrics())
		}
	}
	if largest > o.MaxSize {
		t.Errorf("%d bytes, limit %d", largest, o.MaxSize)
	}
	blockCompaction.Lock() // no further compaction ends in time
	l.options.CommitTimeout = 20 * time.Millisecond
	var err error
	for end := i + 10000; err == nil && i < end; i++ {
		err = push(i)
	}
	if !errors.Is(err, ErrTimeout) || l.Enabled() {
		t.Fatalf("%v, metrics %+v", err, l.Metrics())
	}
	blockCompaction.Unlock()
	l.options.CommitTimeout = testTimeout
	if err := l.BeginEpochAndWait([][]byte{record(0)}, testTimeout); err != nil {
		t.Fatal(err)
	}
	if f := l.Metrics(); f.FileBytes > o.SegmentSize || !f.Enabled {
		t.Errorf("%+v", f)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDiskFaults checks that a fault of the disk disables the ledger at once and is reported, and that the ledger works again in a new epoch.
func TestDiskFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fail, heal func(*memoryDisk)
		timeout    time.Duration
		want       error
	}{
		"full":      {func(m *memoryDisk) { m.freeSpace = 10 }, func(m *memoryDisk) { m.freeSpace = -1 }, testTimeout, nil},
		"read-only": {func(m *memoryDisk) { m.writeErr = errors.New("read-only file system") }, func(m *memoryDisk) { m.writeErr = nil }, testTimeout, nil},
		"slow":      {func(m *memoryDisk) { m.writeDelay = 200 * time.Millisecond }, func(m *memoryDisk) { m.writeDelay = 0 }, 20 * time.Millisecond, ErrTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			d := newMemoryDisk()
			o := testOptions()
			l, _ := openLedger(t, d, o)
			mustCommit(t, l, "before")
			l.options.CommitTimeout = test.timeout
			d.withLock(func() { test.fail(d) })
			if err := l.Append([]byte("a record that does not fit")); err != nil {
				t.Fatal(err)
			}
			err := l.Commit()
			if err == nil || test.want != nil && !errors.Is(err, test.want) || l.Enabled() {
				t.Fatalf("commit: %v, enabled %v", err, l.Enabled())
			}
			if err := l.Append([]byte("x")); !errors.Is(err, ErrDisabled) || !errors.Is(l.Commit(), ErrDisabled) {
				t.Errorf("append to a disabled ledger: %v", err)
			}
			// BeginEpoch on a disk that still fails reports an error, too.
			if name != "slow" {
				if err := l.BeginEpoch([][]byte{[]byte("longer than the free space on the disk that still fails")}); err != nil {
					t.Fatal(err)
				}
				if err := waitForEpoch(t, l); err == nil {
					t.Error("an epoch begins on a disk that fails")
				}
			}
			d.withLock(func() { test.heal(d) })
			l.options.CommitTimeout = testTimeout
			if err := l.BeginEpoch([][]byte{[]byte("state")}); err != nil {
				t.Fatal(err)
			}
			if err := waitForEpoch(t, l); err != nil {
				t.Fatal(err)
			}
			mustCommit(t, l, "after")
			if found := mustRead(t, d, o); joinRecords(found.Records) != "state after" || found.Gapped() {
				t.Errorf("read %q, %+v", joinRecords(found.Records), found)
			}
			if f := l.Metrics(); f.Failures != 1 || !f.Enabled {
				t.Errorf("metrics %+v", f)
			}
		})
	}
}

func waitForEpoch(t *testing.T, l *Ledger) error {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if done, err := l.EpochResult(); done {
			return err
		}
	}
	t.Fatal("no result of BeginEpoch")
	return nil
}

// TestCrashAtAnyPoint checks that each of several processes reads all records that were committed before it, and of the others only the first
// ones. The last write of a process may be truncated after any byte.
func TestCrashAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Name: "n1", CommitTimeout: testTimeout, SegmentSize: int64(rapid.IntRange(100, 1000).Draw(t, "segment"))}
		if rapid.Bool().Draw(t, "keyed") {
			o.Key = []byte("key")
		}
		o.Compact = func(r [][]byte, gaps map[int]bool) ([][]byte, error) {
			if len(gaps) > 0 {
				return nil, errors.New("gaps")
			}
			return r, nil
		}
		d := newMemoryDisk()
		var committed, uncommitted []string
		for process := range rapid.IntRange(1, 4).Draw(t, "processes") {
			found, err := Read(d, o.Name, o.Key)
			if err != nil {
				t.Fatal(err)
			}
			got := strings.Fields(joinRecords(found.Records))
			if len(got) < len(committed) || !slices.Equal(got[:len(committed)], committed) || len(got) > len(committed)+len(uncommitted) || !slices.Equal(got[len(committed):], uncommitted[:len(got)-len(committed)]) || found.Gapped() {
				t.Fatalf("process %d reads %q, committed are %q, uncommitted %q; %+v", process, got, committed, uncommitted, found)
			}
			committed, uncommitted = got, nil
			l := New(d, o, found)
			if rapid.IntRange(0, 4).Draw(t, "crash at start") == 0 {
				_ = l.Close()
				continue
			}
			if err := l.BeginEpochAndWait(found.Records, testTimeout); err != nil {
				t.Fatal(err)
			}
			for i := range rapid.IntRange(0, 12).Draw(t, "commits") {
				uncommitted = nil
				for j := range rapid.IntRange(1, 3).Draw(t, "records") {
					uncommitted = append(uncommitted, fmt.Sprintf("%d.%d.%d", process, i, j))
					if err := l.Append([]byte(uncommitted[j])); err != nil {
						t.Fatal(err)
					}
				}
				before := d.copy()
				if err := l.Commit(); err != nil {
					t.Fatal(err)
				}
				if rapid.IntRange(0, 9).Draw(t, "crash") > 0 {
					committed, uncommitted = append(committed, uncommitted...), nil
					continue
				}
				// The process crashes during the write of that commit.
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
				for name, data := range d.files {
					if old := before.files[name]; len(data) > len(old) && len(old) > 0 && strings.HasSuffix(name, ".segment") {
						before.files[name] = data[:rapid.IntRange(len(old), len(data)).Draw(t, "cut")]
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

// FuzzRead checks that reading a segment with any content ends and changes nothing: a second read has the same result.
func FuzzRead(f *testing.F) {
	d := newMemoryDisk()
	l, _ := openLedger(f, d, testOptions())
	mustCommit(f, l, "one", "two")
	for name, data := range d.files {
		if strings.HasSuffix(name, ".segment") {
			f.Add(data)
			f.Add(data[:len(data)-1])
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newMemoryDisk()
		d.files[segmentName(1)] = data
		first, err := Read(d, "n1", nil)
		again, errAgain := Read(d, "n1", nil)
		if (err == nil) != (errAgain == nil) || err == nil && !cmp.Equal(first.Records, again.Records) {
			t.Error("the second read differs from the first")
		}
	})
}

// BenchmarkCommit commits 32 records as one batch, as an event loop iteration does, and one by one.
func BenchmarkCommit(b *testing.B) {
	record := bytes.Repeat([]byte("r"), 300)
	for name, commitEach := range map[string]bool{"batch": false, "single": true} {
		b.Run(name, func(b *testing.B) {
			d, err := OpenDirectory(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			o := testOptions()
			o.Compact = func([][]byte, map[int]bool) ([][]byte, error) { return nil, nil }
			l, _ := openLedger(b, d, o)
			b.SetBytes(32 * 300)
			for b.Loop() {
				for range 32 {
					if err := l.Append(record); err != nil {
						b.Fatal(err)
					}
					if commitEach {
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
