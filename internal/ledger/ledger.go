package ledger

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize bounds the requests to the writer, and its results.
	queueSize = 64
	// sequenceGap separates the sequence numbers of one process from those of the next: whatever the earlier one may have written beyond
	// what was read has lower numbers.
	sequenceGap = 1 << 20
)

// Ledger is the write-ahead log of one owner. Append, Commit, Begin and Close are for one goroutine, the owner's; another one writes the
// files.
type Ledger struct {
	options Options
	disk    Disk
	seq     uint64 // of the next record
	batch   []byte
	spare   []byte
	pending int // records in the batch
	framer  framer
	on      bool
	// The writer serves requests in order. Results of an earlier generation are dropped.
	requests   chan request
	results    chan writeResult
	generation int
	done       chan struct{}
	figures    Metrics
	totalBytes atomic.Int64
	snapshots  atomic.Uint64
	timer      *time.Timer

	mu      sync.Mutex // guards file, which is synced concurrently with the writer
	file    File
	current string
}

// request is a batch to be written, or the state to begin a new epoch with.
type request struct {
	generation int
	batch      []byte
	nextSeq    uint64   // sequence number after the batch
	newEpoch   bool     // write a snapshot of state first, and open a segment
	state      [][]byte // of a new epoch
}

type writeResult struct {
	generation int
	err        error
}

// New returns a Ledger that is disabled until Begin. Found is what was read in the directory.
func New(d Disk, o Options, found *Contents) *Ledger {
	l := &Ledger{
		options:  o.withDefaults(),
		disk:     d,
		seq:      1,
		requests: make(chan request, queueSize),
		results:  make(chan writeResult, queueSize),
		done:     make(chan struct{}),
		timer:    time.NewTimer(time.Hour),
	}
	w := &writer{Ledger: l, sizes: map[string]int64{}}
	if found != nil {
		l.seq = found.lastSeq + 1
		w.obsolete = found.files
	}
	go w.run()
	return l
}

// Append adds a record to the next commit.
func (l *Ledger) Append(record []byte) error {
	if !l.on {
		return ErrDisabled
	}
	if len(record) == 0 || len(record) > MaxRecordSize {
		return ErrTooLarge
	}
	l.batch = l.framer.append(l.batch, l.seq, record)
	l.seq++
	l.pending++
	return nil
}

// HasPending reports whether records wait for a commit.
func (l *Ledger) HasPending() bool { return l.pending > 0 }

// Commit writes the appended records and waits until they are written. An error means that they may not be, and that the ledger is disabled
// until the next Begin.
func (l *Ledger) Commit() error {
	if !l.on {
		return ErrDisabled
	}
	if l.pending == 0 {
		return nil
	}
	begun := time.Now()
	batch := l.batch
	l.figures.Records += uint64(l.pending)
	l.figures.Bytes += uint64(len(batch))
	l.figures.Commits++
	l.batch, l.spare, l.pending = l.spare[:0], nil, 0
	err := l.submit(request{generation: l.generation, batch: batch, nextSeq: l.seq}, l.options.CommitTimeout)
	took := time.Since(begun)
	l.figures.TotalCommitWait += took
	l.figures.LongestCommitWait = max(l.figures.LongestCommitWait, took)
	if err != nil {
		l.disable()
		return err
	}
	l.spare = batch // the writer is done with it
	return nil
}

// submit passes a request to the writer and waits for its result.
func (l *Ledger) submit(r request, timeout time.Duration) error {
	select {
	case l.requests <- r:
	default:
		return ErrTimeout
	}
	l.timer.Reset(timeout)
	defer l.timer.Stop()
	for {
		select {
		case res := <-l.results:
			if res.generation == r.generation {
				return res.err
			}
		case <-l.timer.C:
			return ErrTimeout
		}
	}
}

func (l *Ledger) disable() {
	l.on = false
	l.generation++
	l.figures.Failures++
	l.batch, l.spare, l.pending = nil, nil, 0
}

func (l *Ledger) enable() { l.on, l.framer = true, framer{l.options.Key, l.seq} }

// Enabled reports whether records are written.
func (l *Ledger) Enabled() bool { return l.on }

// BeginEpoch starts a new epoch: a snapshot of the state is written, and records after it. It does not wait; Begun returns the result. Until then
// nothing may be appended; if the state changes before that, call Begin again.
func (l *Ledger) BeginEpoch(state [][]byte) error {
	l.on, l.batch, l.pending = false, nil, 0
	select {
	case l.requests <- l.epochRequest(state):
		return nil
	default:
		return ErrTimeout
	}
}

func (l *Ledger) epochRequest(state [][]byte) request {
	l.generation++
	l.seq += sequenceGap
	return request{generation: l.generation, newEpoch: true, state: state, nextSeq: l.seq}
}

// EpochResult returns the result of Begin; done is false while there is none.
func (l *Ledger) EpochResult() (done bool, err error) {
	for {
		select {
		case res := <-l.results:
			if res.generation != l.generation {
				continue
			}
			if res.err == nil {
				l.enable()
			}
			return true, res.err
		default:
			return false, nil
		}
	}
}

// BeginEpochAndWait is Begin for a start, where the process has nothing else to do.
func (l *Ledger) BeginEpochAndWait(state [][]byte, timeout time.Duration) error {
	if err := l.submit(l.epochRequest(state), timeout); err != nil {
		l.generation++
		return err
	}
	l.enable()
	return nil
}

// Metrics returns the current metrics.
func (l *Ledger) Metrics() Metrics {
	f := l.figures
	f.FileBytes, f.Snapshots, f.Enabled = l.totalBytes.Load(), l.snapshots.Load(), l.on
	return f
}

// Close stops the ledger and closes its directory. Committed records stay.
func (l *Ledger) Close() error {
	l.on = false
	close(l.requests)
	<-l.done
	return l.disk.Close()
}
