package ledger

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// writer writes the files of a ledger, in a goroutine of its own.
type writer struct {
	*Ledger
	epoch        uint64           // first sequence number of the current epoch
	sizes        map[string]int64 // bytes of closed files, by name
	currentSize  int64            // bytes of the open segment
	totalSize    int64            // bytes of all files
	closed       []string         // closed segments since the last snapshot
	lastClosed   uint64           // last sequence number in the closed segments
	lastSnapshot string           // name of the last snapshot
	obsolete     []string         // files of previous processes, which the first snapshot replaces
	failed       bool             // the last request failed
	compactions  chan compaction  // nil while none is running
}

// run executes requests until the ledger is closed.
func (w *writer) run() {
	defer close(w.done)
	stop := make(chan struct{})
	var syncer sync.WaitGroup
	if w.options.Sync == SyncInterval {
		syncer.Go(func() { w.syncPeriodically(stop) })
	}
	for r := range w.requests {
		w.serve(r)
		w.pollCompaction()
		if w.shouldCompact() {
			w.startCompaction()
		}
	}
	if w.compactions != nil {
		w.awaitCompaction()
	}
	close(stop)
	syncer.Wait()
	w.closeSegment()
}

// serve executes a request and reports its result.
func (w *writer) serve(r request) {
	err := w.execute(r)
	if err == nil && w.options.AfterWrite != nil {
		err = w.options.AfterWrite()
	}
	w.failed = err != nil
	w.totalBytes.Store(w.totalSize)
	w.report(writeResult{r.generation, err})
}

func (w *writer) execute(r request) error {
	switch {
	case r.newEpoch:
		if w.compactions != nil { // wait for it, as it reads files that beginEpoch removes
			<-w.compactions
			w.compactions = nil
		}
		return w.beginEpoch(r)
	case w.failed:
		return ErrDisabled
	}
	if w.compactions != nil && w.totalSize+int64(len(r.batch)) > w.options.MaxSize {
		// Compaction lags behind the writes. To keep within the size limit, the write waits for the compaction. The owner waits for the
		// commit no longer than its timeout.
		w.awaitCompaction()
	}
	return w.write(r)
}

// report sends a result to the owner. If the queue is full, the oldest result is dropped.
func (w *writer) report(r writeResult) {
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

// syncPeriodically syncs the open segment concurrently with the writer, so that commits do not wait for it.
func (w *writer) syncPeriodically(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(syncInterval):
			w.mu.Lock()
			f := w.file
			w.mu.Unlock()
			if f != nil {
				_ = f.Sync() // an error shows at the next write as well
			}
		}
	}
}

// write appends a batch to the open segment. If the segment is then large enough, it is closed and the next one is opened.
func (w *writer) write(r request) error {
	if w.totalSize+int64(len(r.batch)) > w.options.MaxSize {
		return ErrFull
	}
	n, err := w.file.Write(r.batch)
	w.currentSize += int64(n)
	w.totalSize += int64(n)
	if err == nil && w.options.Sync == SyncAlways {
		err = w.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if w.currentSize < w.options.SegmentSize {
		return nil
	}
	w.closed, w.lastClosed = append(w.closed, w.currentName), r.nextSeq-1
	w.sizes[w.currentName] = w.currentSize
	return w.openSegment(r.nextSeq)
}

// openSegment closes the open segment and opens one that begins with the given sequence number.
func (w *writer) openSegment(first uint64) error {
	w.closeSegment()
	name := segmentName(first)
	f, err := w.disk.Create(name)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	n, err := f.Write(w.header(segmentMagic, first, w.epoch))
	w.mu.Lock()
	w.file = f
	w.mu.Unlock()
	w.currentName, w.currentSize = name, int64(n)
	w.totalSize += int64(n)
	if err == nil && w.options.Sync != SyncNone {
		err = errors.Join(f.Sync(), w.disk.Sync())
	}
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// header encodes the header of a file of this ledger.
func (w *writer) header(magic string, first, epoch uint64) []byte {
	h := header{magic: magic, owner: ownerHash(w.options.Name), mac: w.options.Key != nil, first: first, epoch: epoch}
	return h.append(nil)
}

func (w *writer) closeSegment() {
	w.mu.Lock()
	f := w.file
	w.file = nil
	w.mu.Unlock()
	if f != nil {
		_ = f.Close()
	}
}

// beginEpoch replaces all files by a snapshot of the request's state, and opens a segment.
func (w *writer) beginEpoch(r request) error {
	last := r.nextSeq - 1
	size, err := w.writeSnapshot(last, r.state)
	if err != nil {
		return err
	}
	replaced := slices.Concat(w.obsolete, w.closed)
	for _, name := range []string{w.currentName, w.lastSnapshot} {
		if name != "" {
			replaced = append(replaced, name)
		}
	}
	w.closeSegment()
	w.obsolete, w.closed, w.currentName, w.lastSnapshot = nil, nil, "", snapshotName(last)
	w.removeFiles(replaced)
	w.totalSize, w.epoch, w.sizes = size, r.nextSeq, map[string]int64{w.lastSnapshot: size}
	return w.openSegment(r.nextSeq)
}

// removeFiles removes files that a snapshot replaces. It ignores errors, as the reader ignores files that a snapshot replaces.
func (w *writer) removeFiles(names []string) {
	for _, name := range names {
		_ = w.disk.Remove(name)
	}
}
