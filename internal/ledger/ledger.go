package ledger

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the capacity of the queues of requests to the writer and of its results.
	queueSize = 64
	// sequenceGap is the number of sequence numbers that each epoch skips, so that records which an earlier process may have written after
	// those that were read have lower numbers.
	sequenceGap = 1 << 20
)

// Ledger is the write-ahead log of one owner. It is not safe for concurrent use: its methods must be called from one goroutine. A goroutine of
// its own writes the files.
type Ledger struct {
	options        Options
	disk           Disk
	seq            uint64 // of the next record
	batch          []byte
	freeBatch      []byte // buffer of an earlier batch, for reuse
	pendingRecords int    // records in the batch
	framer         framer
	enabled        bool
	// The writer executes requests in order. Results of an earlier generation are dropped.
	requests    chan request
	results     chan writeResult
	generation  int
	done        chan struct{} // closed once the writer has ended
	metrics     Metrics
	totalBytes  atomic.Int64
	snapshots   atomic.Uint64
	commitTimer *time.Timer

	mu          sync.Mutex // guards file, which another goroutine syncs while the writer writes
	file        File
	currentName string
}

// request is a batch to be written, or the state that a new epoch begins with.
type request struct {
	generation int
	batch      []byte
	nextSeq    uint64   // sequence number of the record after the batch
	newEpoch   bool     // write a snapshot of state, and open a segment
	state      [][]byte // records that the new epoch begins with
}

type writeResult struct {
	generation int
	err        error
}

// New returns a Ledger that is disabled until BeginEpoch succeeds. The contents are those of the directory as it was read before, or nil if it
// was not read.
func New(d Disk, o Options, contents *Contents) *Ledger {
	l := &Ledger{
		options:     o.withDefaults(),
		disk:        d,
		seq:         1,
		requests:    make(chan request, queueSize),
		results:     make(chan writeResult, queueSize),
		done:        make(chan struct{}),
		commitTimer: time.NewTimer(time.Hour),
	}
	w := &writer{Ledger: l, sizes: map[string]int64{}}
	if contents != nil {
		l.seq = contents.lastSeq + 1
		w.obsolete = contents.files
	}
	go w.run()
	return l
}

// Append adds a record to the next commit.
func (l *Ledger) Append(record []byte) error {
	if !l.enabled {
		return ErrDisabled
	}
	if len(record) == 0 || len(record) > MaxRecordSize {
		return ErrTooLarge
	}
	l.batch = l.framer.append(l.batch, l.seq, record)
	l.seq++
	l.pendingRecords++
	return nil
}

// HasPending reports whether appended records are not committed yet.
func (l *Ledger) HasPending() bool { return l.pendingRecords > 0 }

// Commit writes the appended records and waits until they are written. After an error they may or may not be written, and the ledger is
// disabled until the next BeginEpoch.
func (l *Ledger) Commit() error {
	if !l.enabled {
		return ErrDisabled
	}
	if l.pendingRecords == 0 {
		return nil
	}
	start := time.Now()
	batch := l.batch
	l.metrics.Records += uint64(l.pendingRecords)
	l.metrics.Bytes += uint64(len(batch))
	l.metrics.Commits++
	l.batch, l.freeBatch, l.pendingRecords = l.freeBatch[:0], nil, 0
	err := l.submit(request{generation: l.generation, batch: batch, nextSeq: l.seq}, l.options.CommitTimeout)
	elapsed := time.Since(start)
	l.metrics.TotalCommitWait += elapsed
	l.metrics.LongestCommitWait = max(l.metrics.LongestCommitWait, elapsed)
	if err != nil {
		l.disable()
		return err
	}
	l.freeBatch = batch // the writer does not use it any more
	return nil
}

// submit sends a request to the writer and waits for the result.
func (l *Ledger) submit(r request, timeout time.Duration) error {
	select {
	case l.requests <- r:
	default:
		return ErrTimeout
	}
	l.commitTimer.Reset(timeout)
	defer l.commitTimer.Stop()
	for {
		select {
		case res := <-l.results:
			if res.generation == r.generation {
				return res.err
			}
		case <-l.commitTimer.C:
			return ErrTimeout
		}
	}
}

func (l *Ledger) disable() {
	l.enabled = false
	l.generation++
	l.metrics.Failures++
	l.batch, l.freeBatch, l.pendingRecords = nil, nil, 0
}

func (l *Ledger) enable() { l.enabled, l.framer = true, framer{l.options.Key, l.seq} }

// Enabled reports whether the ledger accepts records.
func (l *Ledger) Enabled() bool { return l.enabled }

// BeginEpoch starts a new epoch: the ledger writes a snapshot of the state, and then the records that are appended. It does not wait:
// EpochResult returns the result. Until then no record can be appended. If the state has changed meanwhile, BeginEpoch must be called again.
func (l *Ledger) BeginEpoch(state [][]byte) error {
	l.enabled, l.batch, l.pendingRecords = false, nil, 0
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

// EpochResult returns the result of BeginEpoch; done is false until there is one.
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

// BeginEpochAndWait is like BeginEpoch, but waits for the result. It is meant for the start of a process, which has nothing else
// to do meanwhile.
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
	m := l.metrics
	m.FileBytes, m.Snapshots, m.Enabled = l.totalBytes.Load(), l.snapshots.Load(), l.enabled
	return m
}

// Close stops the writer and closes the directory. Committed records stay; others are dropped.
func (l *Ledger) Close() error {
	l.enabled = false
	close(l.requests)
	<-l.done
	return l.disk.Close()
}
