package pool

import "time"

const (
	// burstDelay is how long the first sign of a change waits for the others of its burst: an editor makes several.
	burstDelay = 20 * time.Millisecond
	// stableTimeInPlace is how long a file that is written in place must stay as it is: a half that is new and a half that is old may
	// look whole.
	stableTimeInPlace = 25 * time.Millisecond
	// stableTimeUnfinished is how long a file may be without its end, or away, until that is told: it may be on its way still.
	stableTimeUnfinished = 300 * time.Millisecond
	// watchedInterval is the pace of looks that find what a watch missed.
	watchedInterval = 2 * time.Second
	// unwatchedInterval is the pace where nothing can be watched: a change is to be in force within half a second all the same.
	unwatchedInterval = 150 * time.Millisecond
)

// Observation is what a look at a file found.
type Observation struct {
	Digest     string // of its bytes; of the error, if it could not be read
	Unfinished bool   // it may be on its way still: no end mark, or no file
	InPlace    bool   // it is the same file as at the last look, with other bytes
}

// FilePoller decides when a file is looked at and which sights are judged. It has no clock: times are on any one that does not
// go back.
type FilePoller struct {
	watched         bool
	nextPoll        time.Duration // when to look next
	processedDigest string        // the digest that was judged last
	pendingDigest   string        // the digest of a sight that is not judged yet
	pendingSince    time.Duration // when that was first seen
}

// NewFilePoller returns a Looks that is due at once.
func NewFilePoller(now time.Duration, watched bool) *FilePoller {
	return &FilePoller{watched: watched, nextPoll: now}
}

// SetWatched tells whether changes are told by a watch.
func (l *FilePoller) SetWatched(now time.Duration, watched bool) {
	l.watched = watched
	l.nextPoll = min(l.nextPoll, now+l.interval())
}

func (l *FilePoller) interval() time.Duration {
	if l.watched {
		return watchedInterval
	}
	return unwatchedInterval
}

// NoteChange tells that something has changed on the way to the file. However many come, the look is not put off.
func (l *FilePoller) NoteChange(now time.Duration) { l.nextPoll = min(l.nextPoll, now+burstDelay) }

// NextPoll is when to look next.
func (l *FilePoller) NextPoll() time.Duration { return l.nextPoll }

// Observe tells what a look found, and reports whether that is to be judged now.
func (l *FilePoller) Observe(now time.Duration, s Observation) bool {
	l.nextPoll = now + l.interval()
	if s.Digest == l.processedDigest {
		l.pendingDigest = ""
		return false
	}
	wait := time.Duration(0)
	switch {
	case s.Unfinished:
		wait = stableTimeUnfinished
	case s.InPlace:
		wait = stableTimeInPlace
	}
	if l.pendingDigest != s.Digest {
		l.pendingDigest, l.pendingSince = s.Digest, now
	}
	if left := l.pendingSince + wait - now; left > 0 {
		l.nextPoll = min(l.nextPoll, now+left)
		return false
	}
	l.processedDigest, l.pendingDigest = s.Digest, ""
	return true
}
