package ledger

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

var (
	// ErrLocked is the error of a directory that another process holds.
	ErrLocked = errors.New("ledger: another process holds the directory")
	// ErrDamaged is the error of a file that is not what was written.
	ErrDamaged = errors.New("ledger: damaged")
	// ErrFormat is the error of a file of another version of the format, as a later program writes it.
	ErrFormat = errors.New("ledger: another form")
	// ErrWrongOwner is the error of a ledger whose owner is another controller.
	ErrWrongOwner = errors.New("ledger: it is another controller's")
	// ErrWrongKey is the error of a ledger that was written with another key than the configured one, or without a key.
	ErrWrongKey = errors.New("ledger: it was not written with the key that is configured")
)

// Contents is the content of a ledger.
type Contents struct {
	Records [][]byte
	// Gaps holds the indexes in Records before which records may be missing; len(Records) is the end.
	Gaps map[int]bool
	// Damage describes what is wrong, for operators. A torn end is no damage: a crash leaves one.
	Damage          []string
	Torn            bool // the last segment has a torn end
	FileCount       int
	Bytes           int64
	SnapshotRecords int // number of Records that are the snapshot's
	lastSeq         uint64
	files           []string // the files that were read
}

// Gapped reports whether records may be missing.
func (f *Contents) Gapped() bool { return len(f.Gaps) > 0 }

// The suffixes of file names. The number before them is the first sequence number of a segment, the last one of a snapshot.
const (
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }
func snapshotName(last uint64) string { return fmt.Sprintf("%016x%s", last, snapshotSuffix) }

// parseFileNumber reads the number in a file's name.
func parseFileNumber(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

// Read reads a ledger without changing it. An empty name accepts any owner.
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
			r.files = append(r.files, n) // a snapshot whose writer was killed
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
	numbered bool // lastSeq is known: the next sequence number can be checked
}

func newReader(d Disk, name string, key []byte) *reader {
	return &reader{Contents: &Contents{Gaps: map[int]bool{}}, disk: d, name: name, key: key}
}

func (r *reader) addDamage(format string, args ...any) {
	const maxDamage = 50 // a file that is no ledger at all has damage everywhere
	if len(r.Damage) < maxDamage {
		r.Damage = append(r.Damage, fmt.Sprintf(format, args...))
	}
}

func (r *reader) addGap(format string, args ...any) {
	r.Gaps[len(r.Records)] = true
	r.addDamage(format, args...)
}

// openFile reads a file and its header. It returns no text, and no error, if the header is damaged.
func (r *reader) openFile(name, magic string, first uint64) (text []byte, f framer, err error) {
	text, err = r.disk.Read(name)
	if err != nil {
		return nil, f, fmt.Errorf("ledger: %w", err)
	}
	r.FileCount++
	r.Bytes += int64(len(text))
	h, err := decodeHeader(text)
	switch {
	case errors.Is(err, ErrDamaged):
		return nil, f, nil
	case err != nil:
		return nil, f, fmt.Errorf("%s: %w", name, err)
	case h.magic != magic || h.first != first: // it has been renamed
		return nil, f, nil
	case r.name != "" && h.owner != ownerHash(r.name):
		return nil, f, fmt.Errorf("%s: %w", name, ErrWrongOwner)
	case h.mac != (r.key != nil):
		return nil, f, fmt.Errorf("%s: %w", name, ErrWrongKey)
	}
	return text[headerSize:], framer{r.key, h.epoch}, nil
}

// readSnapshots reads the newest complete snapshot.
func (r *reader) readSnapshots(all []uint64) error {
	for i, last := range slices.Backward(all) {
		text, f, err := r.openFile(snapshotName(last), snapshotMagic, last)
		if err != nil {
			return err
		}
		if text != nil {
			if s := f.scan(text); s.complete && len(s.gaps) == 0 && !s.torn {
				r.Records, r.SnapshotRecords, r.lastSeq, r.numbered = s.records, len(s.records), last, true
				if i < len(all)-1 {
					r.addGap("an older snapshot is used")
				}
				return nil
			}
		}
		r.addDamage("snapshot %s is not whole", snapshotName(last))
	}
	if len(all) > 0 {
		r.addGap("no snapshot is whole")
	}
	return nil
}

// readSegment reads the next segment.
func (r *reader) readSegment(first uint64, isLast bool) error {
	name := segmentName(first)
	text, f, err := r.openFile(name, segmentMagic, first)
	if err != nil {
		return err
	}
	if r.numbered && first != r.lastSeq+1 {
		r.addGap("records are missing before %s", name)
	}
	if text == nil {
		if isLast {
			r.Torn = true // its writer was killed as it was created
			return nil
		}
		r.addGap("%s has no head", name)
		return nil
	}
	r.numbered = true
	expected := first
	s := f.scan(text)
	for i, record := range s.records {
		switch {
		case s.seqs[i] < expected:
			r.addDamage("record %d of %s comes again", s.seqs[i], name)
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
		r.addGap("the end of %s cannot be read", name)
	}
	return nil
}
