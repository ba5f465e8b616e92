package pool

import "time"

const (
	// gather is how long the first sign of a change waits for the others of its burst: an editor makes several.
	gather = 20 * time.Millisecond
	// calm is how long a file that is written in place must stay as it is: a half that is new and a half that is old may
	// look whole.
	calm = 25 * time.Millisecond
	// settle is how long a file may be without its end, or away, until that is told: it may be on its way still.
	settle = 300 * time.Millisecond
	// slowly is the pace of looks that find what a watch missed.
	slowly = 2 * time.Second
	// unwatched is the pace where nothing can be watched: a change is to be in force within half a second all the same.
	unwatched = 150 * time.Millisecond
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
	watched bool
	due     time.Duration // when to look next
	judged  string        // the digest that was judged last
	pending string        // the digest of a sight that is not judged yet
	since   time.Duration // when that was first seen
}

// NewFilePoller returns a Looks that is due at once.
func NewFilePoller(now time.Duration, watched bool) *FilePoller {
	return &FilePoller{watched: watched, due: now}
}

// SetWatched tells whether changes are told by a watch.
func (l *FilePoller) SetWatched(now time.Duration, watched bool) {
	l.watched = watched
	l.due = min(l.due, now+l.pace())
}

func (l *FilePoller) pace() time.Duration {
	if l.watched {
		return slowly
	}
	return unwatched
}

// NoteChange tells that something has changed on the way to the file. However many come, the look is not put off.
func (l *FilePoller) NoteChange(now time.Duration) { l.due = min(l.due, now+gather) }

// NextPoll is when to look next.
func (l *FilePoller) NextPoll() time.Duration { return l.due }

// Observe tells what a look found, and reports whether that is to be judged now.
func (l *FilePoller) Observe(now time.Duration, s Observation) bool {
	l.due = now + l.pace()
	if s.Digest == l.judged {
		l.pending = ""
		return false
	}
	wait := time.Duration(0)
	switch {
	case s.Unfinished:
		wait = settle
	case s.InPlace:
		wait = calm
	}
	if l.pending != s.Digest {
		l.pending, l.since = s.Digest, now
	}
	if left := l.since + wait - now; left > 0 {
		l.due = min(l.due, now+left)
		return false
	}
	l.judged, l.pending = s.Digest, ""
	return true
}
