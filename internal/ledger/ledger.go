package ledger

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Sync says when what was written is sure to outlast the machine. A process that dies loses nothing of it either way.
type Sync int

// The ways to sync.
const (
	SyncNone     Sync = iota // never
	SyncInterval             // each 0.1 s
	SyncAlways               // before a commit returns
)

const (
	// syncEvery is the pace of SyncInterval.
	syncEvery = 100 * time.Millisecond
	// DefaultPatience is how long a commit may take until the ledger is given up for the time being: calls wait for it.
	DefaultPatience = 50 * time.Millisecond
	// DefaultSegment is the size at which a segment is closed; two closed ones are cut to a snapshot.
	DefaultSegment = 16 << 20
	// DefaultMost is what all files may take.
	DefaultMost = 256 << 20
	// leap parts the numbers of one process from those of the next: whatever the last one may have written beyond what was
	// read is below.
	leap = 1 << 20
)

var (
	// ErrSlow is the error of a disk that does not take a commit in time.
	ErrSlow = errors.New("ledger: the disk does not take it in time")
	// ErrOff is the error of a commit while nothing is written.
	ErrOff = errors.New("ledger: nothing is written")
	// ErrFull is the error of files that have grown to the bound.
	ErrFull = errors.New("ledger: the bound on its size is reached")
	// ErrTooLarge is the error of a record over MaxRecord.
	ErrTooLarge = errors.New("ledger: a record is too large")
)

// Options say how a ledger is kept. Zero values stand for the defaults.
type Options struct {
	Name     string // of the owner: another's ledger is not read
	Key      []byte // of the MAC; nil for none
	Sync     Sync
	Patience time.Duration
	Segment  int64
	Most     int64
	// Compact makes the least of records; it runs beside the owner, on what has been written.
	Compact func(records [][]byte, gaps map[int]bool) ([][]byte, error)
	// Look comes after each write, before its commit returns; its error is the commit's. Nil for none.
	Look func() error
}

// Figures are counted from the start of the process.
type Figures struct {
	Records   uint64
	Bytes     uint64 // written to segments
	Commits   uint64
	Failures  uint64        // times that it was given up
	Snapshots uint64        // written
	Files     int64         // bytes of all files
	Waited    time.Duration // by commits, in all
	Worst     time.Duration // wait of a commit
	On        bool
}

// Ledger is the log of one owner. Append, Commit, Begin and Close are for one goroutine, the owner's; what they hand over is
// written by another.
type Ledger struct {
	o     Options
	disk  Disk
	seq   uint64 // of the next record
	batch []byte
	spare []byte
	count int
	frame framer
	on    bool
	// requests have one writer, which does them in their order. Results of an earlier generation are not waited for.
	requests   chan request
	results    chan result
	generation int
	ended      chan struct{}
	figures    Figures
	files      atomic.Int64
	snapshots  atomic.Uint64
	wait       *time.Timer

	mu      sync.Mutex // guards the file against its syncing beside the writer
	file    File
	current string
}

// request is a batch to be written, or a state to begin anew with.
type request struct {
	generation int
	batch      []byte
	next       uint64   // number that follows the batch
	begin      bool     // write a snapshot of state first, and begin a segment
	state      [][]byte //
}

type result struct {
	generation int
	err        error
}

// New returns a Ledger that writes nothing until Begin. Found is what was read in the directory.
func New(d Disk, o Options, found *Found) *Ledger {
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	if o.Segment == 0 {
		o.Segment = DefaultSegment
	}
	if o.Most == 0 {
		o.Most = DefaultMost
	}
	l := &Ledger{
		o: o, disk: d, seq: 1, requests: make(chan request, 64), results: make(chan result, 64), ended: make(chan struct{}),
		wait: time.NewTimer(time.Hour),
	}
	w := &writer{Ledger: l, sizes: map[string]int64{}}
	if found != nil {
		l.seq = found.last + 1
		w.old = found.old
	}
	go w.run()
	return l
}

