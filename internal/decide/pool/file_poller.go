package pool

import "time"

const (
	// burstDelay is the time from the first change notification to the next poll. An editor causes several notifications at
	// once.
	burstDelay = 20 * time.Millisecond
	// stableTimeInPlace is how long a file that is written in place must stay unchanged. A mix of new and old content may look
	// complete.
	stableTimeInPlace = 25 * time.Millisecond
	// stableTimeUnfinished is how long a file may lack its end mark, or be missing, before that is reported. It may still be
	// being written.
	stableTimeUnfinished = 300 * time.Millisecond
	// watchedInterval is the time between polls of a watched file. They find changes that the watch missed.
	watchedInterval = 2 * time.Second
	// unwatchedInterval is the time between polls of a file that cannot be watched. Changes must be active within half a second
	// there, too.
	unwatchedInterval = 150 * time.Millisecond
)

// Observation is the result of polling a file.
type Observation struct {
	Digest     string // digest of the content, or of the error if the file could not be read
	Unfinished bool   // it may still be being written: the end mark or the file is missing
	InPlace    bool   // the same file as in the previous poll, with other content
}

// FilePoller decides when to poll a file and which observations to process. It has no clock: times are readings of any
// monotonic clock.
type FilePoller struct {
	watched         bool
	nextPoll        time.Duration
	processedDigest string        // digest of the last processed observation
	pendingDigest   string        // digest of an observation that is not processed yet
	pendingSince    time.Duration // when pendingDigest was first observed
}

// NewFilePoller returns a FilePoller whose first poll is due at once.
func NewFilePoller(now time.Duration, watched bool) *FilePoller {
	return &FilePoller{watched: watched, nextPoll: now}
}

// SetWatched sets whether a watch reports changes of the file.
func (p *FilePoller) SetWatched(now time.Duration, watched bool) {
	p.watched = watched
	p.nextPoll = min(p.nextPoll, now+p.interval())
}

func (p *FilePoller) interval() time.Duration {
	if p.watched {
		return watchedInterval
	}
	return unwatchedInterval
}

// NoteChange records a change notification for the file or a directory on its path. Further notifications do not delay the
// poll.
func (p *FilePoller) NoteChange(now time.Duration) { p.nextPoll = min(p.nextPoll, now+burstDelay) }

// NextPoll returns when to poll next.
func (p *FilePoller) NextPoll() time.Duration { return p.nextPoll }

// Observe records the result of a poll and reports whether to process it now.
func (p *FilePoller) Observe(now time.Duration, o Observation) bool {
	p.nextPoll = now + p.interval()
	if o.Digest == p.processedDigest {
		p.pendingDigest = ""
		return false
	}
	stableTime := time.Duration(0)
	switch {
	case o.Unfinished:
		stableTime = stableTimeUnfinished
	case o.InPlace:
		stableTime = stableTimeInPlace
	}
	if p.pendingDigest != o.Digest {
		p.pendingDigest, p.pendingSince = o.Digest, now
	}
	if remaining := p.pendingSince + stableTime - now; remaining > 0 {
		p.nextPoll = min(p.nextPoll, now+remaining)
		return false
	}
	p.processedDigest, p.pendingDigest = o.Digest, ""
	return true
}
