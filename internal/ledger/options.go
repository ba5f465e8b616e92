package ledger

import (
	"errors"
	"time"
)

// Sync says when written records are synced, so that they survive a crash of the machine. They survive one of the process either way.
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
	// DefaultCommitTimeout is the timeout of a commit, after which the ledger is disabled: calls wait for it.
	DefaultCommitTimeout = 50 * time.Millisecond
	// DefaultSegmentSize is the size at which a segment is closed; two closed ones are compacted into a snapshot.
	DefaultSegmentSize = 16 << 20
	// DefaultMaxSize is the bound on the size of all files.
	DefaultMaxSize = 256 << 20
)

var (
	// ErrTimeout is the error of a commit that timed out.
	ErrTimeout = errors.New("ledger: the disk does not take it in time")
	// ErrDisabled is the error of an operation on a disabled ledger.
	ErrDisabled = errors.New("ledger: nothing is written")
	// ErrFull is the error of a write that would exceed Options.MaxSize.
	ErrFull = errors.New("ledger: the bound on its size is reached")
	// ErrTooLarge is the error of a record over MaxRecordSize.
	ErrTooLarge = errors.New("ledger: a record is too large")
)

// Options configure a Ledger. Zero values stand for the defaults.
type Options struct {
	Name          string // of the owner: the ledger of another is not read
	Key           []byte // of the MAC; nil for none
	Sync          Sync
	CommitTimeout time.Duration // timeout of a commit
	SegmentSize   int64         // bytes at which a segment is closed
	MaxSize       int64         // bound on the bytes of all files
	// Compact reduces records to the fewest with the same meaning; it runs concurrently with the owner. Gaps are those of Found.
	Compact func(records [][]byte, gaps map[int]bool) ([][]byte, error)
	// AfterWrite runs after each write, before its commit returns; its error is the commit's. Nil for none.
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

// Metrics are the metrics of a ledger, counted from the start of the process.
type Metrics struct {
	Records           uint64
	Bytes             uint64 // written to segments
	Commits           uint64
	Failures          uint64        // times that the ledger was disabled
	Snapshots         uint64        // written
	FileBytes         int64         // bytes of all files
	TotalCommitWait   time.Duration // total wait of commits
	LongestCommitWait time.Duration // longest wait of a commit
	Enabled           bool          // records are written
}