// Append adds a record to the next commit. Without one under way, it does nothing.
func (l *Ledger) Append(record []byte) error {
	if !l.on {
		return ErrOff
	}
	if len(record) == 0 || len(record) > MaxRecord {
		return ErrTooLarge
	}
	l.batch = l.frame.append(l.batch, l.seq, record)
	l.seq++
	l.count++
	return nil
}

// Pending reports whether anything waits for a commit.
func (l *Ledger) Pending() bool { return l.count > 0 }

// Commit writes what was appended and waits until it is written. An error says that it may not be, and that the ledger is
// off until Begin: what is appended until then is not written either.
func (l *Ledger) Commit() error {
	if !l.on {
		return ErrOff
	}
	if l.count == 0 {
		return nil
	}
	from := time.Now()
	batch := l.batch
	l.figures.Records += uint64(l.count)
	l.figures.Bytes += uint64(len(batch))
	l.figures.Commits++
	l.batch, l.spare, l.count = l.spare[:0], nil, 0
	err := l.do(request{generation: l.generation, batch: batch, next: l.seq}, l.o.Patience)
	took := time.Since(from)
	l.figures.Waited += took
	l.figures.Worst = max(l.figures.Worst, took)
	if err != nil {
		l.off()
		return err
	}
	l.spare = batch // the writer is done with it
	return nil
}

// do has the writer do something and waits for it.
func (l *Ledger) do(r request, patience time.Duration) error {
	select {
	case l.requests <- r:
	default:
		return ErrSlow
	}
	l.wait.Reset(patience)
	defer l.wait.Stop()
	for {
		select {
		case res := <-l.results:
			if res.generation == r.generation {
				return res.err
			}
		case <-l.wait.C:
			return ErrSlow
		}
	}
}

func (l *Ledger) off() {
	l.on = false
	l.generation++
	l.figures.Failures++
	l.batch, l.spare, l.count = nil, nil, 0
}

// On reports whether records are written.
func (l *Ledger) On() bool { return l.on }

// Begin has a snapshot of a state written, and then records after it. It does not wait: Begun tells how it came out. Until
// then nothing may be appended; a state that is other by then must be begun with anew.
func (l *Ledger) Begin(state [][]byte) error {
	l.generation++
	l.on, l.batch, l.count = false, nil, 0
	l.seq += leap
	r := request{generation: l.generation, begin: true, state: state, next: l.seq}
	select {
	case l.requests <- r:
		return nil
	default:
		return ErrSlow
	}
}

// Begun tells how a Begin came out, once it has.
func (l *Ledger) Begun() (done bool, err error) {
	for {
		select {
		case res := <-l.results:
			if res.generation != l.generation {
				continue
			}
			if res.err == nil {
				l.on, l.frame = true, framer{l.o.Key, l.seq}
			}
			return true, res.err
		default:
			return false, nil
		}
	}
}

// BeginAndWait is Begin for a start, where nothing else is to be done meanwhile.
func (l *Ledger) BeginAndWait(state [][]byte, patience time.Duration) error {
	l.generation++
	l.seq += leap
	if err := l.do(request{generation: l.generation, begin: true, state: state, next: l.seq}, patience); err != nil {
		l.generation++
		return err
	}
	l.on, l.frame = true, framer{l.o.Key, l.seq}
	return nil
}

// Figures are those of now.
func (l *Ledger) Figures() Figures {
	f := l.figures
	f.Files, f.Snapshots, f.On = l.files.Load(), l.snapshots.Load(), l.on
	return f
}

// Close ends the ledger and gives the directory up. What was committed stays.
func (l *Ledger) Close() error {
	l.on = false
	close(l.requests)
	<-l.ended
	return l.disk.Close()
}

