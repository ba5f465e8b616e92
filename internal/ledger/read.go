package ledger

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

var (
	// ErrLocked is returned for a directory that another process has locked.
	ErrLocked = errors.New("ledger: another process holds the directory")
	// ErrDamaged is returned for a file whose content is not what was written.
	ErrDamaged = errors.New("ledger: damaged")
	// ErrFormat is returned for a file with another version of the format, as a later version of the program writes it.
	ErrFormat = errors.New("ledger: unknown format")
	// ErrWrongOwner is returned for a ledger of another controller.
	ErrWrongOwner = errors.New("ledger: this is another controller's ledger")
	// ErrWrongKey is returned for a ledger that was written with a key while none is configured, or without a key while one is.
	ErrWrongKey = errors.New("ledger: not written with the configured key")
)

// Contents is the content of a ledger.
type Contents struct {
	Records [][]byte
	// Gaps holds the indexes in Records before which records may be missing; len(Records) stands for the end.
	Gaps map[int]bool
	// Damage describes the damage, for operators. A torn end is not damage, as every crash may leave one.
	Damage          []string
	Torn            bool // the last segment has a torn end
	FileCount       int
	Bytes           int64
	SnapshotRecords int // number of Records that come from the snapshot
	lastSeq         uint64
	files           []string // names of the files of the ledger
}

// Gapped reports whether records may be missing.
func (c *Contents) Gapped() bool { return len(c.Gaps) > 0 }

// The suffixes of file names. The number before the suffix is the first sequence number in a segment, or the last one that a snapshot replaces.
const (
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }
func snapshotName(last uint64) string { return fmt.Sprintf("%016x%s", last, snapshotSuffix) }

// parseFileNumber parses the sequence number in a file name.
func parseFileNumber(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

// Read reads a ledger without changing it. If the name is empty, the ledger may belong to any owner.
func Read(d Disk, name string, key []byte) (*Contents, error) {
	r := newReader(d, name, key)
	names, err := d.List()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	var segments, snapshots []uint64
	for _, n := range names {
		if first, ok := parseFileNumber(n, segmentSuffix); ok {
			segments = append(segments, first)
			r.files = append(r.files, n)
		}
		if last, ok := parseFileNumber(n, snapshotSuffix); ok {
			snapshots = append(snapshots, last)
			r.files = append(r.files, n)
		}
		if strings.HasSuffix(n, tempSuffix) {
			r.files = append(r.files, n) // an incomplete snapshot, left by a crash
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	if err := r.readSnapshots(snapshots); err != nil {
		return nil, err
	}
	segments = slices.DeleteFunc(segments, func(first uint64) bool { return first <= r.lastSeq })
	for i, first := range segments {
		if err := r.readSegment(first, i == len(segments)-1); err != nil {
			return nil, err
		}
	}
	return r.Contents, nil
}

// reader reads the files of a ledger in order.
type reader struct {
	*Contents
	disk     Disk
	name     string
	key      []byte
	numbered bool // lastSeq is known, so the next sequence number can be checked
}

func newReader(d Disk, name string, key []byte) *reader {
	return &reader{Contents: &Contents{Gaps: map[int]bool{}}, disk: d, name: name, key: key}
}

func (r *reader) addDamage(format string, args ...any) {
	const maxDamage = 50 // a file that is not part of a ledger is damaged everywhere
	if len(r.Damage) < maxDamage {
		r.Damage = append(r.Damage, fmt.Sprintf(format, args...))
	}
}

func (r *reader) addGap(format string, args ...any) {
	r.Gaps[len(r.Records)] = true
	r.addDamage(format, args...)
}

// openFile reads a file and decodes its header. If the header is damaged, it returns neither data nor an error.
func (r *reader) openFile(name, magic string, first uint64) (data []byte, f framer, err error) {
	data, err = r.disk.Read(name)
	if err != nil {
		return nil, f, fmt.Errorf("ledger: %w", err)
	}
	r.FileCount++
	r.Bytes += int64(len(data))
	h, err := decodeHeader(data)
	switch {
	case errors.Is(err, ErrDamaged):
		return nil, f, nil
	case err != nil:
		return nil, f, fmt.Errorf("%s: %w", name, err)
	case h.magic != magic || h.first != first: // the file was renamed
		return nil, f, nil
	case r.name != "" && h.owner != ownerHash(r.name):
		return nil, f, fmt.Errorf("%s: %w", name, ErrWrongOwner)
	case h.mac != (r.key != nil):
		return nil, f, fmt.Errorf("%s: %w", name, ErrWrongKey)
	}
	return data[headerSize:], framer{r.key, h.epoch}, nil
}

// readSnapshots reads the newest complete snapshot.
func (r *reader) readSnapshots(all []uint64) error {
	for i, last := range slices.Backward(all) {
		data, f, err := r.openFile(snapshotName(last), snapshotMagic, last)
		if err != nil {
			return err
		}
		if data != nil {
			if s := f.scan(data); s.complete && len(s.gaps) == 0 && !s.torn {
				r.Records, r.SnapshotRecords, r.lastSeq, r.numbered = s.records, len(s.records), last, true
				if i < len(all)-1 {
					r.addGap("an older snapshot is used")
				}
				return nil
			}
		}
		r.addDamage("snapshot %s is incomplete", snapshotName(last))
	}
	if len(all) > 0 {
		r.addGap("no snapshot is complete")
	}
	return nil
}

// readSegment reads the next segment.
func (r *reader) readSegment(first uint64, isLast bool) error {
	name := segmentName(first)
	data, f, err := r.openFile(name, segmentMagic, first)
	if err != nil {
		return err
	}
	if r.numbered && first != r.lastSeq+1 {
		r.addGap("records are missing before %s", name)
	}
	if data == nil {
		if isLast {
			r.Torn = true // the process crashed while it created the segment
			return nil
		}
		r.addGap("%s has no valid header", name)
		return nil
	}
	r.numbered = true
	expected := first
	s := f.scan(data)
	for i, record := range s.records {
		switch {
		case s.seqs[i] < expected:
			r.addDamage("record %d of %s is a duplicate", s.seqs[i], name)
			continue
		case s.seqs[i] > expected || s.gaps[i]:
			r.addGap("records are missing in %s", name)
		}
		expected = s.seqs[i] + 1
		r.Records = append(r.Records, record)
	}
	r.lastSeq = expected - 1
	switch {
	case s.torn && isLast || s.gaps[len(s.records)] && isLast:
		r.Torn = true
	case s.torn || s.gaps[len(s.records)]:
		r.addGap("the end of %s is unreadable", name)
	}
	return nil
}
