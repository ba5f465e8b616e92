package ledger

import (
	"errors"
	"time"
)

// Sync determines when written records are synced to the disk, so that they survive a crash of the machine. They survive a crash of the process
// in every mode.
type Sync int

// The sync modes.
const (
	SyncNone     Sync = iota // never
	SyncInterval             // every 0.1 s
	SyncAlways               // before a commit returns
)

const (
	// syncInterval is the period of SyncInterval.
	syncInterval = 100 * time.Millisecond
	// DefaultCommitTimeout is the default timeout of a commit, after which the ledger is disabled. Calls wait for commits.
	DefaultCommitTimeout = 50 * time.Millisecond
	// DefaultSegmentSize is the default size at which a segment is closed, in bytes. At least two closed segments are compacted at a time.
	DefaultSegmentSize = 16 << 20
	// DefaultMaxSize is the default limit of the size of all files, in bytes.
	DefaultMaxSize = 256 << 20
)

var (
	// ErrTimeout is returned by a commit that timed out.
	ErrTimeout = errors.New("ledger: write timed out")
	// ErrDisabled is returned by operations on a disabled ledger.
	ErrDisabled = errors.New("ledger: disabled")
	// ErrFull is returned by a write that would exceed Options.MaxSize.
	ErrFull = errors.New("ledger: size limit reached")
	// ErrTooLarge is returned for a record that is empty or larger than MaxRecordSize.
	ErrTooLarge = errors.New("ledger: record is empty or too large")
)

// Options configures a Ledger. Zero values select the defaults.
type Options struct {
	Name          string // of the owner; a ledger of another owner is not read
	Key           []byte // of the MAC of each record; nil for no MAC
	Sync          Sync
	CommitTimeout time.Duration // timeout of a commit
	SegmentSize   int64         // size at which a segment is closed, in bytes
	MaxSize       int64         // limit of the size of all files, in bytes
	// Compact reduces records to the fewest with the same meaning. It runs in another goroutine than the owner's. Gaps is as in Contents.
	Compact func(records [][]byte, gaps map[int]bool) ([][]byte, error)
	// AfterWrite is called after each write, before the commit returns. Its error fails the commit. It may be nil.
	AfterWrite func() error
}

func (o Options) withDefaults() Options {
	if o.CommitTimeout == 0 {
		o.CommitTimeout = DefaultCommitTimeout
	}
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	if o.MaxSize == 0 {
		o.MaxSize = DefaultMaxSize
	}
	return o
}

// Metrics holds the metrics of a ledger. Its counters begin at the start of the process.
type Metrics struct {
	Records           uint64
	Bytes             uint64 // written to segments
	Commits           uint64
	Failures          uint64        // number of times that the ledger was disabled by a failure
	Snapshots         uint64        // number of snapshots written
	FileBytes         int64         // size of all files, in bytes
	TotalCommitWait   time.Duration // total time that commits waited for their writes
	LongestCommitWait time.Duration // longest time that a commit waited for its write
	Enabled           bool          // the ledger accepts records
}