// writer has the files.
type writer struct {
	*Ledger
	epoch   uint64 // the first number since Begin
	sizes   map[string]int64
	size    int64    // of it
	total   int64    // of all files
	closed  []string // segments that are whole, since the last snapshot
	last    uint64   // the last number of those
	base    string   // the snapshot before them
	old     []string // what the next snapshot of Begin stands for, beside those
	failed  bool
	compact chan compacted
}

// compacted is what compacting has come to.
type compacted struct {
	name     string // of the snapshot
	replaced []string
	size     int64
	err      error
}

func (w *writer) run() {
	defer close(w.ended)
	stop := make(chan struct{})
	var syncer sync.WaitGroup
	if w.o.Sync == SyncInterval {
		syncer.Go(func() { w.syncAtPace(stop) })
	}
	w.compact = make(chan compacted, 1)
	busy := false
	for r := range w.requests {
		var err error
		switch {
		case r.begin:
			if busy { // it reads files that are about to go
				<-w.compact
				busy = false
			}
			err = w.begin(r)
		case w.failed:
			err = ErrOff
		default:
			if busy && w.total+int64(len(r.batch)) > w.o.Most {
				// Snapshots lag behind what is written. The bound holds: the commit waits for what is about to be cut,
				// and its owner no longer than its patience.
				w.compacted(<-w.compact)
				busy = false
			}
			err = w.write(r)
		}
		if err == nil && w.o.Look != nil {
			err = w.o.Look()
		}
		w.failed = err != nil
		w.files.Store(w.total)
		w.tell(result{r.generation, err})
		if busy {
			select {
			case c := <-w.compact:
				busy = false
				w.compacted(c)
			default:
			}
		}
		if !busy && !w.failed && w.worthCompacting() {
			busy = true
			go w.compactClosed(w.base, append([]string(nil), w.closed...), w.last)
		}
	}
	if busy {
		w.compacted(<-w.compact)
	}
	close(stop)
	syncer.Wait()
	w.closeFile()
}

// worthCompacting reports whether there is as much to be cut as the last snapshot has: so the work of writing snapshots keeps
// in proportion to that of writing records, however large the state is.
func (w *writer) worthCompacting() bool {
	closed := int64(0)
	for _, name := range w.closed {
		closed += w.sizes[name]
	}
	return w.o.Compact != nil && len(w.closed) >= 2 && closed >= w.sizes[w.base]
}

// tell gives a result. Nobody waits for those that fill the channel.
func (w *writer) tell(r result) {
	for {
		select {
		case w.results <- r:
			return
		default:
		}
		select {
		case <-w.results:
		default:
		}
	}
}

// syncAtPace syncs beside the writer: a commit does not wait for it.
func (w *writer) syncAtPace(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(syncEvery):
			w.mu.Lock()
			f := w.file
			w.mu.Unlock()
			if f != nil {
				_ = f.Sync() // the next write fails as well
			}
		}
	}
}

func (w *writer) closeFile() {
	w.mu.Lock()
	f := w.file
	w.file = nil
	w.mu.Unlock()
	if f != nil {
		_ = f.Close()
	}
}

