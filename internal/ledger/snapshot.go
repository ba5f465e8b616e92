package ledger

import (
	"errors"
	"fmt"
)

// tempSuffix is the suffix of a snapshot that is being written.
const tempSuffix = ".new"

// snapshotWriter encodes a snapshot and writes it in chunks.
type snapshotWriter struct {
	file   File
	framer framer
	buffer []byte
	size   int64 // bytes written
	err    error
}

// append adds the frame of a record.
func (s *snapshotWriter) append(seq uint64, record []byte) {
	const chunkSize = 1 << 20
	if s.buffer = s.framer.append(s.buffer, seq, record); len(s.buffer) > chunkSize {
		s.flush()
	}
}

func (s *snapshotWriter) flush() {
	if s.err == nil {
		var n int
		n, s.err = s.file.Write(s.buffer)
		s.size += int64(n)
	}
	s.buffer = s.buffer[:0]
}

// writeSnapshot writes a snapshot that replaces the records up to a sequence number. It uses a temporary name until the snapshot is complete.
// It may run concurrently with the writer's other methods.
func (w *writer) writeSnapshot(last uint64, records [][]byte) (size int64, err error) {
	name := snapshotName(last)
	temp := name + tempSuffix
	f, err := w.disk.Create(temp)
	if err != nil {
		return 0, fmt.Errorf("ledger: %w", err)
	}
	s := &snapshotWriter{file: f, framer: framer{w.options.Key, last}, buffer: w.header(snapshotMagic, last, last)}
	for i, record := range records {
		s.append(uint64(i+1), record)
	}
	s.buffer = s.framer.append(s.buffer, uint64(len(records)+1), nil) // end mark
	s.flush()
	if err := w.finishSnapshot(s, temp, name); err != nil {
		_ = w.disk.Remove(temp)
		return 0, fmt.Errorf("ledger: %w", err)
	}
	w.snapshots.Add(1)
	return s.size, nil
}

// finishSnapshot closes a snapshot and gives it its final name.
func (w *writer) finishSnapshot(s *snapshotWriter, temp, name string) error {
	err := s.err
	if w.options.Sync != SyncNone {
		err = errors.Join(err, s.file.Sync())
	}
	if err = errors.Join(err, s.file.Close()); err != nil {
		return err
	}
	if s.size > w.options.MaxSize {
		return ErrFull
	}
	if err := w.disk.Rename(temp, name); err != nil {
		return err //nolint:wrapcheck // the caller wraps it
	}
	if w.options.Sync != SyncNone {
		return w.disk.Sync() //nolint:wrapcheck // the caller wraps it
	}
	return nil
}

// compaction is the result of compacting a snapshot and closed segments into a new snapshot.
type compaction struct {
	snapshot string
	replaced []string
	size     int64 // of the snapshot
	err      error
}

// shouldCompact reports whether to start a compaction. It waits until the closed segments are at least as large as the last snapshot, so that
// the cost of writing snapshots stays proportional to that of writing records, however large the state is.
func (w *writer) shouldCompact() bool {
	if w.compactions != nil || w.failed || w.options.Compact == nil || len(w.closed) < 2 {
		return false
	}
	size := int64(0)
	for _, name := range w.closed {
		size += w.sizes[name]
	}
	return size >= w.sizes[w.lastSnapshot]
}

// startCompaction starts to compact the closed segments in the background.
func (w *writer) startCompaction() {
	w.compactions = make(chan compaction, 1)
	previous, closed, last := w.lastSnapshot, append([]string(nil), w.closed...), w.lastClosed
	go func(results chan<- compaction) { results <- w.compactSegments(previous, closed, last) }(w.compactions)
}

// compactSegments writes a snapshot that replaces the previous snapshot and the closed segments. It does not access the writer's state.
func (w *writer) compactSegments(previous string, closed []string, last uint64) compaction {
	c := compaction{snapshot: snapshotName(last), replaced: append(closed, previous)}
	r := newReader(w.disk, w.options.Name, w.options.Key)
	if n, ok := parseFileNumber(previous, snapshotSuffix); ok {
		c.err = r.readSnapshots([]uint64{n})
	}
	for _, name := range closed {
		if first, ok := parseFileNumber(name, segmentSuffix); ok && c.err == nil {
			c.err = r.readSegment(first, false)
		}
	}
	if c.err != nil {
		return c
	}
	var records [][]byte
	if records, c.err = w.options.Compact(r.Records, r.Gaps); c.err == nil {
		c.size, c.err = w.writeSnapshot(last, records)
	}
	return c
}

// pollCompaction installs the result of the running compaction if that has ended.
func (w *writer) pollCompaction() {
	select {
	case c := <-w.compactions:
		w.installCompaction(c)
	default:
	}
}

// awaitCompaction waits for the running compaction and installs its result.
func (w *writer) awaitCompaction() { w.installCompaction(<-w.compactions) }

// installCompaction replaces the compacted files by their snapshot. If the compaction failed, the files stay, and it is retried after the
// next request.
func (w *writer) installCompaction(c compaction) {
	w.compactions = nil
	if c.err != nil {
		return
	}
	freed := int64(0)
	for _, name := range c.replaced {
		freed += w.sizes[name]
		delete(w.sizes, name)
	}
	w.sizes[c.snapshot] = c.size
	w.removeFiles(c.replaced)
	w.totalSize += c.size - freed
	w.closed = w.closed[len(c.replaced)-1:]
	w.lastSnapshot = c.snapshot
	w.totalBytes.Store(w.totalSize)
}
