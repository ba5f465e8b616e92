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
	// DefaultPatience is the timeout of a commit, after which the ledger is disabled: calls wait for it.
	DefaultPatience = 50 * time.Millisecond
	// DefaultSegment is the size at which a segment is closed; two closed ones are compacted into a snapshot.
	DefaultSegment = 16 << 20
	// DefaultMost is the bound on the size of all files.
	DefaultMost = 256 << 20
)

var (
	// ErrSlow is the error of a commit that timed out.
	ErrSlow = errors.New("ledger: the disk does not take it in time")
	// ErrOff is the error of an operation on a disabled ledger.
	ErrOff = errors.New("ledger: nothing is written")
	// ErrFull is the error of a write that would exceed Options.Most.
	ErrFull = errors.New("ledger: the bound on its size is reached")
	// ErrTooLarge is the error of a record over MaxRecord.
	ErrTooLarge = errors.New("ledger: a record is too large")
)

// Options configure a Ledger. Zero values stand for the defaults.
type Options struct {
	Name     string // of the owner: the ledger of another is not read
	Key      []byte // of the MAC; nil for none
	Sync     Sync
	Patience time.Duration // timeout of a commit
	Segment  int64         // bytes at which a segment is closed
	Most     int64         // bound on the bytes of all files
	// Compact reduces records to the fewest with the same meaning; it runs concurrently with the owner. Gaps are those of Found.
	Compact func(records [][]byte, gaps map[int]bool) ([][]byte, error)
	// Look runs after each write, before its commit returns; its error is the commit's. Nil for none.
	Look func() error
}

func (o Options) withDefaults() Options {
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	if o.Segment == 0 {
		o.Segment = DefaultSegment
	}
	if o.Most == 0 {
		o.Most = DefaultMost
	}
	return o
}

// Figures are the metrics of a ledger, counted from the start of the process.
type Figures struct {
	Records   uint64
	Bytes     uint64 // written to segments
	Commits   uint64
	Failures  uint64        // times that the ledger was disabled
	Snapshots uint64        // written
	Files     int64         // bytes of all files
	Waited    time.Duration // total wait of commits
	Worst     time.Duration // longest wait of a commit
	On        bool          // records are written
}