// write appends a batch to the segment, and closes that when it is large.
func (w *writer) write(r request) error {
	if w.total+int64(len(r.batch)) > w.o.Most {
		return ErrFull
	}
	n, err := w.file.Write(r.batch)
	w.size += int64(n)
	w.total += int64(n)
	if err == nil && w.o.Sync == SyncAlways {
		err = w.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if w.size < w.o.Segment {
		return nil
	}
	w.closed, w.last = append(w.closed, w.current), r.next-1
	w.sizes[w.current] = w.size
	return w.segment(r.next)
}

// segment begins a segment.
func (w *writer) segment(first uint64) error {
	w.closeFile()
	name := segmentName(first)
	f, err := w.disk.Create(name)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	text := head{segmentMagic, nameHash(w.o.Name), w.o.Key != nil, first, w.epoch}.append(nil)
	n, err := f.Write(text)
	w.mu.Lock()
	w.file = f
	w.mu.Unlock()
	w.current, w.size = name, int64(n)
	w.total += int64(n)
	if err == nil && w.o.Sync != SyncNone {
		err = errors.Join(f.Sync(), w.disk.Sync())
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// begin writes a snapshot that stands for all there is, and then a segment.
func (w *writer) begin(r request) error {
	last := r.next - 1
	size, err := w.snapshot(last, r.state)
	if err != nil {
		return err
	}
	gone := append(w.old, w.closed...)
	if w.current != "" {
		gone = append(gone, w.current)
	}
	if w.base != "" {
		gone = append(gone, w.base)
	}
	w.closeFile()
	w.old, w.closed, w.current, w.base = nil, nil, "", snapshotName(last)
	w.remove(gone)
	w.total, w.epoch, w.sizes = size, r.next, map[string]int64{w.base: size}
	return w.segment(r.next)
}

// remove drops files that a snapshot stands for. One that stays does no harm.
func (w *writer) remove(names []string) {
	for _, name := range names {
		_ = w.disk.Remove(name)
	}
}

// snapshot writes one beside the files, and then puts it in place.
func (w *writer) snapshot(last uint64, records [][]byte) (size int64, err error) {
	name := snapshotName(last)
	f, err := w.disk.Create(name + ".new")
	if err != nil {
		return 0, fmt.Errorf("ledger: %w", err)
	}
	frame := framer{w.o.Key, last}
	text := head{snapshotMagic, nameHash(w.o.Name), w.o.Key != nil, last, last}.append(nil)
	const piece = 1 << 20
	flush := func() {
		if err == nil {
			var n int
			n, err = f.Write(text)
			size += int64(n)
		}
		text = text[:0]
	}
	for i, record := range records {
		if text = frame.append(text, uint64(i+1), record); len(text) > piece {
			flush()
		}
	}
	text = frame.append(text, uint64(len(records)+1), nil) // the end mark
	flush()
	if w.o.Sync != SyncNone {
		err = errors.Join(err, f.Sync())
	}
	if err = errors.Join(err, f.Close()); err == nil && size > w.o.Most {
		err = ErrFull
	}
	if err == nil {
		err = w.disk.Rename(name+".new", name)
	}
	if err == nil && w.o.Sync != SyncNone {
		err = w.disk.Sync()
	}
	if err != nil {
		_ = w.disk.Remove(name + ".new")
		return 0, fmt.Errorf("ledger: %w", err)
	}
	w.snapshots.Add(1)
	return size, nil
}

// compactClosed makes one snapshot of the last one and the segments that are whole. It runs beside the writer, whose files
// it does not touch.
func (w *writer) compactClosed(base string, closed []string, last uint64) {
	c := compacted{name: snapshotName(last), replaced: append(closed, base)}
	r := &reading{Found: &Found{Gaps: map[int]bool{}}, disk: w.disk, name: w.o.Name, key: w.o.Key}
	if n, ok := number(base, ".snapshot"); ok {
		c.err = r.snapshot([]uint64{n})
	}
	for _, name := range closed {
		if first, ok := number(name, ".segment"); ok && c.err == nil {
			c.err = r.segment(first, false)
		}
	}
	if c.err == nil {
		var records [][]byte
		if records, c.err = w.o.Compact(r.Records, r.Gaps); c.err == nil {
			c.size, c.err = w.snapshot(last, records)
		}
	}
	w.compact <- c
}

// compacted takes over what compacting has come to. If it failed, the files stay, and it is tried again with the next one.
func (w *writer) compacted(c compacted) {
	if c.err != nil {
		return
	}
	freed := int64(0)
	for _, name := range c.replaced {
		freed += w.sizes[name]
		delete(w.sizes, name)
	}
	w.sizes[c.name] = c.size
	w.remove(c.replaced)
	w.total += c.size - freed
	w.closed = w.closed[len(c.replaced)-1:]
	w.base = c.name
	w.files.Store(w.total)
}
